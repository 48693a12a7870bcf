package hingegroup

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

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
		g.renewDisk(ctx, newest, "")
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

// renewDisk implements rule 4, and rule 10 if the leader isn't empty.
func (g *Group) renewDisk(ctx context.Context, above hingeids.Incarnation, leader hingeids.HostID) {
	failed, err := runInLoop(ctx, g, func(now time.Time) error {
		return g.member.renewDisk(now, above, leader)
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		g.member.recordFailure(g.settings.Clock(), err)
	}
}

// renewDisk restarts the member with a new, empty disk. It does nothing unless the
// disk is empty, stale or holds a late bootstrap alone, and isn't newer already, since a new incarnation isn't bound by what the
// old one has confirmed.
func (m *member) renewDisk(now time.Time, above hingeids.Incarnation, leader hingeids.HostID) error {
	hasContent := m.log.Status().LastIndex > 0 && !m.log.HasStaleDisk() && !m.holdsLateBootstrap()
	if hasContent || m.self.Disk > above {
		return nil
	}
	// As in reopen: the state that follows is older.
	m.group.status.Store(&Status{})
	m.group.reopens.Add(1)
	s := m.group.settings
	_ = m.journal.Close()
	if err := hingejournal.RenewIdentity(m.directory, above, s.WallClock()); err != nil {
		return err
	}
	s.Recorder.Record(now, hingeevents.DiskRenewed, hingeevents.Fields{
		Host:   leader,
		Detail: s.Name,
	})
	return m.restart(now, m.open)
}

// replaceDisk implements rule 10, also for a disk that holds a late bootstrap which hasn't taken effect. It returns without an
// effect if no leader answers.
func (g *Group) replaceDisk(ctx context.Context) {
	if h := g.discoverLeader(ctx).leader; h != "" && h != g.settings.Self {
		g.renewDisk(ctx, g.Status().Self.Disk, h)
	}
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
