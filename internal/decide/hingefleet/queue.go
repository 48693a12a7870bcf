package hingefleet

import (
	"cmp"
	"slices"
	"time"
)

const (
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
		f.learnWant(w)
		f.demand.add(now, w)
		f.arrivals = append(f.arrivals, now)
	}
}

// learnWant takes what a new want says of all.
func (f *Fleet) learnWant(w Want) {
	f.paces.prompt.take(float64(w.Prompt), fleetWeight)
	f.paces.gap = w.Gap
	if w.Gap > 0 && len(f.decoders) > 0 {
		f.paces.least = float64(f.decoders[0].Event) / w.Gap.Seconds()
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
	f.unreadable = false
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

// order is rules 3 and 4.
func (f *Fleet) order(now time.Time) {
	rank := func(w *Want) int {
		switch {
		case w.Moved || w.Cached:
			return 0
		case f.onTime(now, w):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(f.queue, func(a, b *Want) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Priority, b.Priority), a.Arrived.Compare(b.Arrived))
	})
}

// onTime reports whether a want that is granted now can meet its target.
func (f *Fleet) onTime(now time.Time, w *Want) bool {
	return !now.Add(f.paces.starting(w.Prompt)).After(w.Arrived.Add(w.Target))
}

// lastStart is how long before its caller loses patience a want is given up: what the prompts
// ahead of it, its own and the way to the first event take.
func (f *Fleet) lastStart(w *Want) time.Duration {
	return f.mostBacklog() + f.paces.reading(w.Prompt) + prefillStart
}

// readWait is how long until so many prompts have gone to engines that prefill. While these are what is short, there
// is memory, and what ends at engines that decode says nothing of the wait.
func (f *Fleet) readWait(now time.Time, prompts int) time.Duration {
	pace := 0.0
	for _, e := range f.prefillers {
		if e.health.usable(now) {
			pace += e.prompts.paceAt(now)
		}
	}
	return span(float64(prompts)*f.paces.prompt.or(0), pace)
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
	wait := r.wait(ahead + 1)
	if f.unreadable {
		wait = f.readWait(now, ahead+1)
	}
	if f.waits(now, w, ahead, wait, r) {
		return Decision{}, false
	}
	return Decision{
		ID:         w.ID,
		Owner:      w.Owner,
		Refused:    true,
		RetryAfter: f.retryAfter(now, wait, r),
		Short:      f.short(now),
		Waited:     now.Sub(w.Arrived),
	}, true
}

// waits reports whether a want that found no place waits on, behind as many others; wait is how long for its turn (rule 5).
func (f *Fleet) waits(now time.Time, w *Want, ahead int, wait time.Duration, r rates) bool {
	if f.onTime(now.Add(wait), w) {
		return true
	}
	until := w.Arrived.Add(w.Patience - f.lastStart(w))
	turn := now.Add(wait).Before(until)
	switch {
	case w.Moved || f.learns(now):
		return now.Before(until)
	case f.unreadable:
		// There is memory, and prompts are read at a steady pace.
		return turn
	case r.spare() && now.Add(r.lateWait(ahead+1)).Before(until):
		return true
	case len(f.decoders) > 0 && f.turns.hopeful(now) && turn:
		return true
	}
	if !turn && now.Sub(w.Arrived) > w.Target {
		f.turns.take(now, false)
	}
	return false
}

// short tells what a want that found no place in this step was short of.
func (f *Fleet) short(now time.Time) Shortage {
	usable := slices.ContainsFunc(f.decoders, func(e *engine) bool {
		return e.health.usable(now)
	})
	switch {
	case !usable:
		return ShortOfEngines
	case f.unreadable:
		return ShortOfPrefill
	}
	return ShortOfMemory
}
