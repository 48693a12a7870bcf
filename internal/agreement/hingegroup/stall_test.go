package hingegroup

import (
	"testing"
	"time"
)

// stall has a disk confirm nothing for a while, as one does whose controller hangs; what was asked meanwhile is done afterwards.
func (m *memory) stall(lasts time.Duration) {
	m.syncTime.Store(int64(lasts))
	go func() {
		time.Sleep(time.Millisecond)
		m.syncTime.Store(0)
	}()
}

// The leader's disk hangs for five seconds in the middle of a change. Its process lives and answers, so that nobody sees a failure; but it
// can't accept anything. Operators go on at another leader within two seconds, and what was accepted before stays.
func TestLeaderWhoseDiskStallsIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T, h *hosts) {
		h.mustChange("quiberon-2", 1)
		stalled := h.leader()
		stalled.disk.stall(5 * time.Second)
		began := time.Now()
		_, err := h.change(stalled.id, 2)
		if err == nil {
			t.Error("a change was accepted that no quorum holds in time")
		}
		if took := time.Since(began); took > 2500*time.Millisecond {
			t.Errorf("the operator heard nothing for %v", took)
		}
		time.Sleep(2*time.Second - time.Since(began))
		if h.leader() == stalled {
			t.Fatal("the host with the stalled disk still leads")
		}
		h.mustChange("quiberon-2", 3)
		accepted := h.newest().Revision
		time.Sleep(5 * time.Second)
		h.wantAll(accepted)
		h.mustChange(stalled.id, 4)
	})
}

// Two of three disks hang at once. No change can be accepted, and operators are told so; nothing that was accepted is lost, and the
// group goes on by itself once the disks do.
func TestTwoStalledDisksLoseNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, h *hosts) {
		h.mustChange("quiberon-2", 1)
		for _, id := range diskHosts[:2] {
			h.all[id].disk.stall(4 * time.Second)
		}
		accepted := 0
		for i := range 4 {
			if _, err := h.change("quiberon-2", 10+i); err == nil {
				accepted++
			}
		}
		time.Sleep(6 * time.Second)
		h.mustChange("quiberon-2", 20)
		if got := int(h.newest().Revision); got < 2+accepted {
			t.Errorf("revision %d after %d accepted changes", got, 2+accepted)
		}
		time.Sleep(time.Second)
		h.wantAll(h.newest().Revision)
	})
}

// The leader is killed while the disk of one of the two others hangs, so that it can't give its vote. Callers wait for a leader until the
// disk is back, not for longer, and then nothing is missing.
func TestElectionWaitsForAStalledDiskAndNoLonger(t *testing.T) {
	inBubble(t, func(t *testing.T, h *hosts) {
		h.mustChange("quiberon-2", 1)
		follower := h.follower()
		dead := h.kill(h.leader().id)
		follower.disk.stall(3 * time.Second)
		time.Sleep(6 * time.Second)
		h.mustChange("quiberon-2", 2)
		h.start(dead.id, dead.disk)
		time.Sleep(2 * time.Second)
		h.wantAll(2)
	})
}
