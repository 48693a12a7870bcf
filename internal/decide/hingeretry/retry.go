// Package hingeretry decides how to continue a failed request: resume it, transfer its KV cache,
// retry it, or return the error to its caller. It has no clock, no sockets and no goroutines.
//
//  1. A stream is resumed from its next token if its engine is the same instance as before. Nothing
//     runs twice, so this is allowed for every request.
//  2. Whether a request may run again depends only on its verdict. NotRun always allows a retry;
//     any other verdict does so only if the request is not marked NeverRepeat. Assumptions such as
//     "it was probably not sent" don't count.
//  3. Prefill is repeated only if the KV cache is lost. A cache that is kept for long enough is
//     transferred to another decode engine.
//  4. Retries and hedges share a budget, a tenth of the requests received. When an engine fails
//     under load, all of its requests fail at once, and retrying all of them would overload the
//     next engine.
//  5. If a request can't be completed before its deadline, its error is returned at once. The error
//     carries the highest verdict of all attempts.
//  6. A hedge is a second attempt while the first one has not responded. Only requests that may be
//     retried are hedged, and only before their first token.
package hingeretry

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Action is the next step for a failed request.
type Action uint8

// ReturnError returns the error to the caller; Resume continues the stream at the same engine;
// Transfer sends the KV cache, which is still held, to another decode engine; Retry places the
// request again, with its prompt and the tokens already sent.
const (
	ReturnError Action = iota
	Resume
	Transfer
	Retry
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"answer", "resume", "transfer", "repeat"}[a]
}

// Failure describes a request after a failed attempt.
type Failure struct {
	// Err is the error of the failed attempt, with its verdict.
	Err *hingeverdict.Error
	// EarlierVerdict is the highest verdict of the earlier attempts.
	EarlierVerdict hingeverdict.Verdict
	// Attempts counts the attempts, including the failed one, and Resumes how often this attempt
	// was resumed.
	Attempts, Resumes int
	// ExtraMessages is the number of messages to servers that a retry adds beyond those every
	// request is allowed.
	ExtraMessages int
	NeverRepeat   bool
	// SentTokens counts the tokens that the caller has received.
	SentTokens hingeids.Tokens
	// SameInstance reports whether the engine is available as the instance that accepted the
	// request, and can resume streams.
	SameInstance bool
	// CacheUntil is the time until which the KV cache is held, zero if there is none; TransferTime
	// is the duration of its transfer.
	CacheUntil   time.Time
	TransferTime time.Duration
	// RetryTime is the predicted duration of a retry until its last token.
	RetryTime time.Duration
	Deadline  time.Time
}

// Decision is the next step for a failed request.
type Decision struct {
	Action Action
	// NextToken is the index of the next token that the caller needs.
	NextToken hingeids.Tokens
	// Err is the error for the caller, set only with ReturnError.
	Err *hingeverdict.Error
}

// A stream that breaks four times has an unreliable connection; a request that fails at three
// engines is probably the cause itself.
const (
	maxResumes  = 4
	maxAttempts = 3
)

// Spender is a retry budget.
type Spender interface {
	// Spend spends the given number of messages to servers, and reports whether the budget allows it.
	Spend(now time.Time, messages int) bool
}

// Decide returns the next step for a failed request. A retry is spent from the budget.
func Decide(now time.Time, f Failure, b Spender) Decision {
	if f.SameInstance && f.Resumes < maxResumes && now.Before(f.Deadline) {
		return Decision{
			Action:    Resume,
			NextToken: f.SentTokens,
		}
	}
	if !mayRetry(f) || f.Attempts >= maxAttempts || now.Add(f.RetryTime).After(f.Deadline) {
		return returnError(f)
	}
	if !b.Spend(now, f.ExtraMessages) {
		return returnError(f)
	}
	next := Retry
	if now.Add(f.TransferTime).Before(f.CacheUntil) {
		next = Transfer
	}
	return Decision{
		Action:    next,
		NextToken: f.SentTokens,
	}
}

// mayRetry implements rule 2.
func mayRetry(f Failure) bool {
	return !f.NeverRepeat || worst(f.EarlierVerdict, f.Err.Verdict) == hingeverdict.NotRun
}

// worst returns the verdict of a request with two attempts: one that ran once and was then refused
// has run.
func worst(a, b hingeverdict.Verdict) hingeverdict.Verdict {
	rank := map[hingeverdict.Verdict]int{
		hingeverdict.NotRun:     0,
		hingeverdict.MayHaveRun: 1,
		hingeverdict.Ran:        2,
	}
	if rank[a] > rank[b] {
		return a
	}
	return b
}

// returnError implements rule 5.
func returnError(f Failure) Decision {
	e := *f.Err
	e.Verdict = worst(f.EarlierVerdict, f.Err.Verdict)
	if e.Cause == nil {
		e.Cause = eris.New("all attempts failed")
	}
	return Decision{
		Action:    ReturnError,
		NextToken: f.SentTokens,
		Err:       &e,
	}
}

// PendingRequest describes a request that has not yet returned its first token.
type PendingRequest struct {
	NeverRepeat bool
	// SentAt is when the request was sent, Expected the predicted time to its first token.
	SentAt   time.Time
	Expected time.Duration
	// FirstTokenTarget is the target time of the first token, HedgeTime the predicted time to the
	// first token of a second attempt.
	FirstTokenTarget time.Time
	HedgeTime        time.Duration
	Attempts         int
}

// hedgeFactor is the multiple of its predicted time after which a first token is hedged. It was chosen, not
// measured; the budget bounds what it can cost.
const hedgeFactor = 2

// Hedge implements rule 6 and reports whether to start a second attempt. It helps if one engine is
// slow or silent; if all are slow, the budget bounds the load that hedges add.
func Hedge(now time.Time, r PendingRequest, b *Budget) bool {
	if r.NeverRepeat || r.Attempts > 1 || now.Sub(r.SentAt) < hedgeFactor*r.Expected {
		return false
	}
	if now.Add(r.HedgeTime).After(r.FirstTokenTarget) {
		return false
	}
	return b.Spend(now, 1)
}
