package hingegroup

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

var seeds = []hingeids.HostID{"core-1", "core-2", "core-3"}

var errDiskFull = eris.New("no space left on device")

// Writes fail while full is set.
type fillableDisk struct {
	*memoryDisk
	full atomic.Bool
}

func (f *fillableDisk) Create(name string) (hingefolder.File, error) {
	file, err := f.memoryDisk.Create(name)
	return &fillableFile{
		File: file,
		disk: f,
	}, err
}

func (f *fillableDisk) OpenAppend(name string) (hingefolder.File, error) {
	file, err := f.memoryDisk.OpenAppend(name)
	return &fillableFile{
		File: file,
		disk: f,
	}, err
}

type fillableFile struct {
	hingefolder.File
	disk *fillableDisk
}

func (f *fillableFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, errDiskFull
	}
	return f.File.Write(b)
}

type openHost struct {
	disk    *fillableDisk
	machine *hingeversion.Machine
	group   *Group
	stop    context.CancelFunc
	runErr  chan error
}

// The group runs under a fake clock.
type openGroup struct {
	t       *testing.T
	network *hingefake.Network
	hosts   map[hingeids.HostID]*openHost
	starts  uint64
	zones   map[hingeids.HostID]hingeids.Zone
	// clockLag is how far the time of day is behind on the hosts that start calls create.
	clockLag time.Duration
	// closed makes the hosts that start calls create members of a closed group.
	closed bool
	// isStarted is the setting of the hosts that start calls create.
	isStarted func() bool
	// seeds are those of the hosts that start calls create, and contacts the hosts that they know besides.
	seeds    []hingeids.HostID
	contacts []hingeids.HostID
	calls    callCounts
}

func withOpenGroup(t *testing.T, f func(t *testing.T, g *openGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &openGroup{
			t:       t,
			network: hingefake.NewNetwork(),
			hosts:   make(map[hingeids.HostID]*openHost),
			seeds:   seeds,
		}
		for _, id := range seeds {
			g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, true)
		}
		time.Sleep(4 * time.Second)
		defer func() {
			for id := range g.hosts {
				g.kill(id)
			}
		}()
		f(t, g)
	})
}

func (g *openGroup) start(id hingeids.HostID, disk *fillableDisk, bootstraps bool) *openHost {
	g.starts++
	x := &openHost{
		disk:    disk,
		machine: hingeversion.New(),
		runErr:  make(chan error, 1),
	}
	var err error
	clockLag := g.clockLag
	x.group, err = New(Settings{
		Name:      "config",
		Self:      id,
		Hosts:     g.seeds,
		Open:      !g.closed,
		JoinOnly:  !bootstraps,
		IsStarted: g.isStarted,
		Voters:    3,
		Zone: func(h hingeids.HostID) hingeids.Zone {
			return g.zones[h]
		},
		Clock: time.Now,
		WallClock: func() time.Time {
			return time.Now().Add(-clockLag)
		},
		Seed: g.starts,
	}, &countingLink{
		Link:   g.network.Link(id),
		counts: &g.calls,
	}, disk, x.machine)
	if err != nil {
		g.t.Fatal(err)
	}
	x.group.ServeState(x.machine.Snapshot)
	contacts := g.contacts
	x.group.SetContacts(func() []hingeids.HostID {
		return contacts
	})
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go func() {
		x.runErr <- x.group.Run(ctx)
	}()
	g.hosts[id] = x
	return x
}

func (g *openGroup) kill(id hingeids.HostID) *openHost {
	x := g.hosts[id]
	g.network.Remove(id)
	x.stop()
	if err := <-x.runErr; err != nil {
		g.t.Error(id, err)
	}
	delete(g.hosts, id)
	return x
}

func (g *openGroup) change(at hingeids.HostID, v hingeversion.Version) error {
	body, err := hingeversion.Document{
		Version: v,
		Body:    []byte("routes"),
	}.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	_, err = g.hosts[at].group.Propose(ctx, body)
	return err
}

// mustChange proposes a version up to five times until it is accepted.
func (g *openGroup) mustChange(at hingeids.HostID, v hingeversion.Version) {
	g.t.Helper()
	var err error
	for range 5 {
		if err = g.change(at, v); err == nil {
			return
		}
		time.Sleep(time.Second)
	}
	g.t.Fatalf("version %d at %s: %v", v, at, err)
}

func (g *openGroup) voters(at hingeids.HostID) map[hingeids.HostID]bool {
	out := make(map[hingeids.HostID]bool)
	for _, m := range g.hosts[at].group.Status().Members.Voters {
		out[m.Host] = true
	}
	return out
}

// In an open group, a new host must get the vote of a lost one without an operator.
// Otherwise the next loss would leave no quorum.
func TestReplacedHostLosesItsVote(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-3")
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(20 * time.Second)
		if v := g.voters("core-1"); !v["core-4"] || v["core-3"] || len(v) != 3 {
			t.Fatalf("voters %v", v)
		}
		g.kill("core-2")
		time.Sleep(4 * time.Second)
		g.mustChange("core-4", 2)
		time.Sleep(time.Second)
		if got := g.hosts["core-4"].machine.Documents().Load().Version; got != 2 {
			t.Fatalf("the new host holds version %d", got)
		}
	})
}

