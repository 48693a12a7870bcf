package hingegroup

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// lateTerm is the term of the first state that a late bootstrap stores. It is above that of the founders.
const lateTerm hingelog.Term = 2

// bootstrapQuery asks a configured host what it holds, for one round of a late bootstrap.
type bootstrapQuery struct {
	Round uint64 `cbor:"1,keyasint"`
}

// bootstrapState is the answer to a bootstrapQuery.
type bootstrapState struct {
	Member hingelog.Member `cbor:"1,keyasint"`
	// Started reports that the host has heard of a group that works: it holds entries, has taken part in an
	// election, knows a leader, or a host that follows it has state of the group.
	Started bool `cbor:"2,keyasint,omitempty"`
	// Stored is the term of the first state that the host has stored; zero if its disk is empty.
	Stored hingelog.Term `cbor:"3,keyasint,omitempty"`
	// Founders are those of the disk (rule 7).
	Founders []hingeids.HostID `cbor:"4,keyasint,omitempty"`
	// Hosts are the configured hosts, sorted.
	Hosts []hingeids.HostID `cbor:"5,keyasint"`
}

// lateBootstrap is the first state of a group that is bootstrapped late. Held is set by a host that has stored it; else
// it holds for the hosts that have answered the round.
type lateBootstrap struct {
	Round   uint64           `cbor:"1,keyasint,omitempty"`
	Held    bool             `cbor:"2,keyasint,omitempty"`
	Members hingelog.Members `cbor:"3,keyasint"`
}

func sorted(hosts []hingeids.HostID) []hingeids.HostID {
	list := slices.Clone(hosts)
	slices.Sort(list)
	return slices.Compact(list)
}

// tryLateBootstrap implements rule 11. It returns the disks that have answered, which the next round is compared with.
func (g *Group) tryLateBootstrap(ctx context.Context, before []hingelog.Member) []hingelog.Member {
	hosts := sorted(g.settings.Hosts)
	if len(hosts) == 0 || hosts[0] != g.settings.Self {
		return nil
	}
	began := g.settings.Clock()
	round := rand.Uint64()
	states := g.queryBootstrapStates(ctx, hosts, round)
	if !mayBootstrapLate(hosts, states) {
		return nil
	}
	disks := make([]hingelog.Member, 0, len(states))
	for _, s := range states {
		disks = append(disks, s.Member)
	}
	if slices.Equal(disks, before) {
		g.bootstrapLate(ctx, began, lateBootstrap{
			Round: round,
			Members: hingelog.Members{
				Voters: disks,
			},
		})
	}
	return disks
}

// queryBootstrapStates returns the answers of the hosts that answer, in the order of the hosts.
func (g *Group) queryBootstrapStates(ctx context.Context, hosts []hingeids.HostID, round uint64) []bootstrapState {
	answers := make([]*bootstrapState, len(hosts))
	var calls sync.WaitGroup
	for i, h := range hosts {
		calls.Go(func() {
			if s, err := g.queryBootstrapState(ctx, h, round); err == nil {
				answers[i] = &s
			}
		})
	}
	calls.Wait()
	var states []bootstrapState
	for _, s := range answers {
		if s != nil {
			states = append(states, *s)
		}
	}
	return states
}

// mayBootstrapLate reports whether all hosts have answered, none knows of a group, and the founders' one can't start.
func mayBootstrapLate(hosts []hingeids.HostID, states []bootstrapState) bool {
	if len(states) < len(hosts) {
		return false
	}
	disks := make(map[hingeids.HostID]hingeids.Incarnation)
	for _, s := range states {
		disks[s.Member.Host] = s.Member.Disk
	}
	for _, s := range states {
		if s.Started || s.Stored >= lateTerm || !slices.Equal(s.Hosts, hosts) || mayFoundersStart(s.Founders, disks) {
			return false
		}
	}
	return true
}

// mayFoundersStart reports whether the founders' group can start with the disks that have answered, or may have started
// without them. None of those that have answered has voted yet. A founder that answered with another disk
// has lost its founder's disk, or never claimed it.
func mayFoundersStart(founders []hingeids.HostID, disks map[hingeids.HostID]hingeids.Incarnation) bool {
	answered, silent := 0, 0
	for _, h := range founders {
		switch disk, found := disks[h]; {
		case !found:
			silent++
		case disk == hingejournal.FoundersDisk:
			answered++
		}
	}
	return max(answered, silent) > len(founders)/2
}

