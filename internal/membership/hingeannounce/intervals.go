package hingeannounce

import "time"

// IntervalEstimator estimates from the heartbeat intervals observed so far how long a server may be
// silent: a smoothed mean and a smoothed deviation, as TCP computes its retransmission
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
func (g *IntervalEstimator) Observe(interval time.Duration) {
	if g.mean == 0 {
		g.mean = interval
		g.deviation = interval / 2
		return
	}
	change := (interval - g.mean).Abs() - g.deviation
	if change > 0 {
		g.deviation += change / riseWeight
	} else {
		g.deviation += change / fallWeight
	}
	g.mean += (interval - g.mean) / meanWeight
}

// Bound returns the longest expected interval, limited to between least and most. The
// lower limit keeps a short delay after very regular heartbeats from counting as a
// failure; the upper limit ensures that a dead server is detected even if its heartbeats
// were slow.
func (g IntervalEstimator) Bound(lower, upper time.Duration) time.Duration {
	return min(max(g.mean+deviations*g.deviation, lower), upper)
}
