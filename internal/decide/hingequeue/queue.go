// Package hingequeue implements the central queue of a plain service's requests in front of its
// replicas, for any number of entry hosts. It has no clock, no sockets and no goroutines.
//
// It is meant for hundreds of hosts that receive about one request a second each, and a few
// replicas that together answer some hundred requests a second. A host that chooses a replica by
// its own observations notices a slow or full replica seconds too late, and knows nothing of the
// requests that other hosts have just sent there. The queues of the replicas then fill up, so that
// requests are refused after half of their callers' time or answered late.
//
//  1. A request gets a replica once one has capacity for it (hingebalance rule 6). Until then it
//     waits here and not in the queue of a replica: the first replica with capacity gets the most
//     urgent request.
//  2. Requests that can still be answered in time go first, by priority and then by soft deadline.
//     Late answers are worth a fraction of those in time, so late requests only get the remaining
//     capacity. A retry by a caller that was refused before is recognized by its shorter maximum
//     wait (maxwait.go); its soft deadline counts from the caller's first attempt.
//  3. A request is refused at once if the requests ahead of it take longer than its caller waits,
//     and the refusal says when to retry. A request that can no longer be answered in time waits
//     only if the replicas answer more requests than arrive.
//  4. A request counts against the limit of its replica until its completion is reported, or until
//     several times the expected latency has passed. The replica may be idle without a report,
//     because the answer was lost or the host that sent the request has failed.
package hingequeue

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// CallID identifies one attempt of a request at a replica.
type CallID string

// CallRequest is a request that needs a replica.
type CallRequest struct {
	ID   CallID
	Zone hingeids.Zone
	// SoftDeadline is the time after which the answer is late. Zero means Deadline.
	SoftDeadline time.Time
	Deadline     time.Time
	// MaxWait is the maximum wait that the caller announced, zero if it announced none.
	MaxWait time.Duration
	// Avoid lists replicas that have already failed the request.
	Avoid []hingeids.ServerID
	// Priority orders requests that can be answered in time; 0 is the highest.
	Priority int
}

// Decision assigns a replica to a request or refuses it.
type Decision struct {
	ID     CallID
	Server hingeids.ServerID
	// Refused means that no replica was assigned; RetryAfter is when the queue is expected to be
	// shorter.
	Refused    bool
	RetryAfter time.Duration
}

// Completion reports the completion of a request at a replica.
type Completion struct {
	ID      CallID               `cbor:"1,keyasint"`
	Server  hingeids.ServerID    `cbor:"2,keyasint"`
	Outcome hingebalance.Outcome `cbor:"3,keyasint"`
	Elapsed time.Duration        `cbor:"4,keyasint"`
	Zone    hingeids.Zone        `cbor:"5,keyasint,omitempty"`
	// Notice is what the replica stated in its answer.
	Notice hingenotice.Notice `cbor:"6,keyasint,omitzero"`
}

const (
	// latencyMargin is the multiple of the expected latency that must remain until the soft
	// deadline of a request when it starts. Latencies are spread by half of their mean, so one
	// answer in thirty takes longer.
	latencyMargin = 2
	// spareShare is the share of the replicas' answer rate that must exceed the arrival rate for
	// late requests to wait.
	spareShare = 0.05
	// minRetryAfter and maxRetryAfter bound the delay returned with a refusal: a host's round trip
	// to its caller, and the length of most bursts.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// completionTimeoutFactor is the multiple of the expected latency after which a request without
	// a reported completion no longer counts (rule 4). One answer in a hundred takes longer. A
	// higher value would leave the slots of lost requests idle for longer.
	completionTimeoutFactor = 4
	sweepInterval           = 20 * time.Millisecond
	// minCompletionTimeout is the minimum of that timeout, since a host with a small share of a
	// core may delay its reports.
	minCompletionTimeout = 100 * time.Millisecond
	// initialTurnaround is used until a completion is reported: two trips between zones and a short
	// delay at a busy host.
	initialTurnaround = 4 * time.Millisecond
	// turnaroundWeight is the weight of a new sample in the moving average of the turnaround. Forty
	// samples move it by two thirds.
	turnaroundWeight = 0.025
)

