package hingegroup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

var seeds = []hingeids.HostID{"core-1", "core-2", "core-3"}

// errFull is what a full disk says.
var errFull = eris.New("no space left on device")

// fillable is a disk that can be full.
type fillable struct {
	*memory
	full bool
}

func (f *fillable) Create(name string) (hingejournal.File, error) {
	file, err := f.memory.Create(name)
	return &fillableFile{
		File: file,
		disk: f,
	}, err
}

func (f *fillable) Extend(name string) (hingejournal.File, error) {
	file, err := f.memory.Extend(name)
	return &fillableFile{
		File: file,
		disk: f,
	}, err
}

type fillableFile struct {
	hingejournal.File
	disk *fillable
}

func (f *fillableFile) Write(b []byte) (int, error) {
	if f.disk.full {
		return 0, errFull
	}
	return f.File.Write(b)
}

// member is one process of an open group.
type openHost struct {
	disk    *fillable
	machine *hingeversion.Machine
	group   *Group
	stop    context.CancelFunc
	ended   chan error
}

// openGroup is a group that hosts join by themselves, under a fake clock.
type openGroup struct {
	t       *testing.T
	network *hingefake.Network
	all     map[hingeids.HostID]*openHost
	starts  uint64
	// behind is how far the time of day is behind on hosts that are started.
	behind time.Duration
}

func inOpenGroup(t *testing.T, f func(t *testing.T, g *openGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &openGroup{
			t:       t,
			network: hingefake.NewNetwork(),
			all:     make(map[hingeids.HostID]*openHost),
		}
		for _, id := range seeds {
			g.start(id, &fillable{memory: newMemory()}, true)
		}
		time.Sleep(4 * time.Second)
		defer func() {
			for id := range g.all {
				g.kill(id)
			}
		}()
		f(t, g)
	})
}

func (g *openGroup) start(id hingeids.HostID, disk *fillable, founds bool) *openHost {
	g.starts++
	x := &openHost{
		disk:    disk,
		machine: hingeversion.New(),
		ended:   make(chan error, 1),
	}
	var err error
	behind := g.behind
	x.group, err = New(Settings{
		Name:   "config",
		Self:   id,
		Hosts:  seeds,
		Open:   true,
		Joins:  !founds,
		Voters: 3,
		Clock:  time.Now,
		Today: func() time.Time {
			return time.Now().Add(-behind)
		},
		Seed: g.starts,
	}, g.network.Link(id), disk, x.machine)
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go func() {
		x.ended <- x.group.Run(ctx)
	}()
	g.all[id] = x
	return x
}

func (g *openGroup) kill(id hingeids.HostID) *openHost {
	x := g.all[id]
	g.network.Remove(id)
	x.stop()
	if err := <-x.ended; err != nil {
		g.t.Error(id, err)
	}
	delete(g.all, id)
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
	_, err = g.all[at].group.Propose(ctx, body)
	return err
}

// mustChange has a version accepted within some tries, as an operator does.
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
	for _, m := range g.all[at].group.Standing().Members.Voters {
		out[m.Host] = true
	}
	return out
}

// A host burns down and another is put in its place, at another address, with an empty
// disk. Nobody tells the group. It must take the new host's vote for the old one's: the next
// loss would otherwise leave no quorum.
func TestReplacedHostLosesItsVote(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-3")
		g.start("core-4", &fillable{memory: newMemory()}, false)
		time.Sleep(20 * time.Second)
		if v := g.voters("core-1"); !v["core-4"] || v["core-3"] || len(v) != 3 {
			t.Fatalf("voters %v", v)
		}
		g.kill("core-2")
		time.Sleep(4 * time.Second)
		g.mustChange("core-4", 2)
		time.Sleep(time.Second)
		if got := g.all["core-4"].machine.Views().Load().Version; got != 2 {
			t.Fatalf("the new host holds version %d", got)
		}
	})
}

// A fourth host stands by. It holds everything and has no vote, so that three still
// decide, until one of them is lost.
func TestSpareHostHasNoVote(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.start("core-4", &fillable{memory: newMemory()}, false)
		time.Sleep(5 * time.Second)
		g.mustChange("core-2", 1)
		time.Sleep(time.Second)
		if v := g.voters("core-1"); len(v) != 3 || v["core-4"] {
			t.Fatalf("voters %v", v)
		}
		if got := g.all["core-4"].machine.Views().Load().Version; got != 1 {
			t.Fatalf("the spare host holds version %d", got)
		}
	})
}

