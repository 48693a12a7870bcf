package hingeproxy

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// recordNotice records what a server states about itself in its answer to a request that was sent at sentAt.
func (p *Proxy) recordNotice(j *job, id hingeids.ServerID, engine bool, reply Reply, sentAt time.Time) {
	if reply.ServerReplaced || reply.ID != "" && reply.ID != j.info.ID {
		// The answer is another server's, or belongs to another request.
		return
	}
	j.notice = reply.Notice
	now := p.settings.Clock()
	if reply.NoticeError != nil {
		p.meter.unreadNotices.Inc()
		if count, ok := p.unreadNotices.allow(now); ok {
			p.settings.Recorder.Record(now, hingeevents.ServerNoticeUnread, hingeevents.Fields{
				CallerRequestID: string(j.info.ID),
				Server:          id,
				Count:           count,
				Detail:          reply.NoticeError.Error(),
			})
		}
	}
	if !p.owner.RecordNotice(hingenotice.Subject{
		Service: j.service,
		Server:  id,
		Engine:  engine,
	}, reply.Notice, sentAt) {
		return
	}
	p.meter.noticeChanges.Inc()
	if count, ok := p.notices.allow(now); ok {
		p.settings.Recorder.Record(now, hingeevents.ServerNoticed, hingeevents.Fields{
			CallerRequestID: string(j.info.ID),
			Server:          id,
			Count:           count,
			Detail:          describe(reply.Notice),
		})
	}
}

// describe returns a notice as a log line contains it.
func describe(n hingenotice.Notice) string {
	var out []string
	if n.RateLimit > 0 {
		out = append(out, fmt.Sprintf("rate limit %.4g/s", float64(n.RateLimit)))
	}
	if n.Leaving {
		out = append(out, "leaving")
	}
	if n.Backoff > 0 {
		out = append(out, fmt.Sprint("no requests of this host for ", n.Backoff))
	}
	if len(out) == 0 {
		return "nothing any more"
	}
	return strings.Join(out, ", ")
}

// noticeOfFailure returns the notice to report with the failure of a request: if it wasn't sent, what this host knows of
// the server and the placer seems not to know.
func (p *Proxy) noticeOfFailure(j *job, id hingeids.ServerID, err error) hingenotice.Notice {
	if errors.Is(err, errWithheld) {
		return p.owner.Notice(id)
	}
	return j.takeNotice()
}

// takeNotice returns the notice of the last answer for the report of its outcome. It is reported once: when a stream
// ends, its answer began long ago.
func (j *job) takeNotice() hingenotice.Notice {
	n := j.notice
	j.notice = hingenotice.Notice{}
	return n
}

// errWithheld is the cause of the failure of a request that this host didn't send, because the server that the placer
// chose has told it not to.
var errWithheld = eris.New("server has stated that it accepts no requests of this host")

// notSent returns the error of a request that addressOf allows to send nowhere.
func (p *Proxy) notSent(id hingeids.ServerID) *hingeverdict.Error {
	cause := errWithheld
	if !p.owner.Withholds(id) {
		cause = eris.New("server no longer accepts requests")
	}
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, minRetryAfter, cause)
}
