package hingegroup

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

func numberedMember(host hingeids.HostID, disk hingeids.Incarnation) hingelog.Member {
	return hingelog.Member{
		Host: host,
		Disk: disk,
	}
}

// Without a quorum, the diagnosis must tell a voter that is only silent from one whose disk is gone:
// only the first can restore the group.
func TestDiagnosisTellsSilentFromLostVoters(t *testing.T) {
	now := time.Unix(1000, 0)
	d := diagnose(now, Status{
		Status: hingelog.Status{
			Self:      numberedMember("core-1", 1),
			LastIndex: 9,
			Members: hingelog.Members{
				Voters: []hingelog.Member{
					numberedMember("core-1", 1),
					numberedMember("core-2", 1),
					numberedMember("core-3", 1),
				},
				Learners: []hingelog.Member{
					numberedMember("core-4", 1),
				},
			},
		},
		Applied: 8,
	}, []Peer{
		{
			Member:    numberedMember("core-2", 1),
			HeardAt:   now.Add(-4 * time.Second),
			LastIndex: 9,
		},
		{
			Member:  numberedMember("core-3", 2),
			HeardAt: now.Add(-100 * time.Millisecond),
		},
		{
			Member:    numberedMember("core-4", 1),
			HeardAt:   now.Add(-200 * time.Millisecond),
			LastIndex: 7,
		},
	}, 1500*time.Millisecond)
	if d.Suspect != NoLeader || d.HasQuorum {
		t.Errorf("suspect %q, quorum %v", d.Suspect, d.HasQuorum)
	}
	for i, want := range []MemberState{Answering, Silent, Replaced} {
		if got := d.Voters[i].State; got != want {
			t.Errorf("%s is %q, want %q", d.Voters[i].Member.Host, got, want)
		}
	}
	if m, found := d.Successor(); !found || m.Member.Host != "core-4" || m.LastIndex != 7 {
		t.Errorf("mender %+v, %v", m, found)
	}
	for _, want := range []string{
		"no leader", "core-2 silent for 4s at index 9", "core-3 lost", "learners: core-4 answering at index 7",
		"other hosts: core-3", "start again, with its disk, a voter of: core-2 (lost for good: core-3)",
	} {
		if !strings.Contains(d.String(), want) {
			t.Errorf("%q lacks %q", d, want)
		}
	}
}

// With a quorum, the diagnosis must name the learner that is nearest to the vote.
func TestDiagnosisNamesNextForTheVote(t *testing.T) {
	now := time.Unix(1000, 0)
	status := Status{
		Status: hingelog.Status{
			Self: numberedMember("core-1", 1),
			Members: hingelog.Members{
				Voters: []hingelog.Member{
					numberedMember("core-1", 1),
					numberedMember("core-2", 1),
					numberedMember("core-3", 1),
				},
				Learners: []hingelog.Member{
					numberedMember("core-4", 1),
					numberedMember("core-5", 1),
					numberedMember("core-6", 1),
				},
			},
			IsLeader: true,
			Leader:   numberedMember("core-1", 1),
		},
		LeaseUntil: now.Add(time.Second),
	}
	var heard []Peer
	for i, host := range []hingeids.HostID{"core-2", "core-4", "core-5"} {
		heard = append(heard, Peer{
			Member:    numberedMember(host, 1),
			HeardAt:   now,
			LastIndex: hingelog.Index(i),
		})
	}
	d := diagnose(now, status, heard, time.Second)
	if d.Suspect != "" || !d.HasQuorum {
		t.Errorf("suspect %q, quorum %v", d.Suspect, d.HasQuorum)
	}
	if got, want := d.Advice(), "next to get a vote: core-5 at index 2"; !strings.Contains(got, want) {
		t.Errorf("advice %q lacks %q", got, want)
	}
	status.LeaseUntil = now
	if d := diagnose(now, status, heard, time.Second); d.Suspect != LeaderWithoutLease {
		t.Errorf("suspect %q after the lease", d.Suspect)
	}
}

// The hosts that are remembered must stay few, and a late message of a lost disk must not hide the new one.
func TestPeersAreBounded(t *testing.T) {
	var p peers
	start := time.Unix(1000, 0)
	for i := range 10 * maxPeers {
		p.record(start.Add(time.Duration(i)*time.Second), numberedMember(hingeids.HostID(fmt.Sprint(i)), 1), 0)
	}
	if n := len(p.all()); n != maxPeers {
		t.Errorf("%d hosts are remembered, want %d", n, maxPeers)
	}
	var q peers
	q.record(start, numberedMember("core-1", 2), 5)
	q.record(start.Add(time.Second), numberedMember("core-1", 1), 9)
	if x := q.all(); len(x) != 1 || x[0].Member.Disk != 2 || x[0].LastIndex != 5 {
		t.Errorf("remembered %+v", x)
	}
}

