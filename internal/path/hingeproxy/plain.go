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
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// mostUnreached bounds the replicas that are dialled in vain for one
	// request: it hasn't arrived anywhere, so this costs time only.
	mostUnreached = 4
	// patienceShare is the share of its time that a request that may be repeated
	// waits for one replica, while another attempt is allowed: a dark
	// replica would otherwise use up the time of both.
	patienceShare = 0.4
	// leastPatience keeps a slow moment from being taken for a failure.
	leastPatience = 150 * time.Millisecond
)

// whole is an answer of a backend server with its body.
type whole struct {
	server   hingeids.ServerID
	response *http.Response
	reply    Reply
	body     []byte
}

// plain answers a request of a plain service.
func (p *Proxy) plain(ctx context.Context, j *job) {
	var avoid []hingeids.ServerID
	var failure *whole
	unreached := 0
	for {
		call, placement := p.choose(ctx, j, avoid)
		if context.Cause(ctx) == hingewire.ErrCallerLeft {
			p.callerLeft(j)
			return
		}
		if placement.Server == "" {
			after := max(placement.RetryAfter, shortestRetry)
			code := codeOf(placement.Cause, hingeverdict.CodeNoServer)
			p.end(j, failure, hingeverdict.New(hingeverdict.NotRun, code, after, nil))
			return
		}
		avoid = append(avoid, placement.Server)
		answer, outcome, err := p.try(ctx, j, call, placement)
		if context.Cause(ctx) == hingewire.ErrCallerLeft {
			p.callerLeft(j)
			return
		}
		if err == nil {
			p.passed(j)
		}
		if err == nil && !p.worthRepeating(j, answer) {
			p.deliver(j, answer)
			return
		}
		if outcome == hingebalance.ConnectFailed && unreached < mostUnreached {
			unreached++
			continue
		}
		if answer != nil {
			failure = answer
		}
		if !p.again(j, verdictOf(err)) {
			p.end(j, failure, verdictOf(err))
			return
		}
	}
}

// end gives the caller a server's own failure, if there was one, or else what went wrong.
func (p *Proxy) end(j *job, failure *whole, err *hingeverdict.Error) {
	if failure != nil {
		p.deliver(j, failure)
		return
	}
	p.give(j, err)
}

// callerLeft records that the caller is gone.
func (p *Proxy) callerLeft(j *job) {
	p.giveBack(j)
	p.meter.customer(j.caller(), outcomeGone)
	now := p.settings.Clock()
	p.settings.Recorder.Record(now, hingeevents.CallerGone, hingeevents.Fields{
		Asked:  string(j.asked.ID),
		Caller: j.caller(),
		Took:   now.Sub(j.Arrived),
		Route:  j.route.Name,
	})
}

// choose asks for a replica. The call's id stands for the attempt at it.
func (p *Proxy) choose(
	ctx context.Context, j *job, avoid []hingeids.ServerID,
) (hingequeue.CallID, hingeplacer.CallPlacement) {
	now := p.settings.Clock()
	id := hingequeue.CallID(p.nextID())
	// Without a target any answer before the deadline is in time.
	inTime := p.left(j)
	if j.route.Target > 0 {
		inTime = max(j.Arrived.Add(j.route.Target).Sub(now), 0)
	}
	placed := p.owner.PlaceCall(ctx, hingeplacer.Call{
		Service:  j.service,
		ID:       id,
		Zone:     p.settings.Zone,
		InTime:   inTime,
		Left:     p.left(j),
		Patience: j.asked.Left,
		Avoid:    avoid,
		Charge:   j.due(),
		Priority: j.priority(),
		Print:    j.print,
		Ends:     j.ends,
	})
	j.suspect = placed.Suspect
	j.counted = j.counted || placed.Server != ""
	return id, placed
}

