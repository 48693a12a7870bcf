package hingeproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingetunnel"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// maxConnectFailures bounds the unreachable replicas that are dialled for one request. They cost time only, since
	// the request was not sent.
	maxConnectFailures = 4
	// attemptShare is the fraction of its remaining time that a repeatable request waits for one replica while
	// another attempt is allowed, so that an unresponsive replica leaves time for the next one.
	attemptShare = 0.4
	// minAttemptTime is the lower bound of an attempt's timeout, so that a short delay doesn't count as a failure.
	minAttemptTime = 150 * time.Millisecond
)

// errNoReplica is the cause of the failure of a request for which the placer chose no replica, or no further one.
var errNoReplica = eris.New("no replica was chosen")

// serverAnswer is an answer of a backend server, with its whole body.
type serverAnswer struct {
	server   hingeids.ServerID
	response *http.Response
	reply    Reply
	body     []byte
}

// servePlain serves a request that is answered as a whole, with retries on other replicas.
func (p *Proxy) servePlain(ctx context.Context, j *job) {
	var avoid []hingeids.ServerID
	var failure *serverAnswer
	connectFailures := 0
	for {
		call, placement := p.placeCall(ctx, j, avoid)
		if context.Cause(ctx) == hingewire.ErrCallerDisconnected {
			p.recordCallerGone(j)
			return
		}
		if placement.Server == "" {
			retryAfter := max(placement.RetryAfter, minRetryAfter)
			code := refusalCode(placement.Cause, hingeverdict.CodeNoServer)
			p.finish(j, failure, hingeverdict.New(hingeverdict.NotRun, code, retryAfter, errNoReplica))
			return
		}
		avoid = append(avoid, placement.Server)
		answer, outcome, err := p.tryReplica(ctx, j, call, placement)
		if context.Cause(ctx) == hingewire.ErrCallerDisconnected {
			p.recordCallerGone(j)
			return
		}
		if err == nil {
			p.reportCompletion(j)
		}
		if err == nil && !p.mayRetry(j, answer) {
			p.deliver(j, answer)
			return
		}
		if isUnsent(outcome, err) && connectFailures < maxConnectFailures {
			connectFailures++
			continue
		}
		if answer != nil {
			failure = answer
		}
		if !p.allowRetry(j, verdictOf(err)) {
			p.finish(j, failure, verdictOf(err))
			return
		}
	}
}

// finish forwards the last error response of a server, if there was one, or else fails the request with err.
func (p *Proxy) finish(j *job, failure *serverAnswer, err *hingeverdict.Error) {
	if failure != nil {
		p.deliver(j, failure)
		return
	}
	p.failRequest(j, err)
}

func (p *Proxy) recordCallerGone(j *job) {
	p.refundCharge(j)
	p.meter.countRequest(j.caller(), outcomeCallerGone)
	now := p.settings.Clock()
	p.settings.Recorder.Record(now, hingeevents.CallerGone, hingeevents.Fields{
		CallerRequestID: string(j.info.ID),
		Caller:          j.caller(),
		Elapsed:         now.Sub(j.Arrived),
		Route:           j.route.Name,
	})
}

// placeCall requests a replica from the placer. The returned id identifies this attempt.
func (p *Proxy) placeCall(
	ctx context.Context, j *job, avoid []hingeids.ServerID,
) (hingequeue.CallID, hingeplacer.CallPlacement) {
	now := p.settings.Clock()
	id := hingequeue.CallID(p.nextID())
	// Without a latency target, any answer before the deadline is in time.
	timeToTarget := p.remaining(j)
	if j.route.LatencyTarget > 0 {
		timeToTarget = max(j.Arrived.Add(j.route.LatencyTarget).Sub(now), 0)
	}
	placed := p.owner.PlaceCall(ctx, hingeplacer.CallRequest{
		Service:            j.service,
		ID:                 id,
		Zone:               p.settings.Zone,
		TimeToSoftDeadline: timeToTarget,
		TimeToDeadline:     p.remaining(j),
		MaxWait:            j.info.MaxWait,
		Avoid:              avoid,
		Charge:             j.pendingCharge(),
		Priority:           j.priority(),
		Fingerprint:        j.fingerprint,
		Crashes:            j.crashes,
	})
	j.suspect = placed.Suspect
	j.charged = j.charged || placed.Server != ""
	return id, placed
}

