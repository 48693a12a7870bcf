// Package hingebalance chooses the replica of a plain service for each request. It has no clock, no
// sockets and no goroutines.
//
// It is meant for short requests with response targets of about a tenth of a second, sent to a few
// replicas. One of these may be slow, fail some of its requests, or be unreachable although its
// heartbeats report it healthy.
//
//  1. A request goes to the replica with the lowest predicted response time: the moving average of
//     its latency, times the requests in flight per slot. A replica that becomes slow loses new
//     work within a few answers; one that stops answering loses it before any request fails.
//  2. A replica of the sending host's zone is preferred while it is about as good: a round trip to
//     another zone takes two milliseconds.
//  3. A failure rate adds to the predicted response time in proportion, as if each failure took as
//     long as it delays its caller. Such a replica still gets the requests that the others could
//     not answer in time. A replica that fails most requests is ejected for a while and then probed
//     with one request at a time.
//  4. If all replicas are ejected, the one whose ejection ends first is chosen, because a refusal
//     would certainly fail the request. An unreachable replica, however, is only tried after its
//     ejection ends, since each attempt lasts for a connect timeout. Reachability is tracked per
//     zone of the sending host, because a network partition usually affects only some zones.
//  5. A replica that was not used for some time gets a request now and then, so that its recovery
//     is noticed. At most one request in ten is such a probe while other replicas have capacity:
//     among hundreds of replicas most go unused for that long, and their probes would take most
//     requests away from the best replicas.
//  6. A replica gets no more requests in flight than it has slots, plus as many as keep the slots
//     busy while the next requests are in transit (limit.go). More would wait in the replica's own
//     queue, where they are indistinguishable from lost requests.
//  7. A replica that names a rate limit in its answers gets no request before the limit allows it, and
//     one that states that it leaves gets none (hingenotice). That is no failure: neither is ejected
//     nor probed, and rule 4 doesn't apply to them. Requests wait for a limited replica as for one at
//     its limit of requests in flight.
//  8. A replica that refuses a request and wants none of that host for a while is listed in the
//     Constraints.Avoid of the host's requests. Other hosts go on using it. Only if it refuses several
//     hosts in a row and answers none, all avoid it for a time that doubles with each further one, or
//     hundreds of hosts would find out one by one.
//  9. A decision evaluates the cheapest replicas only, in the order of an index (index.go), so that
//     its cost doesn't grow with the replicas.
package hingebalance

