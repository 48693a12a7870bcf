package hingelog

import (
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const testSilence = time.Second

// newClusterWithSpare returns a cluster of three voters and a learner d in a's zone, which replaces a voter
// that is silent.
func newClusterWithSpare(seed uint64) *cluster {
	c := newCluster(seed, "a", "b", "c")
	c.voters = 3
	c.silence = testSilence
	c.zones = map[hingeids.HostID]hingeids.Zone{
		"a": "zone-1",
		"b": "zone-2",
		"c": "zone-3",
		"d": "zone-1",
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	c.start(c.addNode(Member{
		Host: "d",
		Disk: 1,
	}))
	c.run(3 * time.Second)
	c.join()
	c.run(time.Second)
	return c
}

// While a voter that is cut off is replaced, another voter's disk is lost. The returning voter still has its
// disk, so the group must serve again; if the vote had been removed before its replacement was in force,
// the two disks that are left would never be a quorum.
func TestDiskLostAtAnyMomentOfAReplacement(t *testing.T) {
	for after := testSilence - 200*time.Millisecond; after < testSilence+600*time.Millisecond; after += simStep {
		c := newClusterWithSpare(uint64(after))
		l := c.activeLeader()
		cut, lost := c.nodes[0], c.nodes[1]
		if cut == l {
			cut = c.nodes[2]
		}
		if lost == l {
			lost = c.nodes[2]
		}
		c.propose(l, "kept")
		c.run(200 * time.Millisecond)
		c.cutOff(cut)
		c.run(after)
		c.loseDisk(lost)
		c.run(2 * time.Second)
		c.recoverAndCheck()
		if c.violation != "" {
			t.Errorf("disk lost %v after the cut: %s", after, c.violation)
		}
	}
}

// After a restart of all, hosts that gave their votes away must let the voters be elected: each of them would be
// elected, learn that it is no voter and step down, while nobody can read.
func TestFormerVotersDoNotDelayTheElection(t *testing.T) {
	const bound = 2 * time.Second
	for seed := range uint64(200) {
		c := newClusterWithSpare(seed)
		c.start(c.addNode(Member{
			Host: "e",
			Disk: 1,
		}))
		for _, h := range []hingeids.HostID{"c", "b", "a"} {
			c.join()
			c.run(time.Second)
			c.cutOff(c.host(h))
			c.run(3 * time.Second)
			clear(c.cutLinks)
			c.run(time.Second)
			c.propose(c.activeLeader(), "kept")
			c.run(200 * time.Millisecond)
		}
		for _, n := range c.nodes {
			c.kill(n)
		}
		c.run(time.Second)
		c.startAll()
		start := c.now
		for c.activeLeader() == nil && c.now-start < 10*time.Second && c.violation == "" {
			c.run(simStep)
		}
		if took := c.now - start; took > bound || c.violation != "" {
			t.Errorf("seed %d: leader after %v %s", seed, took, c.violation)
		}
	}
}

// While hosts are updated one by one, one that doesn't know replacements must not act by half of one: it could be
// elected by the new voters alone, beside a leader of the others.
func TestPreviousVersionGetsNoReplacement(t *testing.T) {
	for _, old := range []hingeids.HostID{"a", "b", "c", "d"} {
		c := newClusterWithSpare(1)
		n := c.host(old)
		n.previousVersion = true
		// The leader starts again, so that it hasn't heard of the host's version.
		l := c.activeLeader()
		c.kill(l)
		c.run(time.Second)
		c.start(l)
		c.run(2 * time.Second)
		for _, h := range []hingeids.HostID{"a", "b", "c"} {
			if c.host(h) != n {
				c.cutOff(c.host(h))
				break
			}
		}
		c.run(4 * time.Second)
		if old == "d" && c.members.HasVoter(n.self) {
			t.Errorf("%s got a vote by a replacement", old)
		}
		c.recoverAndCheck()
		n.previousVersion = false
		c.run(time.Second)
		c.recoverAndCheck()
		if c.violation != "" {
			t.Errorf("%s: %s", old, c.violation)
		}
	}
}

// While leaders change, the silence of a lost voter must go on counting. Otherwise its vote never moves, and the next
// lost disk leaves no quorum.
func TestLostVoteMovesAlthoughLeadersChange(t *testing.T) {
	for seed := range uint64(20) {
		c := newClusterWithSpare(seed)
		lost := c.nodes[seed%3]
		c.propose(c.activeLeader(), "kept")
		c.run(200 * time.Millisecond)
		c.kill(lost)
		for start := c.now; c.members.HasVoter(lost.self) && c.violation == ""; {
			if c.now-start > 4*time.Second {
				t.Errorf("seed %d: the lost host votes 4 s later: %v", seed, c.members)
				break
			}
			// Each leader loses its lease before the silence timeout is over.
			if l := c.activeLeader(); l != nil {
				c.run(testSilence * 3 / 10)
				c.cutOff(l)
				c.run(2 * DefaultElectionTimeout)
				clear(c.cutLinks)
			}
			c.run(simStep)
		}
		if c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
	}
}
