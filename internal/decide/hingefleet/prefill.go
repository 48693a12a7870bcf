package hingefleet

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// prefillFor gives the engine that will have read the prompt first, one of the zone of
// the decode engine if they are alike: a transfer between zones takes twice as long.
// None is given if all have work for a while: what waits there holds decode
// memory for nothing, and can't be overtaken any more by what is more urgent.
func (f *Fleet) prefillFor(now time.Time, w *Want, zone hingeids.Zone) (*engine, time.Time) {
	var best *engine
	var bestAt time.Time
	most := f.mostBacklog()
	for _, e := range f.prefillers {
		if !e.health.usable(now) || slices.Contains(w.Avoid, e.Server) {
			continue
		}
		backlog := e.prompts.backlog(now)
		if backlog > most {
			continue
		}
		at := now.Add(backlog + e.prompts.reading(now, w.Prompt))
		if e.Zone != zone {
			at = at.Add(otherZone)
		}
		if best == nil || at.Before(bestAt) || at.Equal(bestAt) && e.Server < best.Server {
			best, bestAt = e, at
		}
	}
	return best, bestAt
}

// otherZone is the wait that a transfer within the zone is worth: a tenth of a
// prefill, which costs callers nothing that they would notice.
const otherZone = 10 * time.Millisecond

// promptsAhead is how many prompts of the mean size a prefill engine may have ahead, so that it never
// idles while a decision is on its way: with 1.3 and 3.2 as much is served (tried on two deployments).
const promptsAhead = 2

// mostBacklog is the work that a prefill engine may have ahead.
func (f *Fleet) mostBacklog() time.Duration {
	return promptsAhead*f.paces.usualReading() + handOver
}

// prefills reports whether an engine that prefills can be used at all, now or once its
// work is done.
func (f *Fleet) prefills(now time.Time, w *Want) bool {
	for _, e := range f.prefillers {
		if e.health.usable(now) && !slices.Contains(w.Avoid, e.Server) {
			return true
		}
	}
	return false
}

// ownReading is how many times longer a decode engine reads a prompt than one that prefills.
const ownReading = 2

const (
	// lastCallTime is how long before it would be late a want whose prompt no engine can read yet is
	// given to a decode engine that has room.
	lastCallTime = 100 * time.Millisecond
	// readRest is how long a decode engine that works a prompt isn't given another, in readings of a prompt of the
	// mean size by an engine that prefills: its streams pause for half of that time.
	readRest = 2 * ownReading
	// pauseMargin is how much longer than predicted such a pause may be: one that is too long makes all streams of the
	// engine late, ten of them as a rule, for one that would have waited.
	pauseMargin = 1.3
	// eventWay is what an event takes from the engine to the entry host, beside the making.
	eventWay = 10 * time.Millisecond
)
