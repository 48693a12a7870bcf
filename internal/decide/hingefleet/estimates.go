package hingefleet

import (
	"math"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// estimate is a moving average. The first sample replaces the default, the next ones are averaged
// equally, and later ones have a fixed weight.
type estimate struct {
	value   float64
	samples int
}

func (e *estimate) add(sample, weight float64) {
	e.samples++
	e.value += max(weight, 1/float64(e.samples)) * (sample - e.value)
}

// addUpper adds a sample with a lower weight if it is below the estimate, which then converges to
// about the 80th percentile. Engines that have become slow hardly reduce it.
func (e *estimate) addUpper(sample, weight float64) {
	if e.samples > 0 && sample < e.value {
		weight /= upperWeight
		e.samples++
		e.value += weight * (sample - e.value)
		return
	}
	e.add(sample, weight)
}

// upperWeight is the weight of a sample above the estimate relative to one below it, in addUpper.
const upperWeight = 4

// valueOr returns the estimate, or other if there are no samples.
func (e *estimate) valueOr(other float64) float64 {
	if e.samples == 0 {
		return other
	}
	return e.value
}

// estimates is what was learned about all engines of a fleet (rule 9). An engine without samples
// of its own is assumed to be like the others.
type estimates struct {
	// decodeRate is the tokens per second that an engine generates for one stream. minDecodeRate
	// is the lowest rate at which events are on time.
	decodeRate    estimate
	minDecodeRate float64
	// maxEventGap is the longest permitted time between events in the latest request; zero means
	// no limit.
	maxEventGap time.Duration
	// prefillRate is in prompt tokens per second.
	prefillRate  estimate
	promptTokens estimate
	// startOverhead is the seconds from an assignment to the first event without the prefill of
	// the stream's own prompt: queued prompts, round trips, the transfer and the generation of the
	// event.
	startOverhead estimate
	// squaredHintError is the mean square of the relative difference between answer lengths and
	// hints.
	squaredHintError estimate
}

const (
	// engineWeight is the weight of a new sample of an engine's decode rate. Samples come about
	// every half second, and five of them cover two thirds of a change.
	engineWeight = 0.2
	// fleetWeight is the weight of a new sample in the estimates for all engines. It is low, so
	// that the samples of one slow engine don't dominate them.
	fleetWeight = 0.05
	// defaultRateFactor is the assumed ratio of an engine's decode rate to minDecodeRate before
	// there are samples. An engine close to minDecodeRate couldn't serve several streams.
	defaultRateFactor = 4
	// defaultDecodeRate and defaultPrefillRate are used until the first event or prefill, in tokens
	// per second. They are near the geometric means of common engines' rates.
	defaultDecodeRate  = 300
	defaultPrefillRate = 25000
	// defaultHintError is the assumed relative error of hints before any answer is complete.
	// maxHintError bounds the error of one answer, so that a hint of one token doesn't dominate
	// the estimate.
	defaultHintError = 0.75
	maxHintError     = 4
	// startOverheadWeight is the weight of a new sample of startOverhead. It adapts within some
	// ten streams, about as fast as a queue builds up.
	startOverheadWeight = 0.1
	// minRateInterval is the shortest interval between two reports that gives a sample of the
	// decode rate. Shorter ones are distorted by the size of single events.
	minRateInterval = 100 * time.Millisecond
)

// usualDecodeRate returns the decode rate assumed for an engine without samples.
func (e *estimates) usualDecodeRate() float64 {
	if e.minDecodeRate > 0 {
		return e.decodeRate.valueOr(defaultRateFactor * e.minDecodeRate)
	}
	return e.decodeRate.valueOr(defaultDecodeRate)
}

// usualPrefillRate returns the prefill rate assumed for an engine without samples.
func (e *estimates) usualPrefillRate() float64 {
	return e.prefillRate.valueOr(defaultPrefillRate)
}

// prefillTime returns how long an engine of the usual rate needs to prefill n tokens.
func (e *estimates) prefillTime(n hingeids.Tokens) time.Duration {
	return durationOf(float64(n) / e.usualPrefillRate())
}

// decoderPrefillTime returns how long a decode engine needs to prefill n tokens and to generate the
// first token.
func (e *estimates) decoderPrefillTime(n hingeids.Tokens) time.Duration {
	return decodePrefillFactor*e.prefillTime(n) + prefillOverhead
}

func (e *estimates) meanPrefillTime() time.Duration {
	return durationOf(e.promptTokens.valueOr(0) / e.usualPrefillRate())
}

// hintError returns the root mean square of the relative error of hints.
func (e *estimates) hintError() float64 {
	return math.Sqrt(e.squaredHintError.valueOr(defaultHintError * defaultHintError))
}

func (e *estimates) observeLength(expected, generated hingeids.Tokens) {
	relativeError := float64(generated-expected) / float64(max(expected, 1))
	relativeError = min(relativeError, maxHintError)
	e.squaredHintError.add(relativeError*relativeError, fleetWeight)
}

// timeToFirstEvent returns the expected time from a stream's assignment to its first event.
func (e *estimates) timeToFirstEvent(prompt hingeids.Tokens) time.Duration {
	return e.prefillTime(prompt) + durationOf(e.startOverhead.valueOr(prefillOverhead.Seconds()))
}

// observeStart adds a sample of startOverhead when the first event of a stream is reported.
func (f *Fleet) observeStart(now time.Time, s *stream) {
	if s.prefillSince.IsZero() {
		return
	}
	overhead := now.Sub(s.prefillSince) - f.estimates.prefillTime(s.prompt)
	f.estimates.startOverhead.addUpper(max(overhead, 0).Seconds(), startOverheadWeight)
	s.prefillSince = time.Time{}
}

func (f *Fleet) observeDecodeRate(e *engine, elapsed time.Duration, generated hingeids.Tokens) {
	if elapsed < minRateInterval {
		return
	}
	sample := float64(generated) / elapsed.Seconds()
	e.measuredRate.add(sample, engineWeight)
	f.estimates.decodeRate.add(sample, fleetWeight)
}

func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
