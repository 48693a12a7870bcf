package hingelog

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var (
	memberA = Member{
		Host: "a",
		Disk: 1,
	}
	memberB = Member{
		Host: "b",
		Disk: 1,
	}
	memberC = Member{
		Host: "c",
		Disk: 1,
	}
	memberD = Member{
		Host: "d",
		Disk: 1,
	}
)

// The leader has term 4 and holds an entry of term 2 that isn't known to be
// committed.
func newTestLeader(t *testing.T) (*Log, time.Time) {
	t.Helper()
	now := simStart
	l := New(now, Settings{
		Self:              memberA,
		ElectionTimeout:   DefaultElectionTimeout,
		HeartbeatInterval: DefaultHeartbeatInterval,
	}, DurableState{
		HardState: HardState{
			Term: 3,
		},
		Snapshot: Snapshot{
			At: Position{
				Term:  1,
				Index: 1,
			},
			Members: Members{Voters: []Member{memberA, memberB, memberC}},
		},
		BasePosition: Position{
			Term:  1,
			Index: 1,
		},
		Entries: []Entry{{
			Term:  2,
			Index: 2,
			Data:  []byte("old"),
		}},
	})
	answer := func(m Message) {
		m.From, m.To, m.Granted = memberB, memberA, true
		l.Step(now, m)
		l.DrainOutput()
		l.MarkSynced(now)
	}
	answer(Message{
		Kind:  CheckInResponse,
		Round: l.checkInRound,
	})
	now = now.Add(3 * DefaultElectionTimeout)
	l.Tick(now)
	answer(Message{
		Kind: PreVoteResponse,
		Term: 4,
	})
	answer(Message{
		Kind: VoteResponse,
		Term: 4,
	})
	if !l.Status().IsLeader {
		t.Fatal("member didn't become leader")
	}
	return l, now
}

func confirm(l *Log, now time.Time, i Index) {
	l.Step(now, Message{
		Kind: AppendResponse,
		From: memberB,
		To:   memberA,
		Term: 4,
		At: Position{
			Index: i,
		},
		Granted: true,
		SentAt:  int64(now.Sub(l.started)),
	})
	l.DrainOutput()
	l.MarkSynced(now)
}

