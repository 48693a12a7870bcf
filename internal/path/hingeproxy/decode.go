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

// pendingDial is a connection to a decode engine that is dialled during the prefill, so that an unreachable engine is
// known before the KV cache expires.
type pendingDial struct {
	done     chan struct{}
	stop     context.CancelFunc
	exchange *hingewire.Exchange
	err      error
}

func (p *Proxy) startDial(ctx context.Context, id hingeids.ServerID, address string) *pendingDial {
	d := &pendingDial{
		done: make(chan struct{}),
	}
	var dialCtx context.Context
	dialCtx, d.stop = context.WithCancel(ctx)
	address = p.addressOf(id, address)
	if address == "" {
		d.err = p.notSent(id)
		close(d.done)
		return d
	}
	go func() {
		defer close(d.done)
		d.exchange, d.err = hingewire.Dial(dialCtx, p.settings.Dialer, address)
	}()
	return d
}

// close cancels the dial, and closes the exchange if it was opened.
func (d *pendingDial) close() {
	d.stop()
	go func() {
		<-d.done
		if d.exchange != nil {
			d.exchange.Close()
		}
	}()
}

func (p *Proxy) decode(ctx context.Context, r *streamJob, placed placement, dial *pendingDial, cache Cache) *hingeverdict.Error {
	defer dial.close()
	<-dial.done
	if dial.err != nil {
		return p.decodeFailed(ctx, r, verdictOf(dial.err))
	}
	watch := p.watchStall(r, dial.stop)
	defer watch.cancel()
	r.attempts++
	r.messages++
	r.sentAt = p.settings.Clock()
	if err := dial.exchange.Send(r.message(p.dialect, ForwardInfo{
		Server:      placed.Decode,
		Remaining:   p.remaining(r.job),
		SourceCache: cache,
		LastEventID: r.relay.lastID,
	})); err != nil {
		return p.decodeFailed(ctx, r, verdictOf(err))
	}
	reply := p.dialect.Reply(dial.exchange.Response)
	p.recordNotice(r.job, placed.Decode, true, reply, r.sentAt)
	if err := p.checkReply(r.job, dial.exchange.Response, reply); err != nil {
		return p.decodeFailed(ctx, r, verdictOf(err))
	}
	if dial.exchange.Response.StatusCode != http.StatusOK {
		return p.forwardFailure(r, placed.Decode, dial.exchange)
	}
	// Events of earlier engines are part of this engine's prompt and don't count as generated here.
	priorEvents := r.relay.events
	err := r.relay.forward(dial.exchange, r.writer, func(events int) {
		watch.reset()
		now := p.settings.Clock()
		r.relay.recordEvent(now)
		if r.streamingServer != placed.Decode {
			r.streamingServer = placed.Decode
			placed.stream.RecordOutcome(placed.Decode, hingefleet.Started, r.takeNotice())
		}
		if events == 1 {
			p.settings.Recorder.Record(now, hingeevents.RequestFirstToken, hingeevents.Fields{
				CallerRequestID: string(r.info.ID),
				Server:          placed.Decode,
				Elapsed:         now.Sub(r.Arrived),
				Detail:          fmt.Sprintf("prefill took %d ms", r.prefillDuration.Milliseconds()),
			})
		}
		placed.stream.SetGenerated(hingeids.Tokens(events-priorEvents) * r.engine.EventTokens)
	})
	if err == nil {
		r.recordVerdict(hingeverdict.Ran)
		return nil
	}
	return p.decodeFailed(ctx, r, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerCut, 0, err))
}

// decodeFailed records the verdict of a failed run, and sets the code to CodeDeadline if the deadline ended it.
func (p *Proxy) decodeFailed(ctx context.Context, r *streamJob, err *hingeverdict.Error) *hingeverdict.Error {
	r.recordVerdict(err.Verdict)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hingeverdict.New(err.Verdict, hingeverdict.CodeDeadline, 0, err)
	}
	return err
}

// forwardFailure forwards the error response of an engine unchanged, unless the stream has begun or may be retried.
func (p *Proxy) forwardFailure(r *streamJob, id hingeids.ServerID, x *hingewire.Exchange) *hingeverdict.Error {
	r.recordVerdict(hingeverdict.Ran)
	body, err := x.ReadBody(hingewire.MaxAnswerBytes, p.bodies)
	if err != nil {
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerCut, 0, err)
	}
	if r.relay.headSent || r.route.MayRetry() && r.runs < r.route.Attempts {
		return hingeverdict.New(hingeverdict.Ran, hingeverdict.CodeServerFailed, 0,
			eris.Errorf("engine failed with status %d", x.Response.StatusCode))
	}
	p.reportCompletion(r.job)
	p.deliver(r.job, &serverAnswer{
		server:   id,
		response: x.Response,
		body:     body,
	})
	return nil
}
