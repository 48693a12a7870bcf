package hingefleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stepBefore is how long before its caller loses patience a want is given
	// up: what the prefill and the way to the first event take.
	stepBefore = 400 * time.Millisecond
	// drainWindow is the time over which ends of streams are counted for rule 5.
	drainWindow = 2 * time.Second
	// shortestRetry and longestRetry bound the time told with a refusal: a stream's
	// life is some seconds, and nothing is known beyond it.
	shortestRetry = 500 * time.Millisecond
	longestRetry  = 4 * time.Second
)

// Offer puts a want into the queue; Step decides on it.
func (f *Fleet) Offer(now time.Time, w Want) {
	f.queue = append(f.queue, &w)
	if now.Sub(w.Arrived) < firstOffer && !w.Moved && !w.Cached {
		f.demand.add(now, w, f.pace())
	}
}

// firstOffer tells a want that is new from one that is offered again while it
// waits, which comes a quarter of a second later at the earliest.
const firstOffer = 200 * time.Millisecond

// Step forgets what is over and decides on what waits.
func (f *Fleet) Step(now time.Time) []Decision {
	f.expire(now)
	f.order(now)
	var out []Decision
	kept := f.queue[:0]
	for _, w := range f.queue {
		d, decided := f.decide(now, w, len(kept))
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
				delete(f.streams, id)
			}
			continue
		}
		if now.Sub(f.owners[s.owner]) > ownerSilence {
			delete(f.streams, id)
		}
	}
	for owner, at := range f.owners {
		if now.Sub(at) > ownerSilence {
			delete(f.owners, owner)
		}
	}
	from := 0
	for from < len(f.finished) && now.Sub(f.finished[from]) > drainWindow {
		from++
	}
	f.finished = f.finished[from:]
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

// decide grants, refuses, or lets wait behind as many others.
func (f *Fleet) decide(now time.Time, w *Want, ahead int) (Decision, bool) {
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
	wait := f.drainTime(now, ahead+1)
	until := w.Arrived.Add(w.Patience - stepBefore)
	if now.Add(wait).Before(until) || w.Moved && now.Before(until) {
		return Decision{}, false
	}
	return Decision{
		ID:         w.ID,
		Owner:      w.Owner,
		Refused:    true,
		RetryAfter: min(max(wait, shortestRetry), longestRetry),
		Waited:     now.Sub(w.Arrived),
	}, true
}

func (f *Fleet) grant(now time.Time, w *Want) (Decision, bool) {
	limit := memoryShare
	if !w.Moved && !w.Cached && !w.onTime(now) {
		limit = lateShare
	}
	for _, r := range f.rooms(now, w) {
		if r.share > limit {
			continue
		}
		g, begins, ok := f.prepare(now, w, r.engine)
		if !ok {
			return Decision{}, false
		}
		f.streams[w.ID] = &stream{
			owner:    w.Owner,
			decode:   r.engine.Server,
			prompt:   w.Prompt,
			expected: w.Expected,
			madeAt:   begins,
			granted:  now,
		}
		return Decision{
			ID:     w.ID,
			Owner:  w.Owner,
			Grant:  g,
			Waited: now.Sub(w.Arrived),
			Peak:   int(100 * r.share),
		}, true
	}
	return Decision{}, false
}

// prepare chooses the prefill engine for a decode engine, and predicts the first token.
func (f *Fleet) prepare(now time.Time, w *Want, decode *engine) (Grant, time.Time, bool) {
	g := Grant{
		Decode: decode.Server,
	}
	if w.Cached {
		return g, now.Add(prefillStart), true
	}
	p := f.prefillFor(now, w, decode.Zone)
	if p == nil {
		return Grant{}, time.Time{}, false
	}
	p.freeAt = later(now, p.freeAt).Add(reading(w.Prompt))
	g.Prefill = p.Server
	return g, p.freeAt.Add(prefillStart), true
}

// drainTime predicts how long until so many streams have ended. Without any end
// lately it is the longest time told: engines that are full and end nothing
// are stuck, and asking sooner would only add to it.
func (f *Fleet) drainTime(now time.Time, ends int) time.Duration {
	if len(f.finished) == 0 {
		if len(f.streams) == 0 {
			return shortestRetry
		}
		return longestRetry / 2
	}
	perEnd := drainWindow / time.Duration(len(f.finished))
	if since := now.Sub(f.finished[0]); since > 0 && since < drainWindow && len(f.finished) > 3 {
		perEnd = since / time.Duration(len(f.finished))
	}
	return perEnd * time.Duration(ends)
}
