// Package hingedispatch carries one completion through prefill, transfer and
// decode, and through the failures on the way.
//
//  1. A request enters the gate, which admits it, or refuses it at once, and
//     says where its prompt is worked: at a prefill engine, or where it decodes.
//  2. The decode engine is bound when the KV cache is ready, and its slot is
//     granted before it is asked. The slot is given back when the engine has
//     ended or answered a cancel, not before: until then its memory may still
//     be held.
//  3. What fails is decided on by hingeretry: resumed, sent to another decode
//     engine while the KV cache is there, repeated, or answered.
//  4. A stream that breaks goes on from the token that is due, so that its
//     caller gets the whole answer with nothing missing and nothing doubled.
//  5. However a request ends, every engine that may hold something for it is
//     sent a cancel, until it answers or is known to have restarted.
//  6. Each exchange has an id of its own: the cancel of an earlier one, late on
//     its way, would else drop what a later one holds.
//  7. A request that is never to be repeated is claimed in the ledger before it
//     enters the gate. Its run begins with its prefill: once a prompt was worked,
//     it is not worked again, though its KV cache may still be sent elsewhere
//     after a decode engine's proof that it did not begin. Its answer is kept
//     before it is given.
//  8. A request that ends the servers which run it doesn't run, whatever id it comes under (hingepoison).
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

// Work is one completion asked for by a caller.
type Work struct {
	Request hingeids.RequestID
	Caller  hingeids.CallerID
	Class   hingeinventory.Class
	Model   hingeids.Model
	// Path is the route the caller used.
	Path string
	// Fields are the caller's own fields.
	Fields map[string]json.RawMessage
	// Prompt is the prompt's text, for its prefix and length.
	Prompt       string
	PromptTokens hingeids.Tokens
	MaxTokens    hingeids.Tokens
	Arrived      time.Time
	Deadline     time.Time
	// Key and Digest are for a class that is never to be repeated.
	Key    hingeids.IdempotencyKey
	Digest [16]byte
	// Print is what the request has in common with all that are sent again.
	Print hingeids.Fingerprint
}

// claim names the work in the ledger.
func (w *Work) claim() Claim {
	return Claim{
		Request: w.Request,
		Caller:  w.Caller,
		Key:     w.Key,
		Digest:  w.Digest,
		Until:   w.Deadline,
	}
}

// Placement says which engine works a request's prompt.
type Placement struct {
	// Prefill is nil where the decode engine prefills by itself; then Decode is it.
	Prefill *hingeengine.Target
	Decode  hingeengine.Target
}

// Entry is one try of a request to be placed.
type Entry struct {
	Work *Work
	ID   hingeids.RequestID
	// Again says that the request was admitted before.
	Again bool
	// Avoid are servers that failed this request.
	Avoid map[hingeids.ServerID]bool
}

// Engines make exchanges with engines; hingeengine.Client does.
type Engines interface {
	Prefill(ctx context.Context, t hingeengine.Target, w hingeengine.CompletionRequest, silence time.Duration) (hingeengine.Cache, error)
	Decode(
		ctx context.Context, t hingeengine.Target, w hingeengine.CompletionRequest,
		cache *hingeengine.Cache, from int, silence time.Duration,
	) (*hingeengine.Stream, error)
	Resume(
		ctx context.Context, t hingeengine.Target, id hingeids.RequestID, from int, silence time.Duration,
	) (*hingeengine.Stream, error)
}

// Gate admits requests and places them. Its errors are final.
type Gate interface {
	// Enter waits until the request is placed or refused.
	Enter(ctx context.Context, e Entry) (Placement, error)
	// Ready says that the KV cache is ready, with so many tokens that were cached,
	// and waits for the decode engine. Full asks for another one.
	Ready(ctx context.Context, e Entry, cached hingeids.Tokens) (hingeengine.Target, error)
	Full(ctx context.Context, e Entry, refused hingeengine.Target) (hingeengine.Target, error)
	// Other names a second decode engine for a slot, if there is one; Rebind says
	// that the slot was granted there.
	Other(e Entry) (hingeengine.Target, bool)
	Rebind(e Entry, t hingeengine.Target)
	// Leave says that the entry is over, with so many tokens answered.
	Leave(e Entry, tokens int)
	// Failed tells of a server that failed an exchange, TokenGap of its speed.
	Failed(e Entry, t hingeengine.Target, err error)
	TokenGap(e Entry, t hingeengine.Target, gap time.Duration)
	// Lives tells whether a life of a server is the one that is there now.
	Lives(t hingeengine.Target) bool
}

