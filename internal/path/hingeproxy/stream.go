package hingeproxy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// stallTimeout is the longest time without an event before another engine resumes a stream. It is well above the
	// pause between events on a slow engine, 250 ms on one that is five times slower than usual, and below the time after
	// which callers disconnect, two seconds and more.
	stallTimeout = 1500 * time.Millisecond
	// prefillTimeout bounds one prefill. It is well above the time for the longest prompt.
	prefillTimeout = 2 * time.Second
	// freeTimeout bounds the call that frees a KV cache, which expires soon after without it.
	freeTimeout = 500 * time.Millisecond
	// drainStreamTime is the time after the start of a drain in which streams are still accepted. Later ones might
	// not finish within the grace period.
	drainStreamTime = 1500 * time.Millisecond
)

type streamJob struct {
	*job
	engine *hingeroutes.Engine
	relay  relay
	avoid  []hingeids.ServerID
	// waitStart is the start of the caller's current wait: the arrival of the request, or the last failure of an
	// engine after the stream had begun.
	waitStart time.Time
	// sentAt is the time of the last message to an engine.
	sentAt          time.Time
	prefillDuration time.Duration
	// streamingServer is the engine that has sent the last event.
	streamingServer hingeids.ServerID
	// moved is set if an engine failed after the stream had begun.
	moved bool
}

// serveStream serves a request for a model as a stream of events, with retries on other engines.
func (p *Proxy) serveStream(ctx context.Context, j *job, e *hingeroutes.Engine) {
	if p.tooLateToStart() {
		p.failRequest(j, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeShuttingDown, minRetryAfter, nil))
		return
	}
	r := &streamJob{
		job:    j,
		engine: e,
	}
	r.relay.lastID = j.info.LastEventID
	r.waitStart = j.Arrived
	for {
		err := p.attempt(ctx, r)
		switch {
		case err == nil:
			p.recordStream(r)
			return
		case context.Cause(ctx) == hingewire.ErrCallerDisconnected:
			p.recordCallerGone(j)
			return
		case !p.allowResume(r, err):
			p.failRequest(j, err)
			return
		}
	}
}

func (p *Proxy) tooLateToStart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.drainingSince.IsZero() && p.settings.Clock().Sub(p.drainingSince) > drainStreamTime
}

func (p *Proxy) recordStream(r *streamJob) {
	p.reportCompletion(r.job)
	now := p.settings.Clock()
	p.meter.countRequest(r.caller(), outcomeAnswered)
	p.meter.countStream(now.Sub(r.Arrived), r.relay.firstAt.Sub(r.Arrived))
	p.settings.Recorder.Record(now, hingeevents.RequestAnswered, hingeevents.Fields{
		CallerRequestID: string(r.info.ID),
		Caller:          r.caller(),
		Elapsed:         now.Sub(r.Arrived),
		Count:           int64(r.relay.events),
		Route:           r.route.Name,
		MissedTarget:    r.lateReason(),
		Detail:          fmt.Sprintf("longest pause %d ms", r.relay.maxPause.Milliseconds()),
	})
}

// lateReason returns why a complete stream counts as late, empty if it is on time.
func (r *streamJob) lateReason() string {
	switch {
	case r.relay.firstAt.Sub(r.Arrived) > r.route.LatencyTarget:
		return "firstEvent"
	case r.route.EventGapTarget > 0 && r.relay.maxPause > r.route.EventGapTarget:
		return "pause"
	}
	return ""
}

// recordWaste records that a prompt was prefilled without a complete answer.
func (p *Proxy) recordWaste(r *streamJob, placed placement, tokens hingeids.Tokens, cause error) {
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.PromptWasted, hingeevents.Fields{
		CallerRequestID: string(r.info.ID),
		Server:          placed.Decode,
		Count:           int64(tokens),
		Route:           r.route.Name,
		Detail:          cause.Error(),
	})
}

