package hingedispatch

import (
	"context"
	"errors"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// start places the request, with retries, until its next token has been
// received.
func (a *Answer) start() error {
	err := a.place()
	for err != nil {
		next, final := a.afterFailure(err, false)
		if final != nil {
			return final
		}
		switch next {
		case hingeretry.Transfer:
			err = a.transfer()
		default:
			a.dropCache()
			a.leaveGate(0)
			err = a.place()
		}
	}
	return nil
}

// afterFailure decides how to continue after a failed exchange (rule 3). A final
// error carries the highest verdict of all exchanges.
func (a *Answer) afterFailure(err error, resumable bool) (hingeretry.Action, error) {
	v, retryable := fromServer(err)
	if v == nil {
		v = hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
	}
	d := a.dispatcher
	if !retryable || a.refused || a.ctx.Err() != nil {
		return hingeretry.ReturnError, a.withEarlierVerdict(a.withDeadlineCode(v))
	}
	decision := d.decide(hingeretry.Failure{
		Err:            v,
		EarlierVerdict: a.earlierVerdict,
		Attempts:       a.attempts,
		ExtraMessages:  1,
		Resumes:        a.resumes,
		NeverRepeat:    a.request.Class.NeverRepeat,
		SentTokens:     a.sentTokens(),
		SameInstance:   resumable && d.Gate.IsCurrent(a.decodeEngine),
		CacheUntil:     a.cacheUntil(v),
		TransferTime:   transferTime,
		Deadline:       a.request.Deadline,
	})
	if decision.Action == hingeretry.ReturnError {
		return decision.Action, a.withEarlierVerdict(decision.Err)
	}
	if decision.Action == hingeretry.Retry && a.prefillForbidden() {
		return hingeretry.ReturnError, a.withEarlierVerdict(v)
	}
	d.Meter.CountRetry(decision.Action.String())
	if v.Verdict != hingeverdict.NotRun {
		a.earlierVerdict = hingeverdict.MayHaveRun
	}
	return decision.Action, nil
}

// transferTime is the maximum time to send the KV cache of a prompt of several
// thousand tokens to another decode engine.
const transferTime = 200 * time.Millisecond

// cacheUntil returns the time until which the KV cache may be sent to another
// decode engine. It is zero if a decode engine may already have begun to fetch
// the cache, since it may no longer be kept then.
func (a *Answer) cacheUntil(v *hingeverdict.Error) time.Time {
	if a.cache == nil || v.Verdict != hingeverdict.NotRun || v.Code == hingeverdict.CodeCacheGone {
		return time.Time{}
	}
	return a.cachedAt.Add(a.dispatcher.Limits.CacheRetention)
}

// withDeadlineCode sets the deadline code if the request's deadline has passed,
// to distinguish it from a request whose caller has disconnected.
func (a *Answer) withDeadlineCode(v *hingeverdict.Error) *hingeverdict.Error {
	if !errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return v
	}
	e := *v
	e.Code = hingeverdict.CodeDeadline
	return &e
}

// withEarlierVerdict raises the verdict of an error to that of the exchanges
// before it: the refusal of the last exchange proves nothing about earlier ones.
func (a *Answer) withEarlierVerdict(v *hingeverdict.Error) error {
	earlierVerdict := a.earlierVerdict
	if a.prefillForbidden() {
		earlierVerdict = hingeverdict.MayHaveRun
	}
	if v.Verdict != hingeverdict.NotRun || earlierVerdict == hingeverdict.NotRun {
		return v
	}
	e := *v
	e.Verdict = earlierVerdict
	return &e
}

// prefillForbidden reports whether rule 7 forbids another prefill.
func (a *Answer) prefillForbidden() bool {
	return a.prefilled && a.request.Class.NeverRepeat
}

// place passes the request through the gate and on to its next token. If no
// allocator grants a slot that was reported free, the request enters the gate
// again until its deadline; this doesn't count as an attempt.
func (a *Answer) place() error {
	a.attempts++
	for {
		a.noSlot = false
		err := a.placeOnce()
		if err == nil || !a.noSlot || a.ctx.Err() != nil || a.prefillForbidden() {
			return err
		}
		a.leaveGate(0)
	}
}

func (a *Answer) placeOnce() error {
	d := a.dispatcher
	// Rule 8.
	if err := a.checkPoison(); err != nil {
		return err
	}
	a.exchange.Attempt++
	a.entry = Entry{
		CompletionRequest: a.request,
		ID:                a.exchange,
		Resubmitted:       a.admitted,
		Avoid:             a.avoid,
	}
	placement, err := d.Gate.Admit(a.ctx, a.entry)
	if err != nil {
		a.refused = true
		return err
	}
	a.entered, a.admitted = true, true
	if placement.Prefill == nil {
		a.recordPlaced(placement.Decode, "prefill on the decode engine")
		return a.decode(placement.Decode)
	}
	a.recordPlaced(*placement.Prefill, "prefill")
	if err := a.prefill(*placement.Prefill); err != nil {
		return err
	}
	target, err := d.Gate.BindDecode(a.ctx, a.entry, a.cache.CachedTokens)
	if err != nil {
		a.refused = true
		a.dropCache()
		return err
	}
	return a.decode(target)
}

