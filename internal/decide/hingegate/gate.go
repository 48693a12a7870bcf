// Package hingegate connects the goroutines of requests to the decisions about
// them: admission (hingeadmit) and placement (hingeplace) for the engines of one
// model, under one lock.
//
//  1. A request's goroutine calls Admit, which blocks until the request is placed
//     or refused. It calls BindDecode when the KV cache is ready and waits for its
//     decode engine. It calls Finish at the end, whatever the outcome.
//  2. Every change that may have freed capacity is followed at once, in the same
//     goroutine, by an attempt to serve waiting requests: first slots for KV caches
//     that are ready, then the queue.
//  3. Run repeats the attempt every few milliseconds, since some decisions depend
//     on time alone, such as the refusal of a request that can no longer meet its
//     first-token target.
package hingegate

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeadmit"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// pollInterval is the period of Run. It is short compared with the shortest
// first-token target.
const pollInterval = 20 * time.Millisecond

// Request describes a request to Admit.
type Request struct {
	Placement hingeplace.Request
	// Caller, Arrived, FirstToken and Deadline are as in hingeadmit.Request.
	Caller     hingeids.CallerID
	Arrived    time.Time
	FirstToken time.Duration
	Deadline   time.Time
	// Resubmitted is set if the request was accepted before and must be placed
	// again.
	Resubmitted bool
}

// outcome is the result that a blocked Admit receives.
type outcome struct {
	decision hingeplace.Decision
	err      *hingeverdict.Error
}

// waiter is a request between Admit and Finish.
type waiter struct {
	request Request
	outcome chan outcome
	// bound receives the decode engine. BindDecode and RetryBind set it; it is nil
	// before, and again once the engine is bound.
	bound chan hingeids.ServerID
}

// Gate admits and places the requests for one model. It is safe for concurrent
// use.
type Gate struct {
	mu      sync.Mutex
	now     func() time.Time
	queue   *hingeadmit.Queue
	view    *hingeplace.View
	waiters map[hingeids.RequestID]*waiter
	done    chan struct{}
	// Recorder receives events; it must be set before first use and may be nil.
	Recorder *hingeevents.Recorder
}

// New returns a gate without engines.
func New(now func() time.Time, a hingeadmit.Config, p hingeplace.Config) *Gate {
	return &Gate{
		now:     now,
		queue:   hingeadmit.New(a),
		view:    hingeplace.NewView(p),
		waiters: make(map[hingeids.RequestID]*waiter),
		done:    make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run returns.
func (g *Gate) Done() <-chan struct{} {
	return g.done
}

// Run re-evaluates waiting requests periodically until the context is done.
// Rule 3. It returns nil.
func (g *Gate) Run(ctx context.Context) error {
	defer close(g.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.update(func(time.Time) {})
		}
	}
}

// update applies a change under the lock and then serves waiting requests.
// Rule 2.
func (g *Gate) update(change func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	change(now)
	g.advance(now)
}

// Admit blocks until the request is placed or refused. Its error is a
// *hingeverdict.Error with the verdict NotRun; a refusal also has a retry
// time. After an error the request has left the gate, and Finish need not be
// called.
func (g *Gate) Admit(ctx context.Context, r Request) (hingeplace.Decision, error) {
	w := &waiter{
		request: r,
		outcome: make(chan outcome, 1),
	}
	g.update(func(now time.Time) { g.enqueue(now, w) })
	select {
	case o := <-w.outcome:
		if o.err != nil {
			return hingeplace.Decision{}, o.err
		}
		return o.decision, nil
	case <-ctx.Done():
		g.Finish(r.Placement.ID, 0)
		return hingeplace.Decision{}, cancelled(ctx)
	}
}

func cancelled(ctx context.Context) error {
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeCancelled, 0, eris.Wrap(ctx.Err(), "waiting for an engine"))
}

func (g *Gate) enqueue(now time.Time, w *waiter) {
	r, f := g.request(now, &w.request)
	if w.request.Resubmitted {
		g.record(now, hingeevents.RequestPlacedAgain, &w.request, nil)
		g.queue.Requeue(now, r, f)
	} else if err := g.queue.Offer(now, r, f); err != nil {
		g.record(now, hingeevents.RequestRefused, &w.request, err)
		w.outcome <- outcome{
			err: err,
		}
		return
	}
	g.waiters[r.ID] = w
}

func (g *Gate) request(now time.Time, r *Request) (hingeadmit.Request, hingeadmit.Forecast) {
	p := &r.Placement
	if r.FirstToken > 0 {
		p.FirstTokenDeadline = r.Arrived.Add(r.FirstToken)
	}
	firstToken, tokenGap, slots := g.view.Forecast(now, p)
	forecast := hingeadmit.Forecast{
		FirstToken: firstToken,
		TokenGap:   tokenGap,
		Slots:      slots,
	}
	admission := hingeadmit.Request{
		ID:         p.ID,
		Caller:     r.Caller,
		Priority:   p.Priority,
		CanWait:    p.CanWait,
		Arrived:    r.Arrived,
		FirstToken: r.FirstToken,
		TokenGap:   p.TokenGap,
		Deadline:   r.Deadline,
		Work:       g.view.SlotCost(p),
		AnswerTime: g.view.SlotTime(p),
		JitterSeed: uint64(p.ID.Incarnation) ^ p.ID.Sequence,
	}
	return admission, forecast
}

