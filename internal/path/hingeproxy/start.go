package hingeproxy

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// After all hosts have lost power or were killed, callers ask again at hosts that have just started, most of them for
// the last time: they try twice. What holds a host up is short and of known length, an election and a
// round trip, about a second and a half. A request that waits for it is served, often in time; one that is sent away
// is lost.
const (
	// startTime is how long a host that starts needs at most, as a rule, until it knows its configuration: the lease of a leader
	// that may still live, an election, and the questions of all hosts at once.
	startTime = 3 * time.Second
	// startShare is the part of its time that a request may wait for that, so that enough is
	// left for its run, or for another host.
	startShare = 0.85
	// mostHeld bounds the requests that wait: at 100 KB each, their memory is a third of the smallest host's.
	mostHeld = 256
	// notReadyRetry is when a host that starts is likely to know its configuration.
	notReadyRetry = 500 * time.Millisecond
)

// awaitTable gives the configuration. A host that has just started has a request wait for the first
// one, but not for longer than leaves it time to be served.
func (p *Proxy) awaitTable(ctx context.Context, r *hingewire.Request, asked Asked) *hingeroutes.Table {
	if t := p.world.Table(); t != nil {
		return t
	}
	now := p.settings.Clock()
	until := p.settings.Started.Add(startTime)
	if asked.Left > 0 {
		last := r.Arrived.Add(time.Duration(startShare * float64(asked.Left)))
		if last.Before(until) {
			until = last
		}
	}
	if !now.Before(until) || !p.hold(1) {
		return nil
	}
	defer p.hold(-1)
	wait := time.NewTimer(until.Sub(now))
	defer wait.Stop()
	for {
		changed := p.world.Changed()
		if t := p.world.Table(); t != nil {
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

// hold counts requests that wait, and reports whether there is room for one more.
func (p *Proxy) hold(more int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if more > 0 && p.held >= mostHeld {
		return false
	}
	p.held += more
	return true
}
