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
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// diskState is the answer to the method "empty".
type diskState struct {
	Member hingelog.Member `cbor:"1,keyasint"`
	Empty  bool            `cbor:"2,keyasint"`
}

// tryBootstrap implements rule 3.
func (g *Group) tryBootstrap(ctx context.Context) bool {
	hosts := slices.Clone(g.settings.Hosts)
	slices.Sort(hosts)
	if g.settings.Open || len(hosts) == 0 {
		return false
	}
	var voters []hingelog.Member
	for _, h := range hosts {
		state, err := g.queryDiskState(ctx, h)
		// Only one host bootstraps: the first that may.
		if err != nil || !state.Empty || h < g.settings.Self {
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
	if err := m.storeBootstrap(now, foundersTerm, members); err != nil {
		return err
	}
	return m.startLog(now)
}

// found implements rule 7 on a disk that holds nothing yet.
func (m *member) found(now time.Time) error {
	if len(m.founders) == 0 || m.stored.Last().Index > 0 {
		return nil
	}
	var members hingelog.Members
	for _, h := range m.founders {
		members.Voters = append(members.Voters, hingelog.Member{
			Host: h,
			Disk: hingejournal.FoundersDisk,
		})
	}
	return m.storeBootstrap(now, foundersTerm, members)
}

// foundersTerm is the term of the first state that founders store.
const foundersTerm hingelog.Term = 1

// storeBootstrap stores the group's first state, which is the same on all hosts that have the same members.
func (m *member) storeBootstrap(now time.Time, term hingelog.Term, members hingelog.Members) error {
	d := hingelog.DurableState{
		HardState: hingelog.HardState{
			Term: term,
		},
		Snapshot: hingelog.Snapshot{
			At: hingelog.Position{
				Term:  term,
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
		m.recordFailure(now, err)
		return err
	}
	m.stored = d
	m.group.settings.Recorder.Record(now, hingeevents.GroupFounded, hingeevents.Fields{
		Count:  int64(len(members.Voters)),
		Detail: m.group.settings.Name,
	})
	return nil
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
