package hingegroup

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// startSpread is the time within which the processes of a new system start.
	startSpread = 300 * time.Millisecond
	// foundingTime is the time after the last event within which there must be a group.
	foundingTime = 3 * time.Second
)

// foundingFleet is a system that starts for the first time, under faults.
type foundingFleet struct {
	*lossFleet
	// configured are the hosts that all processes are told of at their start.
	configured []hingeids.HostID

	mu    sync.Mutex
	disks map[hingeids.HostID]*faultyDisk
	// began has the hosts whose machine was started or touched by a fault: their later starts aren't told that the
	// system starts for the first time.
	began map[hingeids.HostID]bool
	// lostAt has the time of each host's last fault. Beyond reports that a disk was lost while another host still
	// counted as lost, which is more than what is tolerated: two founders' disks may be gone then.
	lostAt map[hingeids.HostID]time.Time
	beyond bool
}

func newFoundingFleet(t *testing.T, hosts int, seed uint64) *foundingFleet {
	f := &foundingFleet{
		lossFleet: newLossFleet(t, hosts, seed),
		disks:     make(map[hingeids.HostID]*faultyDisk),
		began:     make(map[hingeids.HostID]bool),
		lostAt:    make(map[hingeids.HostID]time.Time),
	}
	f.configured = slices.Clone(f.order[:min(3, hosts)])
	for _, id := range f.order {
		f.disks[id] = newFaultyDisk()
		if f.plan.intN(5) == 0 {
			f.wallOffset[id] = f.plan.between(-10*time.Second, 10*time.Second)
		}
	}
	return f
}

// boot starts a host's process unless one runs.
func (f *foundingFleet) boot(id hingeids.HostID) {
	f.mu.Lock()
	first := !f.began[id]
	f.began[id] = true
	disk := f.disks[id]
	f.mu.Unlock()
	f.log("%s starts, for the first time: %v", id, first)
	f.start(id, disk, f.configured, first)
}

// stop kills a host's process, or keeps the first one from starting.
func (f *foundingFleet) stop(id hingeids.HostID, losesPower bool) {
	f.mu.Lock()
	f.began[id] = true
	f.mu.Unlock()
	f.log("%s is killed, loses power: %v", id, losesPower)
	f.kill(id, losesPower)
}

// drawEvents runs one to three faults while the system starts.
func (f *foundingFleet) drawEvents() {
	spares := 1
	for range 1 + f.plan.intN(3) {
		time.Sleep(f.plan.between(0, 500*time.Millisecond))
		id := f.order[f.plan.intN(len(f.order))]
		switch kind := f.plan.intN(8); kind {
		case 0, 1, 2:
			f.killAll(kind == 2)
		case 3:
			f.lostAt[id] = time.Now()
			f.stop(id, f.plan.intN(2) == 0)
			time.Sleep(f.plan.between(100*time.Millisecond, time.Second))
			f.boot(id)
		case 4:
			f.lostAt[id] = time.Now()
			f.cutFor(id, f.plan.between(100*time.Millisecond, 2*time.Second))
		case 5:
			f.lostAt[id] = time.Now()
			f.freezeFor(id, f.plan.between(100*time.Millisecond, 2*time.Second))
		case 6:
			if spares > 0 {
				spares--
				f.replace(id, f.plan.intN(2) == 0)
			}
		case 7:
			f.fillFor(id, f.plan.between(100*time.Millisecond, 1500*time.Millisecond))
		}
	}
}

// killAll kills all processes at the same moment. They are back within a second.
func (f *foundingFleet) killAll(losesPower bool) {
	for _, id := range f.order {
		f.lostAt[id] = time.Now()
		f.stop(id, losesPower)
	}
	time.Sleep(f.plan.between(200*time.Millisecond, time.Second))
	for _, id := range f.order {
		f.boot(id)
		time.Sleep(f.plan.between(0, 50*time.Millisecond))
	}
}

func (f *foundingFleet) cutFor(id hingeids.HostID, d time.Duration) {
	f.log("%s is cut off", id)
	f.wires.setCut(id, true)
	time.Sleep(d)
	f.wires.setCut(id, false)
	f.log("%s is joined", id)
}

func (f *foundingFleet) fillFor(id hingeids.HostID, d time.Duration) {
	f.lostAt[id] = time.Now()
	f.mu.Lock()
	disk := f.disks[id]
	f.mu.Unlock()
	f.log("the disk of %s is full", id)
	disk.setFault(usualSyncTime, time.Time{}, true)
	time.Sleep(d)
	disk.setFault(usualSyncTime, time.Time{}, false)
	f.log("the disk of %s has space", id)
}

