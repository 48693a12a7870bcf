package hingefleet

import (
	"math"
	"time"
)

// Demand is the recent demand for each role, as the number of engines needed to serve it.
type Demand struct {
	Prefill float64
	Decode  float64
	// PrefillOnDecoders reports whether decode engines can prefill prompts of the mean size without
	// making their streams late.
	PrefillOnDecoders bool
}

// demandWindow is the time over which demand is averaged. It is longer than a typical stream, so
// that single streams don't dominate, and shorter than a role change.
const demandWindow = 5 * time.Second

// typicalFill is the share of its memory that an engine uses when it is full: part of the memory
// is kept free as a margin for prediction errors.
const typicalFill = 0.85

// minDemandRequests is the number of requests needed before Demand reports anything. It is small,
// so that role changes begin early in a burst. The mean of fifteen requests whose sizes are spread by
// half is right within an eighth.
const minDemandRequests = 15

// demand averages all requests, including those that are refused: when the fleet is saturated,
// only they show which role is short.
type demand struct {
	// promptTokens is the decayed sum of prompt tokens, decodeWork that of decode memory times
	// generated tokens. Demand divides it by the decode rate, so that a rate learned later applies
	// to all requests in the sum.
	promptTokens float64
	decodeWork   float64
	requests     int
	updatedAt    time.Time
	// firstAt is when the first request arrived.
	firstAt time.Time
}

func (d *demand) add(now time.Time, req StreamRequest) {
	d.decay(now)
	if d.firstAt.IsZero() {
		d.firstAt = now
	}
	d.requests++
	d.promptTokens += float64(req.PromptTokens)
	d.decodeWork += (float64(req.PromptTokens) + float64(req.ExpectedTokens)/2) * float64(req.ExpectedTokens)
}

func (d *demand) decay(now time.Time) {
	if passed := now.Sub(d.updatedAt); passed > 0 {
		factor := decayFactor(passed, demandWindow)
		d.promptTokens *= factor
		d.decodeWork *= factor
		d.updatedAt = now
	}
}

// decayFactor returns the factor by which an average that decays over span shrinks in the time
// passed.
func decayFactor(passed, span time.Duration) float64 {
	return math.Exp(-passed.Seconds() / span.Seconds())
}

// Demand returns the recent demand. It is zero until enough requests have arrived for an estimate.
func (f *Fleet) Demand(now time.Time) Demand {
	f.demand.decay(now)
	span := min(now.Sub(f.demand.firstAt), demandWindow)
	memory := float64(f.largestMemory())
	if f.demand.requests < minDemandRequests || memory == 0 || span <= 0 {
		return Demand{}
	}
	// A decayed sum covers one demandWindow of requests, and less while the sum is new.
	window := demandWindow.Seconds() * (1 - decayFactor(span, demandWindow))
	if now.Sub(f.demand.firstAt) > 3*demandWindow {
		window = demandWindow.Seconds()
	}
	return Demand{
		Prefill:           f.demand.promptTokens / window / f.estimates.usualPrefillRate(),
		Decode:            f.demand.decodeWork / f.estimates.usualDecodeRate() / window / (memory * typicalFill),
		PrefillOnDecoders: f.canPrefillOnDecoders(),
	}
}

// canPrefillOnDecoders reports whether prefilling a prompt of the mean size on a decode engine
// pauses its streams for less than the longest permitted time between events.
func (f *Fleet) canPrefillOnDecoders() bool {
	if f.estimates.maxEventGap == 0 {
		return true
	}
	// The engines of a service are alike, so the first one represents all of them.
	return len(f.decoders) > 0 && f.pause(f.decoders[0], f.estimates.meanPrefillTime()) < f.estimates.maxEventGap
}
