package hingefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// stepBefore is how long before its caller loses patience a want is given
	// up: what the prefill and the way to the first event take.
	stepBefore = 400 * time.Millisecond
	// arrivalWindow is the time over which arrivals are counted for rule 5: a few
	// dozen streams, and short beside a burst of some seconds.
	arrivalWindow = time.Second
	// leastSpare is the share of what drains that must be left beside new
	// arrivals for late wants to wait: below it their turn never comes while it lasts.
	leastSpare = 0.1
	// shortestRetry and longestRetry bound the time told with a refusal: a burst lasts
	// some seconds, and nothing is known beyond it.
	shortestRetry = 500 * time.Millisecond
	longestRetry  = 4 * time.Second
)

// Offer puts a want into the queue; Step decides on it.
func (f *Fleet) Offer(now time.Time, w Want) {
	f.queue = append(f.queue, &w)
	if now.Sub(w.Arrived) < firstOffer && !w.Moved && !w.Cached {
		f.demand.add(now, w, f.pace())
		f.arrivals = append(f.arrivals, now)
	}
}

// Withdraw takes all wants back that wait, and names them.
func (f *Fleet) Withdraw() []StreamID {
	var out []StreamID
	for _, w := range f.queue {
		out = append(out, w.ID)
	}
	f.queue = nil
	return out
}

// firstOffer tells a want that is new from one that is offered again while it
// waits, which comes a quarter of a second later at the earliest.
const firstOffer = 200 * time.Millisecond

// Step forgets what is over and decides on what waits.
func (f *Fleet) Step(now time.Time) []Decision {
	if f.begun.IsZero() && len(f.engines) > 0 {
		f.begun = now
	}
	f.expire(now)
	f.order(now)
	f.tried = f.tried[:0]
	rates := f.rates(now)
	var out []Decision
	kept := f.queue[:0]
	for _, w := range f.queue {
		d, decided := f.decide(now, w, len(kept), rates)
		if !decided {
			kept = append(kept, w)
			continue
		}
		out = append(out, d)
	}
	clear(f.queue[len(kept):])
	f.queue = kept
	return out
}

// expire forgets grants and owners that nobody speaks of any more.
func (f *Fleet) expire(now time.Time) {
	for id, s := range f.streams {
		if !s.granted.IsZero() {
			if now.Sub(s.granted) > unreported {
				f.forget(id)
			}
			continue
		}
		if now.Sub(f.owners[s.owner]) > ownerSilence {
			f.forget(id)
		}
	}
	for owner, at := range f.owners {
		if now.Sub(at) > ownerSilence {
			delete(f.owners, owner)
		}
	}
	from := 0
	for from < len(f.arrivals) && now.Sub(f.arrivals[from]) > arrivalWindow {
		from++
	}
	f.arrivals = f.arrivals[from:]
}

// order is rules 3 and 4.
func (f *Fleet) order(now time.Time) {
	rank := func(w *Want) int {
		switch {
		case w.Moved || w.Cached:
			return 0
		case w.onTime(now):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(f.queue, func(a, b *Want) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.Arrived.Compare(b.Arrived))
	})
}

// onTime reports whether a want that is granted now can meet its target.
func (w *Want) onTime(now time.Time) bool {
	return !now.Add(reading(w.Prompt) + prefillStart).After(w.Arrived.Add(w.Target))
}

// lastCall reports whether a want can still be on time if a decode engine works its prompt, but
// not for much longer.
func (w *Want) lastCall(now time.Time) bool {
	takes := ownReading*reading(w.Prompt) + prefillStart
	left := w.Arrived.Add(w.Target).Sub(now.Add(takes))
	return !w.Moved && left > 0 && left < lastCallTime
}

// decide grants, refuses, or lets wait behind as many others (rule 5).
func (f *Fleet) decide(now time.Time, w *Want, ahead int, r rates) (Decision, bool) {
	if d, granted := f.grant(now, w); granted {
		return d, true
	}
	if w.Cached {
		return Decision{
			ID:      w.ID,
			Owner:   w.Owner,
			Refused: true,
		}, true
	}
	until := w.Arrived.Add(w.Patience - stepBefore)
	wait := r.wait(ahead + 1)
	switch {
	case w.Moved && now.Before(until):
		return Decision{}, false
	case w.onTime(now.Add(wait)) || f.young(now) && w.onTime(now):
		return Decision{}, false
	case r.spare() && now.Add(r.lateWait(ahead+1)).Before(until):
		return Decision{}, false
	}
	return Decision{
		ID:         w.ID,
		Owner:      w.Owner,
		Refused:    true,
		RetryAfter: f.retryAfter(now, w.ID, wait, r),
		Waited:     now.Sub(w.Arrived),
	}, true
}

// retryAfter is when a refused caller is best back: once the work ahead has
// drained or, while as much arrives as drains, once the burst is likely over.
// Callers are spread over the time around it, or they would come back as the next burst.
func (f *Fleet) retryAfter(now time.Time, id StreamID, wait time.Duration, r rates) time.Duration {
	after := min(max(wait, shortestRetry), longestRetry)
	switch {
	case f.young(now):
		after = learning
	case !r.spare():
		after = longestRetry
	}
	lot := float64(xxhash.Sum64String(string(id))%1000) / 1000
	return time.Duration(float64(after) * (1 - retrySpread*lot))
}

