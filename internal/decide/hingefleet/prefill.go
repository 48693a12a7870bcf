package hingefleet

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// fastestPrefill returns the engine that would finish the prefill first, and when, or nil if all
// have their maximum backlog: a prompt queued at an engine holds decode memory and can't be
// overtaken. It evaluates a bounded number of engines, the idle ones first, and favors engines in
// the zone of the decode engine, since transfers between zones take twice as long.
func (f *Fleet) fastestPrefill(now time.Time, req *StreamRequest, zone hingeids.Zone) (*engine, time.Time) {
	f.updateIndex(now)
	var best *engine
	var bestAt time.Time
	maxBacklog := f.maxBacklog()
	evaluate := func(e *engine) {
		f.evaluations++
		pending := len(e.prefillQueue.pending)
		backlog := e.prefillQueue.backlog(now)
		if len(e.prefillQueue.pending) != pending {
			f.markChanged(e)
		}
		if backlog > maxBacklog {
			return
		}
		at := now.Add(backlog + e.prefillQueue.prefillTime(now, req.PromptTokens))
		if e.Zone != zone {
			at = at.Add(crossZonePenalty)
		}
		if best == nil || at.Before(bestAt) || at.Equal(bestAt) && e.Server < best.Server {
			best, bestAt = e, at
		}
	}
	f.index.fromZone(zone, func(_ hingeids.Zone, zi *zoneIndex) {
		scan := func(tree *engineTree, limit int) {
			evaluated := 0
			tree.Scan(func(x indexEntry) bool {
				if x.engine.usable(now) && !slices.Contains(req.Avoid, x.engine.Server) {
					evaluate(x.engine)
					evaluated++
				}
				return evaluated < limit
			})
		}
		// All untried engines count as equally fast.
		scan(zi.untried, 1)
		scan(zi.idle, maxEvaluated)
		scan(zi.busy, maxEvaluated)
	})
	return best, bestAt
}

// crossZonePenalty is the delay accepted to keep the KV cache transfer within a zone. It is small
// compared with a prefill.
const crossZonePenalty = 10 * time.Millisecond

// maxPromptsAhead bounds the backlog of a prefill engine, in prompts of the mean length. It is
// enough to keep the engine busy during a decision.
const maxPromptsAhead = 2

// maxBacklog returns the longest backlog with which a prefill engine is assigned another prompt.
func (f *Fleet) maxBacklog() time.Duration {
	return maxPromptsAhead*f.estimates.meanPrefillTime() + assignmentLatency
}

// canPrefill reports whether any prefill engine is usable for the request, regardless of its
// backlog.
func (f *Fleet) canPrefill(now time.Time, req *StreamRequest) bool {
	for _, e := range f.prefillers {
		if e.usable(now) && !slices.Contains(req.Avoid, e.Server) {
			return true
		}
	}
	return false
}

// decodePrefillFactor is the ratio of a decode engine's prefill time to a prefill engine's.
const decodePrefillFactor = 2

const (
	// nearDeadlineWindow is how long before the latest possible start a request may be assigned to
	// a decode engine alone because all prefill engines are busy.
	nearDeadlineWindow = 100 * time.Millisecond
	// decodePrefillRest is the shortest time between two prompts assigned to one decode engine for
	// prefill, in prefill times of a mean prompt on a prefill engine. The engine's streams pause
	// for half of it.
	decodePrefillRest = 2 * decodePrefillFactor
	// pauseMargin is the safety factor for the predicted pause, since a longer one makes all
	// streams of the engine late, often ten of them, for one that could have waited.
	pauseMargin = 1.3
	// eventLatency is from the engine to the entry host.
	eventLatency = 10 * time.Millisecond
)
