package hingeserver

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeslots"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// slots grants decode slots of this host's zone to the request path.
type slots struct {
	server      *Server
	client      *hingeengine.Client
	driver      *hingeslots.Slots
	lastEngines []hingeslots.Engine
	instance    hingeids.Instance
	mu          sync.Mutex
	// held has the requests of this host that hold a slot. Guarded by mu.
	held map[hingeids.RequestID]struct{}
	// lastGrant is the time of the last grant, in Unix nanoseconds.
	lastGrant atomic.Int64
}

var _ hingedispatch.Slots = (*slots)(nil)

func newSlots(s *Server) *slots {
	out := &slots{
		server:   s,
		client:   hingeengine.NewClient(s.tunnels),
		instance: s.instance,
		held:     make(map[hingeids.RequestID]struct{}),
	}
	out.driver = hingeslots.New(hingeslots.Config{
		Instance: s.instance,
		Hosts:    zoneHosts(s.settings),
		Link:     s.shared.link,
		Engines:  out,
		Events:   s.recorder,
	})
	return out
}

func zoneHosts(s hingesettings.Settings) []hingeids.HostID {
	var out []hingeids.HostID
	for _, p := range s.Peers {
		if p.Zone == s.Zone {
			out = append(out, p.Host)
		}
	}
	return out
}

// Held returns the requests that occupy an engine's slots.
func (s *slots) Held(ctx context.Context, id hingeids.ServerID) ([]hingeids.RequestID, error) {
	t, err := s.server.target(id)
	if err != nil {
		return nil, err
	}
	items, _, err := s.client.ListAllocations(ctx, t)
	if err != nil {
		return nil, err
	}
	var out []hingeids.RequestID
	for _, item := range items {
		if item.Kind != hingeengine.KindExport {
			out = append(out, item.Request)
		}
	}
	return out, nil
}

// update is called by the control loop.
func (s *slots) update() {
	members := s.server.shared.members.Hosts().Load()
	if members.Self != s.instance {
		s.instance = members.Self
		s.driver.SetInstance(s.instance)
	}
	s.driver.SetView(hingeslots.NewView(members, s.server.settings.Zone))
	if engines := s.engines(); !slices.Equal(engines, s.lastEngines) {
		s.lastEngines = engines
		s.driver.SetEngines(engines)
	}
}

func (s *slots) engines() []hingeslots.Engine {
	if s.server.configuration.Load() == nil {
		return nil
	}
	var out []hingeslots.Engine
	for _, x := range s.server.listedServers(s.server.servers.Load().Servers) {
		if x.Zone == s.server.settings.Zone && x.Performs(hingeannounce.Decode) {
			out = append(out, slotEngine(x))
		}
	}
	return out
}

func slotEngine(x hingeannounce.Server) hingeslots.Engine {
	return hingeslots.Engine{
		ID:          x.Server,
		Incarnation: x.Incarnation,
		Slots:       x.Slots,
	}
}

// canGrant reports whether a slot on an engine can be expected. It is true for servers that
// need no grant. Without this check, a request in a zone with too few hosts for a valid
// lease would be prefilled repeatedly for a slot that no host may grant.
func (s *slots) canGrant(now time.Time, x hingeannounce.Server) bool {
	if x.Zone != s.server.settings.Zone || !x.Performs(hingeannounce.Decode) {
		return true
	}
	return s.driver.HasOpened(slotEngine(x)) && s.canObtainGrant(now)
}

// recentGrantPeriod is how long after a grant the other hosts of the zone are expected to
// grant again.
const recentGrantPeriod = 2 * time.Second

// canObtainGrant reports whether this host holds a valid lease, or has recently received a
// grant of another host.
func (s *slots) canObtainGrant(now time.Time) bool {
	if s.server.shared.members.Hosts().Load().LeaseUntil.After(now) {
		return true
	}
	return now.Sub(time.Unix(0, s.lastGrant.Load())) < recentGrantPeriod
}

// canGrantAny reports whether the slot pool of any decode engine has opened at this host.
func (s *slots) canGrantAny() bool {
	return slices.ContainsFunc(s.engines(), s.driver.HasOpened)
}

// slotTimeout limits the wait for a slot that the gate considers free. A waiting KV cache is
// evicted within a second, and another engine may have a free slot.
const slotTimeout = 300 * time.Millisecond

// Acquire waits for a slot on any of the engines. Engines of another zone grant no slots to
// this host; they are used only if the own zone has no decode engine, and refuse excess
// requests themselves.
func (s *slots) Acquire(
	ctx context.Context, r *hingedispatch.CompletionRequest, id hingeids.RequestID, at ...hingeengine.Target,
) (hingeengine.Target, error) {
	engines := make([]hingeids.ServerID, 0, len(at))
	for _, t := range at {
		if !s.inOwnZone(t) {
			return t, nil
		}
		engines = append(engines, t.Server)
	}
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	grant, err := s.driver.Acquire(ctx, engines, id, r.Class.Priority)
	if err == nil && !grant.Startable(time.Now()) {
		s.driver.Release(id)
		err = eris.New("the slot grant arrived too late to start the request")
	}
	if err != nil {
		return hingeengine.Target{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused,
			noServerRetry, eris.Wrapf(err, "acquire a decode slot on %v", engines))
	}
	s.lastGrant.Store(time.Now().UnixNano())
	s.mu.Lock()
	s.held[id] = struct{}{}
	s.mu.Unlock()
	return at[slices.Index(engines, grant.Engine)], nil
}

func (s *slots) inOwnZone(t hingeengine.Target) bool {
	server, ok := s.server.servers.Load().Find(t.Server)
	return ok && server.Zone == s.server.settings.Zone
}

// Release releases the slot of a request. It does nothing if the request has none.
func (s *slots) Release(id hingeids.RequestID, _ hingeengine.Target) {
	s.mu.Lock()
	delete(s.held, id)
	s.mu.Unlock()
	s.driver.Release(id)
}

func (s *slots) heldCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.held))
}