// young reports whether engines may exist that haven't been heard of yet: after all hosts have lost
// power, they announce themselves one by one. What the first of them has no room for is no
// saturation, and to send callers away for the length of a burst would keep them from engines that
// are there a moment later.
func (f *Fleet) young(now time.Time) bool {
	return !f.begun.IsZero() && now.Sub(f.begun) < learning
}

// learning is how long it takes until all engines are heard of: they announce themselves every 1.2 s.
const learning = 1500 * time.Millisecond

// retrySpread is the share of the time told by which callers are spread.
const retrySpread = 0.3

// rates are streams a second: that end, by what is known of those in flight, and that arrive.
type rates struct {
	drain   float64
	arrival float64
}

// rates predicts what drains: each stream gives its place back once in its life. Counted
// ends would say nothing in the first seconds, and too little after a lull.
func (f *Fleet) rates(now time.Time) rates {
	var r rates
	for _, s := range f.streams {
		if e := f.engines[s.decode]; e != nil && !now.Before(e.health.awayTill) {
			r.drain += e.tokensPerSecond / float64(max(s.expected, 1))
		}
	}
	r.arrival = float64(len(f.arrivals)) / arrivalWindow.Seconds()
	return r
}

// wait is how long until so many streams have ended.
func (r rates) wait(ends int) time.Duration {
	return span(float64(ends), r.drain)
}

// spare reports whether more drains than arrives.
func (r rates) spare() bool {
	return r.drain-r.arrival > leastSpare*r.drain
}

// lateWait is the same for a want that new arrivals go before.
func (r rates) lateWait(ends int) time.Duration {
	return span(float64(ends), r.drain-r.arrival)
}

func span(ends, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return longestRetry
	}
	return spanOf(min(ends/perSecond, longestRetry.Seconds()))
}

func (f *Fleet) grant(now time.Time, w *Want) (Decision, bool) {
	limit := memoryShare
	if !w.Moved && !w.Cached && !w.onTime(now) {
		limit = lateShare
	}
	if f.hopeless(w, limit) {
		return Decision{}, false
	}
	for _, r := range f.rooms(now, w) {
		if r.share > limit {
			continue
		}
		g, begins, ok := f.prepare(now, w, r.engine)
		if !ok {
			return Decision{}, false
		}
		f.take(now, w, r.engine, g, begins)
		return Decision{
			ID:     w.ID,
			Owner:  w.Owner,
			Grant:  g,
			Waited: now.Sub(w.Arrived),
			Peak:   int(100 * r.share),
		}, true
	}
	f.tried = append(f.tried, attempt{
		prompt:   w.Prompt,
		expected: w.Expected,
		limit:    limit,
		avoids:   len(w.Avoid) > 0,
	})
	return Decision{}, false
}

// attempt is a want that found no room in this step.
type attempt struct {
	prompt   hingeids.Tokens
	expected hingeids.Tokens
	limit    float64
	avoids   bool
}

// hopeless reports whether a smaller want has found no room in this step. At
// saturation hundreds wait, and to look at each engine for each of them would take a small
// host's whole time.
func (f *Fleet) hopeless(w *Want, limit float64) bool {
	for _, a := range f.tried {
		if !a.avoids && w.Prompt >= a.prompt && w.Expected >= a.expected && limit <= a.limit {
			return true
		}
	}
	return false
}

// take notes a grant in the engines' books.
func (f *Fleet) take(now time.Time, w *Want, decode *engine, g Grant, begins time.Time) {
	f.forget(w.ID)
	f.streams[w.ID] = &stream{
		owner:    w.Owner,
		prefill:  g.Prefill,
		decode:   decode.Server,
		prompt:   w.Prompt,
		expected: w.Expected,
		madeAt:   begins,
		granted:  now,
	}
	decode.health.triedAt = now
	if g.Prefill == "" && !w.Cached {
		decode.readAt = now
	}
	if p := f.engines[g.Prefill]; p != nil {
		p.health.triedAt = now
		p.prompts.add(now, w.ID, w.Prompt)
	}
}

// prepare chooses the prefill engine for a decode engine, and predicts the first token.
func (f *Fleet) prepare(now time.Time, w *Want, decode *engine) (Grant, time.Time, bool) {
	g := Grant{
		Decode: decode.Server,
	}
	if w.Cached {
		return g, now.Add(prefillStart), true
	}
	p, read := f.prefillFor(now, w, decode.Zone)
	switch {
	case p != nil:
		g.Prefill = p.Server
		return g, read.Add(prefillStart), true
	case f.mayRead(now, w, decode) && (w.lastCall(now) || !f.prefills(now, w)):
		return g, now.Add(ownReading*reading(w.Prompt) + prefillStart), true
	}
	return Grant{}, time.Time{}, false
}

// mayRead reports whether a decode engine may work a prompt between the tokens of its
// streams (rule 7).
func (f *Fleet) mayRead(now time.Time, w *Want, decode *engine) bool {
	if now.Sub(decode.readAt) < readRest {
		return false
	}
	if w.Gap == 0 || ownReading*reading(w.Prompt)+ownPause < w.Gap {
		return true
	}
	for _, s := range f.streams {
		if s.decode == decode.Server {
			return false
		}
	}
	return true
}
