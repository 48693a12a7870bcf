// Package hingeadmit decides which requests are accepted, in which order they are
// dequeued, and which are refused, for the engines of one model (or the replicas
// of one service). It has no clock, no sockets and no goroutines, and is not safe
// for concurrent use.
//
//  1. Work is measured as the time for which a request holds a decode slot, or, if
//     prefill is the scarcer resource, its part of the prefill engines in the same
//     unit. So the drain of a queue is a number of slots: the known slots at first,
//     and then the work that was actually dequeued while the queue was backlogged.
//  2. There is a level for each priority. The higher level goes first, except for
//     the minimum share: of all work dequeued while a lower level waits, that level
//     is credited MinShare, and goes first once its credit covers its next request.
//  3. Within a level, callers have equal shares, by virtual time: a caller whose
//     work dequeued so far is not ahead of the level's virtual time is eligible,
//     and the eligible caller whose next request is due first goes. Thus deadlines
//     order the requests of callers within their share, and a caller with a
//     thousand requests waits for its own.
//  4. A level's queue is bounded. A caller may hold at most as many entries as are
//     free, so that a single one gets half the queue and others always find
//     capacity. A request that was accepted is never displaced.
//  5. A request is refused on arrival if its predicted first token or token gap
//     misses its target. The wait is predicted from the work that goes before it
//     and the drain that remains after higher levels and after requests of its own
//     level with shorter targets, which arrive later but go before it. A
//     prediction must leave a margin.
//  6. A waiting request that can no longer meet its first-token target is refused
//     at that moment and not at its deadline, so that its caller can use the
//     remaining time. One that can wait is kept until its deadline, but goes behind
//     those that can still meet their targets.
//  7. A refusal states when to retry. The retry times of a level's refused requests
//     are scheduled one after the other at the rate at which the level drains, so
//     that callers return as capacity becomes free and not all at once.
package hingeadmit

