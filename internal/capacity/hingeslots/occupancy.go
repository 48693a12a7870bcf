package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// occupancy holds the requests that occupy the slots of a pool. Rule 5.
type occupancy map[hingeids.RequestID]*reservation

type reservation struct {
	serial uint64
	// startBy is the time by which the request must have started, on this host's
	// clock.
	startBy time.Time
}

func (o occupancy) toWire(now time.Time) []wireReservation {
	out := make([]wireReservation, 0, len(o))
	for id, e := range o {
		out = append(out, wireReservation{
			ID:        id,
			Serial:    e.serial,
			Remaining: max(e.startBy.Sub(now), 0),
		})
	}
	return out
}

// occupancyFromWire decodes an occupancy received from another host. Remaining
// times are extended by the clock margin, since that host's clock may be faster.
func occupancyFromWire(now time.Time, all []wireReservation) occupancy {
	o := make(occupancy, len(all))
	for _, w := range all {
		o[w.ID] = &reservation{
			serial:  w.Serial,
			startBy: now.Add(addClockMargin(w.Remaining)),
		}
	}
	return o
}

// removeUnheld removes the requests that the engine no longer holds. The engine
// was queried at queriedAt; requests that may not have been visible by then are
// kept. Rule 6.
func (o occupancy) removeUnheld(queriedAt time.Time, held map[hingeids.RequestID]bool) {
	for id, e := range o {
		if !held[id] && queriedAt.After(e.startBy.Add(visibilityDelay)) {
			delete(o, id)
		}
	}
}

// addClockMargin extends a duration that was measured by another host's clock,
// which may be faster.
func addClockMargin(d time.Duration) time.Duration {
	return d + d/clockMargin
}

// subtractClockMargin shortens a duration that another host will measure with its
// clock, which may be slower.
func subtractClockMargin(d time.Duration) time.Duration {
	return d - d/clockMargin
}
