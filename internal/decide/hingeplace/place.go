package hingeplace

import (
	"math"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Action is the next step for a request.
type Action uint8

// Wait means to call Place again after a change; Start begins prefill at a
// prefill engine; Local acquires a decode slot at once and prefills on the
// decode engine; NoEngine means that no engine can serve the request.
const (
	Wait Action = iota
	Start
	Local
	NoEngine
)

// Decision is the result of Place for one request.
type Decision struct {
	Action Action
	// Prefill is the engine that prefills; it is empty with Local.
	Prefill hingeids.ServerID
	// Decode is the decode engine with Local. With Start it is only the likely
	// one: Bind decides when the KV cache is ready.
	Decode hingeids.ServerID
	// Cached is the number of prompt tokens expected in the prefill engine's
	// cache.
	Cached hingeids.Tokens
	// FirstToken is the predicted time from now to the first token.
	FirstToken time.Duration
	// SlotProbability is the predicted probability that a slot is free in time.
	SlotProbability float64

	wait, prefillEnd, transferTime time.Duration
}

// Place decides the next step for a request. It doesn't change the view: call
// HandleStart when the decision is carried out. It considers cached prefix,
// prefill queue, link and decode slot together: a separate balancer for prefill
// would start prefills while all decode slots are in use, and their KV caches
// would be evicted.
func (v *View) Place(now time.Time, r *Request) Decision {
	v.refreshForecast(now)
	best, remote := v.bestPrefill(now, r)
	decode, free := v.freeSlots(now, r)
	local := v.placeLocal(now, r, decode, free)
	if best == nil {
		switch {
		case local.Action == Local:
			return local
		case decode == nil && !v.hasDecode():
			return Decision{
				Action: NoEngine,
			}
		default:
			return Decision{}
		}
	}
	if decode != nil {
		remote.Decode = decode.id
	}
	if local.Action == Local && local.prefillEnd < remote.FirstToken {
		return local
	}
	remote.SlotProbability = v.slotProbability(now, r, free, v.maxWait(now, r, remote))
	if remote.SlotProbability >= v.startThreshold() && remote.wait <= v.config.MaxPrefillWait {
		remote.Action = Start
	}
	return remote
}

// maxWait is the time within which a slot must be free: before the finished KV
// cache is evicted, and before the first token misses its target, since prefill
// would otherwise start for requests that are answered too late.
func (v *View) maxWait(now time.Time, r *Request, d Decision) time.Duration {
	cacheExpiry := d.prefillEnd + v.config.CacheRetention
	if r.FirstTokenDeadline.IsZero() {
		return cacheExpiry
	}
	remaining := r.FirstTokenDeadline.Sub(now) - (d.FirstToken - d.prefillEnd)
	return max(d.prefillEnd, min(cacheExpiry, remaining))
}

// startThreshold is the slot probability at which prefill starts. Rule 4. It
// is clamped, since at 0 everything would start at once and at 1 nothing.
func (v *View) startThreshold() float64 {
	w := v.config.Weights
	prefillCost := w.WastedPrefill + w.Goodput*v.busyShare
	if prefillCost+w.Goodput <= 0 {
		return 0.5
	}
	return min(0.999, max(0.01, prefillCost/(prefillCost+w.Goodput)))
}

// bestPrefill chooses the prefill engine. Rule 2.
func (v *View) bestPrefill(now time.Time, r *Request) (*engine, Decision) {
	v.index.mark(r.Prefix)
	var best *engine
	var decision Decision
	lowest := math.Inf(1)
	uncachedWeight := 1 + v.startThreshold()
	foreignShare := v.shareAhead(now, r.Priority)
	for _, e := range v.engines {
		hit := e.hit
		e.hit = 0
		if !e.prefills() || r.Avoid[e.id] {
			continue
		}
		rate := v.config.PrefillRate / e.slowdown.prefill
		prefillTime := float64(r.Prompt-min(hit, r.Prompt)) / rate
		queueWait := e.ownWait(now, r.Priority, rate)
		prefillEnd := queueWait + e.foreignWait(now, rate, foreignShare) + prefillTime
		// The link may be busy for longer than the prefill runs.
		transferStart := max(prefillEnd, e.linkFreeAt.Sub(now).Seconds())
		if score := transferStart + uncachedWeight*prefillTime; score < lowest {
			lowest = score
			best = e
			decision = Decision{
				Prefill:    e.id,
				Cached:     min(hit, r.Prompt),
				wait:       seconds(queueWait),
				prefillEnd: seconds(prefillEnd),
			}
		}
	}
	if best != nil {
		decision.transferTime = v.transferTime(best, nil, r.Prompt)
		decision.FirstToken = max(decision.prefillEnd, best.linkFreeAt.Sub(now)) + decision.transferTime
	}
	return best, decision
}

// foreignWait is the time, in seconds, that the engine needs for the given
// share of other entry hosts' prompt work.
func (e *engine) foreignWait(now time.Time, rate, share float64) float64 {
	return share * max(0, e.foreignTokens/rate-now.Sub(e.reportedAt).Seconds())
}

// ownWait is the time, in seconds, that the engine needs for this host's
// prefills that precede a new request of the given priority.
func (e *engine) ownWait(now time.Time, priority int, rate float64) float64 {
	var tokens float64
	for i, f := range e.prefilling {
		remaining := f.uncached
		if i == 0 {
			remaining = max(0, remaining-rate*now.Sub(f.prefillStart).Seconds())
		}
		if f.request.Priority >= priority {
			tokens += remaining
		}
	}
	return tokens / rate
}

// transferTime is the time to send the KV cache of a prompt over the link. If
// to is nil, the decode engine is assumed to be in the prefill engine's zone.
func (v *View) transferTime(from, to *engine, n hingeids.Tokens) time.Duration {
	if from == to {
		return 0
	}
	zone := from.zone
	if to != nil {
		zone = to.zone
	}
	rate := v.config.LinkRate(from.zone, zone)
	if rate <= 0 {
		return time.Hour
	}
	return seconds(float64(n) * float64(v.config.CacheBytesPerToken) / float64(rate))
}

// freeSlots returns the number of free slots for a request and the engine
// among them with the shortest predicted token gap.
func (v *View) freeSlots(now time.Time, r *Request) (best *engine, free int) {
	shortest := time.Duration(math.MaxInt64)
	for _, e := range v.engines {
		n := v.capacity(now, e, r)
		if n <= 0 {
			continue
		}
		free += n
		if g := v.expectedGap(e, len(e.holding)+e.foreignHeld+1); g < shortest {
			shortest, best = g, e
		}
	}
	return best, free
}

// slotProbability is the probability that a slot is free for the request within
// the given time. Rule 4. Releases are modelled as a Poisson process. Started
// requests go first unless this one has a higher priority and their KV caches
// are ready later.
func (v *View) slotProbability(now time.Time, r *Request, free int, within time.Duration) float64 {
	claims := 1
	at := now.Add(within)
	for _, f := range v.unbound {
		if f.request.Priority >= r.Priority || f.readyAt.Before(at) {
			claims++
		}
	}
	missing := float64(claims - free + v.reservedSlots(now, r.Priority))
	higherArrivals := v.higherRate(now, r.Priority) * within.Seconds()
	mean := v.expectedReleases(r.Priority, within)
	if missing <= 0 {
		return 1
	}
	if mean+higherArrivals <= 0 {
		return 0
	}
	z := (mean - missing + 0.5) / math.Sqrt(mean+higherArrivals)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// placeLocal decides whether the request is prefilled on the decode engine e.
// Rule 7.
func (v *View) placeLocal(now time.Time, r *Request, e *engine, free int) Decision {
	if e == nil || v.slotProbability(now, r, free, 0) < 1 {
		return Decision{}
	}
	if r.Prompt > v.config.MaxLocalPrompt && v.hasPrefill() {
		return Decision{}
	}
	// Prefill concurrent with decoding runs at half speed and halves the decode
	// speed of all requests on the engine.
	prefillTime := 2 * float64(r.Prompt) * e.slowdown.gap / v.config.PrefillRate
	held := float64(len(e.holding) + e.foreignHeld)
	return Decision{
		Action:          Local,
		Decode:          e.id,
		FirstToken:      seconds(prefillTime),
		SlotProbability: 1,
		prefillEnd:      seconds(prefillTime * (1 + held/2)),
	}
}

// Forecast predicts the first token and token gap of a request that is started
// now, and the number of such requests that the engines can hold in total.
// Admission compares them with the request's targets.
func (v *View) Forecast(now time.Time, r *Request) (firstToken, tokenGap time.Duration, slots hingeids.Slots) {
	best, d := v.bestPrefill(now, r)
	if best != nil {
		firstToken = d.FirstToken
	}
	tokenGap = time.Duration(math.MaxInt64)
	for _, e := range v.engines {
		if !e.decodes() {
			continue
		}
		tokenGap = min(tokenGap, v.expectedGap(e, 1))
		n := e.slots
		if r.TokenGap > 0 {
			n = min(n, v.maxHeld(e, r.TokenGap))
		}
		slots += hingeids.Slots(n)
	}
	return firstToken, tokenGap, slots
}

// hasPrefill reports whether there is a prefill engine. Without one, prompts
// of any length are prefilled on decode engines.
func (v *View) hasPrefill() bool {
	for _, e := range v.engines {
		if e.prefills() {
			return true
		}
	}
	return false
}

func (v *View) hasDecode() bool {
	for _, e := range v.engines {
		if e.decodes() {
			return true
		}
	}
	return false
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