// tryReplica sends a request to its replica and reports the outcome to the placer.
func (p *Proxy) tryReplica(
	ctx context.Context, j *job, id hingequeue.CallID, c hingeplacer.CallPlacement,
) (*serverAnswer, hingebalance.Outcome, error) {
	start := p.settings.Clock()
	attemptCtx, stop := p.attemptContext(ctx, j)
	defer stop()
	answer, err := p.exchange(attemptCtx, j, c)
	elapsed := p.settings.Clock().Sub(start)
	outcome := outcomeOf(answer, err)
	if context.Cause(ctx) == hingewire.ErrCallerDisconnected {
		// A disconnected caller is no evidence about the replica.
		outcome = hingebalance.Unknown
	}
	notice := p.noticeOfFailure(j, c.Server, err)
	reported := outcome
	switch {
	case errors.Is(err, errWithheld):
		// The replica was not asked, so nothing was observed of it.
		reported = hingebalance.Unknown
	case outcome == hingebalance.Full && notice.Backoff > 0:
		reported = hingebalance.HostRefused
	}
	p.owner.CompleteCall(j.service, c, hingequeue.Completion{
		ID:      id,
		Server:  c.Server,
		Outcome: reported,
		Elapsed: elapsed,
		Zone:    p.settings.Zone,
		Notice:  notice,
	})
	if !isUnsent(outcome, err) {
		j.attempts++
		j.messages++
	}
	if err != nil {
		j.recordVerdict(verdictOf(err).Verdict)
		p.settings.Recorder.Record(p.settings.Clock(), hingeevents.ServerFailedRequest, hingeevents.Fields{
			CallerRequestID: string(j.info.ID),
			Fingerprint:     j.fingerprint,
			Server:          c.Server,
			Elapsed:         elapsed,
			Detail:          err.Error(),
		})
		p.reportCrash(ctx, j, c.Server, c.Address, elapsed, err)
		return nil, outcome, err
	}
	j.recordVerdict(hingeverdict.Ran)
	return answer, outcome, nil
}

// attemptContext limits one attempt to a part of the remaining time while another attempt is allowed.
func (p *Proxy) attemptContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	limit := p.remaining(j)
	if j.route.MayRetry() && j.runs+1 < j.route.Attempts {
		limit = min(limit, max(time.Duration(attemptShare*float64(limit)), minAttemptTime))
	}
	return context.WithTimeout(ctx, limit)
}

// exchange sends a request to one replica and reads its whole answer. The error carries the verdict.
func (p *Proxy) exchange(ctx context.Context, j *job, c hingeplacer.CallPlacement) (*serverAnswer, error) {
	address := p.addressOf(c.Server, c.Address)
	if address == "" {
		return nil, p.notSent(c.Server)
	}
	sentAt := p.settings.Clock()
	x, err := hingewire.Do(ctx, p.settings.Dialer, address, j.message(p.dialect, ForwardInfo{
		Server:      c.Server,
		Remaining:   p.remaining(j),
		LastEventID: j.info.LastEventID,
	}))
	if err != nil {
		return nil, p.deadlineError(j, err)
	}
	defer x.Close()
	reply := p.dialect.Reply(x.Response)
	p.recordNotice(j, c.Server, false, reply, sentAt)
	if err := p.checkReply(j, x.Response, reply); err != nil {
		return nil, err
	}
	body, err := x.ReadBody(hingewire.MaxAnswerBytes, p.bodies)
	if err != nil {
		return nil, p.deadlineError(j, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerCut, 0, err))
	}
	return &serverAnswer{
		server:   c.Server,
		response: x.Response,
		reply:    reply,
		body:     body,
	}, nil
}

