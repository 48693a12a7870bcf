package hingeserver

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// inFlight counts what this host has at each server, which the servers' own
// lagging reports don't show yet.
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

// least chooses the server with the least load, and counts one more there. A
// server that is to be avoided is better than none: what failed once, such as a
// connection that went silent, may well work the next time.
func (f *inFlight) least(servers []hingeannounce.Server, avoid map[hingeids.ServerID]bool) (hingeengine.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.leastBut(servers, avoid)
	if best < 0 {
		best = f.leastBut(servers, nil)
	}
	if best < 0 {
		return hingeengine.Target{}, false
	}
	s := servers[best]
	f.count[s.Server]++
	return targetOf(s), true
}

func (f *inFlight) leastBut(servers []hingeannounce.Server, avoid map[hingeids.ServerID]bool) int {
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

// noServerRetry is when a caller comes back if no server is there: about as
// long as an announcement takes to reach every host.
const noServerRetry = 2 * time.Second

func targetOf(s hingeannounce.Server) hingeengine.Target {
	return hingeengine.Target{
		Server:      s.Server,
		Incarnation: s.Incarnation,
		Address:     s.Address,
	}
}

// target finds the life of a server that is announced now.
func (s *Server) target(id hingeids.ServerID) (hingeengine.Target, error) {
	server, ok := s.servers.Load().Find(id)
	if !ok {
		return hingeengine.Target{}, eris.Errorf("server %s is not announced", id)
	}
	return targetOf(server), nil
}

func noServer(what string) error {
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, noServerRetry,
		eris.Errorf("no backend server for %s", what))
}

// replicas chooses among the replicas of plain services, by least load and from
// the own zone if it has any.
type replicas struct {
	server *Server
	load   *inFlight
}

// listed leaves out servers that stand in no inventory: one that announces
// itself under a name that nobody knows gets no caller's request.
func (s *Server) listed(servers []hingeannounce.Server) []hingeannounce.Server {
	owned := s.configuration.Load().owned
	return slices.DeleteFunc(slices.Clone(servers), func(x hingeannounce.Server) bool {
		return !owned[x.Server]
	})
}

// Choose chooses a replica of a plain service.
func (p *replicas) Choose(
	service hingeids.Service, avoid map[hingeids.ServerID]bool,
) (hingeengine.Target, error) {
	for _, zone := range []hingeids.Zone{p.server.settings.Zone, ""} {
		listed := p.server.listed(p.server.servers.Load().Replicas(zone, service))
		if t, ok := p.load.least(listed, avoid); ok {
			return t, nil
		}
	}
	return hingeengine.Target{}, noServer("service " + string(service))
}

// RecordOutcome counts the replica free again.
func (p *replicas) RecordOutcome(t hingeengine.Target, _ error) {
	p.load.add(t.Server, -1)
}