// Guards against committing an entry of an earlier term by counting replicas: a
// member without it could still be elected and replace it.
func TestEntryOfAnEarlierTermIsNotCommittedByCounting(t *testing.T) {
	l, now := newTestLeader(t)
	confirm(l, now, 2)
	early := l.Status().Commit
	confirm(l, now, 3)
	if diff := cmp.Diff([]Index{1, 3}, []Index{early, l.Status().Commit}); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against concurrent membership changes and against promoting a learner that
// lacks entries: either could make two quorums without a common member.
func TestMembersChangeOneStepAtATime(t *testing.T) {
	l, now := newTestLeader(t)
	add := Change{
		Kind:   AddLearner,
		Member: memberD,
	}
	promote := Change{
		Kind:   Promote,
		Member: memberD,
	}
	remove := Change{
		Kind:   Remove,
		Member: memberC,
	}
	errs := []error{
		l.ChangeMembers(now, add),
	}
	confirm(l, now, 3)
	errs = append(errs, l.ChangeMembers(now, add), l.ChangeMembers(now, remove))
	confirm(l, now, 4)
	errs = append(errs, l.ChangeMembers(now, promote))
	want := []error{ErrNotLeader, nil, ErrChangePending, ErrLearnerNotCaughtUp}
	if diff := cmp.Diff(want, errs, cmpopts.EquateErrors()); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against removing a returned host at once: its silence before its removal must
// not count, or it joins and is removed again and again.
func TestReturnedLearnerIsNotRemovedForItsEarlierSilence(t *testing.T) {
	l, now := newTestLeader(t)
	l.settings.Voters = 3
	l.settings.SilenceTimeout = testSilence
	confirm(l, now, 3)
	add := Change{
		Kind:   AddLearner,
		Member: memberD,
	}
	learnerAfter := func(silence time.Duration) bool {
		now = now.Add(silence)
		confirm(l, now, l.last().Index)
		l.Tick(now)
		confirm(l, now, l.last().Index)
		return l.Status().Members.Has(memberD)
	}
	if err := l.ChangeMembers(now, add); err != nil {
		t.Fatal(err)
	}
	before := []bool{
		learnerAfter(0),
		learnerAfter(lostLearnerFactor*testSilence + time.Second),
	}
	if err := l.ChangeMembers(now, add); err != nil {
		t.Fatal(err)
	}
	after := []bool{
		learnerAfter(0),
		learnerAfter(testSilence),
		learnerAfter(lostLearnerFactor*testSilence + time.Second),
	}
	if diff := cmp.Diff([][]bool{{true, false}, {true, true, false}}, [][]bool{before, after}); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a learner that names a leader which it no longer hears: hosts that ask it would go on
// sending requests to a leader that is cut off from them.
func TestLearnerForgetsASilentLeader(t *testing.T) {
	now := simStart
	members := Members{
		Voters:   []Member{memberA, memberB, memberC},
		Learners: []Member{memberD},
	}
	l := New(now, Settings{
		Self:              memberD,
		ElectionTimeout:   DefaultElectionTimeout,
		HeartbeatInterval: DefaultHeartbeatInterval,
	}, DurableState{
		HardState: HardState{
			Term: 1,
		},
		Snapshot: Snapshot{
			At: Position{
				Term:  1,
				Index: 1,
			},
			Members: members,
		},
		BasePosition: Position{
			Term:  1,
			Index: 1,
		},
	})
	for _, m := range members.Voters {
		l.Step(now, Message{
			Kind:    CheckInResponse,
			From:    m,
			To:      memberD,
			Granted: true,
			Round:   l.checkInRound,
		})
	}
	leaderAfter := func(silence time.Duration) Member {
		l.Step(now, Message{
			Kind: Append,
			From: memberA,
			To:   memberD,
			Term: 1,
			At: Position{
				Term:  1,
				Index: 1,
			},
		})
		now = now.Add(silence)
		l.Tick(now)
		return l.Status().Leader
	}
	got := []Member{
		leaderAfter(DefaultHeartbeatInterval),
		leaderAfter(2 * DefaultElectionTimeout),
		leaderAfter(DefaultHeartbeatInterval),
	}
	if diff := cmp.Diff([]Member{memberA, {}, memberA}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against slow elections: a killed leader must be replaced within the limit,
// with clocks 4 % fast or slow.
func TestLeaderIsReplacedWithinTwoSeconds(t *testing.T) {
	const limit = 2 * time.Second
	worst, sum, tries := time.Duration(0), time.Duration(0), 0
	for seed := range uint64(300) {
		c := newCluster(seed, "a", "b", "c")
		c.run(3*time.Second + time.Duration(seed)*7*time.Millisecond)
		c.kill(c.activeLeader())
		killed := c.now
		for c.activeLeader() == nil && c.now < killed+2*limit {
			c.run(simStep)
		}
		elapsed := c.now - killed
		worst = max(worst, elapsed)
		sum += elapsed
		tries++
	}
	t.Logf("%d kills: mean %v, worst %v", tries, sum/time.Duration(tries), worst)
	if worst > limit {
		t.Errorf("worst %v, limit %v", worst, limit)
	}
}

// Guards against a crash or a change of committed entries on invalid messages, as
// from a faulty peer or one of another version.
func FuzzStep(f *testing.F) {
	for _, m := range []Message{
		{
			Kind: Append,
			Term: 9,
			At: Position{
				Term:  4,
				Index: 3,
			},
			Entries: []Entry{{
				Term:  9,
				Index: 2,
			}},
		},
		{
			Kind: Append,
			Term: 9,
			At: Position{
				Term:  4,
				Index: 3,
			},
			Entries: []Entry{{
				Term:  9,
				Index: 0,
			}},
		},
		{
			Kind: InstallSnapshot,
			Term: 9,
			Snapshot: &Snapshot{
				At: Position{
					Term:  9,
					Index: 7,
				},
			},
		},
		{
			Kind: AppendResponse,
			Term: 4,
			At: Position{
				Index: 1 << 62,
			},
			Granted: true,
		},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		l, now := newTestLeader(t)
		confirm(l, now, 3)
		for _, b := range [][]byte{first, second} {
			var m Message
			if cbor.Unmarshal(b, &m) != nil {
				return
			}
			m.From, m.To = memberB, memberA
			l.Step(now, m)
			l.Tick(now)
			l.DrainOutput()
			l.MarkSynced(now)
			if l.Status().Commit < 3 || l.Status().LastIndex < 3 {
				t.Fatal("a committed entry was lost")
			}
			if term, known := l.termAt(2); known && term != 2 {
				t.Fatal("a committed entry was replaced")
			}
		}
	})
}
