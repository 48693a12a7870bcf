package hingegroup

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

func fence(t hingelog.Term) hingeids.Fence {
	return hingeids.Fence(t)
}

// outcome is the leader's answer to a proposal or a read. Refused means that it didn't
// and won't run, Uncertain that it may have run.
type outcome struct {
	Result    []byte          `cbor:"1,keyasint,omitempty"`
	Refused   bool            `cbor:"2,keyasint,omitempty"`
	Uncertain bool            `cbor:"3,keyasint,omitempty"`
	Leader    hingeids.HostID `cbor:"4,keyasint,omitempty"`
	Index     hingelog.Index  `cbor:"5,keyasint,omitempty"`
}

type submission struct {
	data   []byte
	answer chan<- outcome
}

// Propose replicates data and returns the result of applying it. It blocks until the
// entry is committed. The error carries a verdict (rule 5).
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	o, _, err := g.requestLeader(ctx, "propose", data)
	if err == nil {
		g.failures.clear()
	}
	return o.Result, err
}

// Read blocks until the local state machine has applied everything that was committed
// before the call, and returns that index (rule 6). On a host without a disk it only
// returns the index. The error carries a verdict.
func (g *Group) Read(ctx context.Context) (uint64, error) {
	o, asked, err := g.requestLeader(ctx, "read", nil)
	if err != nil || g.member == nil {
		return uint64(o.Index), err
	}
	for {
		changed := g.status.Changed()
		if g.status.Load().Applied >= o.Index {
			g.failures.clear()
			return uint64(o.Index), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, g.retryAfter(), g.unavailable(Unavailable{
				Reason:  CopyBehind,
				Leader:  asked[len(asked)-1],
				Asked:   asked,
				Applied: g.status.Load().Applied,
				Needed:  o.Index,
				Cause:   ctx.Err(),
			}))
		case <-g.done:
			return 0, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeShuttingDown, g.retryAfter(), g.unavailable(Unavailable{
				Reason: Stopping,
			}))
		}
	}
}

// unavailable completes a failure with the group and its duration.
func (g *Group) unavailable(u Unavailable) *Unavailable {
	now := g.settings.Clock()
	u.Group = g.settings.Name
	u.For = g.failures.add(now, u.Reason)
	if s := g.Status(); u.Reason == NoLeader && s.Leader.IsZero() && !s.LeaderSince.IsZero() {
		u.For = now.Sub(s.LeaderSince)
	}
	return &u
}

// retryAfter is the time within which a new leader is usually elected.
func (g *Group) retryAfter() time.Duration {
	return 2 * g.settings.ElectionTimeout
}

// maxLeaderAttempts is the number of leaders to which a proposal or read is sent before it
// is refused.
const maxLeaderAttempts = 4

// requestLeader sends a proposal or a read to the leader, or the next one if it was
// refused, and returns also the hosts that were asked. It never resends what may have run.
func (g *Group) requestLeader(ctx context.Context, operation string, body []byte) (outcome, []hingeids.HostID, error) {
	var asked []hingeids.HostID
	last := Unavailable{
		Reason: NoLeader,
	}
	for range maxLeaderAttempts {
		leader := g.findLeader(ctx)
		if leader == "" {
			last.Reason = NoLeader
			break
		}
		asked = append(asked, leader)
		o, err := g.callLeader(ctx, leader, operation, body)
		last = Unavailable{
			Reason: LeaderWithoutLease,
			Leader: leader,
			Asked:  asked,
			Cause:  err,
		}
		switch {
		case err != nil:
			last.Reason = LeaderUnreachable
			if hingeverdict.Of(err) != hingeverdict.NotRun {
				return outcome{}, asked, withCause(err, g.unavailable(last))
			}
		case o.Uncertain:
			last.Reason = LeaderUnreachable
			last.Cause = eris.Errorf("host %s stopped leading group %s before it answered", leader, g.settings.Name)
			return outcome{}, asked, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeNoQuorum, g.retryAfter(), g.unavailable(last))
		case !o.Refused:
			g.setLeaderHint(leader)
			return o, asked, nil
		}
		g.setLeaderHint(o.Leader)
		if g.member != nil && (o.Leader == "" || o.Leader == leader) {
			// There is no redirect, and this member learns of the next leader from
			// its own log.
			break
		}
	}
	if g.stopped() {
		last.Reason = Stopping
	}
	return outcome{}, asked, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, g.retryAfter(), g.unavailable(last))
}

func (g *Group) stopped() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// withCause returns the verdict of an error with another cause.
func withCause(err, cause error) error {
	if e := (*hingeverdict.Error)(nil); errors.As(err, &e) {
		return hingeverdict.New(e.Verdict, e.Code, e.RetryAfter, cause)
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, cause)
}

// The hint is used on a host without a disk.
func (g *Group) setLeaderHint(h hingeids.HostID) {
	g.hint.Store(&leaderHint{
		host:   h,
		seenAt: g.settings.Clock(),
	})
}

// leaderHint is the host that led the group at seenAt.
type leaderHint struct {
	host   hingeids.HostID
	seenAt time.Time
}

// findLeader returns the leader, or "" if none is known. A host without a disk
// discovers the leader unless its hint is newer than an election time. Discovery can
// be canceled without harm, but a proposal sent to an unresponsive host may have run.
func (g *Group) findLeader(ctx context.Context) hingeids.HostID {
	if g.member != nil {
		return g.Status().Leader.Host
	}
	hint := g.hint.Load()
	if hint != nil && hint.host != "" && g.settings.Clock().Sub(hint.seenAt) < g.settings.ElectionTimeout {
		return hint.host
	}
	return g.discoverLeader(ctx)
}

