package hingeledger

import (
	"sync"
	"time"
)

const probeInterval = 500 * time.Millisecond

// breaker is a circuit breaker: while a target is unreachable, only one call in each
// probeInterval is let through. Without it, requests of an isolated zone would each
// wait for claimTimeout and use memory meanwhile. It is safe for concurrent use.
type breaker struct {
	mu        sync.Mutex
	tripped   bool
	nextProbe time.Time
}

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

// tripped is set if this result tripped the breaker.
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
