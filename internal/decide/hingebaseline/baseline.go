// Package hingebaseline implements simple scheduling policies with which package
// hingepolicy is compared. The router doesn't use them.
//
//  1. All baselines share one router with a bounded FIFO queue. A request is
//     dequeued while fewer requests are in flight than there are decode slots.
//  2. A request that finds the queue full is refused, and so is one whose
//     first-token target has passed when it is dequeued. Without these refusals a
//     baseline would miss all targets above its peak load, and the comparison
//     would be unfair.
//  3. The baselines differ in the choice of the two engines: round robin, least
//     reported load, two random choices, or hash of the prefix.
//  4. All but round robin pass the priority of a request on to the engines.
//  5. A request whose KV cache was evicted is prefilled again.
//  6. A fifth, stronger baseline adds a priority queue to prefix affinity. It
//     shows how much of a difference is due to priorities alone.
package hingebaseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
)

// queueLimit is about three seconds of work for nine engines.
const queueLimit = 100

const retryAfter = time.Second

// Router is a baseline policy: the queue of rule 1 with a choice of engines. It
// implements hingemodel.Policy and isn't safe for concurrent use.
type Router struct {
	prefills, decodes int
	slots             int
	choose            chooser
	passPriority      bool
	queueByPriority   bool
	queue             []*hingemodel.Request
	inFlight          map[*hingemodel.Request]bool
	reports           []hingemodel.LoadReport
	lastTurn          int
	rng               *rand.Rand
}

// chooser selects one of the n engines that start at first.
type chooser func(r *Router, q *hingemodel.Request, first, n int) hingemodel.EngineID

func newRouter(w hingemodel.Workload, c hingemodel.Cluster, seed uint64, choose chooser) *Router {
	return &Router{
		prefills:     w.Prefill,
		decodes:      w.Decode,
		slots:        w.Decode * c.Slots,
		choose:       choose,
		passPriority: true,
		inFlight:     make(map[*hingemodel.Request]bool),
		reports:      make([]hingemodel.LoadReport, w.Prefill+w.Decode),
		rng:          rand.New(rand.NewPCG(seed, 3)),
	}
}

// RoundRobin returns a baseline that uses engines in turn and ignores priorities.
func RoundRobin(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) *Router {
	r := newRouter(w, c, seed, roundRobin)
	r.passPriority = false
	return r
}

// LeastLoad returns a baseline that uses the engine with the least load in its
// latest report.
func LeastLoad(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) *Router {
	return newRouter(w, c, seed, leastLoad)
}

// TwoChoices returns a baseline that samples two engines and uses the one with
// the lower reported load.
func TwoChoices(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) *Router {
	return newRouter(w, c, seed, twoChoices)
}

// PrefixAffinity returns a baseline that selects the prefill engine by the hash of
// the prefix, and the decode engine as TwoChoices does.
func PrefixAffinity(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) *Router {
	return newRouter(w, c, seed, func(r *Router, q *hingemodel.Request, first, n int) hingemodel.EngineID {
		if first > 0 {
			return twoChoices(r, q, first, n)
		}
		return hingemodel.EngineID(uint32(q.Prefix) * 2654435761 >> 8 % uint32(n))
	})
}

// PriorityAffinity returns a PrefixAffinity baseline with a priority queue. Rule 6.
func PriorityAffinity(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) *Router {
	r := PrefixAffinity(w, c, seed)
	r.queueByPriority = true
	return r
}

func roundRobin(r *Router, _ *hingemodel.Request, first, n int) hingemodel.EngineID {
	r.lastTurn++
	return hingemodel.EngineID(first + r.lastTurn%n)
}

func leastLoad(r *Router, _ *hingemodel.Request, first, n int) hingemodel.EngineID {
	best := hingemodel.EngineID(first + r.rng.IntN(n))
	for i := first; i < first+n; i++ {
		if e := hingemodel.EngineID(i); r.loadOf(e) < r.loadOf(best) {
			best = e
		}
	}
	return best
}

func twoChoices(r *Router, _ *hingemodel.Request, first, n int) hingemodel.EngineID {
	a := hingemodel.EngineID(first + r.rng.IntN(n))
	b := hingemodel.EngineID(first + r.rng.IntN(n))
	if r.loadOf(b) < r.loadOf(a) {
		return b
	}
	return a
}

// loadOf returns the reported load of an engine: requests plus queued tokens.
func (r *Router) loadOf(e hingemodel.EngineID) int {
	l := r.reports[e]
	return l.Running + l.Queued + int(l.QueuedTokens)
}

// HandleArrival queues the request, or refuses it if the queue is full. Rule 2.
func (r *Router) HandleArrival(now time.Time, q *hingemodel.Request, actions *hingemodel.Actions) {
	if len(r.queue) >= queueLimit {
		actions.Refuse(q, retryAfter)
		return
	}
	r.enqueue(q)
	r.dispatch(now, actions)
}

// HandleEvent continues, requeues or removes a request. Rule 5.
func (r *Router) HandleEvent(now time.Time, e hingemodel.Event, actions *hingemodel.Actions) {
	q := e.Request
	switch e.Kind {
	case hingemodel.PrefillDone:
		actions.Transfer(q, r.choose(r, q, r.prefills, r.decodes), r.priority(q))
	case hingemodel.Evicted:
		actions.Prefill(q, r.choose(r, q, 0, r.prefills), r.priority(q))
	case hingemodel.Finished, hingemodel.Cancelled:
		delete(r.inFlight, q)
		r.dequeue(q)
		r.dispatch(now, actions)
	}
}

// HandleReport stores the latest report of an engine.
func (r *Router) HandleReport(now time.Time, l hingemodel.LoadReport, actions *hingemodel.Actions) {
	r.reports[l.Engine] = l
	r.dispatch(now, actions)
}

// Tick dispatches queued requests.
func (r *Router) Tick(now time.Time, actions *hingemodel.Actions) {
	r.dispatch(now, actions)
}

// dispatch starts queued requests while there are decode slots for them. Rules 1
// and 2.
func (r *Router) dispatch(now time.Time, actions *hingemodel.Actions) {
	for len(r.queue) > 0 && len(r.inFlight) < r.slots {
		q := r.queue[0]
		r.queue = r.queue[1:]
		if now.Sub(q.Arrived) > q.Class.FirstToken {
			actions.Refuse(q, retryAfter)
			continue
		}
		r.inFlight[q] = true
		actions.Prefill(q, r.choose(r, q, 0, r.prefills), r.priority(q))
	}
}

func (r *Router) enqueue(q *hingemodel.Request) {
	i := len(r.queue)
	for r.queueByPriority && i > 0 && r.queue[i-1].Class.Priority < q.Class.Priority {
		i--
	}
	r.queue = slices.Insert(r.queue, i, q)
}

func (r *Router) dequeue(q *hingemodel.Request) {
	for i, x := range r.queue {
		if x == q {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			return
		}
	}
}

func (r *Router) priority(q *hingemodel.Request) int {
	if !r.passPriority {
		return 0
	}
	return q.Class.Priority
}
