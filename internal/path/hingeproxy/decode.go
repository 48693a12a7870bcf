package hingeproxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// ahead is a connection that is dialled while the prompt is worked: whether a
// decode engine can be reached is known before its KV cache begins to lapse.
type ahead struct {
	dialled chan struct{}
	stop    context.CancelFunc
	x       *hingewire.Exchange
	err     error
}

func (p *Proxy) dialAhead(ctx context.Context, address string) *ahead {
	a := &ahead{
		dialled: make(chan struct{}),
	}
	var one context.Context
	one, a.stop = context.WithCancel(ctx)
	if address == "" {
		a.err = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, shortestRetry, nil)
		close(a.dialled)
		return a
	}
	go func() {
		defer close(a.dialled)
		a.x, a.err = hingewire.Dial(one, address)
	}()
	return a
}

// close ends the exchange, or the dialling.
func (a *ahead) close() {
	a.stop()
	go func() {
		<-a.dialled
		if a.x != nil {
			a.x.Close()
		}
	}()
}

// decode has an engine stream the answer, and passes it on.
func (p *Proxy) decode(ctx context.Context, r *run, at placement, a *ahead, c Cache) *hingeverdict.Error {
	defer a.close()
	<-a.dialled
	if a.err != nil {
		return p.decodeFailed(ctx, r, verdictOf(a.err))
	}
	watch := p.watchSilence(r, a.stop)
	defer watch.end()
	r.attempts++
	r.arrivals++
	r.sentAt = p.settings.Clock()
	if err := a.x.Send(r.sent(p.dialect, Sending{
		Server: at.Decode,
		Left:   p.left(r.job),
		From:   c,
		After:  r.relay.last,
	})); err != nil {
		return p.decodeFailed(ctx, r, verdictOf(err))
	}
	reply := p.dialect.Reply(a.x.Answer)
	if err := p.judge(r.job, a.x.Answer, reply); err != nil {
		return p.decodeFailed(ctx, r, verdictOf(err))
	}
	if a.x.Answer.StatusCode != http.StatusOK {
		return p.passFailure(r, at.Decode, a.x)
	}
	// What an earlier engine made is part of the prompt at this one.
	before := r.relay.events
	err := r.relay.pass(a.x, r.writer, func(events int) {
		watch.moved()
		now := p.settings.Clock()
		r.relay.passed(now)
		if r.begunAt != at.Decode {
			r.begunAt = at.Decode
			at.stream.Note(at.Decode, hingefleet.Started)
		}
		if events == 1 {
			p.settings.Recorder.Record(now, hingeevents.RequestFirstToken, hingeevents.Fields{
				Asked:  string(r.asked.ID),
				Server: at.Decode,
				Took:   now.Sub(r.Arrived),
				Detail: fmt.Sprintf("prefill took %d ms", r.read.Milliseconds()),
			})
		}
		at.stream.Made(hingeids.Tokens(events-before) * r.engine.EventTokens)
	})
	if err == nil {
		r.note(hingeverdict.Ran)
		return nil
	}
	return p.decodeFailed(ctx, r, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerTruncated, 0, err))
}

// decodeFailed notes what a failed run may have done, and names the deadline where that ended it.
func (p *Proxy) decodeFailed(ctx context.Context, r *run, err *hingeverdict.Error) *hingeverdict.Error {
	r.note(err.Verdict)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hingeverdict.New(err.Verdict, hingeverdict.CodeDeadline, 0, err)
	}
	return err
}

// passFailure hands an engine's own failure on, as it is.
func (p *Proxy) passFailure(r *run, id hingeids.ServerID, x *hingewire.Exchange) *hingeverdict.Error {
	r.note(hingeverdict.Ran)
	body, err := x.Body()
	if err != nil {
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerTruncated, 0, err)
	}
	if r.relay.begun || r.route.MayRepeat() && r.runs < r.route.Attempts {
		return hingeverdict.New(hingeverdict.Ran, hingeverdict.CodeServerFailed, 0,
			eris.Errorf("the engine failed with status %d", x.Answer.StatusCode))
	}
	p.passed(r.job)
	p.deliver(r.job, &whole{
		server:   id,
		response: x.Answer,
		body:     body,
	})
	return nil
}
