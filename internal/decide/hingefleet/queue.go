package hingefleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// arrivalWindow is the time over which arrivals are counted for rule 5. It covers a few dozen
	// streams and is short compared with a burst.
	arrivalWindow = time.Second
	// minSpareShare is the share of the drain rate that new arrivals must leave for late requests
	// to wait. With less, a late request would hardly ever be assigned.
	minSpareShare = 0.1
	// minRetryAfter and maxRetryAfter bound the delay sent with a refusal. A burst lasts a few
	// seconds.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Enqueue queues a request; Step decides on it. A request younger than newRequestAge also counts as
// demand.
func (f *Fleet) Enqueue(now time.Time, req StreamRequest) {
	f.queue = append(f.queue, &req)
	if now.Sub(req.Arrived) < newRequestAge && !req.Moved && !req.Cached {
		f.observeRequest(req)
		f.demand.add(now, req)
		f.arrivals = append(f.arrivals, now)
	}
}

func (f *Fleet) observeRequest(req StreamRequest) {
	f.estimates.promptTokens.add(float64(req.PromptTokens), fleetWeight)
	f.estimates.maxEventGap = req.MaxEventGap
	if req.MaxEventGap > 0 && len(f.decoders) > 0 {
		f.estimates.minDecodeRate = float64(f.decoders[0].EventTokens) / req.MaxEventGap.Seconds()
	}
}

// DrainQueue removes all requests from the queue and returns their IDs.
func (f *Fleet) DrainQueue() []StreamID {
	var out []StreamID
	for _, req := range f.queue {
		out = append(out, req.ID)
	}
	f.queue = nil
	return out
}

// newRequestAge distinguishes a new request from one that is offered again while it waits, which
// happens after 250 ms at the earliest.
const newRequestAge = 200 * time.Millisecond

// Step removes expired streams and decides on the queued requests. Requests that are neither
// assigned nor refused remain queued.
func (f *Fleet) Step(now time.Time) []Decision {
	if f.startedAt.IsZero() && len(f.engines) > 0 {
		f.startedAt = now
	}
	f.expire(now)
	f.sortQueue(now)
	f.failedAttempts = f.failedAttempts[:0]
	f.prefillSaturated = false
	rates := f.rates(now)
	var out []Decision
	kept := f.queue[:0]
	for _, req := range f.queue {
		d, decided := f.decide(now, req, len(kept), rates)
		if !decided {
			kept = append(kept, req)
			continue
		}
		out = append(out, d)
	}
	clear(f.queue[len(kept):])
	f.queue = kept
	return out
}

// sortQueue orders the queue by rules 3 and 4.
func (f *Fleet) sortQueue(now time.Time) {
	rank := func(req *StreamRequest) int {
		switch {
		case req.Moved || req.Cached:
			return 0
		case f.onTime(now, req):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(f.queue, func(a, b *StreamRequest) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Priority, b.Priority), a.Arrived.Compare(b.Arrived))
	})
}

// onTime reports whether a request that is assigned now can meet its target.
func (f *Fleet) onTime(now time.Time, req *StreamRequest) bool {
	return !now.Add(f.estimates.timeToFirstEvent(req.PromptTokens)).After(req.Arrived.Add(req.Target))
}

// maxTimeToStart returns the longest expected time from an assignment to the first event: the
// maximum backlog, the request's own prefill and the overhead.
func (f *Fleet) maxTimeToStart(req *StreamRequest) time.Duration {
	return f.maxBacklog() + f.estimates.prefillTime(req.PromptTokens) + prefillOverhead
}

// prefillWait returns how long it takes until the prefill engines have finished the given number of
// prompts. It replaces the wait for decode memory while prefill is the bottleneck.
func (f *Fleet) prefillWait(now time.Time, prompts int) time.Duration {
	rate := 0.0
	promptTokens := f.estimates.promptTokens.valueOr(0)
	for _, e := range f.prefillers {
		if !e.health.usable(now) {
			continue
		}
		tokens := e.prefillQueue.rateAt(now)
		if limit, limited := e.restriction.Rate(now); limited {
			tokens = min(tokens, limit*promptTokens)
		}
		rate += tokens
	}
	return waitFor(float64(prompts)*promptTokens, rate)
}

// decide assigns or refuses a request, or returns false to keep it queued behind the given number of
// others (rule 5).
func (f *Fleet) decide(now time.Time, req *StreamRequest, ahead int, r rates) (Decision, bool) {
	if d, assigned := f.assign(now, req); assigned {
		return d, true
	}
	if req.Cached {
		return Decision{
			ID:      req.ID,
			Owner:   req.Owner,
			Refused: true,
		}, true
	}
	wait := r.wait(ahead + 1)
	if f.prefillSaturated {
		wait = f.prefillWait(now, ahead+1)
	}
	if f.mayWait(now, req, ahead, wait, r) {
		return Decision{}, false
	}
	return Decision{
		ID:         req.ID,
		Owner:      req.Owner,
		Refused:    true,
		RetryAfter: f.retryAfter(now, wait, r),
		Shortage:   f.shortage(now),
		Waited:     now.Sub(req.Arrived),
	}, true
}

// mayWait reports whether an unassigned request remains queued behind the given number of others,
// with the given expected wait (rule 5).
func (f *Fleet) mayWait(now time.Time, req *StreamRequest, ahead int, wait time.Duration, r rates) bool {
	if f.onTime(now.Add(wait), req) {
		return true
	}
	giveUpAt := req.Arrived.Add(req.MaxWait - f.maxTimeToStart(req))
	inTime := now.Add(wait).Before(giveUpAt)
	switch {
	case req.Moved || f.isLearning(now):
		return now.Before(giveUpAt)
	case f.prefillSaturated:
		// Memory is available, and the prefill rate is steady, so the predicted wait is reliable.
		return inTime
	case r.hasSpare() && now.Add(r.lateWait(ahead+1)).Before(giveUpAt):
		return true
	case len(f.decoders) > 0 && f.lateOutcomes.mayWait(now) && inTime:
		return true
	}
	if !inTime && now.Sub(req.Arrived) > req.Target {
		f.lateOutcomes.record(now, false)
	}
	return false
}

// shortage returns the resource that an unassigned request lacked in this step.
func (f *Fleet) shortage(now time.Time) Shortage {
	usable := slices.ContainsFunc(f.decoders, func(e *engine) bool {
		return e.usable(now)
	})
	switch {
	case !usable:
		return ShortOfEngines
	case f.prefillSaturated:
		return ShortOfPrefill
	}
	return ShortOfMemory
}
