package hingeproxy

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// stallTime is how long an engine may be silent in the middle of a stream before
	// another goes on, where that is allowed. Events come every 50 ms, 250 ms on an engine
	// five times slower; callers give a silent stream up after two seconds and more.
	stallTime = 1500 * time.Millisecond
	// prefillTime bounds one prefill: ten times that of the longest prompt.
	prefillTime = 2 * time.Second
	// freeTime bounds the call that frees a KV cache; it lapses by itself soon after.
	freeTime = 500 * time.Millisecond
	// lastStreams is how long after the process was told to end streams are still begun. They last
	// some four seconds, and the grace of today's deployments is eight.
	lastStreams = 1500 * time.Millisecond
)

// run is a stream on its way.
type run struct {
	*job
	engine *hingeroutes.Engine
	relay  relay
	avoid  []hingeids.ServerID
	// waitsSince is when the caller got its last event, or asked.
	waitsSince time.Time
	// sentAt is when the engine that was asked last got its message.
	sentAt time.Time
	// read is how long the prompt was with the engine that prefilled it.
	read time.Duration
	// begunAt is the engine that sent an event last.
	begunAt hingeids.ServerID
	// moved says that an engine broke off.
	moved bool
}

// stream answers a request of a model service.
func (p *Proxy) stream(ctx context.Context, j *job, e *hingeroutes.Engine) {
	if p.tooLateToBegin() {
		p.give(j, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeShuttingDown, shortestRetry, nil))
		return
	}
	r := &run{
		job:    j,
		engine: e,
	}
	r.relay.last = j.asked.After
	r.waitsSince = j.Arrived
	for {
		err := p.attempt(ctx, r)
		switch {
		case err == nil:
			p.streamed(r)
			return
		case context.Cause(ctx) == hingewire.ErrCallerLeft:
			p.callerLeft(j)
			return
		case !p.moveOn(r, err):
			p.give(j, err)
			return
		}
	}
}

func (p *Proxy) tooLateToBegin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.drainingSince.IsZero() && p.settings.Clock().Sub(p.drainingSince) > lastStreams
}

func (p *Proxy) streamed(r *run) {
	p.passed(r.job)
	now := p.settings.Clock()
	p.meter.customer(r.caller(), outcomeAnswered)
	p.meter.streamed(now.Sub(r.Arrived), r.relay.firstAt.Sub(r.Arrived))
	p.settings.Recorder.Record(now, hingeevents.RequestAnswered, hingeevents.Fields{
		Asked:  string(r.asked.ID),
		Caller: r.caller(),
		Took:   now.Sub(r.Arrived),
		Count:  int64(r.relay.events),
		Route:  r.route.Name,
		Late:   r.late(),
		Detail: fmt.Sprintf("longest pause %d ms", r.relay.pause.Milliseconds()),
	})
}

// late is what made a stream that is whole late, empty if nothing did.
func (r *run) late() string {
	switch {
	case r.relay.firstAt.Sub(r.Arrived) > r.route.Target:
		return "firstEvent"
	case r.route.GapTarget > 0 && r.relay.pause > r.route.GapTarget:
		return "pause"
	}
	return ""
}

// wasted records that a prompt was worked for nothing.
func (p *Proxy) wasted(r *run, at placement, tokens hingeids.Tokens, cause error) {
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.PromptWasted, hingeevents.Fields{
		Asked:  string(r.asked.ID),
		Server: at.Decode,
		Count:  int64(tokens),
		Route:  r.route.Name,
		Detail: cause.Error(),
	})
}

// moveOn decides whether another attempt is made.
func (p *Proxy) moveOn(r *run, err *hingeverdict.Error) bool {
	switch err.Code {
	case hingeverdict.CodeNoCapacity, hingeverdict.CodeDeadline, hingeverdict.CodeOverQuota, hingeverdict.CodeQuotaUnknown,
		hingeverdict.CodePoison:
		return false
	}
	if r.relay.begun {
		r.moved = true
		r.waitsSince = p.settings.Clock()
	}
	return p.again(r.job, err)
}

// want makes what is asked of the placer.
func (p *Proxy) want(r *run) hingeplacer.Want {
	made := r.made()
	waited := p.settings.Clock().Sub(r.waitsSince)
	return hingeplacer.Want{
		Service:  r.service,
		Zone:     p.settings.Zone,
		ID:       hingefleet.StreamID(p.nextID()),
		Prompt:   r.asked.Prompt + made,
		Expected: max(expected(r.asked, r.engine)-made, r.engine.EventTokens),
		Waited:   waited,
		Target:   r.route.Target,
		Gap:      r.route.GapTarget,
		Patience: min(r.route.Patience, waited+p.left(r.job)),
		Left:     p.left(r.job),
		Moved:    r.moved,
		Avoid:    r.avoid,
		Charge:   r.due(),
		Priority: r.priority(),
		Print:    r.print,
		Ends:     r.ends,
	}
}

// made is the tokens that the caller has.
func (r *run) made() hingeids.Tokens {
	return hingeids.Tokens(r.relay.events) * r.engine.EventTokens
}

// expected is how many tokens an answer is expected to have.
func expected(a Asked, e *hingeroutes.Engine) hingeids.Tokens {
	t := a.Hint
	if t <= 0 {
		t = a.Longest / 2
	}
	if a.Longest > 0 {
		t = min(t, a.Longest)
	}
	return max(t, e.EventTokens)
}

