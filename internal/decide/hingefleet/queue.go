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
