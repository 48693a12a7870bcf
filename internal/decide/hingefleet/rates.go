package hingefleet

import (
	"math"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// rates are streams per second: those that finish, predicted from the streams in flight, and those
// that arrive.
type rates struct {
	drain   float64
	arrival float64
}

// ratesInterval is how long computed rates are reused.
const ratesInterval = 20 * time.Millisecond

// rates predicts the drain rate from the expected durations of the streams in flight. Counted
// completions would be missing at the start and too few after a period of low load.
func (f *Fleet) rates(now time.Time) rates {
	if now.Sub(f.cachedRatesAt) < ratesInterval {
		return f.cachedRates
	}
	f.dropOldArrivals(now)
	f.updateIndex(now)
	var r rates
	f.index.loaded.Scan(func(_ hingeids.ServerID, e *engine) bool {
		if now.Before(e.unusableUntil(now)) {
			return true
		}
		rate := f.decodeRateOf(e)
		for _, s := range e.streams {
			r.drain += rate / float64(max(s.expected, 1))
		}
		return true
	})
	r.drain = min(r.drain, f.restrictedRate(now))
	r.arrival = float64(len(f.arrivals)) / arrivalWindow.Seconds()
	f.cachedRates = r
	f.cachedRatesAt = now
	return r
}

// restrictedRate returns the rate at which the statements of the decode engines allow streams, which is unlimited while
// nothing restricts an engine.
func (f *Fleet) restrictedRate(now time.Time) float64 {
	restricted, sum := 0, 0.0
	f.restrictions.Scan(now, func(id hingeids.ServerID, perSecond float64) {
		if e := f.engines[id]; e != nil && e.Role == Decode {
			restricted++
			sum += perSecond
		}
	})
	if restricted < len(f.decoders) {
		return math.Inf(1)
	}
	return sum
}

func (f *Fleet) dropOldArrivals(now time.Time) {
	from := 0
	for from < len(f.arrivals) && now.Sub(f.arrivals[from]) > arrivalWindow {
		from++
	}
	f.arrivals = f.arrivals[from:]
}

// wait returns how long it takes until the given number of streams have finished.
func (r rates) wait(streams int) time.Duration {
	return waitFor(float64(streams), r.drain)
}

// hasSpare reports whether streams finish faster than requests arrive, by minSpareShare at least.
func (r rates) hasSpare() bool {
	return r.drain-r.arrival > minSpareShare*r.drain
}

// lateWait returns the wait of a late request, which new arrivals overtake.
func (r rates) lateWait(streams int) time.Duration {
	return waitFor(float64(streams), r.drain-r.arrival)
}

func waitFor(streams, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return durationOf(min(streams/perSecond, maxRetryAfter.Seconds()))
}

// retryAfter returns the delay before a refused caller should retry: the time until the work ahead
// is finished or, while requests arrive as fast as streams finish, the likely rest of the burst.
func (f *Fleet) retryAfter(now time.Time, wait time.Duration, r rates) time.Duration {
	switch {
	case f.isLearning(now):
		return discoveryTime
	case !r.hasSpare():
		return maxRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// isLearning reports whether too little is known to refuse a request: engines may still be
// unknown, or their decode rates are. A fleet without decode engines learns no rate, so it
// refuses requests once discovery is over.
func (f *Fleet) isLearning(now time.Time) bool {
	return f.isDiscovering(now) || f.estimates.decodeRate.samples == 0 && len(f.decoders) > 0
}

// isDiscovering reports whether engines may exist that haven't been announced. After an outage of
// all hosts they are announced one by one, and a lack of capacity at the first ones doesn't mean
// saturation.
func (f *Fleet) isDiscovering(now time.Time) bool {
	return !f.startedAt.IsZero() && now.Sub(f.startedAt) < discoveryTime
}

// discoveryTime is how long it takes until all engines are known: each is announced every 1.2 s.
const discoveryTime = 1500 * time.Millisecond
