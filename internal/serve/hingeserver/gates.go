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

// gates has an admission gate for each model. It is safe for concurrent use.
type gates struct {
	server *Server
	group  errgroup.Group
	ctx    context.Context
	// waitingForEngines counts the requests that wait until any engine can accept them.
	waitingForEngines atomic.Int64

	mu      sync.Mutex
	byModel map[hingeids.Model]*modelGate
}

// modelGate is a model's gate, with the latest announcement of each engine that it knows.
type modelGate struct {
	*hingegate.Gate
	announced map[hingeids.ServerID]hingeannounce.Announcement
}

func newGates(ctx context.Context, s *Server) *gates {
	return &gates{
		server:  s,
		ctx:     ctx,
		byModel: make(map[hingeids.Model]*modelGate),
	}
}

var _ hingedispatch.Gate = (*gates)(nil)

// forModel creates the gate at the model's first request.
func (g *gates) forModel(m hingeids.Model) *modelGate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate, ok := g.byModel[m]; ok {
		return gate
	}
	gate := &modelGate{
		Gate:      hingegate.New(time.Now, hingeadmit.Defaults(), g.config(m)),
		announced: make(map[hingeids.ServerID]hingeannounce.Announcement),
	}
	gate.Recorder = g.server.recorder
	g.byModel[m] = gate
	g.group.Go(func() error {
		return gate.Run(g.ctx)
	})
	g.updateGate(time.Now(), m, gate)
	return gate
}

func (g *gates) weights() hingeplace.Weights {
	w := g.server.configuration.Load().Rules.Weights
	return hingeplace.Weights{
		Goodput:       w.Goodput,
		WastedPrefill: w.WastedPrefill,
	}
}

func (g *gates) cacheBytesPerToken(m hingeids.Model) hingeids.Bytes {
	if bytes := g.server.configuration.Load().models[m].CacheBytesPerToken; bytes > 0 {
		return bytes
	}
	return hingeplace.Defaults().CacheBytesPerToken
}

// reconfigure applies the weights and cache sizes of a new revision to all gates. The
// control loop calls it.
func (g *gates) reconfigure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for m, gate := range g.byModel {
		gate.Configure(g.weights(), g.cacheBytesPerToken(m))
	}
}

func (g *gates) config(m hingeids.Model) hingeplace.Config {
	c := hingeplace.Defaults()
	c.Weights = g.weights()
	c.CacheBytesPerToken = g.cacheBytesPerToken(m)
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

// update is called by the control loop.
func (g *gates) update(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for m, gate := range g.byModel {
		g.updateGate(now, m, gate)
	}
}

func (g *gates) updateGate(now time.Time, m hingeids.Model, gate *modelGate) {
	seen := make(map[hingeids.ServerID]bool)
	for _, s := range g.engines(m) {
		seen[s.Server] = true
		if !g.server.slots.canGrant(now, s) {
			delete(seen, s.Server)
			continue
		}
		if previous := gate.announced[s.Server]; previous.Incarnation == s.Incarnation && previous.Sequence == s.Sequence {
			continue
		}
		gate.announced[s.Server] = s.Announcement
		gate.HandleAnnouncement(s.Announcement, s.ReportAge(now))
	}
	for id := range gate.announced {
		if !seen[id] {
			delete(gate.announced, id)
			gate.RemoveEngine(id)
		}
	}
}

// engines returns the engines of this host's zone, or all if it has no decode engine. Engines
// of another zone grant their slots to the hosts of that zone, and transfers to them are
// slower.
func (g *gates) engines(m hingeids.Model) []hingeannounce.Server {
	var own, all []hingeannounce.Server
	canDecode := false
	for _, s := range g.server.listedServers(g.server.servers.Load().Servers) {
		if s.Model != m || s.Kind == hingeannounce.Service {
			continue
		}
		all = append(all, s)
		if s.Zone == g.server.settings.Zone {
			own = append(own, s)
			canDecode = canDecode || s.Performs(hingeannounce.Decode)
		}
	}
	if canDecode {
		return own
	}
	return all
}

func (g *gates) waiting() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, gate := range g.byModel {
		n += gate.Waiting()
	}
	return int64(n)
}

func (g *gates) wait() error {
	return g.group.Wait()
}

// Division of a prompt into blocks, by which placement compares prefixes.
const (
	promptBytesPerToken = 4
	blockTokens         = 64
	maxPrefixBlocks     = 512
)

// Admit waits until the request is placed or refused.
func (g *gates) Admit(ctx context.Context, e hingedispatch.Entry) (hingedispatch.Placement, error) {
	r := e.CompletionRequest
	// Without any engine, only requests that can wait are queued. The others are refused at once
	// instead of after their latency target.
	if !e.Resubmitted && !r.Class.CanWait && len(g.engines(r.Model)) == 0 {
		return hingedispatch.Placement{}, noServerError("model " + string(r.Model))
	}
	gate := g.forModel(r.Model)
	request := hingegate.Request{
		Placement: hingeplace.Request{
			ID:       e.ID,
			Class:    r.Class.Name,
			Priority: r.Class.Priority,
			CanWait:  r.Class.CanWait,
			Prompt:   r.PromptTokens,
			Prefix:   hingeplace.HashBlocks([]byte(r.Prompt), promptBytesPerToken, blockTokens, maxPrefixBlocks),
			TokenGap: r.Class.TokenGap,
			Avoid:    g.serversToAvoid(r.Model, e.Avoid),
		},
		Caller:      r.Caller,
		Arrived:     r.Arrived,
		FirstToken:  r.Class.FirstToken,
		Deadline:    r.Deadline,
		Resubmitted: e.Resubmitted,
	}
	for {
		d, err := g.admitOrWait(ctx, gate, request)
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
		request.Resubmitted = true
	}
}