// Slots grants decode slots.
type Slots interface {
	// Acquire waits a bounded time for a slot on one of the engines, and tells
	// which. Its error is NotRun.
	Acquire(ctx context.Context, w *Work, id hingeids.RequestID, at ...hingeengine.Target) (hingeengine.Target, error)
	// Release gives back the slot of an exchange.
	Release(id hingeids.RequestID, t hingeengine.Target)
}

// Cancels has engines drop what they hold.
type Cancels interface {
	// Cancel goes on until the engine answers or is known to have restarted,
	// and calls after then. It returns at once.
	Cancel(t hingeengine.Target, id hingeids.RequestID, after func())
}

// Owned is told which ids this host answers for, so that others who find
// engine memory held can ask.
type Owned interface {
	Own(id hingeids.RequestID)
	Disown(id hingeids.RequestID)
}

// Dispatcher carries completions.
type Dispatcher struct {
	Engines  Engines
	Gate     Gate
	Slots    Slots
	Cancels  Cancels
	Owned    Owned
	Ledger   Ledger
	Poisons  Poisons
	Meter    Meter
	Recorder *hingeevents.Recorder
	Limits   Limits
	Now      func() time.Time

	mu     sync.Mutex
	budget *hingeretry.Budget
}

// Limits bound the waits of a request.
type Limits struct {
	// Attempts bounds how often a call of a plain service is sent.
	Attempts int
	// PrefillSilence bounds the wait for a prefill, with its queue.
	PrefillSilence time.Duration
	// TokenSilence bounds the wait for a token, with the transfer before the
	// first: many token times, so that a slow engine isn't taken for a dead one.
	TokenSilence time.Duration
	// CacheKept is how long exported KV cache is surely kept.
	CacheKept time.Duration
}

// DefaultLimits fit engines with a token time of tens of milliseconds.
func DefaultLimits() Limits {
	return Limits{
		Attempts:       3,
		PrefillSilence: 20 * time.Second,
		TokenSilence:   time.Second,
		CacheKept:      600 * time.Millisecond,
	}
}

// Complete carries a request to its first token, or gives the answer of an
// earlier run under the same key. An error is final: it carries the verdict, and
// when to come back.
func (d *Dispatcher) Complete(ctx context.Context, w *Work) (*Answer, error) {
	if !w.Class.NeverRepeat {
		return d.complete(ctx, w)
	}
	// Rule 7.
	claim := w.claim()
	stored, err := claimOnce(ctx, d.Ledger, claim)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return &Answer{
			stored: stored,
			ended:  true,
		}, nil
	}
	a, err := d.complete(ctx, w)
	if err != nil {
		settleFailed(ctx, d.Ledger, claim, err)
		return nil, err
	}
	a.claimed = true
	return a, nil
}

func (d *Dispatcher) complete(ctx context.Context, w *Work) (*Answer, error) {
	a := &Answer{
		dispatcher: d,
		ctx:        ctx,
		work:       w,
		exchange:   w.Request,
		before:     hingeverdict.NotRun,
		avoid:      make(map[hingeids.ServerID]bool),
	}
	d.noteRequest()
	a.record(hingeevents.RequestArrived, hingeevents.Fields{
		Caller: w.Caller,
		Count:  int64(w.PromptTokens),
		Detail: w.Class.Name,
	})
	if err := a.start(); err != nil {
		a.finish(err)
		return nil, err
	}
	return a, nil
}

func (d *Dispatcher) noteRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budget == nil {
		d.budget = hingeretry.NewBudget(d.Now())
	}
	d.budget.RecordRequest()
}

// decide asks hingeretry, under the lock of the budget.
func (d *Dispatcher) decide(f hingeretry.Failure) hingeretry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return hingeretry.Decide(d.Now(), f, d.budget)
}

// fromServer tells whether a failure is a backend server's. All others (a
// refusal, a deadline, a caller that left) are final as they are.
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
