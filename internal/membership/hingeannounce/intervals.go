package hingeannounce

import "time"

// IntervalEstimator estimates from the observed heartbeat intervals how long a server
// may be silent. It uses a smoothed mean and deviation, as TCP does for its
// retransmission timeout. The zero value has no observations.
type IntervalEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

// A new observation counts as one part in meanWeight, riseWeight or fallWeight. The
// deviation rises fast and falls slowly, since after a fast decay each stall of a
// server that stalls occasionally would exceed the bound again. Bound permits the
// mean plus deviations times the deviation.
const (
	meanWeight = 8
	riseWeight = 2
	fallWeight = 64
	deviations = 4
)

// Observe adds the interval between two heartbeats.
func (e *IntervalEstimator) Observe(interval time.Duration) {
	if e.mean == 0 {
		e.mean = interval
		e.deviation = interval / 2
		return
	}
	change := (interval - e.mean).Abs() - e.deviation
	if change > 0 {
		e.deviation += change / riseWeight
	} else {
		e.deviation += change / fallWeight
	}
	e.mean += (interval - e.mean) / meanWeight
}

// Bound returns the longest expected interval, limited to between lower and upper.
// The lower limit permits a short delay after very regular heartbeats; the upper one
// ensures that a dead server with slow heartbeats is detected.
func (e IntervalEstimator) Bound(lower, upper time.Duration) time.Duration {
	return min(max(e.mean+deviations*e.deviation, lower), upper)
}
