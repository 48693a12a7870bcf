package hingeplace

import (
	"math"
	"time"
)

// lengthStats estimates the distribution of output lengths of a class, for the
// probability of rule 4. An answer that has just started is unlikely to finish
// soon, so a burst of answers that started together frees no slot for a while.
type lengthStats struct {
	mean float64
	// bins is a decaying histogram of lengths with binsPerDoubling bins for each
	// doubling.
	bins [binCount]float64
	// longer holds, for each bin, the sum of the bins above it, and total the sum
	// of all, both as of the last updateSums.
	longer [binCount]float64
	total  float64
}

const (
	binCount        = 72
	binsPerDoubling = 4
	// outputSmoothing is the weight of a new sample in the mean and the bins.
	outputSmoothing = 0.02
	// minBinWeight is the least total weight at which the bins are used.
	minBinWeight = 0.3
)

func binOf(tokens float64) int {
	return min(binCount-1, int(binsPerDoubling*math.Log2(max(1, tokens))))
}

// binStart holds the first length of each bin, followed by the end of the last
// one.
var binStart = func() (from [binCount + 1]float64) {
	for i := range from {
		from[i] = math.Exp2(float64(i) / binsPerDoubling)
	}
	return from
}()

func (l *lengthStats) observe(tokens float64) {
	l.mean += outputSmoothing * (tokens - l.mean)
	for i := range l.bins {
		l.bins[i] *= 1 - outputSmoothing
	}
	l.bins[binOf(tokens)] += outputSmoothing
}

func (l *lengthStats) updateSums() {
	l.total = 0
	for i := binCount - 1; i >= 0; i-- {
		l.longer[i] = l.total
		l.total += l.bins[i]
	}
}

// hazard is the probability per further token that an answer finishes, if it
// has reached the given length.
func (l *lengthStats) hazard(soFar float64) float64 {
	if l.total < minBinWeight {
		return 1 / max(1, l.mean)
	}
	bin := binOf(soFar)
	start, end := binStart[bin], binStart[bin+1]
	remaining := l.bins[bin] * min(1, (end-soFar)/(end-start))
	if l.longer[bin]+remaining < 0.01 {
		// Longer than nearly all recent answers, so the histogram says nothing.
		return 1 / max(1, l.mean)
	}
	return l.bins[bin] / (end - start) / (l.longer[bin] + remaining)
}

// forecastMaxAge is the age at which the forecast is recomputed. It is a sum
// over all held slots, too slow for every decision with a thousand engines.
const forecastMaxAge = 50 * time.Millisecond

// horizons are the times, in seconds, for which releases are forecast. Each is
// twice the previous one; times in between are interpolated.
var horizons = [...]float64{0.25, 0.5, 1, 2, 4}

// releaseForecast is the expected number of slots, of those held by requests
// of a priority, that are released within each horizon.
type releaseForecast struct {
	priority int
	expected [len(horizons)]float64
}

// refreshForecast recomputes the forecast if it is older than forecastMaxAge.
func (v *View) refreshForecast(now time.Time) {
	if now.Sub(v.forecastAt) < forecastMaxAge {
		return
	}
	v.forecastAt = now
	for i := range v.releaseForecast {
		v.releaseForecast[i].expected = [len(horizons)]float64{}
	}
	for _, l := range v.classes {
		l.updateSums()
	}
	for _, e := range v.engines {
		gap := v.expectedGap(e, len(e.holding)+e.foreignHeld).Seconds()
		for _, f := range e.holding {
			soFar := max(0, now.Sub(f.boundAt)-f.transferTime).Seconds() / gap
			rate := v.class(f.request.Class).hazard(soFar) / gap
			forecast := v.releasesOf(f.request.Priority)
			survival := math.Exp(-rate * horizons[0])
			for i := range horizons {
				forecast.expected[i] += 1 - survival
				survival *= survival
			}
		}
	}
}

func (v *View) releasesOf(priority int) *releaseForecast {
	for i := range v.releaseForecast {
		if v.releaseForecast[i].priority == priority {
			return &v.releaseForecast[i]
		}
	}
	v.releaseForecast = append(v.releaseForecast, releaseForecast{
		priority: priority,
	})
	return &v.releaseForecast[len(v.releaseForecast)-1]
}

// expectedReleases forecasts how many slots usable by a request of the given
// priority are released within a time. Slots of higher priorities don't count:
// the next request of that priority will need them.
func (v *View) expectedReleases(priority int, within time.Duration) float64 {
	var sum float64
	for i := range v.releaseForecast {
		if v.releaseForecast[i].priority <= priority {
			sum += v.releaseForecast[i].within(within.Seconds())
		}
	}
	return sum
}

func (f *releaseForecast) within(s float64) float64 {
	start, previous := 0.0, 0.0
	for i, h := range horizons {
		if s <= h {
			return previous + (f.expected[i]-previous)*(s-start)/(h-start)
		}
		start, previous = h, f.expected[i]
	}
	return previous
}

// class returns the statistics of a class and creates them if there are none.
func (v *View) class(name string) *lengthStats {
	l := v.classes[name]
	if l == nil {
		l = &lengthStats{
			mean: float64(v.config.DefaultOutput),
		}
		v.classes[name] = l
	}
	return l
}
