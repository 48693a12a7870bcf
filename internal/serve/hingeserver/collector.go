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

// collector releases allocations on engines that no request needs any more: those of this
// host's finished requests, and those of entry hosts that have ended.
type collector struct {
	server      *Server
	client      *hingeengine.Client
	driver      *hingeholds.Collector
	lastEngines []hingeholds.Engine

	mu         sync.Mutex
	owned      map[hingeids.RequestID]struct{}
	onReleased map[allocationKey][]func()
}

// allocationKey identifies what an engine may hold for one exchange.
type allocationKey struct {
	engine hingeids.ServerID
	id     hingeids.RequestID
}

var (
	_ hingedispatch.Canceller     = (*collector)(nil)
	_ hingedispatch.OwnedRequests = (*collector)(nil)
	_ hingeholds.Engines          = collectorEngines{}
	_ hingeholds.Owner            = (*collector)(nil)
)

// collectorEngines implements hingeholds.Engines. It is a type of its own because the
// collector's method Cancel has another signature.
type collectorEngines struct {
	*collector
}

func newCollector(s *Server) *collector {
	c := &collector{
		server:     s,
		client:     hingeengine.NewClient(s.tunnels),
		owned:      make(map[hingeids.RequestID]struct{}),
		onReleased: make(map[allocationKey][]func()),
	}
	c.driver = hingeholds.New(hingeholds.Config{
		Link: s.shared.link,
		Engines: collectorEngines{
			collector: c,
		},
		Owner:      c,
		Events:     s.recorder,
		OnReleased: c.handleReleased,
	})
	return c
}

// Own records a request id. It is called before anything is sent under the id.
func (c *collector) Own(id hingeids.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned[id] = struct{}{}
}

// Disown removes a request id. The id is never used again.
func (c *collector) Disown(id hingeids.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owned, id)
}

// Owns reports whether this host still owns a request id.
func (c *collector) Owns(id hingeids.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.owned[id]
	return ok
}

// Instance returns this host's current instance.
func (c *collector) Instance() hingeids.Instance {
	return c.server.shared.members.Hosts().Load().Self
}

// Cancel cancels an exchange at an engine, and repeats that until the engine has confirmed
// it or has restarted. Then it calls onReleased, if not nil. Cancel itself returns at once.
func (c *collector) Cancel(t hingeengine.Target, id hingeids.RequestID, onReleased func()) {
	key := allocationKey{
		engine: t.Server,
		id:     id,
	}
	if onReleased == nil {
		onReleased = func() {}
	}
	c.mu.Lock()
	c.onReleased[key] = append(c.onReleased[key], onReleased)
	c.mu.Unlock()
	c.driver.Abandon(t.Server, id)
}

func (c *collector) handleReleased(engine hingeids.ServerID, id hingeids.RequestID) {
	key := allocationKey{
		engine: engine,
		id:     id,
	}
	c.mu.Lock()
	callbacks := c.onReleased[key]
	delete(c.onReleased, key)
	c.mu.Unlock()
	for _, onReleased := range callbacks {
		onReleased()
	}
}

// pendingCancels counts the cancels that are not confirmed yet.
func (c *collector) pendingCancels() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(len(c.onReleased))
}

const cancelPollInterval = 20 * time.Millisecond

// waitForCancels waits until every cancel is confirmed, at most for the limit. The limit
// keeps an unreachable engine from blocking the shutdown: the other hosts cancel what an
// ended instance leaves behind.
func (c *collector) waitForCancels(limit time.Duration) {
	for deadline := time.Now().Add(limit); c.pendingCancels() > 0 && time.Now().Before(deadline); {
		time.Sleep(cancelPollInterval)
	}
}

// allocationKinds maps the engines' names of allocation kinds.
var allocationKinds = map[string]hingeholds.AllocationKind{
	hingeengine.KindGeneration: hingeholds.Running,
	hingeengine.KindExport:     hingeholds.ExportedCache,
	hingeengine.KindImport:     hingeholds.Import,
}

// Allocations returns an engine's allocations.
func (c *collector) Allocations(ctx context.Context, id hingeids.ServerID) ([]hingeholds.Allocation, error) {
	t, err := c.server.target(id)
	if err != nil {
		return nil, err
	}
	items, _, err := c.client.ListAllocations(ctx, t)
	if err != nil {
		return nil, err
	}
	out := make([]hingeholds.Allocation, 0, len(items))
	for _, item := range items {
		out = append(out, hingeholds.Allocation{
			ID:   item.Request,
			Kind: allocationKinds[item.Kind],
			Age:  item.Age,
		})
	}
	return out, nil
}

// Cancel sends one cancel to an engine.
func (e collectorEngines) Cancel(ctx context.Context, id hingeids.ServerID, request hingeids.RequestID) error {
	t, err := e.server.target(id)
	if err != nil {
		return err
	}
	_, err = e.client.Cancel(ctx, t, request)
	return err
}

// update passes the instance registry and the announced engines to the driver. The control
// loop calls it.
func (c *collector) update() {
	members := c.server.shared.members.Hosts().Load()
	c.driver.SetRecord(members.Registry)
	if engines := c.engines(members); !slices.Equal(engines, c.lastEngines) {
		c.lastEngines = engines
		c.driver.SetEngines(engines)
	}
}

// engines returns all engines, and for each whether this host is responsible for polling it.
func (c *collector) engines(members *hingemembers.View) []hingeholds.Engine {
	alive := make(map[hingeids.Zone][]hingeids.HostID)
	for _, host := range members.Hosts {
		if host.State == hingemembers.Alive {
			alive[host.Zone] = append(alive[host.Zone], host.Instance.Host)
		}
	}
	var out []hingeholds.Engine
	for _, x := range c.server.servers.Load().Servers {
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