// A host beyond the configured number of voters must receive all entries but have no vote.
func TestSpareHostHasNoVote(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(5 * time.Second)
		g.mustChange("core-2", 1)
		time.Sleep(time.Second)
		if v := g.voters("core-1"); len(v) != 3 || v["core-4"] {
			t.Fatalf("voters %v", v)
		}
		if got := g.hosts["core-4"].machine.Documents().Load().Version; got != 1 {
			t.Fatalf("the spare host holds version %d", got)
		}
	})
}

// A host that was replaced while it was down must join again as a learner, although
// its old disk says that it is a voter.
func TestReplacedHostJoinsAgain(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		away := g.kill("core-3")
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(20 * time.Second)
		g.mustChange("core-1", 2)
		g.start("core-3", away.disk, false)
		time.Sleep(8 * time.Second)
		if got := g.hosts["core-3"].machine.Documents().Load().Version; got != 2 {
			t.Fatalf("the returned host holds version %d", got)
		}
		if v := g.voters("core-1"); len(v) != 3 || v["core-3"] {
			t.Fatalf("voters %v", v)
		}
	})
}

// The leader must not remove a new learner as lost before its first message arrives, since
// that would delay the repair of a lost disk.
func TestNewLearnerIsNotRemovedAsLost(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		time.Sleep(30 * time.Second)
		g.mustChange("core-1", 1)
		g.kill("core-3")
		time.Sleep(time.Second)
		g.start("core-3", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(3 * time.Second)
		if got := g.hosts["core-3"].machine.Documents().Load().Version; got != 1 {
			t.Fatalf("the repaired host holds version %d", got)
		}
		if v := g.voters("core-1"); !v["core-3"] {
			t.Fatalf("voters %v", v)
		}
	})
}

// While a host's disk is full, the other hosts must accept changes. Once it has free space,
// the host must catch up without a restart.
func TestHostWithFullDiskRecovers(t *testing.T) {
	for _, full := range seeds {
		withOpenGroup(t, func(t *testing.T, g *openGroup) {
			g.mustChange("core-1", 1)
			g.hosts[full].disk.full.Store(true)
			other := seeds[0]
			if full == other {
				other = seeds[1]
			}
			g.mustChange(other, 2)
			time.Sleep(5 * time.Second)
			g.hosts[full].disk.full.Store(false)
			time.Sleep(4 * time.Second)
			if got := g.hosts[full].machine.Documents().Load().Version; got != 2 {
				t.Errorf("%s holds version %d after its disk had free space again", full, got)
			}
			g.mustChange(full, 3)
		})
	}
}

// After a restart of all hosts, the one that lost its disk must join the group and not
// bootstrap a second one.
func TestRestartedHostDoesNotBootstrap(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		var disks []*fillableDisk
		for _, id := range seeds {
			disks = append(disks, g.kill(id).disk)
		}
		disks[0] = &fillableDisk{memoryDisk: newMemoryDisk()}
		for i, id := range seeds {
			g.start(id, disks[i], false)
		}
		time.Sleep(8 * time.Second)
		g.mustChange("core-1", 2)
		time.Sleep(time.Second)
		for _, id := range seeds {
			if got := g.hosts[id].machine.Documents().Load().Version; got != 2 {
				t.Errorf("%s holds version %d", id, got)
			}
		}
	})
}

// A host whose clock is behind claims a new disk with a lower incarnation than its
// lost one. It must claim it again and get its vote back.
func TestDiskWithClockBehindJoins(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-3")
		g.clockLag = time.Hour
		g.start("core-3", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(8 * time.Second)
		if got := g.hosts["core-3"].machine.Documents().Load().Version; got != 1 {
			t.Fatalf("the repaired host holds version %d", got)
		}
		g.kill("core-2")
		time.Sleep(4 * time.Second)
		g.mustChange("core-3", 2)
	})
}

// A host with a new disk must be redirected to a leader that isn't among its seeds.
func TestLostDiskJoinsThroughNonSeedLeader(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-3")
		g.start("core-4", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(20 * time.Second)
		for range 20 {
			leader := g.hosts["core-4"].group.Leader()
			if leader == "core-4" {
				break
			}
			x := g.kill(leader)
			time.Sleep(4 * time.Second)
			g.start(leader, x.disk, false)
			time.Sleep(4 * time.Second)
		}
		if leader := g.hosts["core-4"].group.Leader(); leader != "core-4" {
			t.Fatalf("%s leads, want core-4", leader)
		}
		g.kill("core-1")
		g.start("core-1", &fillableDisk{memoryDisk: newMemoryDisk()}, false)
		time.Sleep(10 * time.Second)
		if got := g.hosts["core-1"].machine.Documents().Load().Version; got != 1 {
			t.Fatalf("the repaired host holds version %d", got)
		}
	})
}

// A host that is restarted before another founder has started isn't told any more that this is the first start. The group must be bootstrapped
// all the same, or no configuration is ever accepted.
func TestHostRestartedBeforeTheBootstrap(t *testing.T) {
	for _, restarted := range seeds {
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
			disk := g.start(restarted, &fillableDisk{memoryDisk: newMemoryDisk()}, true).disk
			time.Sleep(50 * time.Millisecond)
			g.kill(restarted)
			for _, id := range seeds {
				if id != restarted {
					g.start(id, &fillableDisk{memoryDisk: newMemoryDisk()}, true)
				}
			}
			time.Sleep(time.Second)
			g.start(restarted, disk, false)
			time.Sleep(contactTime)
			g.mustChange(restarted, 1)
		})
	}
}
