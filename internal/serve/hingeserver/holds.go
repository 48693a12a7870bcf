package hingeserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeholds"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeslots"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// holds has engines drop what nobody answers for: what this host's requests
// leave behind, and what hosts that are gone have left.
type holds struct {
	server *Server
	client *hingeengine.Client
	driver *hingeholds.Collector
	told   []hingeholds.Engine

	mu    sync.Mutex
	owned map[hingeids.RequestID]struct{}
	after map[held][]func()
}

// held is what an engine may hold for one exchange.
type held struct {
	engine hingeids.ServerID
	id     hingeids.RequestID
}

var (
	_ hingedispatch.Canceller     = (*holds)(nil)
	_ hingedispatch.OwnedRequests = (*holds)(nil)
	_ hingeholds.Engines          = cancelling{}
	_ hingeholds.Owner            = (*holds)(nil)
)

// cancelling is the engines' side of holds.
type cancelling struct {
	*holds
}

func newHolds(s *Server) *holds {
	h := &holds{
		server: s,
		client: hingeengine.NewClient(),
		owned:  make(map[hingeids.RequestID]struct{}),
		after:  make(map[held][]func()),
	}
	h.driver = hingeholds.New(hingeholds.Config{
		Link: s.shared.link,
		Engines: cancelling{
			holds: h,
		},
		Owner:      h,
		Events:     s.recorder,
		OnReleased: h.gone,
	})
	return h
}

// Own notes an id before anything is sent under it.
func (h *holds) Own(id hingeids.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owned[id] = struct{}{}
}

// Disown forgets an id for good.
func (h *holds) Disown(id hingeids.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.owned, id)
}

// Owns tells whether this host still answers for an id.
func (h *holds) Owns(id hingeids.RequestID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.owned[id]
	return ok
}

// Instance is the life that this host leads now.
func (h *holds) Instance() hingeids.Instance {
	return h.server.shared.members.Hosts().Load().Self
}

// Cancel has an engine drop what it holds for an exchange, and calls after when
// it has said so or is known to have restarted.
func (h *holds) Cancel(t hingeengine.Target, id hingeids.RequestID, after func()) {
	key := held{
		engine: t.Server,
		id:     id,
	}
	if after == nil {
		after = func() {}
	}
	h.mu.Lock()
	h.after[key] = append(h.after[key], after)
	h.mu.Unlock()
	h.driver.Abandon(t.Server, id)
}

func (h *holds) gone(engine hingeids.ServerID, id hingeids.RequestID) {
	key := held{
		engine: engine,
		id:     id,
	}
	h.mu.Lock()
	calls := h.after[key]
	delete(h.after, key)
	h.mu.Unlock()
	for _, after := range calls {
		after()
	}
}

// pending counts cancels that are not yet answered.
func (h *holds) pending() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(len(h.after))
}

// lookEvery is how often wait looks.
const lookEvery = 20 * time.Millisecond

// wait waits until every cancel is answered, at most as long as the limit. An
// engine that is gone never answers, and would hold up a shutdown for good; the
// survivors cancel what a life that is over has left behind.
func (h *holds) wait(limit time.Duration) {
	for end := time.Now().Add(limit); h.pending() > 0 && time.Now().Before(end); {
		time.Sleep(lookEvery)
	}
}

// kindsOfHold translates what engines call what they hold.
var kindsOfHold = map[string]hingeholds.AllocationKind{
	hingeengine.KindGeneration: hingeholds.Running,
	hingeengine.KindExport:     hingeholds.ExportedCache,
	hingeengine.KindImport:     hingeholds.Import,
}

// Allocations asks an engine what it holds.
func (h *holds) Allocations(ctx context.Context, id hingeids.ServerID) ([]hingeholds.Allocation, error) {
	t, err := h.server.target(id)
	if err != nil {
		return nil, err
	}
	items, _, err := h.client.ListAllocations(ctx, t)
	if err != nil {
		return nil, err
	}
	out := make([]hingeholds.Allocation, 0, len(items))
	for _, item := range items {
		out = append(out, hingeholds.Allocation{
			ID:   item.Request,
			Kind: kindsOfHold[item.Kind],
			Age:  item.Age,
		})
	}
	return out, nil
}

// Cancel sends an engine one cancel.
func (e cancelling) Cancel(ctx context.Context, id hingeids.ServerID, request hingeids.RequestID) error {
	t, err := e.server.target(id)
	if err != nil {
		return err
	}
	_, err = e.client.Cancel(ctx, t, request)
	return err
}

// feed tells what the view and the record show. It runs in the control loop.
func (h *holds) feed() {
	members := h.server.shared.members.Hosts().Load()
	h.driver.SetRecord(members.Registry)
	if engines := h.engines(members); !slices.Equal(engines, h.told) {
		h.told = engines
		h.driver.SetEngines(engines)
	}
}

// engines are all engines, and which of them this host watches over.
func (h *holds) engines(members *hingemembers.View) []hingeholds.Engine {
	alive := make(map[hingeids.Zone][]hingeids.HostID)
	for _, host := range members.Hosts {
		if host.State == hingemembers.Alive {
			alive[host.Zone] = append(alive[host.Zone], host.Instance.Host)
		}
	}
	var out []hingeholds.Engine
	for _, x := range h.server.servers.Load().Servers {
		if x.Kind == hingeannounce.Service {
			continue
		}
		out = append(out, hingeholds.Engine{
			ID:          x.Server,
			Incarnation: x.Incarnation,
			Responsible: hingeslots.ResponsibleHost(alive[x.Zone], x.Server) == members.Self.Host,
		})
	}
	return out
}