// try sends a request to a replica and tells how it went to whoever chose that.
func (p *Proxy) try(
	ctx context.Context, j *job, id hingequeue.CallID, c hingeplacer.CallPlacement,
) (*whole, hingebalance.Outcome, error) {
	began := p.settings.Clock()
	one, stop := p.patience(ctx, j)
	defer stop()
	answer, err := p.exchange(one, j, c)
	took := p.settings.Clock().Sub(began)
	outcome := outcomeOf(answer, err)
	if context.Cause(ctx) == hingewire.ErrCallerLeft {
		// The caller's leaving says nothing of the replica.
		outcome = hingebalance.Unknown
	}
	p.owner.EndCall(j.service, c, hingequeue.Completion{
		ID:      id,
		Server:  c.Server,
		Outcome: outcome,
		Elapsed: took,
		Zone:    p.settings.Zone,
	})
	if outcome != hingebalance.ConnectFailed {
		j.attempts++
		j.arrivals++
	}
	if err != nil {
		j.note(verdictOf(err).Verdict)
		p.settings.Recorder.Record(p.settings.Clock(), hingeevents.ServerFailedRequest, hingeevents.Fields{
			Asked:  string(j.asked.ID),
			Print:  j.print,
			Server: c.Server,
			Took:   took,
			Detail: err.Error(),
		})
		p.ended(ctx, j, c.Server, c.Address, took, err)
		return nil, outcome, err
	}
	j.note(hingeverdict.Ran)
	return answer, outcome, nil
}

// patience bounds one attempt while another is allowed.
func (p *Proxy) patience(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	left := p.left(j)
	if j.route.MayRepeat() && j.runs+1 < j.route.Attempts {
		left = min(left, max(time.Duration(patienceShare*float64(left)), leastPatience))
	}
	return context.WithTimeout(ctx, left)
}

// exchange has one replica answer. The error carries the verdict.
func (p *Proxy) exchange(ctx context.Context, j *job, c hingeplacer.CallPlacement) (*whole, error) {
	address := p.addressOf(c.Server, c.Address)
	if address == "" {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, 0, eris.New("the server takes no more work"))
	}
	x, err := hingewire.Begin(ctx, address, j.sent(p.dialect, Sending{
		Server: c.Server,
		Left:   p.left(j),
		After:  j.asked.After,
	}))
	if err != nil {
		return nil, p.inTime(j, err)
	}
	defer x.Close()
	reply := p.dialect.Reply(x.Answer)
	if err := p.judge(j, x.Answer, reply); err != nil {
		return nil, err
	}
	body, err := x.Body()
	if err != nil {
		return nil, p.inTime(j, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerTruncated, 0, err))
	}
	return &whole{
		server:   c.Server,
		response: x.Answer,
		reply:    reply,
		body:     body,
	}, nil
}

// inTime names the deadline as the cause where it ended an attempt.
func (p *Proxy) inTime(j *job, err error) error {
	if p.left(j) > 0 {
		return err
	}
	return hingeverdict.New(hingeverdict.Of(err), hingeverdict.CodeDeadline, 0, err)
}

// judge tells an answer that may go on from one that may not.
func (p *Proxy) judge(j *job, a *http.Response, r Reply) error {
	switch {
	case r.ID != "" && r.ID != j.asked.ID:
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerMismatch, 0,
			eris.Errorf("the answer is for request %q", r.ID))
	case r.Gone:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerReplaced, 0,
			eris.New("another server has the address"))
	case r.NotRun:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused, 0,
			eris.Errorf("the server refused with status %d", a.StatusCode))
	case promises(a.StatusCode):
		// Without the server's word the promise of this status would be ours.
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0,
			eris.Errorf("status %d without the word that nothing ran", a.StatusCode))
	case a.StatusCode < 300 && !r.Vouched:
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerMismatch, 0,
			eris.New("a success without the server's mark"))
	case a.Header.Get("Content-Encoding") != "":
		return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerMismatch, 0,
			eris.New("an encoded body that nobody asked for"))
	}
	return nil
}

// promises reports whether a status tells callers that nothing has run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

func outcomeOf(a *whole, err error) hingebalance.Outcome {
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
	case hingeverdict.CodeServerReplaced:
		return hingebalance.Replaced
	}
	return hingebalance.ConnectFailed
}

// deliver hands a server's answer to the caller.
func (p *Proxy) deliver(j *job, a *whole) {
	now := p.settings.Clock()
	p.meter.answered(a.response.StatusCode, now.Sub(j.Arrived))
	p.meter.customer(j.caller(), outcomeAnswered)
	p.settings.Recorder.Record(now, hingeevents.ServiceCalled, hingeevents.Fields{
		Asked:  string(j.asked.ID),
		Caller: j.caller(),
		Server: a.server,
		Took:   now.Sub(j.Arrived),
		Count:  int64(a.response.StatusCode),
		Route:  j.route.Name,
		World:  p.world.Version(),
		Late:   j.late(now),
	})
	j.writer.Whole(a.response.StatusCode, a.response.Header, a.body)
}

// late is what made a plain answer late, empty if nothing did.
func (j *job) late(now time.Time) string {
	if now.Sub(j.Arrived) > j.route.Target {
		return "answer"
	}
	return ""
}
