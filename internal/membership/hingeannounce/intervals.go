package hingeannounce

import "time"

// IntervalEstimator estimates from the heartbeat intervals observed so far how long a server
// may be silent: a smoothed mean and a smoothed deviation, as TCP computes its retransmission
// timeout. The zero value has no observations.
type IntervalEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

// A new observation counts as one part in meanWeight, riseWeight or fallWeight. The
// deviation rises fast and falls slowly: a server that stalls occasionally has many short
// intervals in between, and after a fast decay each stall would exceed the bound again.
// Bound permits the mean plus deviations times the deviation.
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

// Bound returns the longest expected interval, limited to between lower and upper. The
// lower limit keeps a short delay after very regular heartbeats from counting as a
// failure; the upper limit ensures that a dead server is detected even if its heartbeats
// were slow.
func (e IntervalEstimator) Bound(lower, upper time.Duration) time.Duration {
	return min(max(e.mean+deviations*e.deviation, lower), upper)
}
