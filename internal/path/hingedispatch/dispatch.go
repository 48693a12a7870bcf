// Package hingedispatch runs completion requests through prefill, transfer and
// decode, and recovers from failures of connections and servers. It also sends
// calls of plain services.
//
//  1. A request enters the gate, which admits or refuses it and chooses the
//     engine for its prefill: a prefill engine or the decode engine.
//  2. The decode engine is bound when the KV cache is ready, and its slot is
//     granted before a request is sent to it. The slot is released only after
//     the engine has finished the request or acknowledged a cancel: until then
//     it may still hold memory for it.
//  3. After a failure, hingeretry decides whether the stream is resumed, the KV
//     cache is sent to another decode engine, the request is retried, or the
//     error is returned.
//  4. A broken stream continues from the next token, so that the caller receives
//     every token exactly once.
//  5. When a request finishes or fails, a cancel is sent to every engine that may
//     hold memory for it, until the engine acknowledges the cancel or is known to
//     have restarted.
//  6. Each exchange has its own id. Otherwise the delayed cancel of an earlier
//     exchange could free the memory of a later one.
//  7. A request that must not be retried is claimed in the ledger before it
//     enters the gate. Its run begins with its prefill: a processed prompt is not
//     processed again, but its KV cache may be sent to another decode engine if
//     the first one proves that it did not begin. The answer is stored before it
//     is returned.
//  8. A request that crashes the servers which run it is refused, whatever its id
//     (hingepoison).
package hingedispatch

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// CompletionRequest is a caller's completion request.
type CompletionRequest struct {
	Request hingeids.RequestID
	Caller  hingeids.CallerID
	Class   hingeinventory.Class
	Model   hingeids.Model
	// Path is the HTTP path of the request.
	Path string
	// Fields are the top-level fields of the request body.
	Fields map[string]json.RawMessage
	// Prompt is the text of the prompt, from which placement derives prefixes.
	Prompt string
	// PromptTokens is an estimate; MaxTokens is the caller's limit or a default.
	PromptTokens hingeids.Tokens
	MaxTokens    hingeids.Tokens
	Arrived      time.Time
	Deadline     time.Time
	// Key and Digest identify the request in the ledger if its class must not be
	// retried.
	Key    hingeids.IdempotencyKey
	Digest [16]byte
	// Fingerprint is the fingerprint that the request shares with its resends.
	Fingerprint hingeids.Fingerprint
}

func (r *CompletionRequest) claim() Claim {
	return Claim{
		Request: r.Request,
		Caller:  r.Caller,
		Key:     r.Key,
		Digest:  r.Digest,
		Until:   r.Deadline,
	}
}

// Placement is the gate's choice of engine for the prefill of a request.
type Placement struct {
	// Prefill is the prefill engine. If it is nil, Decode prefills and decodes.
	Prefill *hingeengine.Target
	Decode  hingeengine.Target
}

// Entry is one pass of a request through the gate.
type Entry struct {
	CompletionRequest *CompletionRequest
	ID                hingeids.RequestID
	// Resubmitted says that the gate has admitted the request before.
	Resubmitted bool
	// Avoid are servers that failed this request.
	Avoid map[hingeids.ServerID]bool
}

// Engines sends requests to engines; hingeengine.Client implements it.
type Engines interface {
	Prefill(ctx context.Context, t hingeengine.Target, r hingeengine.CompletionRequest, idleTimeout time.Duration) (hingeengine.Cache, error)
	Decode(
		ctx context.Context, t hingeengine.Target, r hingeengine.CompletionRequest,
		cache *hingeengine.Cache, from int, idleTimeout time.Duration,
	) (*hingeengine.Stream, error)
	Resume(
		ctx context.Context, t hingeengine.Target, id hingeids.RequestID, from int, idleTimeout time.Duration,
	) (*hingeengine.Stream, error)
}

// Gate admits requests and places them. Its errors are final and are returned to
// the caller without a retry.
type Gate interface {
	// Admit waits until the request is placed or refused.
	Admit(ctx context.Context, e Entry) (Placement, error)
	// BindDecode reports that the KV cache is ready and how many prompt tokens were
	// found in the prefix cache, and waits for a decode engine. RetryBind waits
	// for another decode engine after an engine had no slot or failed.
	BindDecode(ctx context.Context, e Entry, cached hingeids.Tokens) (hingeengine.Target, error)
	RetryBind(ctx context.Context, e Entry, refused hingeengine.Target) (hingeengine.Target, error)
	// AlternativeEngine returns an alternative decode engine for the slot, if there is one;
	// Rebind reports that the slot was granted on it.
	AlternativeEngine(e Entry) (hingeengine.Target, bool)
	Rebind(e Entry, t hingeengine.Target)
	// Finish finishes the entry and reports the number of tokens returned.
	Finish(e Entry, tokens int)
	// HandleFailure reports a server that failed an exchange, HandleTokenGap the mean
	// time between the tokens of a stream.
	HandleFailure(e Entry, t hingeengine.Target, err error)
	HandleTokenGap(e Entry, t hingeengine.Target, gap time.Duration)
	// IsCurrent reports whether the target's incarnation is the server's current one.
	IsCurrent(t hingeengine.Target) bool
}