func (g *Group) queryBootstrapState(ctx context.Context, h hingeids.HostID, round uint64) (bootstrapState, error) {
	if h == g.settings.Self {
		return runInLoop(ctx, g, func(time.Time) bootstrapState {
			return g.member.bootstrapState(round)
		})
	}
	callCtx, stop := context.WithTimeout(ctx, g.settings.ElectionTimeout/2)
	defer stop()
	b, err := g.link.Call(callCtx, h, g.method("bootstrapState"), encode(bootstrapQuery{
		Round: round,
	}))
	if err != nil {
		return bootstrapState{}, err
	}
	var s bootstrapState
	return s, cbor.Unmarshal(b, &s)
}

func (g *Group) onBootstrapQuery(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var q bootstrapQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode bootstrap query")
	}
	s, err := runInLoop(ctx, g, func(time.Time) bootstrapState {
		return g.member.bootstrapState(q.Round)
	})
	return encode(s), err
}

// bootstrapState answers a round, and revokes the answers to earlier ones.
func (m *member) bootstrapState(round uint64) bootstrapState {
	m.bootstrapRound = round
	s := m.log.Status()
	return bootstrapState{
		Member: m.self,
		Started: s.LastIndex > 1 || s.Term > foundersTerm || !s.Leader.IsZero() || m.log.HasStaleDisk() ||
			m.group.settings.IsStarted != nil && m.group.settings.IsStarted(),
		Stored:   m.stored.Snapshot.At.Term,
		Founders: m.founders,
		Hosts:    sorted(m.group.settings.Hosts),
	}
}

// bootstrapLate stores the first state at the others, then here. If this host is lost in between, one that has stored it
// sends it to the rest. A host that was suspended since the round began stores nothing.
func (g *Group) bootstrapLate(ctx context.Context, began time.Time, b lateBootstrap) {
	if g.settings.Clock().Sub(began) > g.settings.ElectionTimeout {
		return
	}
	// A founder that has stored it votes for no founder any more, and one that has voted refuses it. So it comes first.
	voters := slices.Clone(b.Members.Voters)
	slices.SortStableFunc(voters, func(x, y hingelog.Member) int {
		return cmp.Compare(x.Disk, y.Disk)
	})
	for _, m := range voters {
		if m.Host != g.settings.Self && g.sendLateBootstrap(ctx, m.Host, b) != nil {
			return
		}
	}
	_, _ = runInLoop(ctx, g, func(now time.Time) error {
		return g.member.storeLateBootstrap(now, b)
	})
}

func (g *Group) sendLateBootstrap(ctx context.Context, h hingeids.HostID, b lateBootstrap) error {
	callCtx, stop := context.WithTimeout(ctx, g.settings.ElectionTimeout)
	defer stop()
	_, err := g.link.Call(callCtx, h, g.method("bootstrapLate"), encode(b))
	return err
}

func (g *Group) onLateBootstrap(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var b lateBootstrap
	if err := cbor.Unmarshal(body, &b); err != nil {
		return nil, eris.Wrap(err, "decode late bootstrap")
	}
	failed, err := runInLoop(ctx, g, func(now time.Time) error {
		return g.member.storeLateBootstrap(now, b)
	})
	if err != nil {
		return nil, err
	}
	return nil, failed
}

// storeLateBootstrap returns an error unless this host holds no group and its disk is one of the voters.
func (m *member) storeLateBootstrap(now time.Time, b lateBootstrap) error {
	s := m.log.Status()
	switch {
	case s.LastIndex > 1 || s.Term > foundersTerm || !s.Leader.IsZero():
		return eris.New("late bootstrap refused: this host holds a group")
	case !b.Held && b.Round != m.bootstrapRound:
		return eris.New("late bootstrap refused: this host has answered another round since")
	case !b.Members.HasVoter(m.self):
		return eris.New("late bootstrap refused: this host's disk isn't among the voters")
	}
	if err := m.storeBootstrap(now, lateTerm, b.Members); err != nil {
		return err
	}
	return m.startLog(now)
}

// holdsLateBootstrap reports whether this disk holds the first state of a late bootstrap and nothing else.
func (m *member) holdsLateBootstrap() bool {
	return m.stored.Snapshot.At.Term >= lateTerm && m.log.Status().LastIndex == 1
}

// propagateLateBootstrap sends the first state that this host has stored to the other voters.
func (g *Group) propagateLateBootstrap(ctx context.Context) {
	members, err := runInLoop(ctx, g, func(time.Time) hingelog.Members {
		if !g.member.holdsLateBootstrap() {
			return hingelog.Members{}
		}
		return g.member.stored.Snapshot.Members
	})
	if err != nil {
		return
	}
	for _, m := range members.Voters {
		if m != g.Status().Self {
			// A host that has it already refuses it. Others are sent it again while there is no leader.
			_ = g.sendLateBootstrap(ctx, m.Host, lateBootstrap{
				Held:    true,
				Members: members,
			})
		}
	}
}