// allowResume reports whether a stream is attempted again. If the caller already has a part of the answer, its wait
// starts anew.
func (p *Proxy) allowResume(r *streamJob, err *hingeverdict.Error) bool {
	switch err.Code {
	case hingeverdict.CodeNoRoom, hingeverdict.CodeDeadline, hingeverdict.CodeOverQuota, hingeverdict.CodeQuotaUnknown,
		hingeverdict.CodePoison:
		return false
	}
	if r.relay.headSent {
		r.moved = true
		r.waitStart = p.settings.Clock()
	}
	return p.allowRetry(r.job, err)
}

func (p *Proxy) streamRequest(r *streamJob) hingeplacer.StreamRequest {
	generated := r.generated()
	waited := p.settings.Clock().Sub(r.waitStart)
	return hingeplacer.StreamRequest{
		Service:        r.service,
		Zone:           p.settings.Zone,
		ID:             hingefleet.StreamID(p.nextID()),
		PromptTokens:   r.info.PromptTokens + generated,
		ExpectedTokens: max(expectedTokens(r.info, r.engine)-generated, r.engine.EventTokens),
		Waited:         waited,
		Target:         r.route.LatencyTarget,
		MaxEventGap:    r.route.EventGapTarget,
		MaxWait:        min(r.route.MaxWait, waited+p.remaining(r.job)),
		TimeToDeadline: p.remaining(r.job),
		Moved:          r.moved,
		Avoid:          r.avoid,
		Charge:         r.pendingCharge(),
		Priority:       r.priority(),
		Fingerprint:    r.fingerprint,
		Parts:          r.parts,
		Crashes:        r.crashes,
		MayRetry:       r.route.MayRetry(),
		Resumed:        r.info.LastEventID != "",
	}
}

// generated returns the number of tokens that the caller has received.
func (r *streamJob) generated() hingeids.Tokens {
	return hingeids.Tokens(r.relay.events) * r.engine.EventTokens
}

// expectedTokens estimates the length of an answer: the caller's hint, or half of its maximum, within its bounds.
func expectedTokens(info RequestInfo, e *hingeroutes.Engine) hingeids.Tokens {
	t := info.ExpectedTokens
	if t <= 0 {
		t = info.MaxTokens / 2
	}
	if info.MaxTokens > 0 {
		t = min(t, info.MaxTokens)
	}
	return max(t, e.EventTokens)
}

// attempt places a stream and runs it on its engines. If a decode engine refuses the KV cache or can't be reached,
// another engine may take the cache over.
func (p *Proxy) attempt(ctx context.Context, r *streamJob) *hingeverdict.Error {
	placed, err := p.place(ctx, r, false)
	if err != nil {
		return err
	}
	defer func() {
		placed.stream.Finish()
	}()
	dial := p.startDial(ctx, placed.Decode, placed.DecodeAddress)
	var cache Cache
	placedAt := p.settings.Clock()
	if placed.Prefill != "" {
		cache, err = p.prefill(ctx, r, placed.Prefill, p.addressOf(placed.Prefill, placed.PrefillAddress))
	}
	if err != nil {
		dial.close()
		p.recordEngineFailure(ctx, r, placed, placed.Prefill, err)
		return err
	}
	if placed.Prefill != "" {
		placed.stream.RecordOutcome(placed.Prefill, hingefleet.Succeeded, r.takeNotice())
	}
	generated := r.generated()
	prefillDone := p.settings.Clock()
	r.prefillDuration = prefillDone.Sub(placedAt)
	for {
		err = p.decode(ctx, r, placed, dial, cache)
		if err == nil {
			placed.stream.RecordOutcome(placed.Decode, hingefleet.Succeeded, hingenotice.Notice{})
			return nil
		}
		if context.Cause(ctx) == nil {
			p.recordEngineFailure(ctx, r, placed, placed.Decode, err)
		}
		if cache == (Cache{}) || ctx.Err() != nil || p.settings.Clock().Sub(prefillDone) > r.engine.HandleTTL/2 ||
			!p.mayTransfer(r, err) {
			break
		}
		next, failed := p.place(ctx, r, true)
		if failed != nil {
			break
		}
		placed.stream.Finish()
		placed = next
		dial = p.startDial(ctx, placed.Decode, placed.DecodeAddress)
	}
	p.recordWaste(r, placed, r.info.PromptTokens+generated, err)
	if cache != (Cache{}) && (err.Verdict == hingeverdict.NotRun || ctx.Err() != nil) {
		p.releaseCache(cache)
	}
	return err
}

