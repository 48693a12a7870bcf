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
	// Member is the answering host, and LastIndex the end of its log. A proposal's answer lacks both.
	Member    hingelog.Member `cbor:"6,keyasint,omitzero"`
	LastIndex hingelog.Index  `cbor:"7,keyasint,omitempty"`
	// Total, Digest and Offset are those of a state of which Result is a part (rule 12).
	Total  int    `cbor:"8,keyasint,omitempty"`
	Digest uint64 `cbor:"9,keyasint,omitempty"`
	Offset int    `cbor:"10,keyasint,omitempty"`
}

type submission struct {
	data   []byte
	answer chan<- outcome
}

// operation is what a host requests from the leader, and the name of its method.
type operation string

// A proposal replicates data, a read returns the committed index and operationState the leader's state.
const (
	operationPropose operation = "propose"
	operationRead    operation = "read"
	operationState   operation = "state"
)

// search says whether a member that knows no leader asks the other hosts for one.
type search bool

// A read of the local copy doesn't search: the copy of a member without a leader doesn't catch up.
const (
	searching    search = true
	notSearching search = false
)

// Propose replicates data and returns the result of applying it. It blocks until the
// entry is committed. The error carries a verdict (rule 5).
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	o, _, err := g.requestLeader(ctx, operationPropose, data, searching)
	if err == nil {
		g.failures.clear()
	}
	return o.Result, err
}

// Read blocks until the local state machine has applied everything that was committed
// before the call, and returns that index (rule 6). On a host without a disk it only
// returns the index. The error carries a verdict.
func (g *Group) Read(ctx context.Context) (uint64, error) {
	o, asked, err := g.requestLeader(ctx, operationRead, nil, notSearching)
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

// requestLeader sends a request to the leader, or to the next one if it was refused, and returns also
// the hosts that were asked. It never resends a proposal that may have run.
func (g *Group) requestLeader(ctx context.Context, op operation, body []byte, s search) (outcome, []hingeids.HostID, error) {
	p := g.newPursuit(s)
	last := Unavailable{
		Reason: NoLeader,
	}
	for range maxLeaderAttempts {
		t, ok := p.next(ctx)
		if !ok {
			break
		}
		o, err := g.callLeader(ctx, t, op, body)
		if err == nil && !o.Refused && !o.Uncertain {
			g.setLeaderHint(t.host)
			return o, p.asked, nil
		}
		last = failedRequest(t.host, o, err)
		if unclear := last.Reason == LeaderUnreachable && hingeverdict.Of(last.Cause) != hingeverdict.NotRun; unclear &&
			(op == operationPropose || s == notSearching) {
			last.Asked = p.asked
			return outcome{}, p.asked, withCause(last.Cause, g.unavailable(last))
		}
		g.setLeaderHint(o.Leader)
		p.redirect = o.Leader
	}
	last.Asked = p.asked
	if last.Reason == NoLeader {
		last.Asked = p.contacted
	}
	if g.stopped() {
		last.Reason = Stopping
	}
	return outcome{}, p.asked, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, g.retryAfter(), g.unavailable(last))
}

// failedRequest returns why a host that was taken for the leader gave no result.
func failedRequest(h hingeids.HostID, o outcome, err error) Unavailable {
	u := Unavailable{
		Reason: LeaderUnreachable,
		Leader: h,
		Cause:  err,
	}
	switch {
	case err != nil:
	case o.Uncertain:
		u.Cause = hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeNoQuorum, 0,
			eris.Errorf("host %s stopped leading before it answered", h))
	default:
		u.Reason = LeaderWithoutLease
	}
	return u
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

func (g *Group) callHost(ctx context.Context, h hingeids.HostID, op operation, body []byte) (outcome, error) {
	if h == g.settings.Self && g.member != nil {
		if op == operationState {
			return g.stateAsLeader(ctx), nil
		}
		return g.handleLocal(ctx, op, body), nil
	}
	if op == operationState {
		return g.callState(ctx, h)
	}
	return g.call(ctx, h, op, body)
}

// call sends a request to another host.
func (g *Group) call(ctx context.Context, h hingeids.HostID, op operation, body []byte) (outcome, error) {
	var b []byte
	var err error
	if op == operationPropose && len(body) > maxWhole {
		b, err = g.proposeInParts(ctx, h, body)
	} else {
		b, err = g.link.Call(ctx, h, g.method(op), body)
	}
	if err != nil {
		return outcome{}, err
	}
	var o outcome
	if err := cbor.Unmarshal(b, &o); err != nil {
		return outcome{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0, err)
	}
	if o.Member.Host == h {
		g.peers.record(g.settings.Clock(), o.Member, o.LastIndex)
	}
	return o, nil
}

func (g *Group) method(name operation) hingelink.Method {
	return hingelink.Method(g.settings.Name + "." + string(name))
}

// The loop refuses proposals and reads unless this host leads.
func (g *Group) handleLocal(ctx context.Context, op operation, body []byte) outcome {
	answer := make(chan outcome, 1)
	enqueued := g.enqueue(ctx, func(now time.Time) {
		if op == operationRead {
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
		Refused:   !ok,
		Leader:    m.redirect(),
		Index:     at,
		Member:    m.self,
		LastIndex: m.log.Status().LastIndex,
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
