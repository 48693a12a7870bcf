package hingegroup

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// staleDisk lets a follower confirm a change, and starts it with a copy of its disk from before. The
// copy is returned. On request another host is down from before that start, and returned as well.
func (c *cluster) staleDisk(withoutAnother bool) (x, down *host, copied *memoryDisk) {
	x = c.follower()
	c.mustChange(x.id, 1)
	time.Sleep(time.Second)
	copied = newMemoryDisk()
	copied.files = maps.Clone(c.kill(x.id).disk.files)
	again := c.start(x.id, x.disk)
	time.Sleep(time.Second)
	c.mustChange(x.id, 2)
	time.Sleep(time.Second)
	c.kill(again.id)
	if withoutAnother {
		down = c.kill(c.follower().id)
	}
	return c.start(x.id, copied), down, copied
}

// Guards against a host that votes for, or confirms, what its disk has forgotten, and against one that stays away until
// an operator moves its folder: a further loss would then leave no quorum.
func TestStaleDiskComesBackAsANewOne(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		x, _, _ := c.staleDisk(false)
		old := x.group.Status().Self
		began := time.Now()
		for !c.leader().group.Status().Members.HasVoter(x.group.Status().Self) || x.group.Status().Self == old {
			time.Sleep(10 * time.Millisecond)
			if time.Since(began) > DefaultCatchUp {
				t.Fatalf("no voter after %v: %+v", DefaultCatchUp, c.leader().group.Status().Members)
			}
			if s := x.group.Status(); s.Self == old && (s.IsLeader || !s.Leader.IsZero()) {
				t.Fatalf("the stale disk takes part in the group: %+v", s.Status)
			}
		}
		t.Logf("a voter again after %v", time.Since(began))
		if members := c.leader().group.Status().Members; members.Has(old) {
			t.Errorf("the stale disk is still a member: %+v", members)
		}
		time.Sleep(time.Second)
		c.checkRevisions(2)
		// The next loss is tolerated again.
		c.kill(c.leader().id)
		time.Sleep(3 * time.Second)
		c.mustChange(x.id, 3)
	})
}

// Guards against a disk that is emptied although no quorum is left without it: what it holds may be the newest copy that an
// operator can still use.
func TestStaleDiskIsKeptWhileNoLeaderAnswers(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		x, down, copied := c.staleDisk(true)
		before := maps.Clone(copied.files)
		old := x.group.Status().Self
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(before, copied.files); diff != "" || !x.group.Status().StaleDisk {
			t.Fatalf("stale: %v, files changed: %s", x.group.Status().StaleDisk, diff)
		}
		c.start(down.id, down.disk)
		time.Sleep(2 * DefaultCatchUp)
		if s := x.group.Status(); s.Self == old || !c.leader().group.Status().Members.HasVoter(s.Self) {
			t.Fatalf("no voter once the others have a leader: %+v", s.Status)
		}
		c.checkRevisions(2)
	})
}
