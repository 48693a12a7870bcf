package hingeplace

import (
	"math"
	"time"
)

// demand is an exponentially decaying count of the requests of one priority
// that started.
type demand struct {
	priority int
	last     time.Time
	count    float64
	// tokens is the uncached prompt tokens of these requests, with the same
	// decay.
	tokens float64
}

// demandTimeConstant is the time constant with which the demand of a priority decays: long enough for some
// tens of short queries, short enough to follow a burst.
const demandTimeConstant = 3 * time.Second

// recordDemand counts a request of a priority that starts with the given
// number of uncached prompt tokens.
func (v *View) recordDemand(now time.Time, priority int, tokens float64) {
	for i := range v.demand {
		if d := &v.demand[i]; d.priority == priority {
			decay := d.decay(now)
			d.count = d.count*decay + 1
			d.tokens = d.tokens*decay + tokens
			d.last = now
			return
		}
	}
	v.demand = append(v.demand, demand{
		priority: priority,
		last:     now,
		count:    1,
		tokens:   tokens,
	})
}

// decay is the factor by which the counts have decayed since the last update.
func (d *demand) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(d.last).Seconds() / demandTimeConstant.Seconds())
}

// shareAhead is the share of recent prompt work that precedes a new request of
// a priority. Reports don't state the priorities of other entry hosts' work,
// so that work is assumed to have the same mix as this host's.
func (v *View) shareAhead(now time.Time, priority int) float64 {
	var ahead, total float64
	for i := range v.demand {
		tokens := v.demand[i].tokens * v.demand[i].decay(now)
		total += tokens
		if v.demand[i].priority >= priority {
			ahead += tokens
		}
	}
	if total <= 0 {
		return 1
	}
	return ahead / total
}

// rate is the number of requests per second.
func (d *demand) rate(now time.Time) float64 {
	return d.count * d.decay(now) / demandTimeConstant.Seconds()
}

// higherRate is the expected number of requests per second of a higher
// priority.
func (v *View) higherRate(now time.Time, priority int) float64 {
	var sum float64
	for i := range v.demand {
		if v.demand[i].priority > priority {
			sum += v.demand[i].rate(now)
		}
	}
	return sum
}

// reserveWindow is the time for which slots are reserved for higher
// priorities: about the duration of their prefill and transfer.
const reserveWindow = 100 * time.Millisecond

// reservedSlots is the number of free slots that a request must leave for
// expected requests of a higher priority: on full engines, waiting long
// requests would otherwise occupy each slot as soon as it is free. The demand
// of other entry hosts is estimated from this host's, in proportion to the
// slots held.
func (v *View) reservedSlots(now time.Time, priority int) int {
	higher := v.higherRate(now, priority)
	if higher <= 0 {
		return 0
	}
	ours, others := 0, 0
	for _, e := range v.engines {
		ours += len(e.holding)
		others += e.foreignHeld
	}
	scale := min(maxDemandScale, 1+float64(others)/float64(max(1, ours)))
	return int(math.Ceil(higher * scale * reserveWindow.Seconds()))
}

// maxDemandScale bounds the factor by which reservedSlots scales this host's
// demand.
const maxDemandScale = 8

// busySmoothing is the weight of a new sample in View.busyShare.
const busySmoothing = 0.05

// updateBusy samples the share of prefill engines with work when a request
// starts.
func (v *View) updateBusy() {
	total, busy := 0, 0
	for _, e := range v.engines {
		if !e.prefills() {
			continue
		}
		total++
		if len(e.prefilling) > 0 || e.foreignTokens > 0 {
			busy++
		}
	}
	if total > 0 {
		v.busyShare += busySmoothing * (float64(busy)/float64(total) - v.busyShare)
	}
}
