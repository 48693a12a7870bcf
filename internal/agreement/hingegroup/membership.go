package hingegroup

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// membershipInterval is the time between attempts to bootstrap the group, to propagate
// the bootstrap, or to join.
const membershipInterval = 250 * time.Millisecond

// rejoinAfterElections is the number of election times without a leader after which a
// member of an open group requests to join again. An ordinary election takes at most three.
const rejoinAfterElections = 4

// diskState is the answer to the method "empty".
type diskState struct {
	Member hingelog.Member `cbor:"1,keyasint"`
	Empty  bool            `cbor:"2,keyasint"`
}

// maintainMembership retries until this host is a member, and again when it may have been
// removed (rules 3, 4 and 7).
func (g *Group) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	leaderSeenAt := g.settings.Clock()
	for {
		status := g.Status()
		now := g.settings.Clock()
		if !status.Leader.IsZero() {
			leaderSeenAt = now
		}
		switch {
		case status.LastIndex == 0 && !g.tryBootstrap(ctx):
			g.requestJoin(ctx)
		case status.LastIndex == 1:
			g.propagateBootstrap(ctx)
		case status.LastIndex > 1 && !status.Members.Has(status.Self):
			g.requestJoin(ctx)
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

// tryBootstrap implements rule 3.
func (g *Group) tryBootstrap(ctx context.Context) bool {
	hosts := slices.Clone(g.settings.Hosts)
	slices.Sort(hosts)
	if g.settings.JoinOnly || len(hosts) == 0 || hosts[0] != g.settings.Self {
		return false
	}
	var voters []hingelog.Member
	for _, h := range hosts {
		state, err := g.queryDiskState(ctx, h)
		if err != nil || !state.Empty {
			return false
		}
		voters = append(voters, state.Member)
	}
	bootstrapped, err := runInLoop(ctx, g, func(now time.Time) bool {
		return g.member.bootstrap(now, hingelog.Members{
			Voters: voters,
		}) == nil
	})
	return err == nil && bootstrapped
}

func (g *Group) queryDiskState(ctx context.Context, h hingeids.HostID) (diskState, error) {
	if h == g.settings.Self {
		return runInLoop(ctx, g, func(time.Time) diskState {
			return g.member.diskState()
		})
	}
	callCtx, stop := context.WithTimeout(ctx, g.settings.ElectionTimeout)
	defer stop()
	b, err := g.link.Call(callCtx, h, g.method("empty"), nil)
	if err != nil {
		return diskState{}, err
	}
	var state diskState
	return state, cbor.Unmarshal(b, &state)
}

func (g *Group) onDiskState(ctx context.Context, _ hingeids.HostID, _ []byte) ([]byte, error) {
	state, err := runInLoop(ctx, g, func(time.Time) diskState {
		return g.member.diskState()
	})
	return encode(state), err
}

func (m *member) diskState() diskState {
	return diskState{
		Member: m.self,
		Empty:  m.log.Status().LastIndex == 0,
	}
}

// bootstrap returns an error unless this disk is empty and one of the voters.
func (m *member) bootstrap(now time.Time, members hingelog.Members) error {
	if m.log.Status().LastIndex > 0 || !members.HasVoter(m.self) {
		return eris.New("bootstrap refused: this disk isn't empty or isn't among the voters")
	}
	d := hingelog.DurableState{
		HardState: hingelog.HardState{
			Term: 1,
		},
		Snapshot: hingelog.Snapshot{
			At: hingelog.Position{
				Term:  1,
				Index: 1,
			},
			Members: members,
		},
	}
	d.BasePosition = d.Snapshot.At
	err := m.journal.Compact(encode(d.Snapshot), encode(journalRecord{
		HardState: &d.HardState,
		Base:      &d.BasePosition,
	}))
	if err != nil {
		return err
	}
	m.stored = d
	m.group.settings.Recorder.Record(now, hingeevents.GroupFounded, hingeevents.Fields{
		Count:  int64(len(members.Voters)),
		Detail: m.group.settings.Name,
	})
	return m.startLog(now)
}

// propagateBootstrap sends the bootstrap members to the other voters unless there is
// a leader.
func (g *Group) propagateBootstrap(ctx context.Context) {
	s := g.Status()
	if !s.Leader.IsZero() {
		return
	}
	for _, m := range s.Members.Voters {
		if m != s.Self {
			callCtx, stop := context.WithTimeout(ctx, g.settings.ElectionTimeout)
			_, _ = g.link.Call(callCtx, m.Host, g.method("found"), encode(s.Members))
			stop()
		}
	}
}

func (g *Group) onBootstrap(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var members hingelog.Members
	if err := cbor.Unmarshal(body, &members); err != nil {
		return nil, eris.Wrap(err, "decode bootstrap members")
	}
	failed, err := runInLoop(ctx, g, func(now time.Time) error {
		return g.member.bootstrap(now, members)
	})
	if err != nil {
		return nil, err
	}
	return nil, failed
}

type joinAnswer struct {
	// Newest is the newest known disk of the requesting host if it is newer than the one in
	// the request.
	Newest hingeids.Incarnation `cbor:"1,keyasint,omitempty"`
	// Leader is the present leader if it is another host. Only the leader adds members.
	Leader hingeids.HostID `cbor:"2,keyasint,omitempty"`
}

// requestJoin requests to join from all known hosts and, as soon as an answer names it, from the leader, which may be
// none of the configured hosts. A silent host delays no other request. The leader adds this host as a learner.
func (g *Group) requestJoin(ctx context.Context) {
	callCtx, stop := context.WithTimeout(ctx, g.settings.ElectionTimeout)
	defer stop()
	self := g.Status().Self
	contacted := map[hingeids.HostID]bool{
		g.settings.Self: true,
	}
	answers := make(chan joinAnswer)
	pending := 0
	contact := func(h hingeids.HostID) {
		if h == "" || contacted[h] {
			return
		}
		contacted[h] = true
		pending++
		go func() {
			answers <- g.requestJoinFrom(callCtx, self, h)
		}()
	}
	for _, h := range g.knownHosts() {
		contact(h)
	}
	newest := hingeids.Incarnation(0)
	for ; pending > 0; pending-- {
		a := <-answers
		contact(a.Leader)
		newest = max(newest, a.Newest)
	}
	if newest > self.Disk {
		g.renewDisk(ctx, newest)
	}
}

// requestJoinFrom returns a zero answer if the call fails. It is retried after membershipInterval, and the log shows
// when this host is a member.
func (g *Group) requestJoinFrom(ctx context.Context, self hingelog.Member, h hingeids.HostID) joinAnswer {
	var a joinAnswer
	b, err := g.link.Call(ctx, h, g.method("join"), encode(self))
	if err != nil || cbor.Unmarshal(b, &a) != nil {
		return joinAnswer{}
	}
	return a
}

// renewDisk implements rule 4.
func (g *Group) renewDisk(ctx context.Context, above hingeids.Incarnation) {
	failed, err := runInLoop(ctx, g, func(now time.Time) error {
		return g.member.renewDisk(now, above)
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		g.settings.Recorder.Record(g.settings.Clock(), hingeevents.JournalFailed, hingeevents.Fields{
			Detail: err.Error(),
		})
	}
}

// renewDisk restarts the member with a new disk incarnation. It does nothing unless the
// disk is empty and not newer already, since a new incarnation isn't bound by what the
// old one has confirmed.
func (m *member) renewDisk(now time.Time, above hingeids.Incarnation) error {
	if m.log.Status().LastIndex > 0 || m.self.Disk > above {
		return nil
	}
	s := m.group.settings
	_ = m.journal.Close()
	if err := hingejournal.RenewIdentity(m.directory, s.Self, s.Name, above, s.WallClock()); err != nil {
		return err
	}
	if err := m.openJournal(now); err != nil {
		return err
	}
	return m.startLog(now)
}

func (g *Group) onJoin(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	var x hingelog.Member
	if err := cbor.Unmarshal(body, &x); err != nil || x.Host != from {
		return nil, eris.Errorf("host %s requested to join as host %s", from, x.Host)
	}
	var a joinAnswer
	failed, err := runInLoop(ctx, g, func(now time.Time) error {
		if a.Newest = g.member.newerDisk(x); a.Newest > 0 {
			return nil
		}
		if a.Leader = g.member.log.Status().Leader.Host; a.Leader != "" && a.Leader != g.settings.Self {
			return nil
		}
		return g.member.addLearner(now, x)
	})
	if err != nil {
		return nil, err
	}
	return encode(a), failed
}

// newerDisk returns the newest incarnation among the members with x's host if it is newer
// than x, else 0.
func (m *member) newerDisk(x hingelog.Member) hingeids.Incarnation {
	newest := hingeids.Incarnation(0)
	for _, o := range m.log.Status().Members.All() {
		if o.Host == x.Host && o.Disk > x.Disk {
			newest = max(newest, o.Disk)
		}
	}
	return newest
}

// addLearner adds x as a learner if its host is a member, is admitted or the group is open.
func (m *member) addLearner(now time.Time, x hingelog.Member) error {
	allowed := m.admitted[string(x.Host)] || m.group.settings.Open
	for _, o := range m.log.Status().Members.All() {
		allowed = allowed || o.Host == x.Host
	}
	if !allowed {
		return eris.Errorf("host %s isn't a member, and no operator admitted it", x.Host)
	}
	return m.log.ChangeMembers(now, hingelog.Change{
		Kind:   hingelog.AddLearner,
		Member: x,
	})
}

// Retire announces that this host is about to stop, and waits until its vote has moved to another host,
// or until no other host can take it. A host that stops with a vote leaves the group with one loss less that
// it survives, until the vote moves.
func (g *Group) Retire(ctx context.Context) {
	if g.member == nil || !g.enqueue(ctx, func(now time.Time) {
		g.member.log.Retire(now)
	}) {
		return
	}
	for {
		changed := g.status.Changed()
		if s := g.Status(); !s.Members.HasVoter(s.Self) && s.MembersCommitted || len(s.Members.Learners) == 0 && !s.Members.IsReplacing() {
			return
		}
		select {
		case <-changed:
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
