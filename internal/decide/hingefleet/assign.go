package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// assign assigns engines to a request, or returns false if none have capacity.
func (f *Fleet) assign(now time.Time, w *StreamRequest) (Decision, bool) {
	limit := onTimeShare
	if !w.Moved && !w.Cached && !f.onTime(now, w) {
		limit = lateShare
	}
	if f.ruledOut(now, w, limit) {
		return Decision{}, false
	}
	r, found := f.candidate(now, w, limit, nil)
	if !found {
		f.failedAttempts = append(f.failedAttempts, failedAttempt{
			prompt:   w.PromptTokens,
			expected: w.ExpectedTokens,
			limit:    limit,
			avoids:   len(w.Avoid) > 0,
		})
		return Decision{}, false
	}
	g, firstToken, ok := f.planPrefill(now, w, r.engine)
	if !ok {
		if r, ok = f.decoderForPrompt(now, w, limit); !ok {
			return Decision{}, false
		}
		g = Assignment{
			Decode: r.engine.Server,
		}
		firstToken = now.Add(decodePrefillFactor*f.estimates.prefillTime(w.PromptTokens) + prefillOverhead)
	}
	if limit == lateShare {
		f.lateOutcomes.record(now, true)
	}
	f.record(now, w, r.engine, g, firstToken)
	return Decision{
		ID:         w.ID,
		Owner:      w.Owner,
		Assignment: g,
		Waited:     now.Sub(w.Arrived),
		Peak:       int(100 * r.share),
	}, true
}

// failedAttempt is a request for which the current step found no capacity.
type failedAttempt struct {
	prompt   hingeids.Tokens
	expected hingeids.Tokens
	limit    float64
	avoids   bool
}

// ruledOut reports whether the current step already failed to find capacity for a smaller request,
// or a prefill engine for another one. When the fleet is saturated, hundreds of requests are
// queued, and evaluating every engine for each of them would be too expensive.
func (f *Fleet) ruledOut(now time.Time, w *StreamRequest, limit float64) bool {
	if f.prefillSaturated && !w.Cached && len(w.Avoid) == 0 && !f.nearDeadline(now, w) {
		return true
	}
	for _, a := range f.failedAttempts {
		if !a.avoids && w.PromptTokens >= a.prompt && w.ExpectedTokens >= a.expected && limit <= a.limit {
			return true
		}
	}
	return false
}

// record enters an assignment into the state of its engines.
func (f *Fleet) record(now time.Time, w *StreamRequest, decode *engine, g Assignment, firstToken time.Time) {
	f.removeStream(w.ID)
	f.addStream(&stream{
		id:           w.ID,
		owner:        w.Owner,
		prefill:      g.Prefill,
		decode:       decode.Server,
		prompt:       w.PromptTokens,
		expected:     w.ExpectedTokens,
		generatedAt:  firstToken,
		assignedAt:   now,
		prefillSince: prefillSinceOf(now, w, g),
	})
	decode.health.lastAssigned = now
	if g.Prefill == "" && !w.Cached {
		decode.lastPrefill = now
	}
	if p := f.engines[g.Prefill]; p != nil {
		p.health.lastAssigned = now
		p.prefillQueue.add(now, w.ID, w.PromptTokens)
	}
}

// prefillSinceOf returns the time from which the start of a stream is measured, or zero if it
// doesn't start with a prefill on a prefill engine.
func prefillSinceOf(now time.Time, w *StreamRequest, g Assignment) time.Time {
	if w.Cached || w.Moved || g.Prefill == "" {
		return time.Time{}
	}
	return now
}

// planPrefill chooses the prefill engine for a decode engine and predicts when the first token is
// generated. It returns false if no prefill engine is available in time.
func (f *Fleet) planPrefill(now time.Time, w *StreamRequest, decode *engine) (Assignment, time.Time, bool) {
	g := Assignment{
		Decode: decode.Server,
	}
	if w.Cached {
		return g, now.Add(prefillOverhead), true
	}
	p, prefilledAt := f.fastestPrefill(now, w, decode.Zone)
	if p == nil {
		return Assignment{}, time.Time{}, false
	}
	g.Prefill = p.Server
	return g, prefilledAt.Add(prefillOverhead), true
}

// decoderForPrompt returns a decode engine that prefills the prompt itself, if no prefill engine
// can do so in time (rule 7). Unless the request is about to miss its target, the engine must have
// capacity for a second stream of this size: prefilling pauses the engine's streams, so that they
// hold their memory longer.
func (f *Fleet) decoderForPrompt(now time.Time, w *StreamRequest, limit float64) (candidate, bool) {
	urgent := f.nearDeadline(now, w) || !f.canPrefill(now, w)
	r, found := f.candidate(now, w, limit, func(e *engine, share float64) bool {
		return f.mayPrefill(now, w, e) && (urgent || f.estimates.prefillRate.samples > 0 && share+finalShare(w, e) <= limit)
	})
	f.prefillSaturated = f.prefillSaturated || !found && !urgent && len(w.Avoid) == 0
	return r, found
}

// finalShare returns the share of an engine's memory that a stream holds when it finishes.
func finalShare(w *StreamRequest, e *engine) float64 {
	return share(w.PromptTokens+w.ExpectedTokens, e)
}

// mayPrefill reports whether a decode engine may prefill a prompt beside its streams (rule 7).
func (f *Fleet) mayPrefill(now time.Time, w *StreamRequest, decode *engine) bool {
	if now.Sub(decode.lastPrefill) < decodePrefillRest*f.estimates.meanPrefillTime() {
		return false
	}
	return w.MaxEventGap == 0 || f.pause(decode, f.estimates.prefillTime(w.PromptTokens)) < w.MaxEventGap || len(decode.streams) == 0
}

// pause returns the longest time between two events of an engine's streams while the engine
// prefills a prompt that takes a prefill engine prefillTime.
func (f *Fleet) pause(e *engine, prefillTime time.Duration) time.Duration {
	return time.Duration(pauseMargin*decodePrefillFactor*float64(prefillTime)) + f.eventInterval(e)
}

// eventInterval returns the time between two events of an engine that isn't prefilling, including
// their latency.
func (f *Fleet) eventInterval(e *engine) time.Duration {
	return durationOf(float64(e.EventTokens)/f.decodeRateOf(e)) + eventLatency
}

// nearDeadline reports whether a request can still meet its target if a decode engine prefills its
// prompt, but only within nearDeadlineWindow.
func (f *Fleet) nearDeadline(now time.Time, w *StreamRequest) bool {
	needed := decodePrefillFactor*f.estimates.prefillTime(w.PromptTokens) + prefillOverhead
	remaining := w.Arrived.Add(w.Target).Sub(now.Add(needed))
	return !w.Moved && remaining > 0 && remaining < nearDeadlineWindow
}
