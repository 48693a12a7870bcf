package hingeserver

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// inFlight counts the requests that this host has at each server. The servers' own reports
// show them only after a delay.
type inFlight struct {
	mu    sync.Mutex
	count map[hingeids.ServerID]int
}

func newInFlight() *inFlight {
	return &inFlight{
		count: make(map[hingeids.ServerID]int),
	}
}

func (f *inFlight) add(id hingeids.ServerID, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[id] += n
	if f.count[id] == 0 {
		delete(f.count, id)
	}
}

// leastLoaded counts one more request at the server that it chooses. It chooses one of
// those to be avoided if there is no other: a failure such as a stalled connection may be
// temporary.
func (f *inFlight) leastLoaded(servers []hingeannounce.Server, avoid map[hingeids.ServerID]bool) (hingeengine.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.leastLoadedExcept(servers, avoid)
	if best < 0 {
		best = f.leastLoadedExcept(servers, nil)
	}
	if best < 0 {
		return hingeengine.Target{}, false
	}
	s := servers[best]
	f.count[s.Server]++
	return targetOf(s), true
}

func (f *inFlight) leastLoadedExcept(servers []hingeannounce.Server, avoid map[hingeids.ServerID]bool) int {
	best := -1
	for i, s := range servers {
		if avoid[s.Server] {
			continue
		}
		if best < 0 || f.load(s) < f.load(servers[best]) {
			best = i
		}
	}
	return best
}

func (f *inFlight) load(s hingeannounce.Server) int {
	return max(f.count[s.Server], s.Load.Running+s.Load.Queued)
}

// noServerRetry is about as long as an announcement takes to reach every host.
const noServerRetry = 2 * time.Second

func targetOf(s hingeannounce.Server) hingeengine.Target {
	return hingeengine.Target{
		Server:      s.Server,
		Incarnation: s.Incarnation,
		Address:     s.Address,
	}
}

func (s *Server) target(id hingeids.ServerID) (hingeengine.Target, error) {
	server, ok := s.servers.Load().Find(id)
	if !ok {
		return hingeengine.Target{}, eris.Errorf("server %s is not announced", id)
	}
	return targetOf(server), nil
}

func noServerError(what string) error {
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, noServerRetry,
		eris.Errorf("no backend server for %s", what))
}

// backoffs are the replicas that have refused a request of this host and want none for a while.
type backoffs struct {
	mu    sync.Mutex
	known hingenotice.Known
}

// record records the outcome of a request.
func (b *backoffs) record(now time.Time, id hingeids.ServerID, err error) {
	var v *hingeverdict.Error
	if !errors.As(err, &v) || v.Code != hingeverdict.CodeServerRefused || v.RetryAfter == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known.RemoveExpired(now, func(hingeids.ServerID) bool {
		return false
	})
	b.known.Update(now, now, hingenotice.Subject{
		Server: id,
	}, hingenotice.Notice{
		Backoff: v.RetryAfter,
	})
}

// accepting returns the replicas of a list that accept requests of this host, and for how long none does if there are
// none.
func (b *backoffs) accepting(now time.Time, list []hingeannounce.Server) (out []hingeannounce.Server, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range list {
		until := b.known.BackoffUntil(s.Server)
		switch {
		case !now.Before(until):
			out = append(out, s)
		case wait == 0 || until.Sub(now) < wait:
			wait = until.Sub(now)
		}
	}
	if len(out) > 0 {
		wait = 0
	}
	return out, wait
}

// replicaPool chooses replicas of plain services by least load. It prefers those of its own
// zone.
type replicaPool struct {
	server   *Server
	load     *inFlight
	backoffs backoffs
	now      func() time.Time
}

// listedServers returns the servers that the inventory lists: others may announce
// themselves, but get no requests.
func (s *Server) listedServers(servers []hingeannounce.Server) []hingeannounce.Server {
	listed := s.configuration.Load().listed
	return slices.DeleteFunc(slices.Clone(servers), func(x hingeannounce.Server) bool {
		return !listed[x.Server]
	})
}

// Choose chooses a replica of a plain service. The error is NotRun if there is none.
func (p *replicaPool) Choose(
	service hingeids.Service, avoid map[hingeids.ServerID]bool,
) (hingeengine.Target, error) {
	var wait time.Duration
	for _, zone := range []hingeids.Zone{p.server.settings.Zone, ""} {
		listedServers := p.server.listedServers(p.server.servers.Load().Replicas(zone, service))
		var accepting []hingeannounce.Server
		accepting, wait = p.backoffs.accepting(p.now(), listedServers)
		if t, ok := p.load.leastLoaded(accepting, avoid); ok {
			return t, nil
		}
	}
	if wait > 0 {
		return hingeengine.Target{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused, wait,
			eris.Errorf("all replicas of service %s have refused requests of this host for now", service))
	}
	return hingeengine.Target{}, noServerError("service " + string(service))
}

// RecordOutcome records that a call at the replica has finished.
func (p *replicaPool) RecordOutcome(t hingeengine.Target, err error) {
	p.load.add(t.Server, -1)
	p.backoffs.record(p.now(), t.Server, err)
}
