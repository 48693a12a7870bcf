package hingebalance

import (
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

type ejection struct {
	duration time.Duration
	until    time.Time
}

// begin starts an ejection, twice as long as the last one, and reports whether it did so: an
// ejection in progress is not extended.
func (e *ejection) begin(now time.Time) bool {
	if now.Before(e.until) {
		return false
	}
	e.duration = min(max(2*e.duration, minEjection), maxEjection)
	e.until = now.Add(e.duration)
	return true
}

// reset restarts the backoff if the ejection has ended.
func (e *ejection) reset(now time.Time) {
	if now.After(e.until) {
		e.duration = 0
	}
}

// reachability is the state of the connections from one zone to a replica.
type reachability struct {
	connectFailures int
	ejected         ejection
}

func (r *reachability) unreachable() bool {
	return r.connectFailures >= connectFailureLimit
}

// state is the observed state of a replica.
type state struct {
	replica Replica
	// listed is set while the replica is in the list of the last call.
	listed   bool
	position position
	open     int
	// waitingSince is the time since which requests are outstanding without any response, or zero.
	waitingSince time.Time
	latency      time.Duration
	// measured is set by the first answer; until then latency is a default.
	measured bool
	// limitReduction is the number of requests by which refusals have lowered the limit of rule 6.
	limitReduction float64
	failureRate    float64
	decayedAt      time.Time
	ejected        ejection
	refusedUntil   time.Time
	zones          map[hingeids.Zone]*reachability
	lastUsed       time.Time
	replaced       bool
	// hostRefusals is the number of consecutive refused hosts (rule 8).
	hostRefusals int
	// restriction is nil if the replica has stated nothing (rule 7).
	restriction *hingenotice.Restriction
}

func (s *state) reachability(z hingeids.Zone) *reachability {
	r := s.zones[z]
	if r == nil {
		r = &reachability{}
		s.zones[z] = r
	}
	return r
}

// reachedFrom returns the state of the connections from a zone, which must not be modified.
func (s *state) reachedFrom(z hingeids.Zone) *reachability {
	if r := s.zones[z]; r != nil {
		return r
	}
	return &untried
}

// untried is the state of connections that haven't been tried.
var untried reachability

func (s *state) recordSend(now time.Time) {
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	s.open++
	s.lastUsed = now
	s.restriction.RecordSend(now)
}

// expectedLatency returns the average latency, or the time since the last response if that is
// longer.
func (s *state) expectedLatency(now time.Time) time.Duration {
	if s.waitingSince.IsZero() {
		return s.latency
	}
	return max(s.latency, now.Sub(s.waitingSince))
}

// needsProbe implements rule 5. A replica whose last requests got no response is probed earlier,
// after minEjection.
func (s *state) needsProbe(now time.Time) bool {
	return s.open == 0 && now.Sub(s.lastUsed) > s.probeDelay()
}

// probeDelay returns how long the replica goes unused before it needs a probe.
func (s *state) probeDelay() time.Duration {
	if s.waitingSince.IsZero() {
		return probeAfter
	}
	return minEjection
}

// decay lowers the failure rate with time: a replica that is used less because of its failures
// yields fewer outcomes that could lower it.
func (s *state) decay(now time.Time) {
	if passed := now.Sub(s.decayedAt); s.failureRate > 0 && passed > 0 && !s.decayedAt.IsZero() {
		s.failureRate *= math.Exp(-passed.Seconds() / decayTime.Seconds())
	}
	s.decayedAt = now
}

// cost implements rules 1 and 3, for a request of the replica's zone.
func (s *state) cost(now time.Time) time.Duration {
	s.decay(now)
	return time.Duration(s.load()*float64(s.expectedLatency(now))) +
		time.Duration(max(s.failureRate-toleratedFailureRate, 0)*float64(failureCost))
}

// minCost returns a lower bound of cost that doesn't depend on the time.
func (s *state) minCost() time.Duration {
	return time.Duration(s.load() * float64(s.latency))
}

// load returns the multiple of its latency that a replica is expected to take for one more request.
func (s *state) load() float64 {
	slots := float64(max(s.replica.Slots, 1))
	return max(float64(s.open+1)/slots, 1) + occupancyCost*float64(s.open)/slots
}

// eligible reports whether a request may be sent to the replica at all, whatever its capacity.
func (s *state) eligible(now time.Time, constraints Constraints) bool {
	if s.replaced || s.restriction.Leaving(now) || slices.Contains(constraints.Avoid, s.replica.Server) {
		return false
	}
	fromZone := s.reachedFrom(constraints.Zone)
	return !fromZone.unreachable() || !now.Before(fromZone.ejected.until)
}

// pausedUntil returns the end of the replica's ejection or pause.
func (s *state) pausedUntil() time.Time {
	return hingeclock.Later(s.ejected.until, s.refusedUntil)
}

// held reports whether the replica's statements allow no request now.
func (s *state) held(now time.Time) bool {
	return now.Before(s.restriction.HeldUntil(now))
}

// recordHostRefusal implements rule 8.
func (s *state) recordHostRefusal(now time.Time) {
	s.hostRefusals++
	if n := s.hostRefusals - maxHostRefusals; n >= 0 {
		pause := min(refusalPause<<min(n, 8), maxHostRefusalPause)
		s.refusedUntil = hingeclock.Later(s.refusedUntil, now.Add(pause))
	}
}

func (s *state) recordResponse(now time.Time) {
	s.waitingSince = time.Time{}
	if s.open > 0 {
		s.waitingSince = now
	}
}

func (s *state) recordAnswer(now time.Time, elapsed time.Duration) {
	if !s.measured {
		s.latency = elapsed
		s.measured = true
	}
	s.latency += time.Duration(latencyWeight * float64(elapsed-s.latency))
	s.failureRate -= failureWeight * s.failureRate
	s.hostRefusals = 0
	s.ejected.reset(now)
	s.restoreLimit()
}