import (
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// Replica is a replica that currently accepts requests.
type Replica struct {
	Server  hingeids.ServerID
	Address string
	Zone    hingeids.Zone
	// Slots is the number of requests that the replica processes concurrently, zero if unknown.
	Slots hingeids.Slots
	// MaxConnections is the maximum number of connections to the replica, zero for no limit.
	MaxConnections int
}

// SameList reports whether two lists share their memory. Each change of the replicas makes a new list.
func SameList(x, y []Replica) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// Constraints holds the constraints of a request on the choice of its replica.
type Constraints struct {
	// Zone is the availability zone of the host that sends the request.
	Zone hingeids.Zone
	// Avoid lists replicas that have already failed the request.
	Avoid []hingeids.ServerID
	// MaxLatency is the time left to answer the request. A replica with a higher expected latency
	// is chosen only as a probe (rule 5). Zero means no limit.
	MaxLatency time.Duration
}

// exceeds reports whether a latency is higher than the request allows.
func (c Constraints) exceeds(latency time.Duration) bool {
	return c.MaxLatency > 0 && latency > c.MaxLatency
}

// Outcome is the result of a request at a replica.
type Outcome uint8

// Answered means that the replica responded, with any status; Full that it refused for lack of
// capacity; HostRefused that it refused and wants no requests of this host for a while; Failed that
// the response was missing or incomplete; ConnectFailed that no connection was established; Replaced that another server has the address; Unknown that the outcome says
// nothing about the replica, for example because the caller disconnected.
const (
	Answered Outcome = iota
	Full
	Failed
	ConnectFailed
	Replaced
	Unknown
	HostRefused
)

// Result is the result of Choose.
type Result uint8

// Chosen means that a replica was chosen; Busy that all eligible replicas are at their limit or too
// slow; NoReplica that no replica is eligible.
const (
	Chosen Result = iota
	Busy
	NoReplica
)

const (
	// initialLatency is the expected latency of a replica before its first answer.
	initialLatency = 25 * time.Millisecond
	// latencyWeight is the weight of a new sample: ten answers move the average by two thirds.
	latencyWeight = 0.1
	failureWeight = 0.1
	// toleratedFailureRate is the failure rate that adds no cost, so that a single failure changes
	// nothing.
	toleratedFailureRate = 0.1
	// ejectionThreshold is the failure rate above which a replica is ejected. Below it, the
	// requests that the replica still answers outweigh those it fails.
	ejectionThreshold = 0.6
	// failureCost is the latency that a failure costs its caller, by a retry or a missing answer. A
	// replica that fails 0.3 of its requests is used once the others are 70 ms slower.
	failureCost = 350 * time.Millisecond
	// decayTime is the time constant with which the failure rate decays while no outcomes arrive.
	decayTime = time.Second
	// returnFailureRate is the failure rate assigned to a replica at its ejection: after its
	// return, two or three consecutive failures eject it again.
	returnFailureRate = 0.45
	// otherZoneCost is the latency added to replicas of other zones (rule 2).
	otherZoneCost = 3 * time.Millisecond
	// occupancyCost is the relative latency added to a fully occupied replica, since some slow down
	// when nearly full. With answers of 30 ms, a replica of another zone is chosen once the own zone's is
	// some two fifths fuller.
	occupancyCost = 0.25
	minEjection   = 700 * time.Millisecond
	maxEjection   = 6 * time.Second
	// refusalPause is how long a replica is avoided after it refused a request for lack of
	// capacity.
	refusalPause = 60 * time.Millisecond
	// maxHostRefusals is the number of consecutive refused hosts after which other hosts avoid the
	// replica too, and maxHostRefusalPause the longest time for which they do (rule 8).
	maxHostRefusals     = 3
	maxHostRefusalPause = time.Second
	// probeAfter is how long a replica may go unused before it gets a probe (rule 5).
	probeAfter = 3 * time.Second
	// requestsPerProbe limits probes to a share of the requests.
	requestsPerProbe = 10
	// connectFailureLimit is how many consecutive connection failures make a replica unreachable: a
	// single one may be a lost packet.
	connectFailureLimit = 2
)

// Balancer chooses among the replicas of one service. It is not safe for concurrent use.
type Balancer struct {
	random *rand.Rand
	states map[hingeids.ServerID]*state
	// listed is the list of the last call, and listedStates has the states of its replicas.
	listed       []Replica
	listedStates []*state
	index        index
	// zones are those from which requests have been sent.
	zones        map[hingeids.Zone]bool
	restrictions hingenotice.Restrictions
	// turnaround is the idle time of a slot between two requests (rule 6).
	turnaround time.Duration
	// rate is the sum of the rates of all replicas at ratedAt.
	rate    float64
	ratedAt time.Time
	// sinceProbe is the number of requests since the last probe.
	sinceProbe int
	// evaluations counts the evaluations of a replica for a request.
	evaluations int
}

// New returns a Balancer without observations.
func New(seed uint64) *Balancer {
	return &Balancer{
		random:     rand.New(rand.NewPCG(seed, seed+1)),
		states:     make(map[hingeids.ServerID]*state),
		index:      newIndex(),
		zones:      make(map[hingeids.Zone]bool),
		sinceProbe: requestsPerProbe,
	}
}

func (b *Balancer) state(id hingeids.ServerID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{
			latency:     initialLatency,
			zones:       make(map[hingeids.Zone]*reachability),
			restriction: b.restrictions.Get(id),
		}
		b.states[id] = s
	}
	return s
}

