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

// slots gives the request path the decode slots of this host's zone.
type slots struct {
	server *Server
	client *hingeengine.Client
	driver *hingeslots.Slots
	told   []hingeslots.Engine
	life   hingeids.Instance
	// held are the slots that this host's requests hold.
	mu   sync.Mutex
	held map[hingeids.RequestID]struct{}
	// lastGrant is when a slot was last granted, in Unix nanoseconds.
	lastGrant atomic.Int64
}

var _ hingedispatch.Slots = (*slots)(nil)

func newSlots(s *Server) *slots {
	out := &slots{
		server: s,
		client: hingeengine.NewClient(),
		life:   s.life,
		held:   make(map[hingeids.RequestID]struct{}),
	}
	out.driver = hingeslots.New(hingeslots.Config{
		Instance: s.life,
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

// Held asks an engine which requests take up its slots.
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

// feed tells what the members and the view show. It runs in the control loop.
func (s *slots) feed() {
	members := s.server.shared.members.Hosts().Load()
	if members.Self != s.life {
		s.life = members.Self
		s.driver.SetInstance(s.life)
	}
	s.driver.SetView(hingeslots.NewView(members, s.server.settings.Zone))
	if engines := s.engines(); !slices.Equal(engines, s.told) {
		s.told = engines
		s.driver.SetEngines(engines)
	}
}

// engines are the decode engines of the own zone.
func (s *slots) engines() []hingeslots.Engine {
	if s.server.configuration.Load() == nil {
		return nil
	}
	var out []hingeslots.Engine
	for _, x := range s.server.listed(s.server.servers.Load().Servers) {
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

// canGrant tells whether there is any prospect of a slot on an engine. It is
// true for what needs no grant. Where there is none, as in a zone whose hosts
// are too few to stand, a request would be prefilled again and again for a slot
// that nobody may grant.
func (s *slots) canGrant(now time.Time, x hingeannounce.Server) bool {
	if x.Zone != s.server.settings.Zone || !x.Performs(hingeannounce.Decode) {
		return true
	}
	return s.driver.HasOpened(slotEngine(x)) && s.prospect(now)
}

// grantFresh is how long a grant says that others in the zone still grant.
const grantFresh = 2 * time.Second

// prospect tells whether this host stands, or another one has granted it a slot
// just now.
func (s *slots) prospect(now time.Time) bool {
	if s.server.shared.members.Hosts().Load().LeaseUntil.After(now) {
		return true
	}
	return now.Sub(time.Unix(0, s.lastGrant.Load())) < grantFresh
}

// granting tells whether this host has a decode engine to grant slots of.
func (s *slots) granting() bool {
	return slices.ContainsFunc(s.engines(), s.driver.HasOpened)
}

// slotWait bounds the wait for a slot that the gate took to be free. A waiting
// KV cache is evicted within a second, and another engine may have a slot.
const slotWait = 300 * time.Millisecond

// Acquire waits for a slot at any one of the engines. An engine of another zone
// grants none to this host; it is used only where the own zone has no engine, and
// refuses by itself what it can't hold.
func (s *slots) Acquire(
	ctx context.Context, w *hingedispatch.CompletionRequest, id hingeids.RequestID, at ...hingeengine.Target,
) (hingeengine.Target, error) {
	engines := make([]hingeids.ServerID, 0, len(at))
	for _, t := range at {
		if !s.own(t) {
			return t, nil
		}
		engines = append(engines, t.Server)
	}
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	grant, err := s.driver.Acquire(ctx, engines, id, w.Class.Priority)
	if err == nil && !grant.Startable(time.Now()) {
		s.driver.Release(id)
		err = eris.New("the grant came too late")
	}
	if err != nil {
		return hingeengine.Target{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused,
			noServerRetry, eris.Wrapf(err, "slot on %v", engines))
	}
	s.lastGrant.Store(time.Now().UnixNano())
	s.mu.Lock()
	s.held[id] = struct{}{}
	s.mu.Unlock()
	return at[slices.Index(engines, grant.Engine)], nil
}

func (s *slots) own(t hingeengine.Target) bool {
	server, ok := s.server.servers.Load().Find(t.Server)
	return ok && server.Zone == s.server.settings.Zone
}

// Release gives a slot back. One that was never granted is no harm.
func (s *slots) Release(id hingeids.RequestID, _ hingeengine.Target) {
	s.mu.Lock()
	delete(s.held, id)
	s.mu.Unlock()
	s.driver.Release(id)
}

// holding counts the slots that this host's requests hold.
func (s *slots) holding() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.held))
}
