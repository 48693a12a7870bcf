package hingefleet

import "time"

// rates are streams a second: that end, by what is known of those in flight, and that arrive.
type rates struct {
	drain   float64
	arrival float64
}

// ratesEvery is how often the rates are worked out: a step of those that wait.
const ratesEvery = 20 * time.Millisecond

// rates predicts what drains: each stream gives its place back once in its life. Counted
// ends would say nothing in the first seconds, and too little after a lull.
func (f *Fleet) rates(now time.Time) rates {
	if now.Sub(f.knownAt) < ratesEvery {
		return f.known
	}
	f.forgetArrivals(now)
	var r rates
	for _, e := range f.decoders {
		if now.Before(e.health.awayTill) {
			continue
		}
		pace := f.paceOf(e)
		for _, s := range e.streams {
			r.drain += pace / float64(max(s.expected, 1))
		}
	}
	r.arrival = float64(len(f.arrivals)) / arrivalWindow.Seconds()
	f.known = r
	f.knownAt = now
	return r
}

func (f *Fleet) forgetArrivals(now time.Time) {
	from := 0
	for from < len(f.arrivals) && now.Sub(f.arrivals[from]) > arrivalWindow {
		from++
	}
	f.arrivals = f.arrivals[from:]
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

// retryAfter is when a refused caller is best back: once the work ahead has
// drained or, while as much arrives as drains, once the burst is likely over.
// Callers came one after the other, and come back so.
func (f *Fleet) retryAfter(now time.Time, wait time.Duration, r rates) time.Duration {
	switch {
	case f.learns(now):
		return learning
	case !r.spare():
		return longestRetry
	}
	return min(max(wait, shortestRetry), longestRetry)
}

// learns reports whether too little is known yet to refuse anybody: not all engines, or not
// how fast they are. A zone that is cut off with no engine that decodes will learn nothing, and its callers
// are told at once.
func (f *Fleet) learns(now time.Time) bool {
	return f.young(now) || f.paces.decode.readings == 0 && len(f.decoders) > 0
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
