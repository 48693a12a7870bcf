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

// outcome is what the leader says to a proposal or a read. Refused is proof that
// nothing was or will be done; Uncertain says that nobody knows.
type outcome struct {
	Result    []byte          `cbor:"1,keyasint,omitempty"`
	Refused   bool            `cbor:"2,keyasint,omitempty"`
	Uncertain bool            `cbor:"3,keyasint,omitempty"`
	Leader    hingeids.HostID `cbor:"4,keyasint,omitempty"`
	Index     hingelog.Index  `cbor:"5,keyasint,omitempty"`
}

// submission is a proposal that waits for the next batch.
type submission struct {
	data   []byte
	answer chan<- outcome
}

// Propose has data agreed on and applied, and gives the state machine's result.
// The error carries a verdict (rule 5).
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	o, err := g.ask(ctx, "propose", data)
	return o.Result, err
}

// Read waits until this host's state machine has applied everything that was
// accepted before the call (rule 6). On a host without a disk it only gives the index.
func (g *Group) Read(ctx context.Context) (uint64, error) {
	o, err := g.ask(ctx, "read", nil)
	if err != nil || g.member == nil {
		return uint64(o.Index), err
	}
	for {
		changed := g.standing.Changed()
		if g.standing.Load().Applied >= o.Index {
			return uint64(o.Index), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, g.retryAfter(), ctx.Err())
		case <-g.done:
			return 0, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeShuttingDown, g.retryAfter(), nil)
		}
	}
}

// retryAfter is when a new leader is likely there: two election times.
func (g *Group) retryAfter() time.Duration {
	return 2 * g.settings.Election
}

// attempts bounds how often a proposal follows a change of leader before it is refused.
const attempts = 4

// ask puts a question to the leader.
func (g *Group) ask(ctx context.Context, what string, body []byte) (outcome, error) {
	for range attempts {
		leader := g.find(ctx)
		if leader == "" {
			break
		}
		o, err := g.askLeader(ctx, leader, what, body)
		switch {
		case err != nil && hingeverdict.Of(err) != hingeverdict.NotRun:
			return outcome{}, err
		case o.Uncertain:
			return outcome{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeNoQuorum, g.retryAfter(),
				eris.Errorf("host %s stopped leading group %s meanwhile", leader, g.settings.Name))
		case err == nil && !o.Refused:
			g.believe(leader)
			return o, nil
		}
		g.believe(o.Leader)
		if g.member != nil && (o.Leader == "" || o.Leader == leader) {
			// This member's own log will know of the next leader as soon as there is one.
			break
		}
	}
	return outcome{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, g.retryAfter(),
		eris.Errorf("group %s has no leader that can be reached", g.settings.Name))
}

// believe keeps who leads, on a host without a log of its own.
func (g *Group) believe(h hingeids.HostID) {
	g.hint.Store(&belief{
		host: h,
		at:   g.settings.Clock(),
	})
}

// belief is who led at some time.
type belief struct {
	host hingeids.HostID
	at   time.Time
}

// find gives the leader to ask, or nobody. A member that knows of no leader
// says so at once. A host without a disk looks for the leader first, unless it
// has just spoken to it: a look can be given up after a moment, but a proposal that was
// sent to a silent host may have run.
func (g *Group) find(ctx context.Context) hingeids.HostID {
	if g.member != nil {
		return g.Standing().Leader.Host
	}
	b := g.hint.Load()
	if b != nil && b.host != "" && g.settings.Clock().Sub(b.at) < g.settings.Election {
		return b.host
	}
	return g.look(ctx)
}

// sight is what one host says when it is asked who leads.
type sight struct {
	leads   hingeids.HostID
	pointer hingeids.HostID
}

