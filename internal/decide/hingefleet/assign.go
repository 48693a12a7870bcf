package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// assign assigns engines to a request, or returns false if none have capacity.
func (f *Fleet) assign(now time.Time, req *StreamRequest) (Decision, bool) {
	limit := onTimeShare
	if !req.Moved && !req.Cached && !f.onTime(now, req) {
		limit = lateShare
	}
	if f.ruledOut(now, req, limit) {
		return Decision{}, false
	}
	c, found := f.candidate(now, req, limit, nil)
	if !found {
		f.failedAttempts = append(f.failedAttempts, failedAttempt{
			prompt:   req.PromptTokens,
			expected: req.ExpectedTokens,
			limit:    limit,
			avoids:   len(req.Avoid) > 0,
		})
		return Decision{}, false
	}
	a, firstToken, ok := f.planPrefill(now, req, c.engine)
	if !ok {
		if c, ok = f.decoderForPrompt(now, req, limit); !ok {
			return Decision{}, false
		}
		a = Assignment{
			Decode: c.engine.Server,
		}
		firstToken = now.Add(f.estimates.decoderPrefillTime(req.PromptTokens))
	}
	if limit == lateShare {
		f.lateOutcomes.record(now, true)
	}
	f.record(now, req, c.engine, a, firstToken)
	return Decision{
		ID:         req.ID,
		Owner:      req.Owner,
		Assignment: a,
		Waited:     now.Sub(req.Arrived),
		Peak:       int(100 * c.share),
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
// or a prefill engine for another one. Evaluating every engine for each of hundreds of queued
// requests would be too expensive.
func (f *Fleet) ruledOut(now time.Time, req *StreamRequest, limit float64) bool {
	if f.prefillSaturated && !req.Cached && len(req.Avoid) == 0 && !f.nearDeadline(now, req) {
		return true
	}
	for _, a := range f.failedAttempts {
		if !a.avoids && req.PromptTokens >= a.prompt && req.ExpectedTokens >= a.expected && limit <= a.limit {
			return true
		}
	}
	return false
}

func (f *Fleet) record(now time.Time, req *StreamRequest, decode *engine, a Assignment, firstToken time.Time) {
	f.removeStream(req.ID)
	f.addStream(&stream{
		id:           req.ID,
		owner:        req.Owner,
		prefill:      a.Prefill,
		decode:       decode.Server,
		prompt:       req.PromptTokens,
		expected:     req.ExpectedTokens,
		generatedAt:  firstToken,
		assignedAt:   now,
		placedAt:     now,
		prefillSince: prefillSinceOf(now, req, a),
	})
	decode.health.lastAssigned = now
	decode.restriction.RecordSend(now)
	if a.Prefill == "" && !req.Cached {
		decode.lastPrefill = now
	}
	if p := f.engines[a.Prefill]; p != nil {
		p.health.lastAssigned = now
		p.restriction.RecordSend(now)
		p.prefillQueue.add(now, req.ID, req.PromptTokens)
		f.markChanged(p)
	}
}

// prefillSinceOf returns the time from which the start of a stream is measured, or zero if it
// doesn't start with a prefill on a prefill engine.
func prefillSinceOf(now time.Time, req *StreamRequest, a Assignment) time.Time {
	if req.Cached || req.Moved || a.Prefill == "" {
		return time.Time{}
	}
	return now
}

// planPrefill chooses the prefill engine for a decode engine and predicts when the first token is
// generated. It returns false if no prefill engine is available in time.
func (f *Fleet) planPrefill(now time.Time, req *StreamRequest, decode *engine) (Assignment, time.Time, bool) {
	a := Assignment{
		Decode: decode.Server,
	}
	if req.Cached {
		return a, now.Add(prefillOverhead), true
	}
	if firstToken, ok := f.planPrefillInPlace(now, req, decode); ok {
		return a, firstToken, true
	}
	p, prefilledAt := f.fastestPrefill(now, req, decode.Zone)
	if p == nil {
		return Assignment{}, time.Time{}, false
	}
	a.Prefill = p.Server
	return a, prefilledAt.Add(prefillOverhead), true
}

// planPrefillInPlace reports whether a decode engine prefills the prompt itself although a prefill
// engine is free (rule 10), and predicts when the first token is generated.
func (f *Fleet) planPrefillInPlace(now time.Time, req *StreamRequest, decode *engine) (time.Time, bool) {
	if req.Moved || req.Resumed || !req.MayRetry || len(decode.streams) > 0 || !f.mostlyIdle() || f.estimates.prefillRate.samples == 0 {
		return time.Time{}, false
	}
	firstToken := now.Add(f.estimates.decoderPrefillTime(req.PromptTokens))
	return firstToken, firstToken.Before(req.Arrived.Add(req.Target / 2))
}

// minIdleDecoders is the least number of idle decode engines with which one of them prefills a prompt
// in place: streams that arrive meanwhile need others.
const minIdleDecoders = 8

// mostlyIdle reports whether most decode engines have no streams.
func (f *Fleet) mostlyIdle() bool {
	idle := len(f.decoders) - f.index.loaded.Len()
	return idle >= max(minIdleDecoders, len(f.decoders)/2)
}

// decoderForPrompt returns a decode engine to prefill the prompt, if no prefill engine can do so in
// time (rule 7). Unless the request is about to miss its target, the engine must have capacity for
// a second stream of this size, since its streams pause and hold their memory longer.
func (f *Fleet) decoderForPrompt(now time.Time, req *StreamRequest, limit float64) (candidate, bool) {
	urgent := f.nearDeadline(now, req) || !f.canPrefill(now, req)
	c, found := f.candidate(now, req, limit, func(e *engine, share float64) bool {
		return f.mayPrefill(now, req, e) && (urgent || f.estimates.prefillRate.samples > 0 && share+finalShare(req, e) <= limit)
	})
	f.prefillSaturated = f.prefillSaturated || !found && !urgent && len(req.Avoid) == 0
	return c, found
}

// finalShare returns the share of an engine's memory that a stream holds when it finishes.
func finalShare(req *StreamRequest, e *engine) float64 {
	return share(req.PromptTokens+req.ExpectedTokens, e)
}

// mayPrefill reports whether a decode engine may prefill a prompt beside its streams (rule 7).
func (f *Fleet) mayPrefill(now time.Time, req *StreamRequest, decode *engine) bool {
	if now.Sub(decode.lastPrefill) < decodePrefillRest*f.estimates.meanPrefillTime() {
		return false
	}
	return req.MaxEventGap == 0 || f.pause(decode, f.estimates.prefillTime(req.PromptTokens)) < req.MaxEventGap || len(decode.streams) == 0
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
// prompt, but only if that engine is assigned within nearDeadlineWindow.
func (f *Fleet) nearDeadline(now time.Time, req *StreamRequest) bool {
	remaining := req.Arrived.Add(req.Target).Sub(now.Add(f.estimates.decoderPrefillTime(req.PromptTokens)))
	return !req.Moved && remaining > 0 && remaining < nearDeadlineWindow
}
