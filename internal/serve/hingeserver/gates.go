package hingeserver

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeadmit"
	"github.com/swifthinge/swifthinge/internal/decide/hingegate"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// gates holds a gate for each model, and feeds it what is known of the engines.
type gates struct {
	server *Server
	group  errgroup.Group
	ctx    context.Context
	// forEngines counts the requests that wait for an engine to be there.
	forEngines atomic.Int64

	mu      sync.Mutex
	byModel map[hingeids.Model]*modelGate
}

// modelGate is a gate with the engines it was told of.
type modelGate struct {
	*hingegate.Gate
	told map[hingeids.ServerID]hingeannounce.Announcement
}

func newGates(ctx context.Context, s *Server) *gates {
	return &gates{
		server:  s,
		ctx:     ctx,
		byModel: make(map[hingeids.Model]*modelGate),
	}
}

var _ hingedispatch.Gate = (*gates)(nil)

// of gives the gate of a model, made at its first request.
func (g *gates) of(m hingeids.Model) *modelGate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate, ok := g.byModel[m]; ok {
		return gate
	}
	gate := &modelGate{
		Gate: hingegate.New(time.Now, hingeadmit.Defaults(), g.config(m)),
		told: make(map[hingeids.ServerID]hingeannounce.Announcement),
	}
	gate.Recorder = g.server.recorder
	g.byModel[m] = gate
	g.group.Go(func() error {
		return gate.Run(g.ctx)
	})
	g.feedOne(time.Now(), m, gate)
	return gate
}

// weights are those of the rules in force.
func (g *gates) weights() hingeplace.Weights {
	w := g.server.configuration.Load().Rules.Weights
	return hingeplace.Weights{
		Goodput:       w.Goodput,
		WastedPrefill: w.WastedPrefill,
	}
}

// cacheBytes is the KV cache of one prompt token by the inventory in force.
func (g *gates) cacheBytes(m hingeids.Model) hingeids.Bytes {
	if bytes := g.server.configuration.Load().models[m].CacheBytesPerToken; bytes > 0 {
		return bytes
	}
	return hingeplace.Defaults().CacheBytesPerToken
}

// reconfigure puts a revision's weights and sizes in force. It runs in the
// control loop.
func (g *gates) reconfigure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for m, gate := range g.byModel {
		gate.Configure(g.weights(), g.cacheBytes(m))
	}
}

// config draws what placing starts from out of the inventory and the rules.
func (g *gates) config(m hingeids.Model) hingeplace.Config {
	c := hingeplace.Defaults()
	c.Weights = g.weights()
	c.CacheBytesPerToken = g.cacheBytes(m)
	fallback := c.LinkRate
	c.LinkRate = func(from, to hingeids.Zone) hingeids.BytesPerSecond {
		for _, l := range g.server.configuration.Load().Inventory.Links {
			if l.From == from && l.To == to {
				return l.Rate
			}
		}
		return fallback(from, to)
	}
	return c
}

// feed tells the gates what the view shows of the engines. It runs in the
// control loop.
func (g *gates) feed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for m, gate := range g.byModel {
		g.feedOne(now, m, gate)
	}
}

func (g *gates) feedOne(now time.Time, m hingeids.Model, gate *modelGate) {
	seen := make(map[hingeids.ServerID]bool)
	for _, s := range g.engines(m) {
		seen[s.Server] = true
		if !g.server.slots.canGrant(now, s) {
			delete(seen, s.Server)
			continue
		}
		if before := gate.told[s.Server]; before.Incarnation == s.Incarnation && before.Sequence == s.Sequence {
			continue
		}
		gate.told[s.Server] = s.Announcement
		gate.HandleAnnouncement(s.Announcement, s.ReportAge(now))
	}
	for id := range gate.told {
		if !seen[id] {
			delete(gate.told, id)
			gate.RemoveEngine(id)
		}
	}
}