// A request that can wait is also queued while no engine can accept it, such as shortly after
// the engines' first announcements.
const (
	engineRetryInterval  = 100 * time.Millisecond
	maxWaitingForEngines = 2000
)

// admitOrWait requests admission at the gate. If no engine can accept a request that can wait,
// it retries until one can.
func (g *gates) admitOrWait(ctx context.Context, gate *modelGate, request hingegate.Request) (hingeplace.Decision, error) {
	d, err := gate.Admit(ctx, request)
	if !request.Placement.CanWait || !isNoServer(err) {
		return d, err
	}
	if g.waitingForEngines.Add(1) > maxWaitingForEngines {
		g.waitingForEngines.Add(-1)
		return d, err
	}
	defer g.waitingForEngines.Add(-1)
	for isNoServer(err) {
		select {
		case <-ctx.Done():
			return d, err
		case <-time.After(engineRetryInterval):
		}
		d, err = gate.Admit(ctx, request)
	}
	return d, err
}

func isNoServer(err error) bool {
	var v *hingeverdict.Error
	return errors.As(err, &v) && v.Code == hingeverdict.CodeNoServer
}

// serversToAvoid returns the servers that failed the request, without those of a kind for
// which no other server exists: a failure such as a stalled connection may be temporary.
func (g *gates) serversToAvoid(m hingeids.Model, failed map[hingeids.ServerID]bool) map[hingeids.ServerID]bool {
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

// target returns the current incarnation of a server. The gate may choose a server that was
// just removed from the view; target then removes it from the gate, which has to choose again.
func (g *gates) target(gate *modelGate, id hingeids.ServerID) (hingeengine.Target, bool) {
	if s, ok := g.server.servers.Load().Find(id); ok {
		return targetOf(s), true
	}
	gate.RemoveEngine(id)
	return hingeengine.Target{}, false
}

// BindDecode reports that the KV cache is ready, and waits for a decode engine.
func (g *gates) BindDecode(
	ctx context.Context, e hingedispatch.Entry, cached hingeids.Tokens,
) (hingeengine.Target, error) {
	gate := g.forModel(e.CompletionRequest.Model)
	id, err := gate.BindDecode(ctx, e.ID, cached)
	return g.resolveTarget(ctx, gate, e, id, err)
}

// RetryBind waits for a decode engine other than the one that refused the request.
func (g *gates) RetryBind(
	ctx context.Context, e hingedispatch.Entry, refused hingeengine.Target,
) (hingeengine.Target, error) {
	gate := g.forModel(e.CompletionRequest.Model)
	id, err := gate.RetryBind(ctx, e.ID, refused.Server)
	return g.resolveTarget(ctx, gate, e, id, err)
}

func (g *gates) resolveTarget(
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

// AlternativeEngine returns a second decode engine for the request's slot, if there is one.
func (g *gates) AlternativeEngine(e hingedispatch.Entry) (hingeengine.Target, bool) {
	id, ok := g.forModel(e.CompletionRequest.Model).AlternativeEngine(e.ID)
	if !ok {
		return hingeengine.Target{}, false
	}
	s, ok := g.server.servers.Load().Find(id)
	return targetOf(s), ok
}

// Rebind records that another engine granted the request's slot.
func (g *gates) Rebind(e hingedispatch.Entry, t hingeengine.Target) {
	g.forModel(e.CompletionRequest.Model).Rebind(e.ID, t.Server)
}

// Finish removes a finished request from its gate. tokens is the length of its answer.
func (g *gates) Finish(e hingedispatch.Entry, tokens int) {
	g.forModel(e.CompletionRequest.Model).Finish(e.ID, hingeids.Tokens(tokens))
}

// HandleFailure removes an unreachable engine from the gate. Otherwise the gate would place all
// waiting requests there, because an engine that completes nothing looks idle. The next update
// adds it again if it is still announced.
func (g *gates) HandleFailure(e hingedispatch.Entry, t hingeengine.Target, err error) {
	if !isNoServer(err) {
		return
	}
	gate := g.forModel(e.CompletionRequest.Model)
	g.mu.Lock()
	delete(gate.announced, t.Server)
	g.mu.Unlock()
	gate.RemoveEngine(t.Server)
}

// HandleTokenGap reports an engine's mean token gap to the gate.
func (g *gates) HandleTokenGap(e hingedispatch.Entry, t hingeengine.Target, tokenGap time.Duration) {
	g.forModel(e.CompletionRequest.Model).HandleTokenGap(t.Server, tokenGap)
}

// IsCurrent reports whether the target's incarnation is the current one of its server.
func (g *gates) IsCurrent(t hingeengine.Target) bool {
	current, ok := g.server.servers.Load().Find(t.Server)
	return ok && current.Incarnation == t.Incarnation
}
