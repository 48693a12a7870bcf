package hingegroup

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// membershipInterval is the time between attempts to bootstrap the group, to propagate
// the bootstrap, or to join.
const membershipInterval = 250 * time.Millisecond

// rejoinAfterElections is the number of election times without a leader after which a
// member of an open group requests to join again. An ordinary election takes at most three.
const rejoinAfterElections = 4

// maintainMembership retries until this host is a member, and again when it may have been
// removed (rules 3, 4 and 7).
func (g *Group) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	leaderSeenAt := g.settings.Clock()
	staleSince := time.Time{}
	var bootstrapDisks []hingelog.Member
	for {
		status := g.Status()
		now := g.settings.Clock()
		switch {
		case !status.StaleDisk:
			staleSince = time.Time{}
		case staleSince.IsZero():
			staleSince = now
		}
		if !status.Leader.IsZero() {
			leaderSeenAt = now
		}
		if g.settings.Open && status.LastIndex <= 1 && status.Leader.IsZero() {
			g.propagateLateBootstrap(ctx)
			bootstrapDisks = g.tryLateBootstrap(ctx, bootstrapDisks)
		}
		switch {
		case status.StaleDisk:
			// A lease from before may count on what this disk answered.
			if now.Sub(staleSince) >= g.settings.ElectionTimeout {
				g.replaceDisk(ctx)
			}
		case status.LastIndex == 0 && !g.tryBootstrap(ctx):
			g.requestJoin(ctx)
		case status.LastIndex == 1 && !g.settings.Open:
			g.propagateBootstrap(ctx)
		case status.LastIndex > 1 && !status.Members.Has(status.Self):
			g.requestJoin(ctx)
		case status.LateBootstrap:
			// A group that refused this host's late bootstrap has another first state, which no entry can follow here.
			if now.Sub(leaderSeenAt) > rejoinAfterElections*g.settings.ElectionTimeout {
				g.replaceDisk(ctx)
			}
		case g.settings.Open && now.Sub(leaderSeenAt) > rejoinAfterElections*g.settings.ElectionTimeout:
			// This member may have been removed while it was down (hingelog rule 13). Its
			// own log doesn't show that, and the others send it no further entries.
			g.requestJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// retirePatience is the number of election times within which a leader must move the vote of a host that stops. It
// takes a heartbeat and two syncs at a quorum, but a leader that is lost is noticed only after two election times.
const retirePatience = 4

// Retire announces that this host is about to stop, and waits until its vote has moved to another host, until
// no other host can take it, or until a leader hasn't moved it for retirePatience. Without a leader it waits for
// one: if another disk is lost meanwhile, the next leader needs this host's copy. Until the vote of a stopped host
// has moved, the group tolerates one loss fewer.
func (g *Group) Retire(ctx context.Context) {
	if g.member == nil || !g.enqueue(ctx, func(now time.Time) {
		g.member.log.Retire(now)
	}) {
		return
	}
	ticker := time.NewTicker(g.settings.HeartbeatInterval)
	defer ticker.Stop()
	ledFor := time.Duration(0)
	for {
		changed := g.status.Changed()
		s := g.Status()
		hasMoved := !s.Members.HasVoter(s.Self) && s.MembersCommitted
		cannotMove := len(s.Members.Learners) == 0 && !s.Members.IsReplacing()
		if hasMoved || cannotMove || ledFor >= retirePatience*g.settings.ElectionTimeout {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			if s.Leader.IsZero() {
				ledFor = 0
				continue
			}
			ledFor += g.settings.HeartbeatInterval
		case <-ctx.Done():
			return
		case <-g.done:
			return
		}
	}
}

type memberChange struct {
	Admit  hingeids.HostID `cbor:"1,keyasint,omitempty"`
	Remove hingeids.HostID `cbor:"2,keyasint,omitempty"`
}

// Admit lets a host join that was never a member. It becomes a voter without a further
// command once it holds the whole log, which the event memberPromoted reports.
func (g *Group) Admit(ctx context.Context, h hingeids.HostID) error {
	return g.memberChange(ctx, memberChange{
		Admit: h,
	})
}

// Remove removes a lost host from the group permanently. Admit its replacement first
// and wait for its promotion.
func (g *Group) Remove(ctx context.Context, h hingeids.HostID) error {
	return g.memberChange(ctx, memberChange{
		Remove: h,
	})
}

func (g *Group) memberChange(ctx context.Context, c memberChange) error {
	if _, err := g.Read(ctx); err != nil {
		return err
	}
	leader := g.Leader()
	if leader == g.settings.Self {
		_, err := g.onMembers(ctx, leader, encode(c))
		return err
	}
	_, err := g.link.Call(ctx, leader, g.method("members"), encode(c))
	return err
}

func (g *Group) onMembers(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var c memberChange
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, eris.Wrap(err, "decode member change")
	}
	failed, err := runInLoop(ctx, g, func(now time.Time) error {
		return g.member.applyMemberChange(now, c)
	})
	if err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, g.retryAfter(), failed)
	}
	return nil, nil
}

func (m *member) applyMemberChange(now time.Time, c memberChange) error {
	if !m.log.MayLead(now) {
		return hingelog.ErrNotLeader
	}
	if c.Admit != "" {
		m.admitted[string(c.Admit)] = true
	}
	if c.Remove == "" {
		return nil
	}
	delete(m.admitted, string(c.Remove))
	for _, x := range m.log.Status().Members.All() {
		if x.Host == c.Remove {
			return m.log.ChangeMembers(now, hingelog.Change{
				Kind:   hingelog.Remove,
				Member: x,
			})
		}
	}
	return hingelog.ErrUnknownMember
}
