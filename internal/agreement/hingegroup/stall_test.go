package hingegroup

import (
	"testing"
	"time"
)

// stall makes syncs that start within the next millisecond take the given duration, as on a
// disk whose controller hangs.
func (m *memoryDisk) stall(duration time.Duration) {
	m.syncTime.Store(int64(duration))
	go func() {
		time.Sleep(time.Millisecond)
		m.syncTime.Store(0)
	}()
}

// A leader whose disk stalls must be replaced within two seconds, although its process
// still answers, and no accepted change may be lost.
func TestLeaderWhoseDiskStallsIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.mustChange("quiberon-2", 1)
		stalled := c.leader()
		stalled.disk.stall(5 * time.Second)
		start := time.Now()
		_, err := c.change(stalled.id, 2)
		if err == nil {
			t.Error("a change was accepted while the leader's disk was stalled")
		}
		if elapsed := time.Since(start); elapsed > 2500*time.Millisecond {
			t.Errorf("no answer for %v", elapsed)
		}
		time.Sleep(2*time.Second - time.Since(start))
		if c.leader() == stalled {
			t.Fatal("the host with the stalled disk still leads")
		}
		c.mustChange("quiberon-2", 3)
		accepted := c.newestView().Revision
		time.Sleep(5 * time.Second)
		c.checkRevisions(accepted)
		c.mustChange(stalled.id, 4)
	})
}

// With two of three disks stalled, no accepted change may be lost, and the group must
// accept changes again once the disks answer.
func TestTwoStalledDisksLoseNothing(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.mustChange("quiberon-2", 1)
		for _, id := range diskHosts[:2] {
			c.hosts[id].disk.stall(4 * time.Second)
		}
		accepted := 0
		for i := range 4 {
			if _, err := c.change("quiberon-2", 10+i); err == nil {
				accepted++
			}
		}
		time.Sleep(6 * time.Second)
		c.mustChange("quiberon-2", 20)
		if got := int(c.newestView().Revision); got < 2+accepted {
			t.Errorf("revision %d after %d accepted changes", got, 2+accepted)
		}
		time.Sleep(time.Second)
		c.checkRevisions(c.newestView().Revision)
	})
}

// If the leader is killed while the disk of another voter is stalled, a new leader must be
// elected once that disk answers, and no accepted change may be lost.
func TestElectionCompletesAfterStalledDiskRecovers(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.mustChange("quiberon-2", 1)
		follower := c.follower()
		dead := c.kill(c.leader().id)
		follower.disk.stall(3 * time.Second)
		time.Sleep(6 * time.Second)
		c.mustChange("quiberon-2", 2)
		c.start(dead.id, dead.disk)
		time.Sleep(2 * time.Second)
		c.checkRevisions(2)
	})
}
