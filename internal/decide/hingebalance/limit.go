package hingebalance

import (
	"math"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// networkTime covers three trips between zones, and a millisecond for a new connection.
	networkTime = 2500 * time.Microsecond
	// refusalReduction is the share of its requests in flight by which a refusal lowers the limit
	// of a replica. The limit rises again by one for each round of answers.
	refusalReduction = 0.3
)

// limit returns how many requests the replica may have in flight (rule 6).
func (s *state) limit(turnaround time.Duration) int {
	r := s.replica
	limit := math.MaxInt
	if r.Slots > 0 {
		slots := float64(r.Slots)
		inTransit := math.Ceil(slots * min((turnaround+networkTime).Seconds()/s.latency.Seconds(), 1))
		limit = int(max(slots+inTransit-s.limitReduction, 1))
	}
	if r.MaxConnections > 0 {
		limit = min(limit, r.MaxConnections)
	}
	if s.hostRefusals >= maxHostRefusals {
		// One request finds out whether the replica accepts requests again.
		limit = 1
	}
	return limit
}

// recordRefusal lowers the limit after a refusal for lack of capacity: other callers use the
// replica too, or it has fewer slots than it reports.
func (s *state) recordRefusal() {
	s.limitReduction += max(refusalReduction*float64(s.open), 1)
}

func (s *state) restoreLimit() {
	s.limitReduction = max(s.limitReduction-1/float64(max(s.open, 1)), 0)
}

// rateInterval is how long a computed rate is reused: it looks through all replicas.
const rateInterval = 10 * time.Millisecond

// Rate returns how many requests a second the eligible replicas can answer.
func (b *Balancer) Rate(now time.Time, list []Replica) float64 {
	b.use(list)
	if b.ratedAt.IsZero() || now.Sub(b.ratedAt) >= rateInterval {
		b.ratedAt = now
		b.rate = b.sumOfRates(now)
	}
	return b.rate
}

func (b *Balancer) sumOfRates(now time.Time) float64 {
	rate := 0.0
	for _, s := range b.listedStates {
		if s.replaced || now.Before(s.ejected.until) || b.unreachable(now, s) {
			continue
		}
		concurrency := max(s.open, 1)
		if s.replica.Slots > 0 {
			concurrency = s.limit(b.turnaround)
		}
		perSecond := float64(concurrency) / s.expectedLatency(now).Seconds()
		if limit, limited := s.restriction.Rate(now); limited {
			perSecond = min(perSecond, limit)
		}
		rate += perSecond
	}
	return rate
}

// unreachable reports whether every zone that sends requests fails to reach the replica.
func (b *Balancer) unreachable(now time.Time, s *state) bool {
	for z := range b.zones {
		if r := s.reachedFrom(z); !r.unreachable() || !now.Before(r.ejected.until) {
			return false
		}
	}
	return len(b.zones) > 0
}

// turnaroundStep is the relative change of the turnaround that changes the limits: a change of the
// limits looks through all replicas.
const turnaroundStep = 0.1

// SetTurnaround sets how long a slot is idle between the completion of a request and the start of
// the next one.
func (b *Balancer) SetTurnaround(d time.Duration) {
	change := (d - b.turnaround).Abs()
	if float64(change) < turnaroundStep*float64(b.turnaround+networkTime) {
		return
	}
	b.turnaround = d
	for _, s := range b.listedStates {
		if s.isFull(d) != s.position.full {
			b.index.markChanged(s)
		}
	}
}

// isFull reports whether the replica has as many requests in flight as its limit.
func (s *state) isFull(turnaround time.Duration) bool {
	return s.open >= s.limit(turnaround)
}

// Latency returns the expected latency of a replica.
func (b *Balancer) Latency(id hingeids.ServerID) time.Duration {
	return b.state(id).latency
}

// MinLatency returns the lowest expected latency among the replicas.
func (b *Balancer) MinLatency(now time.Time, list []Replica) time.Duration {
	b.use(list)
	b.updateIndex(now)
	if e, ok := b.index.latencies.Min(); ok {
		return time.Duration(e.key)
	}
	return initialLatency
}
