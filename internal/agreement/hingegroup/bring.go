package hingegroup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// bringEvery is the time between attempts to found, to pass on the founding, or to join.
const bringEvery = 250 * time.Millisecond

// replacedAfter is how many election times without a leader make a member ask
// whether it still is one. An ordinary election is over within three.
const replacedAfter = 4

// emptiness is a host's answer to whether its disk is empty.
type emptiness struct {
	Member hingelog.Member `cbor:"1,keyasint"`
	Empty  bool            `cbor:"2,keyasint"`
}

// bring sees to it that this host becomes a member (rules 3 and 4).
func (g *Group) bring(ctx context.Context) {
	ticker := time.NewTicker(bringEvery)
	defer ticker.Stop()
	led := g.settings.Clock()
	for {
		s := g.Standing()
		now := g.settings.Clock()
		if !s.Leader.IsZero() {
			led = now
		}
		switch {
		case s.Last == 0 && !g.tryFound(ctx):
			g.askToJoin(ctx)
		case s.Last == 1:
			g.passFounding(ctx)
		case s.Last > 1 && !s.Members.Has(s.Self):
			g.askToJoin(ctx)
		case g.settings.Open && now.Sub(led) > replacedAfter*g.settings.Election:
			// The others may have replaced this member while it was away (hingelog
			// rule 13). Its own log says otherwise, and nobody sends it more.
			g.askToJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tryFound founds the group if this host is the one to do so and all disks are empty.
func (g *Group) tryFound(ctx context.Context) bool {
	hosts := slices.Clone(g.settings.Hosts)
	slices.Sort(hosts)
	if g.settings.Joins || len(hosts) == 0 || hosts[0] != g.settings.Self {
		return false
	}
	var voters []hingelog.Member
	for _, h := range hosts {
		e, err := g.askEmpty(ctx, h)
		if err != nil || !e.Empty {
			return false
		}
		voters = append(voters, e.Member)
	}
	founded, err := inLoop(ctx, g, func(now time.Time) bool {
		return g.member.found(now, hingelog.Members{
			Voters: voters,
		}) == nil
	})
	return err == nil && founded
}

func (g *Group) askEmpty(ctx context.Context, h hingeids.HostID) (emptiness, error) {
	if h == g.settings.Self {
		return inLoop(ctx, g, func(time.Time) emptiness {
			return g.member.emptiness()
		})
	}
	one, stop := context.WithTimeout(ctx, g.settings.Election)
	defer stop()
	b, err := g.link.Call(one, h, g.method("empty"), nil)
	if err != nil {
		return emptiness{}, err
	}
	var e emptiness
	return e, cbor.Unmarshal(b, &e)
}

func (g *Group) onEmpty(ctx context.Context, _ hingeids.HostID, _ []byte) ([]byte, error) {
	e, err := inLoop(ctx, g, func(time.Time) emptiness {
		return g.member.emptiness()
	})
	return encode(e), err
}

func (m *member) emptiness() emptiness {
	return emptiness{
		Member: m.self,
		Empty:  m.log.Standing().Last == 0,
	}
}

// found takes the founding if this disk is empty and named in it.
func (m *member) found(now time.Time, members hingelog.Members) error {
	if m.log.Standing().Last > 0 || !members.HasVoter(m.self) {
		return eris.New("this disk isn't empty, or isn't named in the founding")
	}
	d := hingelog.Stored{
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
	d.Before = d.Snapshot.At
	err := m.journal.Compact(encode(d.Snapshot), encode(record{
		HardState: &d.HardState,
		Base:      &d.Before,
	}))
	if err != nil {
		return err
	}
	m.stored = d
	m.group.settings.Recorder.Record(now, hingeevents.GroupFounded, hingeevents.Fields{
		Count:  int64(len(members.Voters)),
		Detail: m.group.settings.Name,
	})
	return m.begin(now)
}

// passFounding gives the founding to the others, until there is a leader.
func (g *Group) passFounding(ctx context.Context) {
	s := g.Standing()
	if !s.Leader.IsZero() {
		return
	}
	for _, m := range s.Members.Voters {
		if m != s.Self {
			one, stop := context.WithTimeout(ctx, g.settings.Election)
			_, _ = g.link.Call(one, m.Host, g.method("found"), encode(s.Members))
			stop()
		}
	}
}

func (g *Group) onFound(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var members hingelog.Members
	if err := cbor.Unmarshal(body, &members); err != nil {
		return nil, eris.Wrap(err, "founding")
	}
	failed, err := inLoop(ctx, g, func(now time.Time) error {
		return g.member.found(now, members)
	})
	if err != nil {
		return nil, err
	}
	return nil, failed
}

// joinAnswer is the answer to a host that asks to join.
type joinAnswer struct {
	// Newest is set if the host has had a newer disk than the one that it asks with.
	Newest hingeids.Incarnation `cbor:"1,keyasint,omitempty"`
	// Leader is set if another host leads: only that one takes hosts in.
	Leader hingeids.HostID `cbor:"2,keyasint,omitempty"`
}

// askToJoin asks all hosts; the one that leads takes this one in as a learner. It may be none of
// those that this host was told of at its start, so whoever is asked names it.
func (g *Group) askToJoin(ctx context.Context) {
	one, stop := context.WithTimeout(ctx, g.settings.Election)
	defer stop()
	self := g.Standing().Self
	asked := g.hosts()
	answers := g.askEach(one, self, asked)
	var others []hingeids.HostID
	for _, a := range answers {
		if a.Leader != "" && !slices.Contains(asked, a.Leader) && !slices.Contains(others, a.Leader) {
			others = append(others, a.Leader)
		}
	}
	newest := hingeids.Incarnation(0)
	for _, a := range append(answers, g.askEach(one, self, others)...) {
		newest = max(newest, a.Newest)
	}
	if newest > self.Disk {
		g.renew(ctx, newest)
	}
}

// askEach asks hosts to join, and gives the answers of those that could be reached.
func (g *Group) askEach(ctx context.Context, self hingelog.Member, hosts []hingeids.HostID) []joinAnswer {
	answers := make(chan joinAnswer, len(hosts))
	var calls sync.WaitGroup
	for _, h := range hosts {
		if h == g.settings.Self {
			continue
		}
		calls.Go(func() {
			var a joinAnswer
			// One that can't be reached is asked again soon; this host hears by the log that it was taken in.
			if b, err := g.link.Call(ctx, h, g.method("join"), encode(self)); err == nil && cbor.Unmarshal(b, &a) == nil {
				answers <- a
			}
		})
	}
	calls.Wait()
	close(answers)
	var out []joinAnswer
	for a := range answers {
		out = append(out, a)
	}
	return out
}

// renew claims this host's disk anew, above one that the group has known it with (rule 4).
func (g *Group) renew(ctx context.Context, above hingeids.Incarnation) {
	failed, err := inLoop(ctx, g, func(now time.Time) error {
		return g.member.renew(now, above)
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

// renew begins with a new disk incarnation. Only a disk that holds nothing may: another would
// no longer be bound by what it has confirmed.
func (m *member) renew(now time.Time, above hingeids.Incarnation) error {
	if m.log.Standing().Last > 0 || m.self.Disk > above {
		return nil
	}
	s := m.group.settings
	_ = m.journal.Close()
	if err := hingejournal.Renew(m.files, s.Self, s.Name, above, s.Today()); err != nil {
		return err
	}
	if err := m.open(now); err != nil {
		return err
	}
	return m.begin(now)
}

func (g *Group) onJoin(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	var x hingelog.Member
	if err := cbor.Unmarshal(body, &x); err != nil || x.Host != from {
		return nil, eris.Errorf("host %s asks to join as %s", from, x.Host)
	}
	var a joinAnswer
	failed, err := inLoop(ctx, g, func(now time.Time) error {
		if a.Newest = g.member.newerDisk(x); a.Newest > 0 {
			return nil
		}
		if a.Leader = g.member.log.Standing().Leader.Host; a.Leader != "" && a.Leader != g.settings.Self {
			return nil
		}
		return g.member.join(now, x)
	})
	if err != nil {
		return nil, err
	}
	return encode(a), failed
}

// newerDisk gives the newest disk that a member's host is known with, if that is newer.
func (m *member) newerDisk(x hingelog.Member) hingeids.Incarnation {
	newest := hingeids.Incarnation(0)
	for _, o := range m.log.Standing().Members.All() {
		if o.Host == x.Host && o.Disk > x.Disk {
			newest = max(newest, o.Disk)
		}
	}
	return newest
}

// join takes in a newer disk of a host that is a member, or an admitted host.
func (m *member) join(now time.Time, x hingelog.Member) error {
	known := m.admitted[string(x.Host)] || m.group.settings.Open
	for _, o := range m.log.Standing().Members.All() {
		known = known || o.Host == x.Host
	}
	if !known {
		return eris.Errorf("host %s isn't a member, and no operator admitted it", x.Host)
	}
	return m.log.Reconfigure(now, hingelog.Change{
		Kind:   hingelog.AddLearner,
		Member: x,
	})
}

// order is an operator's order on members.
type order struct {
	Admit  hingeids.HostID `cbor:"1,keyasint,omitempty"`
	Remove hingeids.HostID `cbor:"2,keyasint,omitempty"`
}

// Admit lets a host that was never a member join. It is promoted by itself
// once it holds everything; the event memberPromoted says so.
func (g *Group) Admit(ctx context.Context, h hingeids.HostID) error {
	return g.order(ctx, order{
		Admit: h,
	})
}

// Remove takes a lost host out of the group for good. Admit its replacement
// first and wait for its promotion.
func (g *Group) Remove(ctx context.Context, h hingeids.HostID) error {
	return g.order(ctx, order{
		Remove: h,
	})
}

func (g *Group) order(ctx context.Context, o order) error {
	if _, err := g.Read(ctx); err != nil {
		return err
	}
	leader := g.Leader()
	if leader == g.settings.Self {
		_, err := g.onMembers(ctx, leader, encode(o))
		return err
	}
	_, err := g.link.Call(ctx, leader, g.method("members"), encode(o))
	return err
}

func (g *Group) onMembers(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var o order
	if err := cbor.Unmarshal(body, &o); err != nil {
		return nil, eris.Wrap(err, "order on members")
	}
	failed, err := inLoop(ctx, g, func(now time.Time) error {
		return g.member.obey(now, o)
	})
	if err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, g.retryAfter(), failed)
	}
	return nil, nil
}

func (m *member) obey(now time.Time, o order) error {
	if !m.log.MayLead(now) {
		return hingelog.ErrNotLeader
	}
	if o.Admit != "" {
		m.admitted[string(o.Admit)] = true
	}
	if o.Remove == "" {
		return nil
	}
	delete(m.admitted, string(o.Remove))
	for _, x := range m.log.Standing().Members.All() {
		if x.Host == o.Remove {
			return m.log.Reconfigure(now, hingelog.Change{
				Kind:   hingelog.Remove,
				Member: x,
			})
		}
	}
	return hingelog.ErrUnknownMember
}