// use puts the replicas of a list into the index. Callers pass the same list until the replicas
// change.
func (b *Balancer) use(list []Replica) {
	if SameList(list, b.listed) {
		return
	}
	for _, s := range b.listedStates {
		s.listed = false
	}
	before := b.listedStates
	b.listed = list
	b.ratedAt = time.Time{}
	b.listedStates = make([]*state, 0, len(list))
	for _, r := range list {
		s := b.state(r.Server)
		if s.replica != r {
			s.replica = r
			b.index.markChanged(s)
		}
		if !s.position.indexed {
			b.index.markChanged(s)
		}
		s.listed = true
		b.listedStates = append(b.listedStates, s)
	}
	for _, s := range before {
		if !s.listed {
			b.index.remove(s)
		}
	}
}

// Choose picks a replica for a request. For each chosen replica, the caller must call either Done
// or Release once.
func (b *Balancer) Choose(now time.Time, list []Replica, constraints Constraints) (Replica, Result) {
	b.zones[constraints.Zone] = true
	b.use(list)
	b.updateIndex(now)
	s, probe := b.choose(now, constraints)
	if s == nil {
		if b.anyEligible(now, constraints) {
			return Replica{}, Busy
		}
		return Replica{}, NoReplica
	}
	b.sinceProbe++
	if probe {
		b.sinceProbe = 0
	}
	s.recordSend(now)
	b.index.markChanged(s)
	return s.replica, Chosen
}

// choose returns the replica for a request, nil if there is none, and whether it is a probe.
func (b *Balancer) choose(now time.Time, constraints Constraints) (s *state, probe bool) {
	if b.sinceProbe >= requestsPerProbe {
		if s := b.dueProbe(now, constraints); s != nil {
			return s, true
		}
	}
	best, lastResort := b.cheapest(now, constraints)
	if best != nil {
		return best, false
	}
	if s := b.dueProbe(now, constraints); s != nil {
		return s, true
	}
	if lastResort != nil {
		return lastResort, false
	}
	return b.soonestReturning(now, constraints), false
}

// dueProbe returns the replica that has gone unused for longest if it needs a probe (rule 5).
func (b *Balancer) dueProbe(now time.Time, constraints Constraints) *state {
	var found *state
	b.index.resting.Scan(func(e entry) bool {
		if !e.state.needsProbe(now) {
			return false
		}
		if b.mayUse(now, e.state, constraints) && !now.Before(e.state.pausedUntil()) {
			found = e.state
		}
		return found == nil
	})
	return found
}

// cheapest returns the replica with the lowest cost for a request, nil if there is none. If the only
// ones with capacity are being probed after an ejection, it returns the one whose ejection ended
// first as lastResort (rule 4).
func (b *Balancer) cheapest(now time.Time, constraints Constraints) (best, lastResort *state) {
	var least candidate
	b.index.fromZone(constraints.Zone, func(extra time.Duration, t *tree) {
		t.Scan(func(e entry) bool {
			c := candidate{
				cost: time.Duration(e.key) + extra,
				salt: e.salt,
			}
			if best != nil && !c.before(least) {
				// The key is a lower bound of the cost, and so are those that follow.
				return false
			}
			s := e.state
			if !b.mayUse(now, s, constraints) || constraints.exceeds(s.expectedLatency(now)) {
				return true
			}
			if s.ejected.duration > 0 && s.open > 0 {
				if lastResort == nil || s.pausedUntil().Before(lastResort.pausedUntil()) {
					lastResort = s
				}
				return true
			}
			c.cost = s.cost(now) + extra
			if best == nil || c.before(least) {
				best, least = s, c
			}
			return true
		})
	})
	return best, lastResort
}

// candidate orders replicas by their cost for a request. Ties are broken at random, or else all
// hosts would choose the same replica.
type candidate struct {
	cost time.Duration
	salt uint64
}

func (c candidate) before(d candidate) bool {
	if c.cost != d.cost {
		return c.cost < d.cost
	}
	return c.salt < d.salt
}

