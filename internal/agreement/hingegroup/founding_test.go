package hingegroup

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

// withUnstartedGroup runs f with a group of which no host has started.
func withUnstartedGroup(t *testing.T, f func(g *openGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &openGroup{
			t:       t,
			seeds:   seeds,
			network: hingefake.NewNetwork(),
			hosts:   make(map[hingeids.HostID]*openHost),
		}
		defer func() {
			for id := range g.hosts {
				g.kill(id)
			}
		}()
		f(g)
	})
}

// Guards against a system that nobody founds any more once all processes were killed during its first start: at the second
// start no host is told any longer that it is the first.
func TestFoundersKilledDuringTheFirstStart(t *testing.T) {
	for _, late := range seeds {
		withUnstartedGroup(t, func(g *openGroup) {
			disks := map[hingeids.HostID]*fillableDisk{
				late: {
					memoryDisk: newMemoryDisk(),
				},
			}
			for _, id := range seeds {
				if id != late {
					disks[id] = g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, true).disk
				}
			}
			time.Sleep(100 * time.Millisecond)
			for id := range g.hosts {
				g.kill(id)
			}
			time.Sleep(500 * time.Millisecond)
			for _, id := range seeds {
				g.start(id, disks[id], false)
			}
			time.Sleep(contactTime)
			g.mustChange(late, 1)
		})
	}
}

// Guards against a system that isn't founded because one of the configured hosts is lost for good before it, and is replaced at an
// address that the others don't know.
func TestFounderLostBeforeTheFirstLeader(t *testing.T) {
	for _, lost := range seeds {
		withUnstartedGroup(t, func(g *openGroup) {
			for _, id := range seeds {
				if id != lost {
					g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, true)
				}
			}
			time.Sleep(200 * time.Millisecond)
			g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
			time.Sleep(contactTime)
			g.mustChange("core-4", 1)
			time.Sleep(DefaultCatchUp)
			if s := g.hosts["core-4"].group.Status(); !s.Members.HasVoter(s.Self) {
				g.t.Fatalf("the replacement of %s has no vote: %+v", lost, s.Members)
			}
		})
	}
}

// startEmpty starts all configured hosts with empty disks, none of them told that the system starts for the first time.
func (g *openGroup) startEmpty() map[hingeids.HostID]*fillableDisk {
	disks := make(map[hingeids.HostID]*fillableDisk)
	for _, id := range seeds {
		disks[id] = g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, false).disk
	}
	return disks
}

// Guards against a system that nobody founds because all processes were killed during the first start before any of them had
// claimed its disk.
func TestFoundersKilledBeforeTheyClaimTheirDisks(t *testing.T) {
	withUnstartedGroup(t, func(g *openGroup) {
		g.startEmpty()
		time.Sleep(contactTime)
		g.mustChange(seeds[0], 1)
	})
}

// Guards against a second group beside one that these hosts can't see: a follower of theirs has a configuration.
func TestNoLateBootstrapBesideAGroup(t *testing.T) {
	withUnstartedGroup(t, func(g *openGroup) {
		g.isStarted = func() bool {
			return true
		}
		g.startEmpty()
		time.Sleep(10 * time.Second)
		for id, x := range g.hosts {
			if s := x.group.Status(); s.LastIndex > 0 {
				g.t.Errorf("%s holds a group: %+v", id, s.Status)
			}
		}
	})
}

// Guards against a closed group that is never bootstrapped because a disk was full at that moment, also after it has space again.
func TestFullDiskWhileAClosedGroupIsBootstrapped(t *testing.T) {
	for _, full := range seeds {
		withUnstartedGroup(t, func(g *openGroup) {
			g.closed = true
			last := seeds[(slices.Index(seeds, full)+1)%len(seeds)]
			for _, id := range seeds {
				if id != last {
					g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, true)
				}
			}
			g.hosts[full].disk.full.Store(true)
			g.start(last, &fillableDisk{memoryDisk: newMemoryDisk()}, true)
			time.Sleep(2 * time.Second)
			g.hosts[full].disk.full.Store(false)
			time.Sleep(contactTime)
			g.mustChange(full, 1)
		})
	}
}

// Guards against a second group: two of three configured hosts lose their disks while the third, which holds the group, doesn't
// answer them. They are more than half of those that could found one.
func TestNoLateBootstrapWithoutAnAnswerOfEachHost(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange(seeds[0], 1)
		holder := g.hosts[seeds[2]].disk
		for _, id := range seeds {
			g.kill(id)
		}
		for _, id := range seeds[:2] {
			g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		}
		time.Sleep(10 * time.Second)
		g.start(seeds[2], holder, false)
		time.Sleep(contactTime)
		for _, id := range seeds[:2] {
			if s := g.hosts[id].group.Status(); s.LastIndex > 0 {
				t.Errorf("%s founded another group: %+v", id, s.Status)
			}
		}
	})
}