// attempt places a stream and runs it at the engines it was given.
func (p *Proxy) attempt(ctx context.Context, r *run) *hingeverdict.Error {
	placed, err := p.place(ctx, r, false)
	if err != nil {
		return err
	}
	defer func() {
		placed.stream.End()
	}()
	ahead := p.dialAhead(ctx, p.addressOf(placed.Decode, placed.DecodeAt))
	var cache Cache
	placedAt := p.settings.Clock()
	if placed.Prefill != "" {
		cache, err = p.prefill(ctx, r, placed.Prefill, p.addressOf(placed.Prefill, placed.PrefillAt))
	}
	if err != nil {
		ahead.close()
		p.blame(ctx, r, placed, placed.Prefill, err)
		return err
	}
	if placed.Prefill != "" {
		placed.stream.Note(placed.Prefill, hingefleet.Succeeded)
	}
	made := r.made()
	done := p.settings.Clock()
	r.read = done.Sub(placedAt)
	for {
		err = p.decode(ctx, r, placed, ahead, cache)
		if err == nil {
			placed.stream.Note(placed.Decode, hingefleet.Succeeded)
			return nil
		}
		if context.Cause(ctx) == nil {
			p.blame(ctx, r, placed, placed.Decode, err)
		}
		if cache == (Cache{}) || ctx.Err() != nil || p.settings.Clock().Sub(done) > r.engine.HandleTime/2 ||
			!p.mayTransfer(r, err) {
			break
		}
		next, failed := p.place(ctx, r, true)
		if failed != nil {
			break
		}
		placed.stream.End()
		placed = next
		ahead = p.dialAhead(ctx, p.addressOf(placed.Decode, placed.DecodeAt))
	}
	p.wasted(r, placed, r.asked.Prompt+made, err)
	if cache != (Cache{}) && (err.Verdict == hingeverdict.NotRun || ctx.Err() != nil) {
		p.free(cache)
	}
	return err
}

// mayTransfer decides whether another engine takes the prompt's KV cache, while it is kept. An engine that
// refused has not taken it; the next one is an arrival that the budget has to give.
func (p *Proxy) mayTransfer(r *run, err *hingeverdict.Error) bool {
	switch err.Code {
	case hingeverdict.CodeNoServer:
		return true
	case hingeverdict.CodeServerRefused:
		return p.take(r.job, 1)
	}
	return false
}

// placement is where a stream goes, with its place in the owner's reports.
type placement struct {
	hingeplacer.Placement
	stream *hingeplacer.Stream
}

// address gives where one of the engines is.
func (p placement) address(id hingeids.ServerID) string {
	if id == p.Prefill {
		return p.PrefillAt
	}
	return p.DecodeAt
}

// place asks for engines; for a decode engine alone if the prompt's KV cache is there.
func (p *Proxy) place(ctx context.Context, r *run, cached bool) (placement, *hingeverdict.Error) {
	w := p.want(r)
	w.Cached = cached
	placed := p.owner.Place(ctx, w)
	if placed.Refused {
		return placement{}, refusal(placed)
	}
	if placed.NotHere || placed.Decode == "" {
		return placement{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, shortestRetry, nil)
	}
	r.counted = true
	r.suspect = placed.Suspect
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.RequestPlaced, hingeevents.Fields{
		Asked:  string(r.asked.ID),
		Print:  r.print,
		Server: placed.Decode,
		Took:   placed.Waited,
		Count:  int64(placed.Peak),
		Route:  r.route.Name,
		World:  p.world.Version(),
		Detail: fmt.Sprintf("prefill %s, alone %v, prompt %d, expected %d", placed.Prefill, placed.Alone, w.Prompt, w.Expected),
	})
	return placement{
		Placement: placed,
		stream:    p.owner.Begin(w, placed),
	}, nil
}

// refusal is the error of a stream that gets no engines.
func refusal(a hingeplacer.Placement) *hingeverdict.Error {
	if a.Cause != hingeplacer.NoRoom {
		return hingeverdict.New(hingeverdict.NotRun, codeOf(a.Cause, 0), a.RetryAfter, nil)
	}
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoCapacity, a.RetryAfter, eris.Errorf("short of %s", a.Short))
}

// blame keeps the rest of a request, and for a while other requests, away from an engine.
func (p *Proxy) blame(ctx context.Context, r *run, at placement, id hingeids.ServerID, err *hingeverdict.Error) {
	r.avoid = append(slices.Clip(r.avoid), id)
	now := p.settings.Clock()
	p.ended(ctx, r.job, id, at.address(id), now.Sub(r.sentAt), err)
	p.settings.Recorder.Record(now, hingeevents.ServerFailedRequest, hingeevents.Fields{
		Asked:  string(r.asked.ID),
		Print:  r.print,
		Server: id,
		Took:   now.Sub(r.Arrived),
		Detail: err.Error(),
	})
	if err.Code == hingeverdict.CodeDeadline {
		return
	}
	at.stream.Note(id, outcomeAt(err))
}

// outcomeAt is what a failure says of the engine.
func outcomeAt(err *hingeverdict.Error) hingefleet.Outcome {
	switch err.Code {
	case hingeverdict.CodeNoServer, hingeverdict.CodeServerReplaced:
		return hingefleet.Unreachable
	case hingeverdict.CodeServerRefused:
		return hingefleet.Full
	}
	return hingefleet.Failed
}
