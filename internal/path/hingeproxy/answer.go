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

// writeError writes the router's own answer to a request that failed or was refused (rule 2).
func (p *Proxy) writeError(w *hingewire.Writer, id RequestID, err *hingeverdict.Error) {
	status := statusOf(err)
	h := p.dialect.OwnHeaders(id)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter := max(err.RetryAfter, minRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	p.meter.countOwnAnswer(status)
	w.WriteResponse(status, h, []byte(fmt.Sprintf("%v (%d)\n", err.Verdict, err.Code)))
}

// minRetryAfter is the shortest Retry-After, used where no better estimate is known. A replica is placed again or
// restarted in about that time.
const minRetryAfter = 100 * time.Millisecond

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

// verdictOf returns the verdict of an error. An error without one counts as MayHaveRun.
func verdictOf(err error) *hingeverdict.Error {
	var v *hingeverdict.Error
	if errors.As(err, &v) {
		return v
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
}

// failRequest finishes a request that no server answered, and records the cause.
func (p *Proxy) failRequest(j *job, err *hingeverdict.Error) {
	e := *err
	if j.verdict != hingeverdict.NotRun {
		e.Verdict = j.verdict
	}
	p.refundCharge(j)
	p.recordFailure(j, &e)
	if j.writer.Started() {
		// The connection is closed with the answer incomplete.
		return
	}
	p.writeError(j.writer, j.info.ID, &e)
}

func (p *Proxy) recordFailure(j *job, e *hingeverdict.Error) {
	p.meter.countRequest(j.caller(), outcomeOfError(e))
	switch e.Code {
	case hingeverdict.CodeOverQuota:
		p.recordOverQuota(j, e)
		return
	case hingeverdict.CodePoison:
		p.recordPoisonRefusal(j, e)
		return
	}
	now := p.settings.Clock()
	p.settings.Recorder.Record(now, hingeevents.RequestGivenUp, hingeevents.Fields{
		CallerRequestID: string(j.info.ID),
		Caller:          j.caller(),
		Elapsed:         now.Sub(j.Arrived),
		Count:           int64(j.attempts),
		Route:           j.route.Name,
		ViewVersion:     p.view.Version(),
		Detail:          e.Error(),
	})
}