// look asks all hosts with a disk at once, and gives the first that leads, or
// else whom one points to: a host that replaced another isn't in everyone's settings.
func (g *Group) look(ctx context.Context) hingeids.HostID {
	one, stop := context.WithTimeout(ctx, g.settings.Election)
	defer stop()
	hosts := g.hosts()
	found := make(chan sight, len(hosts))
	for _, h := range hosts {
		go func() {
			o, err := g.askHost(one, h, "read", nil)
			switch {
			case err != nil || o.Uncertain:
				found <- sight{}
			case o.Refused:
				found <- sight{
					pointer: o.Leader,
				}
			default:
				found <- sight{
					leads: h,
				}
			}
		}()
	}
	pointer := hingeids.HostID("")
	for range hosts {
		s := <-found
		if s.leads != "" {
			return s.leads
		}
		if s.pointer != "" {
			pointer = s.pointer
		}
	}
	return pointer
}

// askLeader gives a question up once somebody else leads, or a member knows
// that its leader is gone. A dead leader's host may stay silent for seconds
// before the link gives up; the caller can resend at once instead.
func (g *Group) askLeader(ctx context.Context, leader hingeids.HostID, what string, body []byte) (outcome, error) {
	one, stop := context.WithCancel(ctx)
	defer stop()
	g.watch(one, leader, stop)
	return g.askHost(one, leader, what, body)
}

// watch looks from time to time whether a leader still leads, as long as a
// question to it is open.
func (g *Group) watch(ctx context.Context, leader hingeids.HostID, stop context.CancelFunc) {
	every := g.settings.Heartbeat
	if g.member == nil {
		every = g.settings.Election
	}
	time.AfterFunc(every, func() {
		switch {
		case ctx.Err() != nil:
		case g.superseded(ctx, leader):
			stop()
		default:
			g.watch(ctx, leader, stop)
		}
	})
}

func (g *Group) superseded(ctx context.Context, leader hingeids.HostID) bool {
	if g.member != nil {
		s := g.Standing()
		return s.Leader.Host != leader || leader == g.settings.Self && g.stuck(s)
	}
	h := g.look(ctx)
	return h != "" && h != leader
}

// stuck reports whether this host takes itself for the leader and hasn't renewed its lease since. Its loop waits for
// a disk that doesn't answer: it can't even learn that another leads, and whoever asks here would hear nothing until the disk is back.
func (g *Group) stuck(s Standing) bool {
	return !s.LeadsUntil.IsZero() && g.settings.Clock().After(s.LeadsUntil.Add(g.settings.Election))
}

func (g *Group) askHost(ctx context.Context, h hingeids.HostID, what string, body []byte) (outcome, error) {
	if h == g.settings.Self && g.member != nil {
		return g.local(ctx, what, body), nil
	}
	b, err := g.link.Call(ctx, h, g.method(what), body)
	if err != nil {
		return outcome{}, err
	}
	var o outcome
	if err := cbor.Unmarshal(b, &o); err != nil {
		return outcome{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0, err)
	}
	return o, nil
}

func (g *Group) method(what string) hingelink.Method {
	return hingelink.Method(g.settings.Name + "." + what)
}

// local answers as the leader, or refuses.
func (g *Group) local(ctx context.Context, what string, body []byte) outcome {
	answer := make(chan outcome, 1)
	posted := g.post(ctx, func(now time.Time) {
		if what == "read" {
			answer <- g.member.read(now)
			return
		}
		g.member.batch = append(g.member.batch, submission{
			data:   body,
			answer: answer,
		})
	})
	if !posted {
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
		Leader:  m.pointer(),
		Index:   at,
	}
}

// pointer names the leader that a refused caller may go to, never this host.
func (m *member) pointer() hingeids.HostID {
	if h := m.log.Standing().Leader.Host; h != m.self.Host {
		return h
	}
	return ""
}

// proposeBatch hands all proposals that wait to the log, for one sync.
func (m *member) proposeBatch(now time.Time) {
	for _, s := range m.batch {
		at, err := m.log.Propose(now, s.data)
		if err != nil {
			o := outcome{
				Refused: true,
			}
			if errors.Is(err, hingelog.ErrNotLeader) {
				o.Leader = m.pointer()
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