// mayTransfer reports whether another engine may take over the KV cache while it is retained. If an engine refused
// it, the message to the next one is charged to the retry budget.
func (p *Proxy) mayTransfer(r *streamJob, err *hingeverdict.Error) bool {
	switch err.Code {
	case hingeverdict.CodeNoServer:
		return true
	case hingeverdict.CodeServerRefused:
		return p.spend(r.job, 1)
	}
	return false
}

// placement holds the engines of a stream and the handle for reports on it.
type placement struct {
	hingeplacer.Placement
	stream *hingeplacer.Stream
}

func (p placement) address(id hingeids.ServerID) string {
	if id == p.Prefill {
		return p.PrefillAddress
	}
	return p.DecodeAddress
}

// place requests engines for a stream, only a decode engine if the KV cache exists already.
func (p *Proxy) place(ctx context.Context, r *streamJob, cached bool) (placement, *hingeverdict.Error) {
	request := p.streamRequest(r)
	request.Cached = cached
	placed := p.owner.Place(ctx, request)
	if placed.Refused {
		return placement{}, refusal(placed)
	}
	if placed.NotPlacer || placed.Decode == "" {
		return placement{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, minRetryAfter, nil)
	}
	r.charged = true
	r.suspect = placed.Suspect
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.RequestPlaced, hingeevents.Fields{
		CallerRequestID: string(r.info.ID),
		Fingerprint:     r.fingerprint,
		Server:          placed.Decode,
		Elapsed:         placed.Waited,
		Count:           int64(placed.Peak),
		Route:           r.route.Name,
		ViewVersion:     p.view.Version(),
		Detail:          fmt.Sprintf("prefill %s, alone %v, prompt %d, expected %d", placed.Prefill, placed.Local, request.PromptTokens, request.ExpectedTokens),
	})
	return placement{
		Placement: placed,
		stream:    p.owner.StartStream(request, placed),
	}, nil
}

func refusal(a hingeplacer.Placement) *hingeverdict.Error {
	if a.Cause != hingeplacer.NoCapacity {
		return hingeverdict.New(hingeverdict.NotRun, refusalCode(a.Cause, 0), a.RetryAfter, nil)
	}
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoRoom, a.RetryAfter, eris.Errorf("short of %s", a.Shortage))
}

// recordEngineFailure excludes an engine from the further attempts of a stream, and reports the failure to the
// placer.
func (p *Proxy) recordEngineFailure(ctx context.Context, r *streamJob, placed placement, id hingeids.ServerID, err *hingeverdict.Error) {
	r.avoid = append(slices.Clip(r.avoid), id)
	now := p.settings.Clock()
	p.reportCrash(ctx, r.job, id, placed.address(id), now.Sub(r.sentAt), err)
	p.settings.Recorder.Record(now, hingeevents.ServerFailedRequest, hingeevents.Fields{
		CallerRequestID: string(r.info.ID),
		Fingerprint:     r.fingerprint,
		Server:          id,
		Elapsed:         now.Sub(r.Arrived),
		Detail:          err.Error(),
	})
	notice := p.noticeOfFailure(r.job, id, err)
	if err.Code == hingeverdict.CodeDeadline {
		return
	}
	outcome := engineOutcome(err)
	if outcome == hingefleet.Full && notice.Backoff > 0 {
		outcome = hingefleet.HostRefused
	}
	placed.stream.RecordOutcome(id, outcome, notice)
}

func engineOutcome(err *hingeverdict.Error) hingefleet.Outcome {
	if errors.Is(err, errWithheld) || isOwnPath(err) {
		return hingefleet.NotSent
	}
	switch err.Code {
	case hingeverdict.CodeNoServer, hingeverdict.CodeServerGone:
		return hingefleet.ConnectFailed
	case hingeverdict.CodeServerRefused:
		return hingefleet.Full
	}
	return hingefleet.Failed
}