// engines are those that this host places on: its own zone's, or all if its
// zone has none that decode. Another zone's engines have slots to grant for
// their own hosts, and links to them are longer.
func (g *gates) engines(m hingeids.Model) []hingeannounce.Server {
	var own, all []hingeannounce.Server
	decodes := false
	for _, s := range g.server.listed(g.server.servers.Load().Servers) {
		if s.Model != m || s.Kind == hingeannounce.Service {
			continue
		}
		all = append(all, s)
		if s.Zone == g.server.settings.Zone {
			own = append(own, s)
			decodes = decodes || s.Performs(hingeannounce.Decode)
		}
	}
	if decodes {
		return own
	}
	return all
}

// waiting counts the requests in all queues.
func (g *gates) waiting() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, gate := range g.byModel {
		n += gate.Waiting()
	}
	return int64(n)
}

// wait ends when all gates have.
func (g *gates) wait() error {
	return g.group.Wait()
}

// Blocks of a prompt, as placing compares prefixes.
const (
	promptBytesPerToken = 4
	blockTokens         = 64
	longestChain        = 512
)

// Admit waits until the request is placed or refused.
func (g *gates) Admit(ctx context.Context, e hingedispatch.Entry) (hingedispatch.Placement, error) {
	w := e.CompletionRequest
	// With no engine at all, only work that can wait waits for one: for the rest
	// the caller is better told now than when its target has passed.
	if !e.Resubmitted && !w.Class.CanWait && len(g.engines(w.Model)) == 0 {
		return hingedispatch.Placement{}, noServer("model " + string(w.Model))
	}
	gate := g.of(w.Model)
	ask := hingegate.Request{
		Placement: hingeplace.Request{
			ID:       e.ID,
			Class:    w.Class.Name,
			Priority: w.Class.Priority,
			CanWait:  w.Class.CanWait,
			Prompt:   w.PromptTokens,
			Prefix:   hingeplace.HashBlocks([]byte(w.Prompt), promptBytesPerToken, blockTokens, longestChain),
			TokenGap: w.Class.TokenGap,
			Avoid:    g.avoid(w.Model, e.Avoid),
		},
		Caller:      w.Caller,
		Arrived:     w.Arrived,
		FirstToken:  w.Class.FirstToken,
		Deadline:    w.Deadline,
		Resubmitted: e.Resubmitted,
	}
	for {
		d, err := g.enter(ctx, gate, ask)
		if err != nil {
			return hingedispatch.Placement{}, err
		}
		if d.Action == hingeplace.Local {
			if target, ok := g.target(gate, d.Decode); ok {
				return hingedispatch.Placement{
					Decode: target,
				}, nil
			}
		} else if target, ok := g.target(gate, d.Prefill); ok {
			return hingedispatch.Placement{
				Prefill: &target,
			}, nil
		}
		gate.Finish(e.ID, 0)
		ask.Resubmitted = true
	}
}

// Work that can wait also waits for engines, when there is none that it could be
// placed at, such as just after they have announced themselves: late is better
// than refused. The number that do is bounded like the gate's own queue.
const (
	enginesEvery   = 100 * time.Millisecond
	mostForEngines = 2000
)

// enter enters the gate, by the rule above.
func (g *gates) enter(ctx context.Context, gate *modelGate, ask hingegate.Request) (hingeplace.Decision, error) {
	d, err := gate.Admit(ctx, ask)
	if !ask.Placement.CanWait || !isNoServer(err) {
		return d, err
	}
	if g.forEngines.Add(1) > mostForEngines {
		g.forEngines.Add(-1)
		return d, err
	}
	defer g.forEngines.Add(-1)
	for isNoServer(err) {
		select {
		case <-ctx.Done():
			return d, err
		case <-time.After(enginesEvery):
		}
		d, err = gate.Admit(ctx, ask)
	}
	return d, err
}

func isNoServer(err error) bool {
	var v *hingeverdict.Error
	return errors.As(err, &v) && v.Code == hingeverdict.CodeNoServer
}

