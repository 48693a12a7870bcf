package hingedispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
	"github.com/swifthinge/swifthinge/internal/path/hingerelay"
)

// Answer is the token stream of a request. It continues without gaps or
// duplicates after broken connections and failed engines. Next, Store and Close
// must not be called concurrently.
type Answer struct {
	dispatcher *Dispatcher
	ctx        context.Context
	request    *CompletionRequest
	avoid      map[hingeids.ServerID]bool

	// entry is the current pass through the gate; entered says that Gate.Finish
	// has not been called for it.
	entry   Entry
	entered bool
	// admitted says that the gate has admitted the request before; noSlot that
	// the last placement failed because no slot was granted.
	admitted bool
	noSlot   bool
	// exchange is the id of the current exchange (rule 6).
	exchange hingeids.RequestID
	attempts int
	resumes  int
	// refused says that the gate or the poison check rejected the request, so
	// that its error is final.
	refused bool
	// suspect says that servers have crashed under requests with the same
	// fingerprint; sentAt is when the request was last sent to a server.
	suspect bool
	sentAt  time.Time
	// earlierVerdict is the highest verdict of earlier exchanges.
	earlierVerdict hingeverdict.Verdict

	prefillEngine hingeengine.Target
	prefillID     hingeids.RequestID
	cache         *hingeengine.Cache
	cachedAt      time.Time

	decodeEngine hingeengine.Target
	stream       *hingeengine.Stream
	// next is the index of the next token.
	next     int
	first    hingerelay.Event
	hasFirst bool
	done     bool

	// For rule 7, stored is the answer of an earlier run, claimed says that the
	// ledger holds a claim of this run, and prefilled that a prefill engine has
	// processed the prompt.
	stored    *StoredAnswer
	claimed   bool
	prefilled bool

	firstTokenAt time.Time
	gapStart     time.Time
	gapTokens    int
}

// Next returns the next token, io.EOF after the last one, or a final error with
// a verdict. The bytes of a token are valid until the next call.
func (a *Answer) Next() (hingerelay.Event, error) {
	for {
		if a.hasFirst {
			a.hasFirst = false
			a.next++
			return a.first, nil
		}
		e, err := a.stream.Next()
		if err == nil {
			a.next++
			a.recordTokenGap()
			return e, nil
		}
		if errors.Is(err, io.EOF) {
			a.finish(nil)
			return e, io.EOF
		}
		if err := a.recoverStream(err); err != nil {
			a.finish(err)
			return e, err
		}
	}
}

// StoredAnswer returns the answer of an earlier run, or nil if this run is the first.
// If it is not nil, Next must not be called.
func (a *Answer) StoredAnswer() *StoredAnswer {
	return a.stored
}

// Store stores the answer for a resend if the request must run at most once. The
// caller must call it before it sends the last part of the answer, since a
// client that loses that part resends at once.
func (a *Answer) Store(s StoredAnswer) {
	if !a.claimed {
		return
	}
	a.claimed = false
	storeAnswer(a.ctx, a.dispatcher.Ledger, a.request.claim(), s)
}

// tokensPerGapReport is the number of tokens over which a reported token gap is
// averaged. It bounds both the cost of reports and the delay in detecting a slow
// engine.
const tokensPerGapReport = 16

func (a *Answer) recordTokenGap() {
	if a.gapTokens++; a.gapTokens < tokensPerGapReport {
		return
	}
	now := a.dispatcher.Now()
	a.dispatcher.Gate.HandleTokenGap(a.entry, a.decodeEngine, now.Sub(a.gapStart)/tokensPerGapReport)
	a.gapStart, a.gapTokens = now, 0
}

func (a *Answer) sentTokens() hingeids.Tokens {
	return hingeids.Tokens(a.next)
}

