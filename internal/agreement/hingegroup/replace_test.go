package hingegroup

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// catchUpTime is the time after which the loss of a replaced host no longer counts: the next
	// disk may be lost from then on.
	catchUpTime = DefaultCatchUp
	// contactTime is the time within which the hosts serve again after the last fault.
	contactTime = 3 * time.Second
)

// gracePeriod is the time that a host has to stop.
const gracePeriod = 6 * time.Second

// stopInOrder stops a host as SIGTERM does.
func (g *openGroup) stopInOrder(id hingeids.HostID) {
	ctx, stop := context.WithTimeout(context.Background(), gracePeriod)
	defer stop()
	g.hosts[id].group.Retire(ctx)
	g.kill(id)
}

// read returns the version that a read at a host returns.
func (g *openGroup) read(at hingeids.HostID) (uint64, error) {
	ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer stop()
	if _, err := g.hosts[at].group.Read(ctx); err != nil {
		return 0, err
	}
	return uint64(g.hosts[at].machine.Documents().Load().Version), nil
}

// mustRead reads at each host.
func (g *openGroup) mustRead(t *testing.T, want uint64) {
	t.Helper()
	for id := range g.hosts {
		if v, err := g.read(id); v != want || err != nil {
			t.Errorf("read at %s: version %d, %v", id, v, err)
		}
	}
}

// wipe restarts a host with an empty disk.
func (g *openGroup) wipe(id hingeids.HostID) {
	g.kill(id)
	time.Sleep(time.Second)
	g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, false)
}

// A replaced host's vote must have moved to its replacement within the catch-up time of the settings.
// Otherwise the next lost disk, which is tolerated from then on, leaves no quorum and nobody can read.
func TestDiskLostAfterCatchUpOfReplacementLeavesQuorum(t *testing.T) {
	for _, replaced := range []string{"leader", "follower"} {
		for _, wiped := range seeds {
			for _, pause := range []time.Duration{200 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprint(replaced, " ", wiped, " ", pause), func(t *testing.T) {
					withOpenGroup(t, func(t *testing.T, g *openGroup) {
						g.mustChange("core-1", 1)
						gone := g.hosts["core-1"].group.Leader()
						if replaced == "follower" {
							gone = seeds[0]
							if gone == g.hosts["core-1"].group.Leader() {
								gone = seeds[1]
							}
						}
						if gone == wiped {
							return
						}
						g.kill(gone)
						time.Sleep(pause)
						g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
						time.Sleep(catchUpTime)
						g.wipe(wiped)
						time.Sleep(contactTime)
						g.mustRead(t, 1)
					})
				})
			}
		}
	}
}

// A host that is replaced by plan stops only once its replacement has had the catch-up time, so that the next
// disk may be lost at once. The vote must have moved before the host stops, or nobody can read.
func TestDiskLostAfterPlannedReplacementLeavesQuorum(t *testing.T) {
	for _, replaced := range seeds {
		for _, wiped := range seeds {
			if replaced == wiped {
				continue
			}
			t.Run(fmt.Sprint(replaced, " ", wiped), func(t *testing.T) {
				withOpenGroup(t, func(t *testing.T, g *openGroup) {
					g.mustChange("core-1", 1)
					g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
					time.Sleep(catchUpTime)
					g.stopInOrder(replaced)
					g.wipe(wiped)
					time.Sleep(contactTime)
					g.mustRead(t, 1)
				})
			})
		}
	}
}

// Hosts that stop at the same time must not pass their votes to one another: the group would wait for hosts
// that never return.
func TestStoppingHostsTakeNoVotes(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(catchUpTime)
		g.hosts["core-4"].group.Retire(t.Context())
		g.stopInOrder("core-1")
		if v := g.voters("core-2"); v["core-4"] {
			t.Fatalf("voters %v", v)
		}
	})
}

// A vote that has moved to another zone must move back once its zone has a host that is ready. Otherwise one zone
// has most votes, and nobody can read while that zone is lost.
func TestVotesReturnToTheirZone(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.zones = map[hingeids.HostID]hingeids.Zone{
			"core-1": "zone-1",
			"core-2": "zone-2",
			"core-3": "zone-3",
			"core-4": "zone-1",
			"core-5": "zone-2",
			"core-6": "zone-3",
		}
		g.mustChange("core-1", 1)
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(catchUpTime)
		away := g.kill("core-3")
		time.Sleep(catchUpTime)
		g.start("core-3", away.disk, false)
		g.start("core-5", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		g.start("core-6", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(catchUpTime)
		g.kill("core-1")
		g.kill("core-4")
		time.Sleep(contactTime)
		g.mustRead(t, 1)
	})
}

// A host with a new disk must reach a leader that it was told of although another contact is silent. Otherwise it
// has no vote for as long as that contact is silent, and the next loss leaves no quorum.
func TestLostDiskJoinsBesideASilentContact(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(catchUpTime)
		g.stopInOrder("core-2")
		g.lead(t, "core-4")
		g.network.Link("core-2")
		g.network.Suspend("core-2")
		g.wipe("core-1")
		time.Sleep(contactTime)
		g.mustRead(t, 1)
	})
}

// lead restarts the leader until it is the wanted host.
func (g *openGroup) lead(t *testing.T, wanted hingeids.HostID) {
	t.Helper()
	for range 20 {
		leader := g.hosts["core-1"].group.Leader()
		if leader == wanted {
			return
		}
		if x := g.hosts[leader]; x != nil {
			g.kill(leader)
			time.Sleep(time.Second)
			g.start(leader, x.disk, false)
		}
		time.Sleep(2 * time.Second)
	}
	t.Fatalf("%s does not lead", wanted)
}

// While a host hands its vote over, another disk is lost and all others are killed. The host must wait for them, since
// its copy may be the second of three that is left.
func TestStoppingHostWaitsForALeader(t *testing.T) {
	for _, stopped := range seeds {
		for _, wiped := range seeds {
			if wiped == stopped {
				continue
			}
			for after := time.Duration(0); after < 200*time.Millisecond; after += 10 * time.Millisecond {
				withOpenGroup(t, func(t *testing.T, g *openGroup) {
					g.mustChange("core-1", 1)
					g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
					time.Sleep(catchUpTime)
					stopping := make(chan struct{})
					x := g.hosts[stopped]
					go func() {
						defer close(stopping)
						ctx, stop := context.WithTimeout(context.Background(), gracePeriod)
						defer stop()
						x.group.Retire(ctx)
					}()
					time.Sleep(after)
					disks := make(map[hingeids.HostID]*fillableDisk)
					for _, id := range append(slices.Clone(seeds), "core-4") {
						if id != stopped {
							disks[id] = g.kill(id).disk
						}
					}
					disks[wiped] = &fillableDisk{memoryDisk: newMemoryDisk()}
					time.Sleep(1500 * time.Millisecond)
					for id, disk := range disks {
						g.start(id, disk, false)
					}
					<-stopping
					g.kill(stopped)
					time.Sleep(contactTime)
					g.mustRead(t, 1)
					if t.Failed() {
						t.Fatalf("%s stops, %s is wiped %v later", stopped, wiped, after)
					}
				})
			}
		}
	}
}