// avoid leaves out the servers that failed the request, unless no other does
// their work: what failed once, such as a connection that went silent, may well
// work the next time, and waiting for a server that isn't there surely won't.
func (g *gates) avoid(m hingeids.Model, failed map[hingeids.ServerID]bool) map[hingeids.ServerID]bool {
	if len(failed) == 0 {
		return nil
	}
	engines := g.engines(m)
	out := maps.Clone(failed)
	for _, kind := range []hingeannounce.Kind{hingeannounce.Prefill, hingeannounce.Decode} {
		other := slices.ContainsFunc(engines, func(s hingeannounce.Server) bool {
			return s.Performs(kind) && !failed[s.Server]
		})
		if other {
			continue
		}
		for _, s := range engines {
			if s.Performs(kind) {
				delete(out, s.Server)
			}
		}
	}
	return out
}

// target finds the life of a server that is there now. The gate is fed a moment
// after the view changes, so it may choose one that has just left: it is told,
// and has to choose again.
func (g *gates) target(gate *modelGate, id hingeids.ServerID) (hingeengine.Target, bool) {
	if s, ok := g.server.servers.Load().Find(id); ok {
		return targetOf(s), true
	}
	gate.RemoveEngine(id)
	return hingeengine.Target{}, false
}

// BindDecode waits for the decode engine of a KV cache that is ready.
func (g *gates) BindDecode(
	ctx context.Context, e hingedispatch.Entry, cached hingeids.Tokens,
) (hingeengine.Target, error) {
	gate := g.of(e.CompletionRequest.Model)
	id, err := gate.BindDecode(ctx, e.ID, cached)
	return g.bound(ctx, gate, e, id, err)
}

// RetryBind asks for another decode engine.
func (g *gates) RetryBind(
	ctx context.Context, e hingedispatch.Entry, refused hingeengine.Target,
) (hingeengine.Target, error) {
	gate := g.of(e.CompletionRequest.Model)
	id, err := gate.RetryBind(ctx, e.ID, refused.Server)
	return g.bound(ctx, gate, e, id, err)
}

func (g *gates) bound(
	ctx context.Context, gate *modelGate, e hingedispatch.Entry, id hingeids.ServerID, err error,
) (hingeengine.Target, error) {
	for err == nil {
		if target, ok := g.target(gate, id); ok {
			return target, nil
		}
		id, err = gate.RetryBind(ctx, e.ID, id)
	}
	return hingeengine.Target{}, err
}

// AlternativeEngine names a second decode engine.
func (g *gates) AlternativeEngine(e hingedispatch.Entry) (hingeengine.Target, bool) {
	id, ok := g.of(e.CompletionRequest.Model).AlternativeEngine(e.ID)
	if !ok {
		return hingeengine.Target{}, false
	}
	s, ok := g.server.servers.Load().Find(id)
	return targetOf(s), ok
}

// Rebind says that the slot was granted at another engine.
func (g *gates) Rebind(e hingedispatch.Entry, t hingeengine.Target) {
	g.of(e.CompletionRequest.Model).Rebind(e.ID, t.Server)
}

// Finish says that the entry is over.
func (g *gates) Finish(e hingedispatch.Entry, tokens int) {
	g.of(e.CompletionRequest.Model).Finish(e.ID, hingeids.Tokens(tokens))
}

// HandleFailure takes an engine that can't be reached out of the gate until it
// announces itself again, at most half a second later: else every request that
// waits would be placed there, as one that answers nobody looks idle.
func (g *gates) HandleFailure(e hingedispatch.Entry, t hingeengine.Target, err error) {
	if !isNoServer(err) {
		return
	}
	gate := g.of(e.CompletionRequest.Model)
	g.mu.Lock()
	delete(gate.told, t.Server)
	g.mu.Unlock()
	gate.RemoveEngine(t.Server)
}

// HandleTokenGap tells of an engine's speed.
func (g *gates) HandleTokenGap(e hingedispatch.Entry, t hingeengine.Target, gap time.Duration) {
	g.of(e.CompletionRequest.Model).HandleTokenGap(t.Server, gap)
}

// IsCurrent tells whether a life of a server is the one that is there now.
func (g *gates) IsCurrent(t hingeengine.Target) bool {
	now, ok := g.server.servers.Load().Find(t.Server)
	return ok && now.Incarnation == t.Incarnation
}