// recoverStream continues a broken stream (rule 4).
func (a *Answer) recoverStream(cause error) error {
	a.record(hingeevents.StreamBroke, hingeevents.Fields{
		Server: a.decodeEngine.Server,
		Count:  int64(a.next),
		Detail: cause.Error(),
	})
	a.stream.Close()
	next, final := a.afterFailure(cause, true)
	if final != nil {
		a.stream = nil
		a.dropStream(cause)
		return final
	}
	if next == hingeretry.Resume {
		if a.resume() {
			return nil
		}
		_, final = a.afterFailure(cause, false)
	}
	a.stream = nil
	a.dropStream(cause)
	if final != nil {
		return final
	}
	a.leaveGate(0)
	return a.start()
}

// resume reopens the stream at the same engine on a new connection. It returns
// false if that fails.
func (a *Answer) resume() bool {
	d := a.dispatcher
	a.resumes++
	stream, err := d.Engines.Resume(a.ctx, a.decodeEngine, a.exchange, a.next, d.Limits.TokenTimeout)
	if err != nil {
		return false
	}
	a.stream = stream
	a.record(hingeevents.StreamResumed, hingeevents.Fields{
		Server: a.decodeEngine.Server,
		Count:  int64(a.next),
	})
	return true
}

// dropStream cancels the exchange at a decode engine that failed the request.
// The slot is released once the engine no longer holds memory for it (rule 2).
func (a *Answer) dropStream(err error) {
	d, id, target := a.dispatcher, a.exchange, a.decodeEngine
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	a.recordServerFailure(target, err)
	d.Canceller.Cancel(target, id, func() {
		d.Slots.Release(id, target)
	})
	d.OwnedRequests.Disown(id)
}

// dropCache frees exported KV cache that no decode engine is known to have
// imported.
func (a *Answer) dropCache() {
	if a.cache == nil {
		return
	}
	a.dispatcher.Meter.AddWastedTokens(a.cache.PromptTokens - a.cache.CachedTokens)
	a.cache = nil
	a.dispatcher.Canceller.Cancel(a.prefillEngine, a.prefillID, nil)
	a.dispatcher.OwnedRequests.Disown(a.prefillID)
}

func (a *Answer) leaveGate(tokens int) {
	if a.entered {
		a.entered = false
		a.dispatcher.Gate.Finish(a.entry, tokens)
	}
}

// finish releases what the answer holds and reports its result; nil means that
// all tokens were returned. Only the first call has an effect.
func (a *Answer) finish(err error) {
	if a.done {
		return
	}
	a.done = true
	d := a.dispatcher
	now := d.Now()
	elapsed := now.Sub(a.request.Arrived)
	a.reportResult(now, err)
	if err == nil {
		a.stream.Close()
		a.stream = nil
		if a.suspect {
			d.PoisonDetector.HandleCompletion(a.request.Fingerprint)
		}
		d.Slots.Release(a.exchange, a.decodeEngine)
		d.OwnedRequests.Disown(a.exchange)
		a.leaveGate(a.next)
		a.record(hingeevents.RequestAnswered, hingeevents.Fields{
			Server:  a.decodeEngine.Server,
			Elapsed: elapsed,
			Count:   int64(a.next),
		})
		return
	}
	if a.stream != nil {
		a.dropStream(err)
	}
	a.dropCache()
	a.leaveGate(0)
	a.record(hingeevents.RequestGivenUp, hingeevents.Fields{
		Elapsed: elapsed,
		Count:   int64(a.next),
		Detail:  err.Error(),
	})
}

// Close cancels the request if it has not finished, since its caller has
// disconnected.
func (a *Answer) Close() {
	a.finish(hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeCancelled, 0, errCallerDisconnected))
}

var errCallerDisconnected = errors.New("caller disconnected")

func (a *Answer) record(n hingeevents.Number, f hingeevents.Fields) {
	f.Request = a.request.Request
	a.dispatcher.Recorder.Record(a.dispatcher.Now(), n, f)
}

func (a *Answer) recordPlaced(t hingeengine.Target, detail string) {
	a.record(hingeevents.RequestPlaced, hingeevents.Fields{
		Server: t.Server,
		Detail: detail,
	})
}
