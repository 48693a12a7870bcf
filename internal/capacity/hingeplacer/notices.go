package hingeplacer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// noticeState is what an owner knows of the statements of servers in their answers (rule 9). It has a lock of its own,
// since every answer is compared with it.
type noticeState struct {
	mu    sync.Mutex
	known hingenotice.Known
	// reported is the number of changes that the placer reportedTo has received.
	reported   uint64
	reportedTo hingeids.HostID
	sweepAt    time.Time
}

// noticeSweepInterval is the interval between searches for statements of servers that are gone.
const noticeSweepInterval = 10 * time.Second

// RecordNotice records what a server has stated in its answer to a request sent at sentAt, and reports whether this
// changes what the host knows of it.
func (o *Owner) RecordNotice(subject hingenotice.Subject, n hingenotice.Notice, sentAt time.Time) bool {
	o.notices.mu.Lock()
	changed := o.notices.known.Update(o.clock(), sentAt, subject, n)
	statement := hingenotice.Statement{
		Subject: subject,
		Notice:  o.notices.known.Notice(subject.Server),
	}
	o.notices.mu.Unlock()
	if !changed {
		return false
	}
	// The next report may wait for a placer that doesn't respond, just when this host is about to place locally.
	o.local.tryPost(func(now time.Time) {
		o.local.handleStatements(now, []hingenotice.Statement{statement})
	})
	if n.Leaving {
		// The placer learns of other statements with the outcome of the request, or with the next report.
		o.triggerReport()
	}
	return true
}

// Notice returns what this host knows of a server's statements.
func (o *Owner) Notice(id hingeids.ServerID) hingenotice.Notice {
	o.notices.mu.Lock()
	defer o.notices.mu.Unlock()
	return o.notices.known.Notice(id)
}

// Withholds reports whether this host sends no requests to a server, because it has stated to this host that it leaves
// or that it wants none for a while.
func (o *Owner) Withholds(id hingeids.ServerID) bool {
	now := o.clock()
	o.notices.mu.Lock()
	defer o.notices.mu.Unlock()
	return o.notices.known.Leaving(now, id) || now.Before(o.notices.known.BackoffUntil(id))
}

const (
	// maxBackoffsSent bounds the servers in a request for a placement: a datagram has about 1,200 bytes. The host withholds
	// its requests from the others itself.
	maxBackoffsSent = 24
	// backoffSpread is the share of a pause over which callers are told to come back after its end, so that they don't
	// come at the same moment.
	backoffSpread = 0.25
)

// backoffs returns the servers of a service that want no requests of this host now. If these are all of the service, the
// request is refused until the first of them accepts requests again.
func (o *Owner) backoffs(s hingeids.Service) (list []hingeids.ServerID, retryAfter time.Duration, refused bool) {
	now := o.clock()
	o.notices.mu.Lock()
	list, count, first := o.notices.known.Backoffs(now, s, o.isUsable, maxBackoffsSent)
	o.notices.mu.Unlock()
	if count == 0 || count < o.view.ServerCount(s) {
		return list, 0, false
	}
	wait := first.Sub(now)
	return list, wait + time.Duration(rand.Float64()*backoffSpread*float64(wait)), true
}

// isUsable reports whether a server is usable according to this host's view.
func (o *Owner) isUsable(id hingeids.ServerID) bool {
	_, found := o.view.Address(id)
	return found
}

func (s *noticeState) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.Changes() == s.reported
}

// unreportedStatements returns the statements that a placer hasn't received, and the number of changes up to which it
// will have received them.
func (o *Owner) unreportedStatements(to hingeids.HostID) ([]hingenotice.Statement, uint64) {
	s := &o.notices
	now := o.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(noticeSweepInterval)
		s.known.RemoveExpired(now, func(id hingeids.ServerID) bool {
			return !o.isUsable(id)
		})
	}
	since := s.reported
	if to != s.reportedTo {
		since = 0
	}
	return s.known.Since(since)
}

// recordReported records that a placer has received the changes up to a number. A placer that asks for the usage of
// quotas has just started and knows nothing of this host.
func (s *noticeState) recordReported(to hingeids.HostID, upTo uint64, restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported, s.reportedTo = upTo, to
	if restarted {
		s.reportedTo = ""
	}
}

// handleStatements passes an owner's statements to the queues and fleets. They restrict and never ease a restriction:
// the owner may have received them long ago.
func (p *Placer) handleStatements(now time.Time, list []hingenotice.Statement) {
	if len(list) == 0 || !p.leads() {
		return
	}
	for _, s := range list {
		if s.Engine {
			p.fleet(s.Service).RecordNotice(now, s.Server, s.Notice)
			continue
		}
		p.queue(s.Service).RecordNotice(now, s.Server, s.Notice)
	}
}

// leaderlessShare is the share of the rate limits that a control host without a leader uses. Another one may place
// requests of the same zone, and in other zones the leader does.
const leaderlessShare = 0.5

// controlPart returns the part of the rate limits for a control host: all of them for the leader.
func controlPart(s Servers) hingenotice.Part {
	if s.IsElectedLeader() {
		return hingenotice.Part{}
	}
	return hingenotice.Part{
		Share: leaderlessShare,
	}
}
