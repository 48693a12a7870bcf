package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// prefillRateWeight is the weight of a new sample of an engine's prefill rate. Three prompts
	// cover two thirds of a change.
	prefillRateWeight = 0.3
	// prefillRateDecay is the time constant with which the rate of an engine without prompts
	// returns to the usual rate, so that an engine that was slow once is tried again.
	prefillRateDecay = 3 * time.Second
	// minSampleTime is the shortest prefill time that gives a sample. Shorter prefills are
	// accumulated, since several completions can be reported together.
	minSampleTime = 10 * time.Millisecond
	// minRateFactor and maxRateFactor bound a sample relative to the usual rate, to limit the
	// effect of a stalled prompt and of completions that are reported together.
	minRateFactor = 0.05
	maxRateFactor = 1.5
	// minBoundSamples is the number of samples after which these bounds apply.
	minBoundSamples = 5
	// untriedFactor is the assumed rate of an engine without samples, relative to the usual rate.
	// It makes such an engine win ties, so that its rate becomes known.
	untriedFactor = 1.05
	// assignmentLatency is the overhead of a prompt at an idle engine: the assignment's way to the
	// owner, a connection, and the report of the completion.
	assignmentLatency = 20 * time.Millisecond
	// promptTimeout is how long a prompt counts as pending without a report of its completion.
	promptTimeout = 3 * time.Second
)

// prefillQueue is the pending work of a prefill engine, as far as this fleet assigned it.
type prefillQueue struct {
	pending map[StreamID]queuedPrompt
	fleet   *estimates
	// rate is the prompt tokens that the engine prefills per second, sampledAt the time of its
	// last sample.
	rate      float64
	sampledAt time.Time
	lastDone  time.Time
	// sampleFrom is when the engine started on sampleTokens, the tokens accumulated for the next
	// sample.
	sampleFrom   time.Time
	sampleTokens hingeids.Tokens
}

// queuedPrompt is a prompt that is queued or being prefilled.
type queuedPrompt struct {
	tokens hingeids.Tokens
	since  time.Time
}

func newPrefillQueue(fleet *estimates) prefillQueue {
	return prefillQueue{
		pending: make(map[StreamID]queuedPrompt),
		fleet:   fleet,
	}
}

func (q *prefillQueue) add(now time.Time, id StreamID, n hingeids.Tokens) {
	q.pending[id] = queuedPrompt{
		tokens: n,
		since:  now,
	}
}

func (q *prefillQueue) remove(id StreamID) {
	delete(q.pending, id)
}

// done records the end of a prompt, successful or not. An engine prefills prompts one after the
// other, so a prompt took the time since the previous completion, or since its assignment to an
// idle engine.
func (q *prefillQueue) done(now time.Time, id StreamID, prefilled bool) {
	p, found := q.pending[id]
	if !found {
		return
	}
	delete(q.pending, id)
	if began := p.since.Add(assignmentLatency); began.After(q.lastDone) || q.sampleFrom.IsZero() {
		q.sampleFrom = hingeclock.Later(q.lastDone, began)
		q.sampleTokens = 0
	}
	q.lastDone = now
	if !prefilled {
		q.sampleFrom = now
		q.sampleTokens = 0
		return
	}
	q.sampleTokens += p.tokens
	elapsed := now.Sub(q.sampleFrom)
	if elapsed < minSampleTime {
		return
	}
	q.addSample(now, float64(q.sampleTokens)/elapsed.Seconds())
	q.sampleFrom = now
	q.sampleTokens = 0
}

func (q *prefillQueue) addSample(now time.Time, sample float64) {
	if usual := q.fleet.usualPrefillRate(); q.fleet.prefillRate.samples >= minBoundSamples {
		sample = min(max(sample, minRateFactor*usual), maxRateFactor*usual)
	}
	if q.sampledAt.IsZero() {
		q.rate = sample
	} else {
		q.rate = q.rateAt(now)
		q.rate += prefillRateWeight * (sample - q.rate)
	}
	q.sampledAt = now
	q.fleet.prefillRate.addUpper(sample, prefillRateWeight)
}

// rateAt returns the prefill rate. It decays from the measured rate to the usual one.
func (q *prefillQueue) rateAt(now time.Time) float64 {
	weight := 1.0
	if passed := now.Sub(q.sampledAt); passed > 0 {
		weight = decayFactor(passed, prefillRateDecay)
	}
	usual := q.fleet.usualPrefillRate()
	if q.sampledAt.IsZero() {
		return untriedFactor * usual
	}
	return usual + weight*(q.rate-usual)
}

// backlog returns how long the engine needs for its pending prompts. The elapsed time counts only
// up to the prefill time of the oldest prompt: its completion hasn't been reported, so it isn't
// done. It removes prompts that timed out.
func (q *prefillQueue) backlog(now time.Time) time.Duration {
	sum := hingeids.Tokens(0)
	oldest := queuedPrompt{
		since: now,
	}
	oldestID := StreamID("")
	for id, p := range q.pending {
		if now.Sub(p.since) > promptTimeout {
			delete(q.pending, id)
			continue
		}
		sum += p.tokens
		// The lower ID wins a tie, so that the result doesn't depend on map order.
		if p.since.Before(oldest.since) || p.since.Equal(oldest.since) && id < oldestID {
			oldest, oldestID = p, id
		}
	}
	elapsed := now.Sub(hingeclock.Later(oldest.since, q.lastDone))
	return q.prefillTime(now, sum) - min(elapsed, q.prefillTime(now, oldest.tokens))
}

func (q *prefillQueue) prefillTime(now time.Time, n hingeids.Tokens) time.Duration {
	return durationOf(float64(n) / q.rateAt(now))
}