type call struct {
	server hingeids.ServerID
	// placedAt is when the replica was chosen; from expiresAt on the request no longer counts at
	// it.
	placedAt  time.Time
	expiresAt time.Time
}

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	balancer *hingebalance.Balancer
	replicas []hingebalance.Replica
	// onTime holds requests that can still be answered in time, by priority and soft deadline; late
	// the others, in the order in which they became late.
	onTime   []CallRequest
	late     []CallRequest
	calls    map[CallID]call
	arrivals arrivalRate
	maxWaits maxWaits
	// turnaround is the average time that decisions and completion reports are in transit, per
	// request.
	turnaround time.Duration
	// lastSweep is when calls was last searched for expired requests.
	lastSweep time.Time
}

// New returns an empty queue.
func New(seed uint64) *Queue {
	return &Queue{
		balancer:   hingebalance.New(seed),
		calls:      make(map[CallID]call),
		turnaround: initialTurnaround,
	}
}

// SetReplicas sets the replicas that may be used. The list must not be modified afterwards.
func (q *Queue) SetReplicas(list []hingebalance.Replica) {
	if hingebalance.SameList(list, q.replicas) {
		return
	}
	q.replicas = list
	q.balancer.Retain(list)
}

// Enqueue adds a request to the queue. Step decides on it.
func (q *Queue) Enqueue(now time.Time, r CallRequest) {
	q.arrivals.add(now)
	if r.SoftDeadline.IsZero() {
		r.SoftDeadline = r.Deadline
	}
	r.SoftDeadline = r.SoftDeadline.Add(-q.maxWaits.elapsed(now, r.SoftDeadline.Sub(now), r.MaxWait))
	at, _ := slices.BinarySearchFunc(q.onTime, r, func(x, r CallRequest) int {
		return cmp.Or(cmp.Compare(x.Priority, r.Priority), x.SoftDeadline.Compare(r.SoftDeadline), -1)
	})
	q.onTime = slices.Insert(q.onTime, at, r)
}

// Cancel removes a request from the queue.
func (q *Queue) Cancel(id CallID) {
	matches := func(r CallRequest) bool {
		return r.ID == id
	}
	q.onTime = slices.DeleteFunc(q.onTime, matches)
	q.late = slices.DeleteFunc(q.late, matches)
}

// RemoveAll empties the queue and returns the ids of the removed requests.
func (q *Queue) RemoveAll() []CallID {
	var out []CallID
	for _, r := range slices.Concat(q.onTime, q.late) {
		out = append(out, r.ID)
	}
	q.onTime, q.late = nil, nil
	return out
}

// AssignedReplica returns the replica of a request, if it has one.
func (q *Queue) AssignedReplica(id CallID) (hingeids.ServerID, bool) {
	c, ok := q.calls[id]
	return c.server, ok
}

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int {
	return len(q.onTime) + len(q.late)
}

// RecordCompletion records the completion of a request, also of one whose replica another queue has
// chosen.
func (q *Queue) RecordCompletion(now time.Time, completion Completion) {
	if c, ok := q.calls[completion.ID]; ok {
		delete(q.calls, completion.ID)
		q.balancer.Release(c.server)
		if completion.Outcome == hingebalance.Answered {
			sample := max(now.Sub(c.placedAt)-completion.Elapsed, 0)
			q.turnaround += time.Duration(turnaroundWeight * float64(sample-q.turnaround))
			q.balancer.SetTurnaround(q.turnaround)
		}
	}
	if n := completion.Notice; n != (hingenotice.Notice{}) || answered(completion.Outcome) {
		sentAt := now.Add(-completion.Elapsed)
		if completion.Outcome == hingebalance.Unknown {
			// The request may not have been sent, and the notice be an old one.
			sentAt = time.Time{}
		}
		q.balancer.RecordNotice(now, sentAt, completion.Server, n)
	}
	if completion.Outcome != hingebalance.Unknown {
		q.balancer.RecordOutcome(now, completion.Server, completion.Zone, completion.Outcome, completion.Elapsed)
	}
}

// answered reports whether an outcome shows that the replica has answered. Of others it isn't known.
func answered(o hingebalance.Outcome) bool {
	return o == hingebalance.Answered || o == hingebalance.Full || o == hingebalance.HostRefused
}

// RecordNotice records what a replica stated in an answer, as another host reports it.
func (q *Queue) RecordNotice(now time.Time, id hingeids.ServerID, n hingenotice.Notice) {
	q.balancer.RecordNotice(now, time.Time{}, id, n)
}