// advance refuses requests that can no longer meet their targets, binds KV
// caches that are ready, and starts requests from the queue.
func (g *Gate) advance(now time.Time) {
	for _, expired := range g.queue.Expire(now) {
		w := g.waiters[expired.Request.ID]
		g.record(now, hingeevents.WaitGivenUp, &w.request, expired.Err)
		w.outcome <- outcome{
			err: expired.Err,
		}
		delete(g.waiters, expired.Request.ID)
	}
	for _, id := range g.view.ReadyRequests() {
		w := g.waiters[id]
		if w == nil || w.bound == nil {
			continue
		}
		if s, ok := g.view.Bind(now, id); ok {
			w.bound <- s
			w.bound = nil
		}
	}
	for g.startNext(now) {
		continue
	}
}

func (g *Gate) startNext(now time.Time) bool {
	var d hingeplace.Decision
	r, ok := g.queue.Next(now, func(r hingeadmit.Request) bool {
		d = g.view.Place(now, &g.waiters[r.ID].request.Placement)
		return d.Action == hingeplace.Start || d.Action == hingeplace.Local
	})
	if !ok {
		return false
	}
	w := g.waiters[r.ID]
	g.view.HandleStart(now, &w.request.Placement, d)
	w.outcome <- outcome{
		decision: d,
	}
	return true
}

// BindDecode reports that the KV cache of a request is ready and blocks until
// its decode engine is bound. found is the number of prompt tokens that the
// prefill engine had cached. Its error is a *hingeverdict.Error and means that
// ctx is done; the request remains in the gate until Finish.
func (g *Gate) BindDecode(ctx context.Context, id hingeids.RequestID, found hingeids.Tokens) (hingeids.ServerID, error) {
	bound := make(chan hingeids.ServerID, 1)
	g.update(func(now time.Time) {
		g.view.HandlePrefillDone(now, id, found)
		if w := g.waiters[id]; w != nil {
			w.bound = bound
		}
	})
	return waitBound(ctx, bound)
}

// RetryBind reports that the allocator of the decode engine refused the slot
// that BindDecode returned, and waits for another. Its error is as for
// BindDecode.
func (g *Gate) RetryBind(ctx context.Context, id hingeids.RequestID, s hingeids.ServerID) (hingeids.ServerID, error) {
	bound := make(chan hingeids.ServerID, 1)
	g.update(func(now time.Time) {
		g.Recorder.Record(now, hingeevents.BoundSlotRefused, hingeevents.Fields{
			Request: id,
			Server:  s,
		})
		g.view.HandleSlotRefusal(now, s)
		g.view.Unbind(now, id)
		if w := g.waiters[id]; w != nil {
			w.bound = bound
		}
	})
	return waitBound(ctx, bound)
}

// AlternativeEngine returns a second engine at which a request bound by
// BindDecode or RetryBind may wait for a slot.
func (g *Gate) AlternativeEngine(id hingeids.RequestID) (hingeids.ServerID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.AlternativeEngine(g.now(), id)
}

// Rebind reports that the slot was granted at another engine.
func (g *Gate) Rebind(id hingeids.RequestID, s hingeids.ServerID) {
	g.update(func(now time.Time) { g.view.Rebind(now, id, s) })
}

func waitBound(ctx context.Context, bound chan hingeids.ServerID) (hingeids.ServerID, error) {
	select {
	case s := <-bound:
		return s, nil
	case <-ctx.Done():
		return "", cancelled(ctx)
	}
}

// Finish reports that a request has finished with the given number of output
// tokens, or with 0 if it was cancelled, failed or evicted. It releases
// everything that the request held. To place it again, call Admit with
// Resubmitted set.
func (g *Gate) Finish(id hingeids.RequestID, output hingeids.Tokens) {
	g.update(func(now time.Time) {
		g.queue.Cancel(id)
		g.view.HandleCompletion(now, id, output)
		delete(g.waiters, id)
	})
}

// HandleTokenGap reports the token gap measured on an engine's open streams.
func (g *Gate) HandleTokenGap(s hingeids.ServerID, gap time.Duration) {
	g.update(func(now time.Time) {
		was := g.view.Slow(s)
		g.view.HandleTokenGap(now, s, gap)
		if is := g.view.Slow(s); is != was {
			n := hingeevents.EngineTakenBack
			if is {
				n = hingeevents.EngineSlow
			}
			g.Recorder.Record(now, n, hingeevents.Fields{
				Server:  s,
				Elapsed: gap,
			})
		}
	})
}

func (g *Gate) record(now time.Time, n hingeevents.Number, r *Request, err *hingeverdict.Error) {
	f := hingeevents.Fields{
		Request: r.Placement.ID,
		Caller:  r.Caller,
		Elapsed: now.Sub(r.Arrived),
	}
	if err != nil {
		f.Detail = err.Error()
	}
	g.Recorder.Record(now, n, f)
}

// HandleCacheEvent handles a cache event of an engine.
func (g *Gate) HandleCacheEvent(s hingeids.ServerID, b hingeplace.Block, stored bool) {
	g.update(func(time.Time) { g.view.HandleCacheEvent(s, b, stored) })
}

// HandleAnnouncement handles an announcement that was made lag ago.
func (g *Gate) HandleAnnouncement(a hingeannounce.Announcement, lag time.Duration) {
	g.update(func(now time.Time) { g.view.HandleAnnouncement(now, now.Add(-lag), a) })
}

// Configure changes the weights and the size of the KV cache per token.
func (g *Gate) Configure(w hingeplace.Weights, cacheBytes hingeids.Bytes) {
	g.update(func(time.Time) { g.view.Configure(w, cacheBytes) })
}

// RemoveEngine removes an engine that has left or failed.
func (g *Gate) RemoveEngine(s hingeids.ServerID) {
	g.update(func(time.Time) { g.view.RemoveEngine(s) })
}

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}
