package hingeplace

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// slowdown holds factors by which an engine is slower than Config states,
// learned by rule 6. 1 is the configured speed.
type slowdown struct {
	gap     float64
	prefill float64
	// observed is the time of the last token gap received, and probed the time at
	// which the idle engine was last given a request.
	observed, probed time.Time
	slow             bool
}

func newSlowdown() slowdown {
	return slowdown{
		gap:     1,
		prefill: 1,
	}
}

// Weights of a new sample in the moving averages. Token gaps arrive about
// twice a second, so a slow engine is detected within two seconds, while a
// single stalled gap moves the average by a third.
const (
	gapSmoothing     = 0.35
	prefillSmoothing = 0.2
)

// probeInterval is how long an engine must be idle before it is probed. A
// probe may miss the token gap target of its request.
const probeInterval = 5 * time.Second

// maxSlowdown bounds the factors, so that a short stall of an engine doesn't
// need minutes of probes to recover from.
const maxSlowdown = 10.0

func smooth(average, sample, weight float64) float64 {
	return min(maxSlowdown, average+weight*(min(sample, maxSlowdown)-average))
}

// expectedGap is the predicted token gap of an engine that holds n requests.
func (v *View) expectedGap(e *engine, n int) time.Duration {
	nominal := v.config.GapBase + time.Duration(n)*v.config.GapPerRequest
	return time.Duration(float64(nominal) * e.slowdown.gap)
}

// HandleTokenGap records the token gap measured on an engine's open streams,
// about twice a second. Rule 6.
func (v *View) HandleTokenGap(now time.Time, s hingeids.ServerID, observed time.Duration) {
	e := v.byID[s]
	if e == nil {
		return
	}
	held := len(e.holding) + e.foreignHeld
	nominal := v.config.GapBase + time.Duration(held)*v.config.GapPerRequest
	e.slowdown.gap = smooth(e.slowdown.gap, float64(observed)/float64(nominal), gapSmoothing)
	e.slowdown.observed = now
	if e.slowdown.gap > slowThreshold {
		e.slowdown.slow = true
	} else if e.slowdown.gap < recoveredThreshold {
		e.slowdown.slow = false
	}
}

// An engine is reported as slow above slowThreshold, until its factor falls
// below recoveredThreshold. The hysteresis prevents repeated events. Placement
// doesn't use these thresholds.
const (
	slowThreshold      = 1.5
	recoveredThreshold = 1.2
)

// Slow reports whether an engine's token gap is far above the one expected at
// its load.
func (v *View) Slow(s hingeids.ServerID) bool {
	e := v.byID[s]
	return e != nil && e.slowdown.slow
}

// capacity is the number of further requests with the target of r that an
// engine may hold.
func (v *View) capacity(now time.Time, e *engine, r *Request) int {
	held := len(e.holding) + e.foreignHeld
	if !e.decodes() || r.Avoid[e.id] || now.Before(e.fullUntil) || held >= e.slots {
		return 0
	}
	target := stricter(r.TokenGap, e.strictestGap)
	limit := e.slots
	if target > 0 {
		limit = v.maxHeld(e, target)
	}
	if limit <= 0 && held == 0 && v.probeDue(now, e, r) {
		return 1
	}
	return max(0, min(limit, e.slots)-held)
}

// stricter returns the shorter of two targets; 0 is no target.
func stricter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// maxHeld is the largest number of requests at which the engine's token gap
// meets the target.
func (v *View) maxHeld(e *engine, target time.Duration) int {
	budget := float64(target)/e.slowdown.gap - float64(v.config.GapBase)
	if budget < 0 {
		return 0
	}
	return int(budget / float64(max(v.config.GapPerRequest, 1)))
}

// probeDue reports whether an idle engine may be given r as a probe. Requests
// that can wait are used sooner, since a slow answer costs them least.
func (v *View) probeDue(now time.Time, e *engine, r *Request) bool {
	idle := now.Sub(e.slowdown.observed)
	if now.Sub(e.slowdown.probed) < idle {
		idle = now.Sub(e.slowdown.probed)
	}
	if r.CanWait {
		return idle >= probeInterval
	}
	return idle >= 4*probeInterval
}