// leaderReply is one host's reply during discovery: itself as leader, or a redirect.
type leaderReply struct {
	leader   hingeids.HostID
	redirect hingeids.HostID
}

// discoverLeader queries all known hosts concurrently and returns the first that leads,
// else one named by a redirect. A leader that replaced a configured host is found only
// by a redirect.
func (g *Group) discoverLeader(ctx context.Context) hingeids.HostID {
	callCtx, stop := context.WithTimeout(ctx, g.settings.ElectionTimeout)
	defer stop()
	hosts := g.knownHosts()
	replies := make(chan leaderReply, len(hosts))
	for _, h := range hosts {
		go func() {
			o, err := g.callHost(callCtx, h, "read", nil)
			switch {
			case err != nil || o.Uncertain:
				replies <- leaderReply{}
			case o.Refused:
				replies <- leaderReply{
					redirect: o.Leader,
				}
			default:
				replies <- leaderReply{
					leader: h,
				}
			}
		}()
	}
	redirect := hingeids.HostID("")
	for range hosts {
		reply := <-replies
		if reply.leader != "" {
			return reply.leader
		}
		if reply.redirect != "" {
			redirect = reply.redirect
		}
	}
	return redirect
}

// callLeader calls the leader and cancels the call once the host no longer leads. The link
// alone would take seconds to detect an unresponsive host.
func (g *Group) callLeader(ctx context.Context, leader hingeids.HostID, operation string, body []byte) (outcome, error) {
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	g.watchLeader(callCtx, leader, stop)
	return g.callHost(callCtx, leader, operation, body)
}

// watchLeader calls stop if the host no longer leads, and ends with the context.
func (g *Group) watchLeader(ctx context.Context, leader hingeids.HostID, stop context.CancelFunc) {
	interval := g.settings.HeartbeatInterval
	if g.member == nil {
		interval = g.settings.ElectionTimeout
	}
	time.AfterFunc(interval, func() {
		switch {
		case ctx.Err() != nil:
		case g.hasStoppedLeading(ctx, leader):
			stop()
		default:
			g.watchLeader(ctx, leader, stop)
		}
	})
}

func (g *Group) hasStoppedLeading(ctx context.Context, leader hingeids.HostID) bool {
	if g.member != nil {
		s := g.Status()
		return s.Leader.Host != leader || leader == g.settings.Self && g.leaseLapsed(s)
	}
	h := g.discoverLeader(ctx)
	return h != "" && h != leader
}

// leaseLapsed reports whether the lease in this host's own status ended more than an
// election time ago. The loop is then blocked by a stalled disk, so the status is stale and
// proposals here would wait until the disk answers.
func (g *Group) leaseLapsed(s Status) bool {
	return !s.LeaseUntil.IsZero() && g.settings.Clock().After(s.LeaseUntil.Add(g.settings.ElectionTimeout))
}

func (g *Group) callHost(ctx context.Context, h hingeids.HostID, operation string, body []byte) (outcome, error) {
	if h == g.settings.Self && g.member != nil {
		return g.handleLocal(ctx, operation, body), nil
	}
	b, err := g.link.Call(ctx, h, g.method(operation), body)
	if err != nil {
		return outcome{}, err
	}
	var o outcome
	if err := cbor.Unmarshal(b, &o); err != nil {
		return outcome{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0, err)
	}
	return o, nil
}

func (g *Group) method(name string) hingelink.Method {
	return hingelink.Method(g.settings.Name + "." + name)
}

// The loop refuses proposals and reads unless this host leads.
func (g *Group) handleLocal(ctx context.Context, operation string, body []byte) outcome {
	answer := make(chan outcome, 1)
	enqueued := g.enqueue(ctx, func(now time.Time) {
		if operation == "read" {
			answer <- g.member.read(now)
			return
		}
		g.member.batch = append(g.member.batch, submission{
			data:   body,
			answer: answer,
		})
	})
	if !enqueued {
		return outcome{
			Refused: true,
		}
	}
	select {
	case o := <-answer:
		return o
	case <-ctx.Done():
	case <-g.done:
	}
	return outcome{
		Uncertain: true,
	}
}

func (m *member) read(now time.Time) outcome {
	at, ok := m.log.ReadIndex(now)
	return outcome{
		Refused: !ok,
		Leader:  m.redirect(),
		Index:   at,
	}
}

// redirect returns the leader to which a refused caller can go, or "" if there is none or
// it is this host.
func (m *member) redirect() hingeids.HostID {
	if h := m.log.Status().Leader.Host; h != m.self.Host {
		return h
	}
	return ""
}

// All waiting proposals share one sync.
func (m *member) proposeBatch(now time.Time) {
	for _, s := range m.batch {
		at, err := m.log.Propose(now, s.data)
		if err != nil {
			o := outcome{
				Refused: true,
			}
			if errors.Is(err, hingelog.ErrNotLeader) {
				o.Leader = m.redirect()
			}
			s.answer <- o
			continue
		}
		m.waiters[at.Index] = waiter{
			term:   at.Term,
			answer: s.answer,
		}
	}
	m.batch = nil
}