// A host was away for long and was replaced. It comes back with its disk, on which it
// still votes, and nobody sends it anything. It has to ask.
func TestReplacedHostJoinsAgain(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		away := g.kill("core-3")
		g.start("core-4", &fillable{memory: newMemory()}, false)
		time.Sleep(20 * time.Second)
		g.mustChange("core-1", 2)
		g.start("core-3", away.disk, false)
		time.Sleep(8 * time.Second)
		if got := g.all["core-3"].machine.Views().Load().Version; got != 2 {
			t.Fatalf("the host that came back holds version %d", got)
		}
		if v := g.voters("core-1"); len(v) != 3 || v["core-3"] {
			t.Fatalf("voters %v", v)
		}
	})
}

// A disk is lost and replaced right after a start: the learner has never been heard
// when the leader looks for lost ones. Dropped again and again, it took a second longer to be repaired.
func TestNewLearnerIsNotTakenForLost(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		time.Sleep(30 * time.Second)
		g.mustChange("core-1", 1)
		g.kill("core-3")
		time.Sleep(time.Second)
		g.start("core-3", &fillable{memory: newMemory()}, false)
		time.Sleep(3 * time.Second)
		if got := g.all["core-3"].machine.Views().Load().Version; got != 1 {
			t.Fatalf("the repaired host holds version %d", got)
		}
		if v := g.voters("core-1"); !v["core-3"] {
			t.Fatalf("voters %v", v)
		}
	})
}

// A disk is full for a while. Its host can't hold anything new and must not say that it does;
// the others go on, and it catches up once there is room, without a restart.
func TestFullDiskStepsBackAndReturns(t *testing.T) {
	for _, full := range seeds {
		inOpenGroup(t, func(t *testing.T, g *openGroup) {
			g.mustChange("core-1", 1)
			g.all[full].disk.full = true
			other := seeds[0]
			if full == other {
				other = seeds[1]
			}
			g.mustChange(other, 2)
			time.Sleep(5 * time.Second)
			g.all[full].disk.full = false
			time.Sleep(4 * time.Second)
			if got := g.all[full].machine.Views().Load().Version; got != 2 {
				t.Errorf("%s holds version %d after its disk had room again", full, got)
			}
			g.mustChange(full, 3)
		})
	}
}

// The whole system starts a second time, with a host whose disk was lost. It must join what
// there is and never found a second group.
func TestRestartedHostFoundsNothing(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		var disks []*fillable
		for _, id := range seeds {
			disks = append(disks, g.kill(id).disk)
		}
		disks[0] = &fillable{memory: newMemory()}
		for i, id := range seeds {
			g.start(id, disks[i], false)
		}
		time.Sleep(8 * time.Second)
		g.mustChange("core-1", 2)
		time.Sleep(time.Second)
		for _, id := range seeds {
			if got := g.all[id].machine.Views().Load().Version; got != 2 {
				t.Errorf("%s holds version %d", id, got)
			}
		}
	})
}

// A host loses its disk while its time of day is set back, to before its last disk was made. To the
// others its new disk looks older than the one that was lost. If they left it at that, the
// host would never vote again, and the next loss would leave no quorum.
func TestDiskMadeWithAnEarlierTimeOfDayJoins(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-3")
		g.behind = time.Hour
		g.start("core-3", &fillable{memory: newMemory()}, false)
		time.Sleep(8 * time.Second)
		if got := g.all["core-3"].machine.Views().Load().Version; got != 1 {
			t.Fatalf("the repaired host holds version %d", got)
		}
		g.kill("core-2")
		time.Sleep(4 * time.Second)
		g.mustChange("core-3", 2)
	})
}

// A host loses its disk while the group is led by a host that isn't among its seeds: with more control
// hosts than seeds, two times in five. It knows nobody else to ask, and if nobody told it who
// leads it would stay outside until the lead changes, one disk fewer for the next loss.
func TestLostDiskJoinsUnderALeaderThatIsNoSeed(t *testing.T) {
	inOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.kill("core-3")
		g.start("core-4", &fillable{memory: newMemory()}, false)
		time.Sleep(20 * time.Second)
		for range 20 {
			leader := g.all["core-4"].group.Leader()
			if leader == "core-4" {
				break
			}
			x := g.kill(leader)
			time.Sleep(4 * time.Second)
			g.start(leader, x.disk, false)
			time.Sleep(4 * time.Second)
		}
		if leader := g.all["core-4"].group.Leader(); leader != "core-4" {
			t.Fatalf("%s leads", leader)
		}
		g.kill("core-1")
		g.start("core-1", &fillable{memory: newMemory()}, false)
		time.Sleep(10 * time.Second)
		if got := g.all["core-1"].machine.Views().Load().Version; got != 1 {
			t.Fatalf("the repaired host holds version %d", got)
		}
	})
}