// soonestReturning returns the ejected replica whose ejection ends first (rule 4).
func (b *Balancer) soonestReturning(now time.Time, constraints Constraints) *state {
	var found *state
	b.index.paused.Scan(func(e entry) bool {
		s := e.state
		if b.mayUse(now, s, constraints) && (!constraints.exceeds(s.expectedLatency(now)) || s.needsProbe(now)) {
			found = s
		}
		return found == nil
	})
	return found
}

// mayUse reports whether a replica that isn't at its limit may get a request of a zone.
func (b *Balancer) mayUse(now time.Time, s *state, constraints Constraints) bool {
	b.evaluations++
	if s.held(now) {
		// A turn that was not used has passed.
		b.index.markChanged(s)
		return false
	}
	fromZone := s.reachedFrom(constraints.Zone)
	return s.eligible(now, constraints) && (fromZone.ejected.duration == 0 || s.open == 0)
}

// anyEligible reports whether a request could be sent to a replica if that had capacity.
func (b *Balancer) anyEligible(now time.Time, constraints Constraints) bool {
	found := false
	b.index.latencies.Scan(func(e entry) bool {
		found = e.state.eligible(now, constraints)
		return !found
	})
	return found
}

// Release releases the place of a request at a replica without an outcome.
func (b *Balancer) Release(id hingeids.ServerID) {
	s := b.state(id)
	s.open = max(s.open-1, 0)
	b.index.markChanged(s)
}

// Done releases the place of a request and records its outcome, seen from the given zone, and how
// long it took.
func (b *Balancer) Done(now time.Time, id hingeids.ServerID, zone hingeids.Zone, o Outcome, elapsed time.Duration) {
	b.Release(id)
	b.RecordOutcome(now, id, zone, o, elapsed)
}

// RecordOutcome records the outcome of a request whose replica was not chosen by this Balancer.
func (b *Balancer) RecordOutcome(now time.Time, id hingeids.ServerID, zone hingeids.Zone, o Outcome, elapsed time.Duration) {
	s := b.state(id)
	b.index.markChanged(s)
	if o != ConnectFailed && o != Unknown {
		s.recordResponse(now)
		fromZone := s.reachability(zone)
		fromZone.connectFailures = 0
		fromZone.ejected.duration = 0
	}
	switch o {
	case Answered:
		s.recordAnswer(now, elapsed)
	case Full:
		s.refusedUntil = hingeclock.Later(s.refusedUntil, now.Add(refusalPause))
		s.recordRefusal()
	case HostRefused:
		s.recordHostRefusal(now)
	case Replaced:
		s.replaced = true
	case ConnectFailed:
		fromZone := s.reachability(zone)
		fromZone.connectFailures++
		if fromZone.unreachable() {
			fromZone.ejected.begin(now)
		}
	case Failed:
		s.failureRate += failureWeight * (1 - s.failureRate)
		if s.failureRate > ejectionThreshold && s.ejected.begin(now) {
			s.failureRate = min(s.failureRate, returnFailureRate)
		}
	}
}

// RecordNotice records what a replica states in an answer. sentAt is when its request was sent, zero if
// unknown.
func (b *Balancer) RecordNotice(now, sentAt time.Time, id hingeids.ServerID, n hingenotice.Notice) {
	if !b.restrictions.Update(now, sentAt, id, n) {
		return
	}
	if s := b.states[id]; s != nil {
		s.restriction = b.restrictions.Get(id)
		b.index.markChanged(s)
	}
}

// SetPart sets the part of the replicas' rate limits that may be used.
func (b *Balancer) SetPart(p hingenotice.Part) {
	for _, id := range b.restrictions.SetPart(p) {
		if s := b.states[id]; s != nil {
			b.index.markChanged(s)
		}
	}
}

// Retain discards the state of all replicas that are not in the list.
func (b *Balancer) Retain(list []Replica) {
	b.use(list)
	for id, s := range b.states {
		if !s.listed {
			delete(b.states, id)
		}
	}
}
