package hingeledger

import (
	"sync"
	"time"
)

// probeInterval is the time between two calls to an unreachable target.
const probeInterval = 500 * time.Millisecond

// breaker is a circuit breaker that rejects calls while a target is unreachable.
// Without it, requests of an isolated zone would each wait for claimTimeout and use
// memory meanwhile. One call in each probeInterval is let through as a probe.
// It is safe for concurrent use.
type breaker struct {
	mu        sync.Mutex
	tripped   bool
	nextProbe time.Time
}

// allow reports whether the target may be called now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.tripped {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

// record stores the result of a call. It reports whether this result tripped the
// breaker.
func (b *breaker) record(now time.Time, reached bool) (tripped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reached {
		b.tripped = false
		return false
	}
	tripped = !b.tripped
	b.tripped = true
	b.nextProbe = now.Add(probeInterval)
	return tripped
}