// transfer sends KV cache that is still kept to another decode engine.
func (a *Answer) transfer() error {
	a.attempts++
	target, err := a.dispatcher.Gate.RetryBind(a.ctx, a.entry, a.decodeEngine)
	if err != nil {
		a.refused = true
		a.dropCache()
		return err
	}
	return a.decode(target)
}

// prefill has a prefill engine process the prompt and export its KV cache.
func (a *Answer) prefill(t hingeengine.Target) error {
	d := a.dispatcher
	a.prefillEngine = t
	began := d.Now()
	d.OwnedRequests.Own(a.exchange)
	a.prefillID = a.exchange
	a.sentAt = d.Now()
	cache, err := d.Engines.Prefill(a.ctx, t, a.engineRequest(), d.Limits.PrefillTimeout)
	if err != nil {
		a.recordServerFailure(t, err)
		a.cache = &cache
		a.dropCache()
		return err
	}
	a.cache = &cache
	a.cachedAt = d.Now()
	a.prefilled = true
	d.Meter.AddPrefilledTokens(cache.PromptTokens - cache.CachedTokens)
	a.record(hingeevents.RequestPrefilled, hingeevents.Fields{
		Server:  t.Server,
		Elapsed: a.cachedAt.Sub(began),
		Count:   int64(cache.PromptTokens - cache.CachedTokens),
	})
	return nil
}

// decode acquires a slot, opens the stream and reads its next token.
func (a *Answer) decode(t hingeengine.Target) error {
	d := a.dispatcher
	a.exchange.Attempt++
	a.decodeEngine = t
	granted, err := a.acquireSlot(t)
	if err != nil {
		return a.handleSlotRefusal(t, err)
	}
	t, a.decodeEngine = granted, granted
	d.OwnedRequests.Own(a.exchange)
	a.sentAt = d.Now()
	stream, err := d.Engines.Decode(a.ctx, t, a.engineRequest(), a.cache, a.next, d.Limits.TokenTimeout)
	if err == nil {
		a.stream = stream
		a.first, err = stream.Next()
		a.hasFirst = err == nil
	}
	if err != nil {
		a.dropStream(err)
		if hingeverdict.Of(err) != hingeverdict.NotRun || isCacheGone(err) {
			a.dropCache()
		}
		return err
	}
	// The decode engine has imported the KV cache, so that the prefill engine may
	// free its copy.
	a.cache = nil
	d.OwnedRequests.Disown(a.prefillID)
	a.gapStart, a.gapTokens = d.Now(), 0
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = a.gapStart
	}
	a.record(hingeevents.RequestFirstToken, hingeevents.Fields{
		Server:  t.Server,
		Elapsed: d.Now().Sub(a.request.Arrived),
		Count:   int64(a.next),
	})
	return nil
}

// acquireSlot waits for a slot on the chosen engine or on an alternative one. It
// returns the engine that granted the slot.
func (a *Answer) acquireSlot(t hingeengine.Target) (hingeengine.Target, error) {
	d := a.dispatcher
	candidates := []hingeengine.Target{t}
	if other, ok := d.Gate.AlternativeEngine(a.entry); ok {
		candidates = append(candidates, other)
	}
	granted, err := d.Slots.Acquire(a.ctx, a.request, a.exchange, candidates...)
	if err == nil && granted != t {
		d.Gate.Rebind(a.entry, granted)
	}
	return granted, err
}

// handleSlotRefusal requests another engine from the gate while the KV cache is
// kept. Another host may have acquired a slot that was reported free.
func (a *Answer) handleSlotRefusal(t hingeengine.Target, err error) error {
	d := a.dispatcher
	a.record(hingeevents.SlotMissed, hingeevents.Fields{
		Server: t.Server,
		Detail: err.Error(),
	})
	if a.cache == nil || a.ctx.Err() != nil || d.Now().After(a.cachedAt.Add(d.Limits.CacheRetention)) {
		a.dropCache()
		a.noSlot = true
		return err
	}
	other, bindErr := d.Gate.RetryBind(a.ctx, a.entry, t)
	if bindErr != nil {
		a.refused = true
		a.dropCache()
		return bindErr
	}
	return a.decode(other)
}

func isCacheGone(err error) bool {
	var v *hingeverdict.Error
	return errors.As(err, &v) && v.Code == hingeverdict.CodeCacheGone
}

func (a *Answer) engineRequest() hingeengine.CompletionRequest {
	return hingeengine.CompletionRequest{
		Request:  a.exchange,
		Path:     a.request.Path,
		Fields:   a.request.Fields,
		Priority: a.request.Class.Priority,
	}
}

// recordServerFailure excludes a server from later attempts and reports its
// failure. It ignores errors about missing KV cache, which another server had to
// keep, and errors after the request's context has ended.
func (a *Answer) recordServerFailure(t hingeengine.Target, err error) {
	if isCacheGone(err) || a.ctx.Err() != nil {
		return
	}
	a.avoid[t.Server] = true
	a.reportFailedExchange(t, err)
	a.dispatcher.Gate.HandleFailure(a.entry, t, err)
	a.record(hingeevents.ServerFailedRequest, hingeevents.Fields{
		Server: t.Server,
		Detail: err.Error(),
	})
}
