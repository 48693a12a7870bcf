package hingemodel

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Outcome counts the requests of one class by outcome.
type Outcome struct {
	// Arrived counts requests without their retries.
	Arrived int
	// InTarget counts requests answered within both latency targets, Late those
	// answered outside one of them.
	InTarget, Late int
	// TimedOut counts requests whose deadline passed, Refused those whose last
	// attempt was refused, and Refusals all refused attempts.
	TimedOut, Refused, Refusals int
	// MaxRefusalDelay is the longest time from an arrival to its refusal.
	MaxRefusalDelay time.Duration
}

// Result is the result of a run.
type Result struct {
	// Classes holds the outcome of each class by name.
	Classes map[string]*Outcome
	// Tokens is the number of output tokens of the requests in target.
	Tokens hingeids.Tokens
	// PrefillTokens is the number of tokens prefilled. EvictedTokens and
	// CancelledTokens are the parts of it that were wasted by evictions, and by
	// deadlines and refusals.
	PrefillTokens, EvictedTokens, CancelledTokens float64
	// FullEngineRequests counts requests sent to a decode engine without a free
	// slot.
	FullEngineRequests int
	// Retries counts attempts after the first.
	Retries int
	// ByCaller counts the requests in target of each caller.
	ByCaller map[hingeids.CallerID]int
	// PerSecond counts the requests in target by the second of their arrival,
	// including the warm-up.
	PerSecond        []int
	measureFrom, end time.Time
}

func newResult(r Run) *Result {
	return &Result{
		Classes:     make(map[string]*Outcome),
		ByCaller:    make(map[hingeids.CallerID]int),
		measureFrom: epoch.Add(r.Warmup),
	}
}

// Class returns the outcome of a class. It adds an empty one if there is none.
func (r *Result) Class(name string) *Outcome {
	o := r.Classes[name]
	if o == nil {
		o = &Outcome{}
		r.Classes[name] = o
	}
	return o
}

// Goodput returns the number of requests per second answered within both targets.
func (r *Result) Goodput() float64 {
	n := 0
	for _, o := range r.Classes {
		n += o.InTarget
	}
	return float64(n) / r.end.Sub(r.measureFrom).Seconds()
}

// TokenGoodput returns the number of output tokens per second of requests answered
// within both targets. Unlike Goodput, it doesn't rise when short requests
// displace long ones.
func (r *Result) TokenGoodput() float64 {
	return float64(r.Tokens) / r.end.Sub(r.measureFrom).Seconds()
}

// WastedShare returns the share of prefilled tokens that were wasted.
func (r *Result) WastedShare() float64 {
	if r.PrefillTokens == 0 {
		return 0
	}
	return (r.EvictedTokens + r.CancelledTokens) / r.PrefillTokens
}

// measured reports whether a request arrived after the warm-up.
func (r *Result) measured(q *Request) bool {
	return !q.Arrived.Before(r.measureFrom)
}

func (r *Result) arrived(q *Request) {
	if q.Attempt > 0 {
		r.Retries++
	}
	if r.measured(q) && q.Attempt == 0 {
		r.Class(q.Class.Name).Arrived++
	}
}

func (r *Result) refused(q *Request, now time.Time, last bool) {
	if !r.measured(q) {
		return
	}
	o := r.Class(q.Class.Name)
	o.Refusals++
	o.MaxRefusalDelay = max(o.MaxRefusalDelay, now.Sub(q.Arrived))
	if last {
		o.Refused++
	}
}

func (r *Result) timedOut(q *Request) {
	if r.measured(q) {
		r.Class(q.Class.Name).TimedOut++
	}
}

func (r *Result) finished(q *Request, tokenGap time.Duration, _ time.Time) {
	inTarget := q.started.Sub(q.Arrived) <= q.Class.FirstToken && tokenGap <= q.Class.TokenGap
	if second := int(q.Arrived.Sub(epoch) / time.Second); inTarget {
		for len(r.PerSecond) <= second {
			r.PerSecond = append(r.PerSecond, 0)
		}
		r.PerSecond[second]++
	}
	if !r.measured(q) {
		return
	}
	o := r.Class(q.Class.Name)
	if !inTarget {
		o.Late++
		return
	}
	o.InTarget++
	r.Tokens += q.output
	r.ByCaller[q.Caller]++
}