// deadlineError sets the code of an attempt's error to CodeDeadline if the request's deadline has passed.
func (p *Proxy) deadlineError(j *job, err error) error {
	if p.remaining(j) > 0 {
		return err
	}
	return hingeverdict.New(hingeverdict.Of(err), hingeverdict.CodeDeadline, 0, err)
}

// checkReply returns an error if an answer must not be forwarded to the caller.
func (p *Proxy) checkReply(j *job, a *http.Response, r Reply) error {
	switch {
	case r.ID != "" && r.ID != j.info.ID:
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0,
			eris.Errorf("answer belongs to request %q", r.ID))
	case r.ServerReplaced:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerGone, 0,
			eris.New("address belongs to another server"))
	case r.NotRun:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused, 0,
			eris.Errorf("server refused the request with status %d", a.StatusCode))
	case impliesNotRun(a.StatusCode):
		// Forwarded without the server's confirmation, this status would state falsely that nothing ran.
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0,
			eris.Errorf("status %d without confirmation that the request did not run", a.StatusCode))
	case a.StatusCode < 300 && !r.Sealed:
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0,
			eris.New("successful answer without the server's seal"))
	case a.Header.Get("Content-Encoding") != "":
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0,
			eris.New("answer has a Content-Encoding that was not requested"))
	}
	return nil
}

// impliesNotRun reports whether callers take a status to mean that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

func outcomeOf(a *serverAnswer, err error) hingebalance.Outcome {
	if isOwnPath(err) {
		return hingebalance.Unknown
	}
	if err == nil {
		if a.response.StatusCode >= http.StatusInternalServerError {
			return hingebalance.Failed
		}
		return hingebalance.Answered
	}
	var v *hingeverdict.Error
	if !errors.As(err, &v) || v.Verdict != hingeverdict.NotRun {
		return hingebalance.Failed
	}
	switch v.Code {
	case hingeverdict.CodeServerRefused:
		return hingebalance.Full
	case hingeverdict.CodeServerGone:
		return hingebalance.Replaced
	}
	return hingebalance.ConnectFailed
}

// isUnsent reports whether a request was not sent, since there was no connection.
func isUnsent(o hingebalance.Outcome, err error) bool {
	return o == hingebalance.ConnectFailed || errors.Is(err, hingetunnel.ErrNoPath)
}

// isOwnPath reports whether an error is about this host's path to the servers, and says nothing about the server.
func isOwnPath(err error) bool {
	return errors.Is(err, hingetunnel.ErrNoPath) || errors.Is(err, hingelink.ErrTunnelLost)
}

// deliver forwards a server's answer to the caller, and records it.
func (p *Proxy) deliver(j *job, a *serverAnswer) {
	now := p.settings.Clock()
	p.meter.countAnswer(a.response.StatusCode, now.Sub(j.Arrived))
	p.meter.countRequest(j.caller(), outcomeAnswered)
	p.settings.Recorder.Record(now, hingeevents.ServiceCalled, hingeevents.Fields{
		CallerRequestID: string(j.info.ID),
		Caller:          j.caller(),
		Server:          a.server,
		Elapsed:         now.Sub(j.Arrived),
		Count:           int64(a.response.StatusCode),
		Route:           j.route.Name,
		ViewVersion:     p.view.Version(),
		MissedTarget:    j.lateReason(now),
	})
	j.writer.WriteResponse(a.response.StatusCode, a.response.Header, a.body)
}

// lateReason returns why an answer counts as late, empty if it is on time.
func (j *job) lateReason(now time.Time) string {
	if now.Sub(j.Arrived) > j.route.LatencyTarget {
		return "answer"
	}
	return ""
}