// SetPart sets the part of the replicas' rate limits that may be used.
func (q *Queue) SetPart(p hingenotice.Part) {
	q.balancer.SetPart(p)
}

// Step assigns replicas to waiting requests, and refuses those that would wait too long.
func (q *Queue) Step(now time.Time) []Decision {
	q.sweep(now)
	if q.Waiting() == 0 {
		return nil
	}
	latency := q.balancer.MinLatency(now, q.replicas)
	q.demoteLate(now, latency)
	var out []Decision
	q.onTime, out = q.place(now, q.onTime, true, out)
	if len(q.onTime) == 0 {
		q.late, out = q.place(now, q.late, false, out)
	}
	if q.Waiting() == 0 {
		return out
	}
	return q.refuse(now, latency, out)
}

// demoteLate moves requests that can no longer be answered in time to the late ones (rule 2).
func (q *Queue) demoteLate(now time.Time, latency time.Duration) {
	kept := q.onTime[:0]
	for _, r := range q.onTime {
		if now.Add(latency).After(r.SoftDeadline) {
			q.late = append(q.late, r)
			continue
		}
		kept = append(kept, r)
	}
	q.onTime = kept
}

// place assigns replicas to requests in their order, appends the decisions to out, and returns the
// requests that still wait.
func (q *Queue) place(now time.Time, list []CallRequest, inTime bool, out []Decision) ([]CallRequest, []Decision) {
	kept := list[:0]
	for i, req := range list {
		constraints := hingebalance.Constraints{
			Zone:       req.Zone,
			Avoid:      req.Avoid,
			MaxLatency: req.Deadline.Sub(now),
		}
		if inTime {
			constraints.MaxLatency = req.SoftDeadline.Sub(now)
		}
		r, found := q.balancer.Choose(now, q.replicas, constraints)
		switch found {
		case hingebalance.Chosen:
			q.calls[req.ID] = call{
				server:    r.Server,
				placedAt:  now,
				expiresAt: now.Add(max(completionTimeoutFactor*q.balancer.Latency(r.Server), minCompletionTimeout)),
			}
			out = append(out, Decision{
				ID:     req.ID,
				Server: r.Server,
			})
		case hingebalance.NoReplica:
			out = append(out, refusal(req, minRetryAfter))
		case hingebalance.Busy:
			kept = append(kept, req)
			if len(req.Avoid) == 0 {
				// This request could use any replica, so the rest of the list finds no capacity
				// either.
				return append(kept, list[i+1:]...), out
			}
		}
	}
	return kept, out
}

// refuse implements rule 3.
func (q *Queue) refuse(now time.Time, latency time.Duration, out []Decision) []Decision {
	rate := q.balancer.Rate(now, q.replicas)
	spare := rate - q.arrivals.perSecond(now)
	kept := q.onTime[:0]
	for _, r := range q.onTime {
		if start := now.Add(drainTime(len(kept)+1, rate)); start.Add(latencyMargin * latency).After(r.SoftDeadline) {
			q.late = append(q.late, r)
			continue
		}
		kept = append(kept, r)
	}
	q.onTime = kept
	late := q.late[:0]
	for _, r := range q.late {
		wait := drainTime(len(kept)+len(late)+1, spare)
		if spare < spareShare*rate || now.Add(wait+latencyMargin*latency).After(r.Deadline) {
			out = append(out, refusal(r, wait))
			continue
		}
		late = append(late, r)
	}
	q.late = late
	return out
}

// drainTime returns how long it takes to answer n requests at a rate per second, at most maxRetryAfter
// or the time for one.
func drainTime(n int, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	// The next request of replicas with low rate limits may be due only after maxRetryAfter.
	most := max(maxRetryAfter.Seconds(), 1/rate)
	return time.Duration(min(float64(n)/rate, most) * float64(time.Second))
}

func refusal(r CallRequest, wait time.Duration) Decision {
	return Decision{
		ID:         r.ID,
		Refused:    true,
		RetryAfter: max(wait, minRetryAfter),
	}
}

// sweep implements rule 4.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < sweepInterval {
		return
	}
	q.lastSweep = now
	for id, c := range q.calls {
		if now.After(c.expiresAt) {
			delete(q.calls, id)
			q.balancer.Release(c.server)
		}
	}
}