func (f *foundingFleet) freezeFor(id hingeids.HostID, d time.Duration) {
	f.lossFleet.mu.Lock()
	x := f.hosts[id]
	f.lossFleet.mu.Unlock()
	if x == nil {
		return
	}
	f.log("%s is frozen", id)
	x.process.freeze()
	time.Sleep(d)
	x.process.thaw()
	f.log("%s is thawed", id)
}

// replace takes a host's disk, for good or at the same address.
func (f *foundingFleet) replace(id hingeids.HostID, forGood bool) {
	for other, at := range f.lostAt {
		f.beyond = f.beyond || other != id && time.Since(at) < catchUpTime
	}
	f.stop(id, false)
	next := id
	if forGood {
		next = f.newIDInZoneOf(id)
		f.removeFromService(id)
		f.addToService(next)
	}
	f.log("%s replaces the disk of %s", next, id)
	f.mu.Lock()
	f.disks[next] = newFaultyDisk()
	f.began[next] = true
	f.mu.Unlock()
	time.Sleep(f.plan.between(200*time.Millisecond, time.Second))
	f.boot(next)
}

// checkOneLeader fails if two hosts may lead at once.
func (f *foundingFleet) checkOneLeader() {
	f.lossFleet.mu.Lock()
	defer f.lossFleet.mu.Unlock()
	var leaders []string
	for _, id := range slices.Sorted(maps.Keys(f.hosts)) {
		if s := f.hosts[id].group.Status(); s.IsLeader && time.Now().Before(s.LeaseUntil) {
			leaders = append(leaders, fmt.Sprintf("%s in term %d", id, s.Term))
		}
	}
	if len(leaders) > 1 {
		f.t.Errorf("two groups, or two leaders: %v", leaders)
	}
}

// awaitGroup returns how long it takes until all hosts follow one leader and a change is confirmed.
func (f *foundingFleet) awaitGroup() time.Duration {
	began := time.Now()
	for time.Since(began) < resultLimit {
		time.Sleep(accountStep)
		f.checkOneLeader()
		if f.isOneGroup() && f.confirmedSince(began) {
			return time.Since(began)
		}
	}
	return resultLimit
}

func (f *foundingFleet) confirmedSince(began time.Time) bool {
	f.lossFleet.mu.Lock()
	defer f.lossFleet.mu.Unlock()
	return f.confirmedAt.After(began)
}

func (f *foundingFleet) isOneGroup() bool {
	f.lossFleet.mu.Lock()
	defer f.lossFleet.mu.Unlock()
	leader := hingeids.HostID("")
	for _, id := range f.order {
		x := f.hosts[id]
		if x == nil {
			return false
		}
		l := x.group.Status().Leader.Host
		if l == "" || leader != "" && l != leader {
			return false
		}
		leader = l
	}
	return true
}

func playFounding(t *testing.T, hosts int, seed uint64) (took time.Duration, beyond bool) {
	synctest.Test(t, func(t *testing.T) {
		f := newFoundingFleet(t, hosts, seed)
		f.operators.Go(f.operate)
		var starts sync.WaitGroup
		for _, id := range f.order {
			wait := f.plan.between(0, startSpread)
			starts.Go(func() {
				time.Sleep(wait)
				f.mu.Lock()
				touched := f.began[id]
				f.mu.Unlock()
				if !touched {
					f.boot(id)
				}
			})
		}
		f.drawEvents()
		starts.Wait()
		took = f.awaitGroup()
		beyond = f.beyond
		if took > foundingTime && !f.beyond {
			t.Errorf("one group of all hosts after %v, want %v", took, foundingTime)
		}
		time.Sleep(time.Second)
		f.checkOneLeader()
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
		f.end()
	})
	return took, beyond
}

// Guards against a system that is never founded, founded late, or founded twice, because processes are killed, cut off, frozen or
// replaced while it starts for the first time. LOSSES sets the number of draws for each size, LOSSES_SEED the first seed.
func TestDrawnFirstStarts(t *testing.T) {
	for _, hosts := range []int{3, 5, 9} {
		if envInt("LOSSES_HOSTS", hosts) != hosts {
			continue
		}
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			var mu sync.Mutex
			var times, beyondTimes []time.Duration
			first := envInt("LOSSES_SEED", 1)
			t.Run("seeds", func(t *testing.T) {
				for seed := first; seed < first+envInt("LOSSES", 60); seed++ {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						took, beyond := playFounding(t, hosts, uint64(seed))
						mu.Lock()
						defer mu.Unlock()
						if beyond {
							beyondTimes = append(beyondTimes, took)
						} else {
							times = append(times, took)
						}
					})
				}
			})
			never := 0
			for _, took := range beyondTimes {
				if took == resultLimit {
					never++
				}
			}
			t.Logf("%d hosts, %d first starts: one group after %s; %d beyond what is tolerated, %d of them without a group: %s",
				hosts, len(times), distribution(times), len(beyondTimes), never, distribution(beyondTimes))
		})
	}
}
