package hingequeue

import "time"

const (
	// maxWaitHalfLife is the time after which an observed maximum wait counts half: long enough for
	// some hundred observations at low rates, short enough to follow a change of the configuration.
	maxWaitHalfLife = 5 * time.Second
	// maxWaitStep is the resolution of targets and maximum waits. Smaller differences may come from
	// the time that a request was in transit.
	maxWaitStep = 50 * time.Millisecond
)

// maxWaits estimates how long ago a caller started. A caller that was refused before announces a
// maximum wait that is shorter by the time since; nothing else marks it. These values are spread
// out, so the most common one is that of first attempts.
type maxWaits struct {
	classes map[time.Duration]*maxWaitCounts
}

type maxWaitCounts struct {
	counts     map[time.Duration]float64
	mostCommon time.Duration
	decayedAt  time.Time
}

// elapsed returns how long the caller of a request had already waited before the request arrived.
// Requests with the same target are assumed to have the same maximum wait on their first attempt.
func (m *maxWaits) elapsed(now time.Time, target, maxWait time.Duration) time.Duration {
	if maxWait <= 0 {
		return 0
	}
	if m.classes == nil {
		m.classes = make(map[time.Duration]*maxWaitCounts)
	}
	class := target.Round(maxWaitStep)
	c := m.classes[class]
	if c == nil {
		c = &maxWaitCounts{
			counts:    make(map[time.Duration]float64),
			decayedAt: now,
		}
		m.classes[class] = c
	}
	c.observe(now, maxWait.Round(maxWaitStep))
	if elapsed := c.mostCommon - maxWait; elapsed > maxWaitStep {
		return elapsed
	}
	return 0
}

func (c *maxWaitCounts) observe(now time.Time, maxWait time.Duration) {
	if now.Sub(c.decayedAt) > maxWaitHalfLife {
		c.decayedAt = now
		c.decay()
	}
	c.counts[maxWait]++
	if highest := c.counts[c.mostCommon]; c.counts[maxWait] > highest ||
		c.counts[maxWait] == highest && maxWait > c.mostCommon {
		c.mostCommon = maxWait
	}
}

// decay halves the counts and drops values that were seen once or twice.
func (c *maxWaitCounts) decay() {
	for maxWait, n := range c.counts {
		c.counts[maxWait] = n / 2
		if n < 2 {
			delete(c.counts, maxWait)
		}
	}
}
