package hingeproxy

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// After a power loss callers retry at hosts that have just started, most of them for the last time. A host holds their
// requests until it has its configuration, which takes an election and a round trip.
const (
	// startupTime is the usual maximum time from the start of a host to its first configuration: the expiry of the
	// previous leader's lease, an election and the concurrent queries of all hosts.
	startupTime = 3 * time.Second
	// startupShare is the fraction of its timeout that a request may wait for the first configuration. The rest is
	// for serving it, or for a retry on another host.
	startupShare = 0.85
	// maxWaiting bounds the memory of waiting requests, each of which holds its body.
	maxWaiting = 256
	// notReadyRetry is the Retry-After while a host has no configuration.
	notReadyRetry = 500 * time.Millisecond
)

// awaitTable returns the routing table. On a host that has just started it waits for the first configuration, and
// returns nil if there is none in time.
func (p *Proxy) awaitTable(ctx context.Context, r *hingewire.Request, info RequestInfo) *hingeroutes.Table {
	if t := p.view.Table(); t != nil {
		return t
	}
	now := p.settings.Clock()
	deadline := p.settings.StartedAt.Add(startupTime)
	if info.MaxWait > 0 {
		last := r.Arrived.Add(time.Duration(startupShare * float64(info.MaxWait)))
		if last.Before(deadline) {
			deadline = last
		}
	}
	if !now.Before(deadline) || !p.addWaiting(1) {
		return nil
	}
	defer p.addWaiting(-1)
	wait := time.NewTimer(deadline.Sub(now))
	defer wait.Stop()
	for {
		changed := p.view.Changed()
		if t := p.view.Table(); t != nil {
			return t
		}
		select {
		case <-changed:
		case <-wait.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// addWaiting changes the number of waiting requests by delta, and reports whether the limit allows it.
func (p *Proxy) addWaiting(delta int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delta > 0 && p.waiting >= maxWaiting {
		return false
	}
	p.waiting += delta
	return true
}
