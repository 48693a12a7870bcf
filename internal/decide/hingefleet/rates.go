package hingefleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

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
