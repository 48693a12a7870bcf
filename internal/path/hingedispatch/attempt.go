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

// start places the request, again if need be, until its next token is there.
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
			a.leave(0)
			err = a.place()
		}
	}
	return nil
}

// afterFailure asks what to do after an exchange failed, by rule 3. A final
// error carries the most that any exchange may have done.
func (a *Answer) afterFailure(err error, resumable bool) (hingeretry.Action, error) {
	v, ours := fromServer(err)
	if v == nil {
		v = hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
	}
	d := a.dispatcher
	if !ours || a.refused || a.ctx.Err() != nil {
		return hingeretry.ReturnError, a.worst(a.atDeadline(v))
	}
	decision := d.decide(hingeretry.Failure{
		Err:            v,
		EarlierVerdict: a.before,
		Attempts:       a.attempts,
		ExtraMessages:  1,
		Resumes:        a.resumes,
		NeverRepeat:    a.work.Class.NeverRepeat,
		SentTokens:     a.sent(),
		SameInstance:   resumable && d.Gate.Lives(a.decoder),
		CacheUntil:     a.cacheUntil(v),
		TransferTime:   transferTime,
		Deadline:       a.work.Deadline,
	})
	if decision.Action == hingeretry.ReturnError {
		return decision.Action, a.worst(decision.Err)
	}
	if decision.Action == hingeretry.Retry && a.workedOnce() {
		return hingeretry.ReturnError, a.worst(v)
	}
	d.Meter.Retried(decision.Action.String())
	if v.Verdict != hingeverdict.NotRun {
		a.before = hingeverdict.MayHaveRun
	}
	return decision.Action, nil
}

// transferTime is what sending KV cache again takes at the most, on the links
// of the brief and with prompts of some thousands of tokens.
const transferTime = 200 * time.Millisecond

// cacheUntil is until when the KV cache may be sent to another decode engine.
// One that a decode engine may have begun to fetch is gone.
func (a *Answer) cacheUntil(v *hingeverdict.Error) time.Time {
	if a.cache == nil || v.Verdict != hingeverdict.NotRun || v.Code == hingeverdict.CodeCacheGone {
		return time.Time{}
	}
	return a.cachedAt.Add(a.dispatcher.Limits.CacheKept)
}

// atDeadline tells a request that ran out of time from one whose caller left.
func (a *Answer) atDeadline(v *hingeverdict.Error) *hingeverdict.Error {
	if !errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return v
	}
	e := *v
	e.Code = hingeverdict.CodeDeadline
	return &e
}

// worst gives an error the most that the exchanges before it may have done: a
// last one that was refused proves nothing about them.
func (a *Answer) worst(v *hingeverdict.Error) error {
	before := a.before
	if a.workedOnce() {
		before = hingeverdict.MayHaveRun
	}
	if v.Verdict != hingeverdict.NotRun || before == hingeverdict.NotRun {
		return v
	}
	e := *v
	e.Verdict = before
	return &e
}

// workedOnce tells whether rule 7 forbids to work the prompt from now on.
func (a *Answer) workedOnce() bool {
	return a.worked && a.work.Class.NeverRepeat
}

// place carries the request through the gate to its next token. A slot that the
// reports promised and no granter gives is no failure of the request: it enters
// again, for as long as its time lasts.
func (a *Answer) place() error {
	a.attempts++
	for {
		a.noSlot = false
		err := a.placeOnce()
		if err == nil || !a.noSlot || a.ctx.Err() != nil || a.workedOnce() {
			return err
		}
		a.leave(0)
	}
}

func (a *Answer) placeOnce() error {
	d := a.dispatcher
	// Rule 8.
	if err := a.judge(); err != nil {
		return err
	}
	a.exchange.Attempt++
	a.entry = Entry{
		Work:  a.work,
		ID:    a.exchange,
		Again: a.admitted,
		Avoid: a.avoid,
	}
	placement, err := d.Gate.Enter(a.ctx, a.entry)
	if err != nil {
		a.refused = true
		return err
	}
	a.entered, a.admitted = true, true
	if placement.Prefill == nil {
		a.recordPlaced(placement.Decode, "prefill where it decodes")
		return a.decode(placement.Decode)
	}
	a.recordPlaced(*placement.Prefill, "prefill")
	if err := a.prefill(*placement.Prefill); err != nil {
		return err
	}
	target, err := d.Gate.Ready(a.ctx, a.entry, a.cache.CachedTokens)
	if err != nil {
		a.refused = true
		a.dropCache()
		return err
	}
	return a.decode(target)
}