// Slots grants decode slots.
type Slots interface {
	// Acquire waits a bounded time for a slot on one of the engines and returns
	// the engine that granted it. The verdict of its errors is NotRun.
	Acquire(ctx context.Context, r *CompletionRequest, id hingeids.RequestID, engines ...hingeengine.Target) (hingeengine.Target, error)
	Release(id hingeids.RequestID, t hingeengine.Target)
}

// Canceller cancels exchanges, so that engines free the memory they hold for them.
type Canceller interface {
	// Cancel sends cancels in the background until the engine acknowledges one or
	// is known to have restarted, and then calls after unless it is nil.
	Cancel(t hingeengine.Target, id hingeids.RequestID, after func())
}

// OwnedRequests records the exchanges that this host owns. Other hosts query it about
// exchanges for which an engine holds memory.
type OwnedRequests interface {
	Own(id hingeids.RequestID)
	Disown(id hingeids.RequestID)
}

// Dispatcher runs completion requests. It is safe for concurrent use.
type Dispatcher struct {
	Engines        Engines
	Gate           Gate
	Slots          Slots
	Canceller      Canceller
	OwnedRequests  OwnedRequests
	Ledger         Ledger
	PoisonDetector PoisonDetector
	Meter          Meter
	Recorder       *hingeevents.Recorder
	Limits         Limits
	Now            func() time.Time

	mu     sync.Mutex
	budget *hingeretry.Budget
}

// Limits bound the waits of a request.
type Limits struct {
	// MaxCallAttempts bounds how often a call of a plain service is sent.
	MaxCallAttempts int
	// PrefillTimeout bounds the wait for a prefill, including its time in the
	// engine's queue.
	PrefillTimeout time.Duration
	// TokenTimeout bounds the wait for a token; for the first token it includes
	// the transfer of the KV cache. It must be a large multiple of the usual token
	// gap, so that a slow engine isn't treated as failed.
	TokenTimeout time.Duration
	// CacheRetention is the minimum time for which engines keep exported KV cache.
	CacheRetention time.Duration
}

// DefaultLimits returns limits for engines with a token gap of tens of
// milliseconds.
func DefaultLimits() Limits {
	return Limits{
		MaxCallAttempts: 3,
		PrefillTimeout:  20 * time.Second,
		TokenTimeout:    time.Second,
		CacheRetention:  600 * time.Millisecond,
	}
}

// Complete runs a request up to its first token, or returns the answer of an
// earlier run with the same key. An error is final; it carries the verdict and
// the retry time.
func (d *Dispatcher) Complete(ctx context.Context, r *CompletionRequest) (*Answer, error) {
	if !r.Class.NeverRepeat {
		return d.complete(ctx, r)
	}
	// Rule 7.
	claim := r.claim()
	stored, err := claimRequest(ctx, d.Ledger, claim)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return &Answer{
			stored: stored,
			done:   true,
		}, nil
	}
	a, err := d.complete(ctx, r)
	if err != nil {
		releaseIfNotRun(ctx, d.Ledger, claim, err)
		return nil, err
	}
	a.claimed = true
	return a, nil
}

func (d *Dispatcher) complete(ctx context.Context, r *CompletionRequest) (*Answer, error) {
	a := &Answer{
		dispatcher:     d,
		ctx:            ctx,
		request:        r,
		exchange:       r.Request,
		earlierVerdict: hingeverdict.NotRun,
		avoid:          make(map[hingeids.ServerID]bool),
	}
	d.recordRequest()
	a.record(hingeevents.RequestArrived, hingeevents.Fields{
		Caller: r.Caller,
		Count:  int64(r.PromptTokens),
		Detail: r.Class.Name,
	})
	if err := a.start(); err != nil {
		a.finish(err)
		return nil, err
	}
	return a, nil
}

func (d *Dispatcher) recordRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budget == nil {
		d.budget = hingeretry.NewBudget(d.Now())
	}
	d.budget.RecordRequest()
}

// decide calls hingeretry.Decide with the budget locked.
func (d *Dispatcher) decide(f hingeretry.Failure) hingeretry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return hingeretry.Decide(d.Now(), f, d.budget)
}

// fromServer returns the verdict error of a failure and whether a backend server
// caused it. All other failures (a refusal, a deadline, a disconnected caller)
// are final.
func fromServer(err error) (*hingeverdict.Error, bool) {
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		return nil, false
	}
	switch v.Code {
	case hingeverdict.CodeNoServer, hingeverdict.CodeServerRefused, hingeverdict.CodeServerFailed,
		hingeverdict.CodeServerSilent, hingeverdict.CodeAnswerNotOurs, hingeverdict.CodeAnswerCut,
		hingeverdict.CodeCacheGone:
		return v, true
	default:
		return v, false
	}
}