import (
	"container/heap"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Queue holds the waiting requests for the engines of one model.
type Queue struct {
	config Config
	levels []*level
	items  map[hingeids.RequestID]*item
	// expiring orders all items by expiry.
	expiring itemHeap
	drain    drainRate
	slots    hingeids.Slots
}

// New returns an empty queue.
func New(c Config) *Queue {
	return &Queue{
		config: c,
		items:  make(map[hingeids.RequestID]*item),
		expiring: itemHeap{
			by: byExpiry,
		},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Offer adds a request to the queue, or returns the refusal to send to its
// caller at once. Every refusal has the verdict NotRun. Without refusals,
// under overload each request would wait until its target is missed.
func (q *Queue) Offer(now time.Time, r Request, f Forecast) *hingeverdict.Error {
	q.slots = f.Slots
	l := q.level(r.Priority)
	if f.Slots <= 0 {
		return refusal(hingeverdict.CodeNoServer, noServerRetryAfter)
	}
	q.drain.advance(now, len(q.items) > 0)
	if code := q.limitCode(l, r.Caller); code != 0 {
		return q.refuse(now, l, r, code, q.wait(now, l, r))
	}
	if r.TokenGap > 0 && f.TokenGap > r.TokenGap {
		return q.refuse(now, l, r, hingeverdict.CodeTargetOutOfReach, 0)
	}
	wait := q.wait(now, l, r)
	if late := wait + f.FirstToken - usableTarget(r.FirstToken); r.FirstToken > 0 && late > 0 {
		return q.refuse(now, l, r, hingeverdict.CodeTargetOutOfReach, late)
	}
	if late := now.Add(wait + f.FirstToken + answerAllowance(r, wait)).Sub(r.Deadline); late > 0 {
		return q.refuse(now, l, r, hingeverdict.CodeDeadline, late)
	}
	q.push(now, l, r, f)
	return nil
}

// answerAllowance is the time to allow for the answer after its first token:
// its duration on idle engines, but the request's whole cost, far more for a
// long prompt, while others wait. The margin covers the requests of other entry
// hosts, which this queue doesn't know: without it, work was accepted at twice the
// peak that three hosts together could not answer by its deadline
// (TestSeveralHostsAgainstOne).
func answerAllowance(r Request, wait time.Duration) time.Duration {
	if wait == 0 {
		return r.AnswerTime
	}
	return max(r.AnswerTime, r.Work)
}

// limitCode returns the code with which a request of a caller is refused
// because the queue or the caller's part of it is full, or 0. Rule 4.
func (q *Queue) limitCode(l *level, c hingeids.CallerID) hingeverdict.Code {
	free := q.config.Limit - l.count
	if free <= 0 {
		return hingeverdict.CodeQueueFull
	}
	if f := l.flows[c]; f != nil && len(f.items.list) >= free {
		return hingeverdict.CodeCallerShare
	}
	return 0
}

// wait is the predicted wait of a request: the work ahead of it divided by the
// drain available to it. Rule 5.
func (q *Queue) wait(now time.Time, l *level, r Request) time.Duration {
	if len(q.items) == 0 {
		return 0
	}
	ahead := l.workAhead(now, r)
	for _, h := range q.levels {
		if h.priority > l.priority {
			ahead += h.work
		}
	}
	wait := time.Duration(float64(ahead) / q.availableDrain(now, l, r.FirstToken))
	return max(wait, l.ownWait(now, r))
}

// usableTarget is the part of a target that a prediction may use. The margin
// covers what a prediction can't include: answers longer than the mean, a
// prefix that was not cached, a preempted prefill.
func usableTarget(target time.Duration) time.Duration {
	return target * 2 / 3
}

// availableDrain is the part of the drain, in slots, that remains for a
// level's requests with the given target.
func (q *Queue) availableDrain(now time.Time, l *level, target time.Duration) float64 {
	total := q.drain.slots(float64(q.slots))
	available := total
	for _, h := range q.levels {
		if h.priority > l.priority {
			available -= h.recentDrain(now, allTargets)
		} else if h.priority < l.priority && h.count > 0 {
			available -= q.config.MinShare * total
		}
	}
	available -= l.recentDrain(now, target)
	return max(available, q.config.MinShare*total, 0.01)
}

func (q *Queue) push(now time.Time, l *level, r Request, f Forecast) {
	it := &item{
		request: r,
		level:   l,
		due:     r.Deadline,
		expiry:  r.Deadline,
	}
	if r.FirstToken > 0 {
		it.due = r.Arrived.Add(r.FirstToken)
		it.expiry = r.Arrived.Add(r.FirstToken - r.FirstToken/10 - f.FirstToken)
	}
	q.items[r.ID] = it
	heap.Push(&q.expiring, it)
	l.push(now, it)
}

// Requeue returns a dequeued request to the queue because its KV cache was
// evicted. It isn't subject to the limits again, as it was accepted before.
func (q *Queue) Requeue(now time.Time, r Request, f Forecast) {
	l := q.level(r.Priority)
	q.push(now, l, r, f)
	// Refund the charge for the attempt that failed.
	if callerFlow := l.flows[r.Caller]; !callerFlow.eligible {
		l.lowerTag(callerFlow, callerFlow.tag-r.Work.Seconds())
	}
}

// lookahead is how many callers of a level Next tries: the best prefill engine
// of one request may be idle while that of another is busy. A small number
// keeps a pass short and the order nearly exact.
const lookahead = 8

// Next dequeues a request. It calls try with the first few of each level in
// turn until try returns true to accept one; try must not call the queue. A
// blocked level doesn't block lower ones: placement reserves slots for higher
// priorities itself.
func (q *Queue) Next(now time.Time, try func(Request) bool) (Request, bool) {
	q.drain.advance(now, len(q.items) > 0)
	owed := q.owedLevel()
	if owed != nil {
		if it := owed.firstAccepted(try); it != nil {
			owed.credit -= it.request.Work
			return q.dequeue(now, it), true
		}
	}
	for _, l := range q.levels {
		if l == owed || l.count == 0 {
			continue
		}
		if it := l.firstAccepted(try); it != nil {
			return q.dequeue(now, it), true
		}
	}
	return Request{}, false
}

// owedLevel returns the lowest level whose credit covers its next request, or
// nil. Rule 2.
func (q *Queue) owedLevel() *level {
	for i := len(q.levels) - 1; i > 0; i-- {
		l := q.levels[i]
		if l.count > 0 && l.credit >= l.head().request.Work {
			return l
		}
	}
	return nil
}

func (q *Queue) dequeue(now time.Time, it *item) Request {
	l := it.level
	l.charge(now, it)
	q.remove(it)
	work := it.request.Work
	q.drain.add(now, work)
	l.targetDrain(it.request.FirstToken).dequeued.add(now, work)
	for _, lower := range q.levels {
		if lower.priority < l.priority && lower.count > 0 {
			credit := lower.credit + time.Duration(q.config.MinShare*float64(work))
			lower.credit = min(credit, maxCredit)
		}
	}
	return it.request
}

// maxCredit bounds the credit of a level, so that one whose requests could not
// be placed for long doesn't go before all others afterwards.
const maxCredit = time.Minute

// Cancel removes a request whose caller has disconnected. It reports whether
// the request was waiting.
func (q *Queue) Cancel(id hingeids.RequestID) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.request.ID)
	heap.Remove(&q.expiring, it.expiryIndex)
	it.level.remove(it)
}

func (q *Queue) level(priority int) *level {
	at := len(q.levels)
	for i, l := range q.levels {
		if l.priority == priority {
			return l
		}
		if l.priority < priority {
			at = i
			break
		}
	}
	l := newLevel(priority)
	q.levels = append(q.levels, nil)
	copy(q.levels[at+1:], q.levels[at:])
	q.levels[at] = l
	return l
}

func refusal(c hingeverdict.Code, retryAfter time.Duration) *hingeverdict.Error {
	return hingeverdict.New(hingeverdict.NotRun, c, retryAfter, eris.New(reasons[c]))
}