// transfer sends KV cache that is still there to another decode engine.
func (a *Answer) transfer() error {
	a.attempts++
	target, err := a.dispatcher.Gate.Full(a.ctx, a.entry, a.decoder)
	if err != nil {
		a.refused = true
		a.dropCache()
		return err
	}
	return a.decode(target)
}

// prefill works the prompt at a prefill engine.
func (a *Answer) prefill(t hingeengine.Target) error {
	d := a.dispatcher
	a.prefiller = t
	began := d.Now()
	d.Owned.Own(a.exchange)
	a.prefillID = a.exchange
	a.sentAt = d.Now()
	cache, err := d.Engines.Prefill(a.ctx, t, a.engineWork(), d.Limits.PrefillSilence)
	if err != nil {
		a.failed(t, err)
		a.cache = &cache
		a.dropCache()
		return err
	}
	a.cache = &cache
	a.cachedAt = d.Now()
	a.worked = true
	d.Meter.Prefilled(cache.PromptTokens - cache.CachedTokens)
	a.record(hingeevents.RequestPrefilled, hingeevents.Fields{
		Server: t.Server,
		Took:   a.cachedAt.Sub(began),
		Count:  int64(cache.PromptTokens - cache.CachedTokens),
	})
	return nil
}

// decode takes a slot and opens the stream up to its next token.
func (a *Answer) decode(t hingeengine.Target) error {
	d := a.dispatcher
	a.exchange.Attempt++
	a.decoder = t
	granted, err := a.acquire(t)
	if err != nil {
		return a.slotRefused(t, err)
	}
	t, a.decoder = granted, granted
	d.Owned.Own(a.exchange)
	a.sentAt = d.Now()
	stream, err := d.Engines.Decode(a.ctx, t, a.engineWork(), a.cache, a.next, d.Limits.TokenSilence)
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
	// The KV cache is here; what the prefill engine may still hold of it is nobody's.
	a.cache = nil
	d.Owned.Disown(a.prefillID)
	a.gapFrom, a.gapTokens = d.Now(), 0
	if a.firstAt.IsZero() {
		a.firstAt = a.gapFrom
	}
	a.record(hingeevents.RequestFirstToken, hingeevents.Fields{
		Server: t.Server,
		Took:   d.Now().Sub(a.work.Arrived),
		Count:  int64(a.next),
	})
	return nil
}

// acquire waits for a slot at the engine that was chosen, and at a second one.
func (a *Answer) acquire(t hingeengine.Target) (hingeengine.Target, error) {
	d := a.dispatcher
	at := []hingeengine.Target{t}
	if other, ok := d.Gate.Other(a.entry); ok {
		at = append(at, other)
	}
	granted, err := d.Slots.Acquire(a.ctx, a.work, a.exchange, at...)
	if err == nil && granted != t {
		d.Gate.Rebind(a.entry, granted)
	}
	return granted, err
}

// slotRefused asks the gate for another engine while the KV cache is kept: a
// slot that was there by the reports may have been taken by another host.
func (a *Answer) slotRefused(t hingeengine.Target, err error) error {
	d := a.dispatcher
	a.record(hingeevents.SlotMissed, hingeevents.Fields{
		Server: t.Server,
		Detail: err.Error(),
	})
	if a.cache == nil || a.ctx.Err() != nil || d.Now().After(a.cachedAt.Add(d.Limits.CacheKept)) {
		a.dropCache()
		a.noSlot = true
		return err
	}
	other, fullErr := d.Gate.Full(a.ctx, a.entry, t)
	if fullErr != nil {
		a.refused = true
		a.dropCache()
		return fullErr
	}
	return a.decode(other)
}

func isCacheGone(err error) bool {
	var v *hingeverdict.Error
	return errors.As(err, &v) && v.Code == hingeverdict.CodeCacheGone
}

func (a *Answer) engineWork() hingeengine.CompletionRequest {
	return hingeengine.CompletionRequest{
		Request:  a.exchange,
		Path:     a.work.Path,
		Fields:   a.work.Fields,
		Priority: a.work.Class.Priority,
	}
}

// failed keeps later tries away from a server, but not from one that only
// said that the KV cache from elsewhere was gone.
func (a *Answer) failed(t hingeengine.Target, err error) {
	if isCacheGone(err) || a.ctx.Err() != nil {
		return
	}
	a.avoid[t.Server] = true
	a.broke(t, err)
	a.dispatcher.Gate.Failed(a.entry, t, err)
	a.record(hingeevents.ServerFailedRequest, hingeevents.Fields{
		Server: t.Server,
		Detail: err.Error(),
	})
}
