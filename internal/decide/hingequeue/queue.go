// Package hingequeue is the one queue of a plain service's requests before its replicas, whatever the number of
// hosts that take requests from callers. It has no clock, no sockets and no goroutines.
//
// The load it is made for: hundreds of hosts that each see a request a second, and a few replicas that together answer
// some hundred. A host that chooses by what it sees itself learns of a slow or full replica seconds too late, and knows
// nothing of what the others have just sent there. The replicas' own queues run full, and refuse after half of the time
// that a caller has; what they still answer is late.
//
//  1. A request is given a replica when that has room for it (hingebalance rule 6). Until then it waits here, and
//     not in a replica's queue: whichever replica is free first takes the one that is due first.
//  2. Requests that can still be answered in time go first, in the order of their priorities and then in that in which they are due. A late answer is
//     worth a part of one in time, so the others have what is left. Callers who were refused and come back are told by the
//     time that they have left (patience.go): what they wait for has been late since their first try.
//  3. A request that finds more work before it than can be done in its time is refused at once, and told when the
//     work will be less. One that can't be in time any more waits only if the replicas answer more than comes.
//  4. What was sent to a replica counts there until its end is told, or until several times the usual time has passed: the answer may
//     be lost and its caller still wait, or the host that sent it be gone, while the replica's slot is free.
package hingequeue

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
)

// CallID names one attempt of a request at a replica.
type CallID string

// Want is a request that asks for a replica.
type Want struct {
	ID   CallID
	Zone hingeids.Zone
	// Due is when its answer is late, zero if it can't be.
	Due      time.Time
	Deadline time.Time
	// Patience is how long its caller said that it would wait, zero if it said nothing.
	Patience time.Duration
	// Avoid are replicas that have failed it.
	Avoid []hingeids.ServerID
	// Priority ranks requests that can be answered in time; 0 goes first.
	Priority int
}

// Decision is a replica, or a refusal.
type Decision struct {
	ID     CallID
	Server hingeids.ServerID
	// Refused says that there is no replica; RetryAfter is when the work before it will be less.
	Refused    bool
	RetryAfter time.Duration
}

// End is how a request ended at a replica.
type End struct {
	ID      CallID               `cbor:"1,keyasint"`
	Server  hingeids.ServerID    `cbor:"2,keyasint"`
	Outcome hingebalance.Outcome `cbor:"3,keyasint"`
	Took    time.Duration        `cbor:"4,keyasint"`
	Zone    hingeids.Zone        `cbor:"5,keyasint,omitempty"`
}

const (
	// serveTimes is how many times the expected answer's time is kept free before a request is due: of answers whose times are
	// spread by half of their mean, one in thirty takes longer.
	serveTimes = 2
	// sparePart is the part of the replicas' rate that must be left beside what comes before late requests wait for it.
	sparePart = 0.05
	// shortestRetry and longestRetry bound what a refused request is told: a host's round trip to its caller, and
	// more than most bursts of plain requests last.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 2 * time.Second
	// endTimes is how many times the usual a request counts at its replica whose end isn't told (rule 4): one answer in a hundred takes
	// longer, and three in a hundred may be lost. Those that count while their slots are free leave the slots idle.
	endTimes = 4
	// sweepEvery is how often such requests are looked for.
	sweepEvery = 20 * time.Millisecond
	// leastEnd is the least of that time: a host with a fifth of a core may be busy for as long.
	leastEnd = 100 * time.Millisecond
	// startHandOver is taken before any end was told: two trips between zones, and a busy moment of a host.
	startHandOver = 4 * time.Millisecond
	// handOverWeight is the weight of a new reading of the hand-over: forty move it by two thirds.
	handOverWeight = 0.025
)

// call is a request at a replica.
type call struct {
	server hingeids.ServerID
	// began is when the replica was chosen, over when the request counts no more.
	began time.Time
	over  time.Time
}

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	balance  *hingebalance.Balance
	replicas []hingebalance.Replica
	// fresh are those that can still be in time, by priority and when they are due; late the others, by when they came.
	fresh []Want
	late  []Want
	calls map[CallID]call
	rate  arrivals
	// patiences are how long callers wait who come for the first time.
	patiences patiences
	// handOver is how long a choice and an end are on their way.
	handOver time.Duration
	// swept is when calls were last looked through.
	swept time.Time
}

// New makes an empty queue.
func New(seed uint64) *Queue {
	return &Queue{
		balance:  hingebalance.New(seed),
		calls:    make(map[CallID]call),
		handOver: startHandOver,
	}
}

// SetReplicas takes the replicas that may be used now.
func (q *Queue) SetReplicas(list []hingebalance.Replica) {
	if sameList(list, q.replicas) {
		return
	}
	q.replicas = list
	q.balance.Keep(list)
}

// sameList reports whether two lists are one. They are made anew at each change of the fleet, and only then.
func sameList(x, y []hingebalance.Replica) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// Offer takes a request. Step decides on it.
func (q *Queue) Offer(now time.Time, w Want) {
	q.rate.add(now)
	if w.Due.IsZero() {
		w.Due = w.Deadline
	}
	w.Due = w.Due.Add(-q.patiences.used(now, w.Due.Sub(now), w.Patience))
	at, _ := slices.BinarySearchFunc(q.fresh, w, func(x, w Want) int {
		return cmp.Or(cmp.Compare(x.Priority, w.Priority), x.Due.Compare(w.Due), -1)
	})
	q.fresh = slices.Insert(q.fresh, at, w)
}

