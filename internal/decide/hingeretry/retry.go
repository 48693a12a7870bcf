// Package hingeretry decides what to do with a request that failed on its way:
// resume it, send its KV cache elsewhere, repeat it, or answer its caller. It
// has no clock, no sockets and no goroutines.
//
//  1. What broke may go on. A stream whose engine still lives in the same life is
//     resumed from the next token: nothing runs again, so this holds for every
//     request.
//  2. Whether a request may run again is told by its verdict alone. NotRun may
//     always be repeated; anything else only if the request is not marked as
//     never to be repeated. A guess ("it was probably not sent") counts nothing.
//  3. Prefill is done again only if its KV cache is gone: one that is kept long
//     enough for its transfer is sent to another decode engine.
//  4. Repeats have a budget, a tenth of the requests that come, as do hedges. When
//     an engine fails under load all its requests fail at once, and repeating all
//     of them would push the next engine over.
//  5. A request that can't be done before its deadline is answered now. The
//     answer carries the most that any of its attempts may have done.
//  6. A hedge is a second attempt while the first is silent. Only a request that
//     may be repeated is hedged, and only before its first token.
package hingeretry

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Action is what to do next.
type Action uint8

// Answer gives the caller the error; Resume goes on with the same engine;
// Transfer sends the KV cache, still kept, to another decode engine; Repeat
// places the request again from its prompt and the tokens already sent.
const (
	Answer Action = iota
	Resume
	Transfer
	Repeat
)

// String names the action.
func (a Action) String() string {
	return [...]string{"answer", "resume", "transfer", "repeat"}[a]
}

// Failure is what is known of a request when an attempt failed.
type Failure struct {
	// Err is the failed attempt's error, with its verdict.
	Err *hingeverdict.Error
	// Before is the most that earlier attempts may have done.
	Before hingeverdict.Verdict
	// Attempts counts the attempts made, this one included, and Resumes the
	// times that this attempt was resumed.
	Attempts, Resumes int
	// Arrivals is how many messages to servers a repeat adds to those that the request is allowed.
	Arrivals    int
	NeverRepeat bool
	// Sent counts the tokens that the caller already has.
	Sent hingeids.Tokens
	// SameLife says that the engine is there, in the life in which it took the
	// request, and can resume streams.
	SameLife bool
	// CacheUntil is until when the KV cache is kept, zero if it is gone or was
	// never made; TransferTime is what sending it takes.
	CacheUntil   time.Time
	TransferTime time.Duration
	// RepeatTime is the time predicted for a repeat, to its last token.
	RepeatTime time.Duration
	Deadline   time.Time
}

// Decision is what to do, from which token on, and what to answer.
type Decision struct {
	Action Action
	// From is the index of the next token that the caller needs.
	From hingeids.Tokens
	// Err is set with Answer.
	Err *hingeverdict.Error
}

// Bounds of one request. A stream that breaks four times is on a link that does
// not hold; a third engine that fails a request suggests that the request is why.
const (
	mostResumes  = 4
	mostAttempts = 3
)

// Decide says what to do next.
func Decide(now time.Time, f Failure, b *Budget) Decision {
	if f.SameLife && f.Resumes < mostResumes && now.Before(f.Deadline) {
		return Decision{
			Action: Resume,
			From:   f.Sent,
		}
	}
	if !mayRepeat(f) || f.Attempts >= mostAttempts || now.Add(f.RepeatTime).After(f.Deadline) {
		return answer(f)
	}
	if !b.Take(now, f.Arrivals) {
		return answer(f)
	}
	next := Repeat
	if now.Add(f.TransferTime).Before(f.CacheUntil) {
		next = Transfer
	}
	return Decision{
		Action: next,
		From:   f.Sent,
	}
}

// mayRepeat is rule 2.
func mayRepeat(f Failure) bool {
	return !f.NeverRepeat || worst(f.Before, f.Err.Verdict) == hingeverdict.NotRun
}

// worst is the most that either may have done: a request that ran once and was
// then refused elsewhere has run.
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

// answer is rule 5.
func answer(f Failure) Decision {
	e := *f.Err
	e.Verdict = worst(f.Before, f.Err.Verdict)
	if e.Cause == nil {
		e.Cause = eris.New("all attempts failed")
	}
	return Decision{
		Action: Answer,
		From:   f.Sent,
		Err:    &e,
	}
}

// Waiting is a request whose first token is not there yet.
type Waiting struct {
	NeverRepeat bool
	// Since is when it was sent, Expected the predicted time to its first token.
	Since    time.Time
	Expected time.Duration
	// FirstTokenBy is its target, HedgeTime what a second attempt would take.
	FirstTokenBy time.Time
	HedgeTime    time.Duration
	Attempts     int
}

// lateBy is how many times its prediction a first token may take before a hedge.
// Twice is a choice and not measured; the budget bounds what it can cost.
const lateBy = 2

// Hedge is rule 6. It is for one engine that has gone silent or slow while the
// others are well: with all of them slow a hedge only adds to what slows them,
// and the budget ends it.
func Hedge(now time.Time, w Waiting, b *Budget) bool {
	if w.NeverRepeat || w.Attempts > 1 || now.Sub(w.Since) < lateBy*w.Expected {
		return false
	}
	if now.Add(w.HedgeTime).After(w.FirstTokenBy) {
		return false
	}
	return b.Take(now, 1)
}
