package hingeproxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// refuse gives the answer to an error (rule 2).
func (p *Proxy) refuse(w *hingewire.Writer, id RequestID, err *hingeverdict.Error) {
	status := statusOf(err)
	h := p.dialect.Own(id)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		after := max(err.RetryAfter, shortestRetry)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	p.meter.ownAnswer(status)
	w.Whole(status, h, []byte(fmt.Sprintf("%v (%d)\n", err.Verdict, err.Code)))
}

// shortestRetry is told where nothing better is known: a replica that is
// looked for is found, or restarted elsewhere, in about that time.
const shortestRetry = 100 * time.Millisecond

func statusOf(err *hingeverdict.Error) int {
	if status := statusOfDenial(err.Code); status != 0 {
		return status
	}
	switch {
	case err.Verdict == hingeverdict.NotRun && err.Code == hingeverdict.CodeOverQuota:
		return http.StatusTooManyRequests
	case err.Verdict == hingeverdict.NotRun:
		return http.StatusServiceUnavailable
	case err.Code == hingeverdict.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// verdictOf gives an error's verdict; one without may have run.
func verdictOf(err error) *hingeverdict.Error {
	var v *hingeverdict.Error
	if errors.As(err, &v) {
		return v
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
}

// give ends a job that no server answered, and records why.
func (p *Proxy) give(j *job, err *hingeverdict.Error) {
	e := *err
	if j.ran != hingeverdict.NotRun {
		e.Verdict = j.ran
	}
	p.giveBack(j)
	p.recordGivenUp(j, &e)
	if j.writer.Begun() {
		// The connection is closed without the end of the answer.
		return
	}
	p.refuse(j.writer, j.asked.ID, &e)
}

func (p *Proxy) recordGivenUp(j *job, e *hingeverdict.Error) {
	p.meter.customer(j.caller(), outcomeOfError(e))
	switch e.Code {
	case hingeverdict.CodeOverQuota:
		p.overQuota(j, e)
		return
	case hingeverdict.CodePoison:
		p.poisonRefused(j, e)
		return
	}
	now := p.settings.Clock()
	p.settings.Recorder.Record(now, hingeevents.RequestGivenUp, hingeevents.Fields{
		Asked:  string(j.asked.ID),
		Caller: j.caller(),
		Took:   now.Sub(j.Arrived),
		Count:  int64(j.attempts),
		Route:  j.route.Name,
		World:  p.world.Version(),
		Detail: e.Error(),
	})
}