// Cancel forgets a request that waits.
func (q *Queue) Cancel(id CallID) {
	is := func(w Want) bool {
		return w.ID == id
	}
	q.fresh = slices.DeleteFunc(q.fresh, is)
	q.late = slices.DeleteFunc(q.late, is)
}

// Withdraw gives back all that wait.
func (q *Queue) Withdraw() []CallID {
	var out []CallID
	for _, w := range slices.Concat(q.fresh, q.late) {
		out = append(out, w.ID)
	}
	q.fresh, q.late = nil, nil
	return out
}

// Placed gives the replica that a request has, if it has one.
func (q *Queue) Placed(id CallID) (hingeids.ServerID, bool) {
	c, there := q.calls[id]
	return c.server, there
}

// Waiting is how many wait.
func (q *Queue) Waiting() int {
	return len(q.fresh) + len(q.late)
}

// End takes how a request ended at its replica, wherever that was chosen.
func (q *Queue) End(now time.Time, e End) {
	if c, there := q.calls[e.ID]; there {
		delete(q.calls, e.ID)
		q.balance.Expire(c.server)
		if e.Outcome == hingebalance.Answered {
			way := max(now.Sub(c.began)-e.Took, 0)
			q.handOver += time.Duration(handOverWeight * float64(way-q.handOver))
			q.balance.SetHandOver(q.handOver)
		}
	}
	if e.Outcome != hingebalance.Unknown {
		q.balance.Learn(now, e.Server, e.Zone, e.Outcome, e.Took)
	}
}

// Step decides on what waits.
func (q *Queue) Step(now time.Time) []Decision {
	q.sweep(now)
	if q.Waiting() == 0 {
		return nil
	}
	took := q.balance.Took(q.replicas)
	q.age(now, took)
	var out []Decision
	q.fresh, out = q.grant(now, q.fresh, true, out)
	if len(q.fresh) == 0 {
		q.late, out = q.grant(now, q.late, false, out)
	}
	if q.Waiting() == 0 {
		return out
	}
	return q.refuse(now, took, out)
}

// age moves requests that can't be in time any more behind the others (rule 2).
func (q *Queue) age(now time.Time, took time.Duration) {
	kept := q.fresh[:0]
	for _, w := range q.fresh {
		if now.Add(took).After(w.Due) {
			q.late = append(q.late, w)
			continue
		}
		kept = append(kept, w)
	}
	q.fresh = kept
}

// grant gives replicas to requests in their order, and returns those that still wait.
func (q *Queue) grant(now time.Time, list []Want, inTime bool, out []Decision) ([]Want, []Decision) {
	kept := list[:0]
	for i, w := range list {
		ask := hingebalance.Ask{
			Zone:   w.Zone,
			Avoid:  w.Avoid,
			Within: w.Deadline.Sub(now),
		}
		if inTime {
			ask.Within = w.Due.Sub(now)
		}
		r, found := q.balance.Choose(now, q.replicas, ask)
		switch found {
		case hingebalance.Chosen:
			q.calls[w.ID] = call{
				server: r.Server,
				began:  now,
				over:   now.Add(max(endTimes*q.balance.TookAt(r.Server), leastEnd)),
			}
			out = append(out, Decision{
				ID:     w.ID,
				Server: r.Server,
			})
		case hingebalance.None:
			out = append(out, refusal(w, shortestRetry))
		case hingebalance.Busy:
			kept = append(kept, w)
			if len(w.Avoid) == 0 {
				// What is too full for this one is so for the rest, but for those that avoid some.
				return append(kept, list[i+1:]...), out
			}
		}
	}
	return kept, out
}

// refuse is rule 3.
func (q *Queue) refuse(now time.Time, took time.Duration, out []Decision) []Decision {
	rate := q.balance.Rate(now, q.replicas)
	spare := rate - q.rate.perSecond(now)
	kept := q.fresh[:0]
	for _, w := range q.fresh {
		if start := now.Add(after(len(kept)+1, rate)); start.Add(serveTimes * took).After(w.Due) {
			q.late = append(q.late, w)
			continue
		}
		kept = append(kept, w)
	}
	q.fresh = kept
	late := q.late[:0]
	for _, w := range q.late {
		wait := after(len(kept)+len(late)+1, spare)
		if spare < sparePart*rate || now.Add(wait+serveTimes*took).After(w.Deadline) {
			out = append(out, refusal(w, wait))
			continue
		}
		late = append(late, w)
	}
	q.late = late
	return out
}

// after is how long so many requests take at a rate.
func after(n int, rate float64) time.Duration {
	if rate <= 0 {
		return longestRetry
	}
	return min(time.Duration(float64(n)/rate*float64(time.Second)), longestRetry)
}

func refusal(w Want, wait time.Duration) Decision {
	return Decision{
		ID:         w.ID,
		Refused:    true,
		RetryAfter: max(wait, shortestRetry),
	}
}

// sweep is rule 4.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.swept) < sweepEvery {
		return
	}
	q.swept = now
	for id, c := range q.calls {
		if now.After(c.over) {
			delete(q.calls, id)
			q.balance.Expire(c.server)
		}
	}
}