// unavailableAt reads at a host and returns why that failed.
func (g *openGroup) unavailableAt(at hingeids.HostID) *Unavailable {
	g.t.Helper()
	_, err := g.read(at)
	var u *Unavailable
	if !errors.As(err, &u) {
		g.t.Fatalf("the read at %s failed with %v, want a reason", at, err)
	}
	if v := hingeverdict.Of(err); v == hingeverdict.Ran {
		g.t.Fatalf("the read at %s failed with verdict %v", at, v)
	}
	return u
}

// A failed read must state the true reason. One text for all states told nobody why reads failed.
func TestFailedReadStatesItsReason(t *testing.T) {
	other := func(g *openGroup) (leader, a, b hingeids.HostID) {
		leader = g.hosts[seeds[0]].group.Leader()
		var rest []hingeids.HostID
		for _, id := range seeds {
			if id != leader {
				rest = append(rest, id)
			}
		}
		return leader, rest[0], rest[1]
	}
	t.Run("no leader", func(t *testing.T) {
		withOpenGroup(t, func(t *testing.T, g *openGroup) {
			leader, a, b := other(g)
			g.kill(leader)
			g.kill(a)
			time.Sleep(5 * time.Second)
			u := g.unavailableAt(b)
			if u.Reason != NoLeader || u.For < 3*time.Second || u.For > 5*time.Second {
				t.Errorf("got %v", u)
			}
			d := g.hosts[b].group.Diagnose(time.Now())
			if d.Suspect != NoLeader || d.HasQuorum {
				t.Errorf("diagnosis %v", d)
			}
			for _, m := range d.Voters {
				if want := map[bool]MemberState{true: Answering, false: Silent}[m.Member.Host == b]; m.State != want {
					t.Errorf("%s is %q, want %q", m.Member.Host, m.State, want)
				}
			}
		})
	})
	t.Run("leader unreachable", func(t *testing.T) {
		withOpenGroup(t, func(t *testing.T, g *openGroup) {
			leader, a, _ := other(g)
			g.network.Cut(a, leader)
			u := g.unavailableAt(a)
			if u.Reason != LeaderUnreachable || u.Leader != leader {
				t.Errorf("got %v", u)
			}
			if len(u.Asked) == 0 || u.Asked[0] != leader {
				t.Errorf("asked %v, want first %s", u.Asked, leader)
			}
		})
	})
	t.Run("leader without lease", func(t *testing.T) {
		withOpenGroup(t, func(t *testing.T, g *openGroup) {
			leader, a, b := other(g)
			g.network.Cut(a, leader)
			g.network.Cut(b, leader)
			// The lease ends shortly before the leader steps down.
			for range 200 {
				time.Sleep(5 * time.Millisecond)
				if _, err := g.read(leader); err == nil {
					continue
				}
				if u := g.unavailableAt(leader); u.Reason != LeaderWithoutLease || u.Leader != leader {
					t.Errorf("got %v", u)
				}
				return
			}
			t.Error("a leader without a quorum still answered after a second")
		})
	})
	t.Run("copy behind", func(t *testing.T) {
		withOpenGroup(t, func(t *testing.T, g *openGroup) {
			_, a, b := other(g)
			g.hosts[a].disk.stall(4 * time.Second)
			g.mustChange(b, 1)
			u := g.unavailableAt(a)
			if u.Reason != CopyBehind || u.Needed != u.Applied+1 {
				t.Errorf("got %v", u)
			}
			if u := g.unavailableAt(a); u.Reason != CopyBehind || u.For < 900*time.Millisecond {
				t.Errorf("the second failed read says %v", u)
			}
		})
	})
}

// A host that was never a member is sent no messages. After a failed read it must still tell those that answer
// from those that don't.
func TestDiagnosisCountsAnswersToReads(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-1")
		g.kill("core-2")
		time.Sleep(2 * time.Second)
		g.startUnwritable("core-4", emptyDisk())
		time.Sleep(2 * time.Second)
		if _, err := g.readState("core-4"); err == nil {
			t.Fatal("a read was answered without a quorum")
		}
		d := g.hosts["core-4"].group.Diagnose(time.Now())
		found := false
		for _, m := range d.Others {
			found = found || m.Member.Host == "core-3" && m.State == Answering && m.LastIndex > 1
		}
		if !found {
			t.Errorf("core-3 answered and isn't in %v", d)
		}
	})
}
