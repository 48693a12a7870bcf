package hingegroup

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// lossKind is a fault of one host, or of several. run returns when the last of them is back, after the given time unless the
// kind has its own.
type lossKind struct {
	name      string
	losesDisk bool
	// several reports that it takes no single host.
	several bool
	run     func(f *lossFleet, id hingeids.HostID, lasts time.Duration)
}

var unplanned = lossKind{
	name:      "replace",
	losesDisk: true,
	run:       replaceUnplanned,
}

// plannedAfterCatchUp leaves nothing that counts as lost once the old host has stopped.
var plannedAfterCatchUp = lossKind{
	name:      "planned-4s",
	losesDisk: true,
	run: func(f *lossFleet, id hingeids.HostID, _ time.Duration) {
		replacePlanned(f, id, catchUpTime)
	},
}

// killedDuringSync is a process that is killed between a write and its sync, is started again, and loses power before it has
// written anything else.
var killedDuringSync = lossKind{
	name: "sync-kill",
	run:  killDuringSync,
}

var lossKinds = []lossKind{
	{
		name:      "disk",
		losesDisk: true,
		run:       loseDisk,
	},
	unplanned,
	{
		name:      "planned",
		losesDisk: true,
		run: func(f *lossFleet, id hingeids.HostID, _ time.Duration) {
			replacePlanned(f, id, f.random.between(200*time.Millisecond, time.Second))
		},
	},
	plannedAfterCatchUp,
	{
		name:    "power",
		several: true,
		run: func(f *lossFleet, _ hingeids.HostID, lasts time.Duration) {
			failPower(f, lasts, 0)
		},
	},
	{
		name:    "power-1",
		several: true,
		run: func(f *lossFleet, _ hingeids.HostID, lasts time.Duration) {
			failPower(f, lasts, 1)
		},
	},
	killedDuringSync,
	{
		name:      "forgetful",
		losesDisk: true,
		run:       forget,
	},
	{
		name: "cut",
		run:  cutOff,
	},
	{
		name: "freeze",
		run:  freezeHost,
	},
	{
		name: "slow",
		run:  slowDown,
	},
	{
		name: "clock",
		run:  stepClock,
	},
}

// loseDisk restarts a host with an empty disk.
func loseDisk(f *lossFleet, id hingeids.HostID, _ time.Duration) {
	if f.kill(id, false) == nil {
		return
	}
	f.log("%s loses its disk", id)
	l := f.lose(id, true)
	time.Sleep(time.Second)
	f.start(id, newFaultyDisk(), f.contacts(), false)
	f.log("%s is back", id)
	f.returned(l)
}

// replaceUnplanned starts a host at another address after one is gone.
func replaceUnplanned(f *lossFleet, id hingeids.HostID, _ time.Duration) {
	if f.kill(id, false) == nil {
		return
	}
	f.log("%s is gone", id)
	l := f.lose(id, true)
	f.removeFromService(id)
	time.Sleep(f.random.between(200*time.Millisecond, time.Second))
	next := f.newIDInZoneOf(id)
	f.addToService(next)
	f.start(next, newFaultyDisk(), f.contacts(), false)
	f.log("%s replaces %s", next, id)
	f.returned(l)
}

// replacePlanned stops a host some time after the one that replaces it has started.
func replacePlanned(f *lossFleet, id hingeids.HostID, pause time.Duration) {
	next := f.newIDInZoneOf(id)
	f.addToService(next)
	f.start(next, newFaultyDisk(), f.contacts(), false)
	f.log("%s starts to replace %s", next, id)
	l := f.expect(id)
	time.Sleep(pause)
	f.beginExpected(l)
	f.log("%s stops", id)
	f.stopHost(id)
	f.removeFromService(id)
	f.log("%s has stopped", id)
}

// retireTimeout is that of hingecontrol at a grace period of 8 s.
const retireTimeout = 6 * time.Second

// stopHost stops a host as on SIGTERM.
func (f *lossFleet) stopHost(id hingeids.HostID) {
	f.mu.Lock()
	x := f.hosts[id]
	f.mu.Unlock()
	if x == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), retireTimeout)
	defer stop()
	x.group.Retire(ctx)
	f.kill(id, false)
}

// failPower takes the power from all hosts that run, but for some.
func failPower(f *lossFleet, lasts time.Duration, spared int) {
	f.mu.Lock()
	var ids []hingeids.HostID
	for _, i := range f.random.perm(len(f.order)) {
		ids = append(ids, f.order[i])
	}
	f.mu.Unlock()
	ids = ids[min(spared, len(ids)):]
	f.log("%v lose power", ids)
	var restarts sync.WaitGroup
	for _, id := range ids {
		x := f.kill(id, true)
		if x == nil {
			continue
		}
		l := f.lose(id, false)
		wait := lasts + f.random.between(0, 300*time.Millisecond)
		restarts.Go(func() {
			time.Sleep(wait)
			if f.inService(id) {
				f.start(id, x.disk, f.contacts(), false)
			}
			if !f.inService(id) {
				f.kill(id, false)
			}
			f.returned(l)
		})
	}
	restarts.Wait()
	f.log("power is back")
}

func (f *lossFleet) inService(id hingeids.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.order, id)
}

// killDuringSync keeps the operator quiet meanwhile, as the sync of the next change would cover the one before.
func killDuringSync(f *lossFleet, id hingeids.HostID, lasts time.Duration) {
	f.mu.Lock()
	x := f.hosts[id]
	f.mu.Unlock()
	if x == nil {
		return
	}
	for range 1000 {
		if x.disk.isSyncing() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.setQuiet(true)
	defer f.setQuiet(false)
	f.restart(id, false, 500*time.Millisecond)
	time.Sleep(lasts)
	f.restart(id, true, 200*time.Millisecond)
}

// forget lets a disk lose what was synced after some moment.
func forget(f *lossFleet, id hingeids.HostID, lasts time.Duration) {
	x := f.kill(id, false)
	if x == nil {
		return
	}
	earlier := x.disk.clone()
	l := f.lose(id, false)
	f.start(id, x.disk, f.contacts(), false)
	f.returned(l)
	time.Sleep(lasts)
	if f.kill(id, false) == nil {
		return
	}
	f.log("%s forgets %v", id, lasts)
	l = f.lose(id, true)
	time.Sleep(200 * time.Millisecond)
	f.start(id, earlier, f.contacts(), false)
	f.log("%s is back", id)
	f.returned(l)
}

// restart kills a host's process, and starts it again some time later.
func (f *lossFleet) restart(id hingeids.HostID, losesPower bool, after time.Duration) {
	x := f.kill(id, losesPower)
	if x == nil {
		return
	}
	f.log("%s is killed, loses power: %v", id, losesPower)
	l := f.lose(id, false)
	time.Sleep(after)
	f.start(id, x.disk, f.contacts(), false)
	f.log("%s is back", id)
	f.returned(l)
}

// cutOff cuts a host from all others.
func cutOff(f *lossFleet, id hingeids.HostID, lasts time.Duration) {
	f.log("%s is cut off", id)
	l := f.lose(id, false)
	f.wires.setCut(id, true)
	time.Sleep(lasts)
	f.wires.setCut(id, false)
	f.log("%s is joined", id)
	f.returned(l)
}

func freezeHost(f *lossFleet, id hingeids.HostID, lasts time.Duration) {
	f.mu.Lock()
	x := f.hosts[id]
	f.mu.Unlock()
	if x == nil {
		return
	}
	f.log("%s is frozen", id)
	l := f.lose(id, false)
	x.process.freeze()
	time.Sleep(lasts)
	x.process.thaw()
	f.log("%s is thawed", id)
	f.returned(l)
}

// slowDown makes a host's disk slow, makes it hang, or fills it.
func slowDown(f *lossFleet, id hingeids.HostID, lasts time.Duration) {
	f.mu.Lock()
	x := f.hosts[id]
	f.mu.Unlock()
	if x == nil {
		return
	}
	l := f.lose(id, false)
	switch f.random.intN(3) {
	case 0:
		f.log("the disk of %s is slow", id)
		x.disk.setFault(f.random.between(50*time.Millisecond, 400*time.Millisecond), time.Time{}, false)
	case 1:
		f.log("the disk of %s hangs", id)
		x.disk.setFault(usualSyncTime, time.Now().Add(lasts), false)
	default:
		f.log("the disk of %s is full", id)
		x.disk.setFault(usualSyncTime, time.Time{}, true)
	}
	time.Sleep(lasts)
	x.disk.setFault(usualSyncTime, time.Time{}, false)
	f.log("the disk of %s is well", id)
	f.returned(l)
}

// stepClock sets a host's time of day, which matters when it next claims a disk.
func stepClock(f *lossFleet, id hingeids.HostID, _ time.Duration) {
	step := f.random.between(-10*time.Second, 10*time.Second)
	f.log("the clock of %s steps by %v", id, step)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wallOffset[id] += step
}

// awaitChange waits a short time for a change to be confirmed, since a fault just after that shows whether it is lost.
func (f *lossFleet) awaitChange() {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(300 * time.Millisecond):
	}
}

// drawKind draws a fault that may begin now, a lost disk often as soon as that is tolerated. If strict is set, nothing else than
// what is tolerated is drawn.
func (f *lossFleet) drawKind(strict bool) lossKind {
	kind := lossKinds[f.plan.intN(len(lossKinds))]
	mayBegin := func() bool {
		return (!kind.losesDisk || f.mayLose(true)) && (!strict || f.mayLose(false) && !kind.several)
	}
	if strict || kind.losesDisk && f.plan.intN(2) == 0 {
		for range 1000 {
			if mayBegin() {
				break
			}
			time.Sleep(accountStep)
		}
	}
	for !mayBegin() {
		kind = lossKinds[f.plan.intN(len(lossKinds))]
		time.Sleep(accountStep)
	}
	return kind
}

// drawFaults runs two to five faults, each often while the one before lasts or is being mended.
func (f *lossFleet) drawFaults() {
	var faults sync.WaitGroup
	strict := f.plan.intN(2) == 0
	for range 2 + f.plan.intN(4) {
		gaps := []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second}
		time.Sleep(f.plan.between(0, gaps[f.plan.intN(len(gaps))]))
		kind := f.drawKind(strict)
		if f.plan.intN(2) == 0 {
			f.awaitChange()
		}
		lasts := f.plan.between(300*time.Millisecond, 4*time.Second)
		if kind.several {
			lasts = f.plan.between(300*time.Millisecond, time.Second)
		}
		f.begin(&faults, kind, lasts)
	}
	faults.Wait()
}

// begin starts a fault at a drawn host, and returns at once.
func (f *lossFleet) begin(faults *sync.WaitGroup, kind lossKind, lasts time.Duration) {
	id := hingeids.HostID("")
	if !kind.several {
		if id = f.pick(kind.losesDisk); id == "" {
			return
		}
	}
	faults.Go(func() {
		kind.run(f, id, lasts)
		f.release(id)
	})
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// distribution returns the median, the 95th percentile and the maximum.
func distribution(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(percent int) time.Duration {
		return times[(len(times)-1)*percent/100].Round(10 * time.Millisecond)
	}
	return fmt.Sprintf("%v / %v / %v", at(50), at(95), at(100))
}

func logDistributions(t *testing.T, hosts int, results []lossResult) {
	for _, beyond := range []bool{false, true} {
		var first, each, change, mended []time.Duration
		for _, r := range results {
			if r.beyond == beyond {
				first = append(first, r.firstRead)
				each = append(each, r.eachRead)
				change = append(change, r.change)
				mended = append(mended, r.mended)
			}
		}
		t.Logf("%d hosts, beyond what is tolerated: %v, %d sequences: first read %s, read at each host %s, change %s, mended %s",
			hosts, beyond, len(first), distribution(first), distribution(each), distribution(change), distribution(mended))
	}
}

// After drawn losses, which may overlap, the configuration must be readable at each control host within the bound, and nothing
// confirmed may be lost. LOSSES sets the number of sequences for each size, LOSSES_HOSTS one size, LOSSES_SEED the first seed.
func TestDrawnLossesLeaveConfigurationReadable(t *testing.T) {
	for hosts, sequences := range map[int]int{
		3:  12,
		5:  4,
		9:  2,
		25: 1,
	} {
		if envInt("LOSSES_HOSTS", hosts) != hosts {
			continue
		}
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			var results lossResults
			first := envInt("LOSSES_SEED", 1)
			t.Run("seeds", func(t *testing.T) {
				for seed := first; seed < first+envInt("LOSSES", sequences); seed++ {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						runLossFleet(t, hosts, uint64(seed), func(f *lossFleet) {
							f.drawFaults()
							r := f.await()
							results.add(r)
							f.t.Logf("result hosts=%d seed=%d %v", hosts, seed, r)
							if r.disksBeyond {
								f.t.Errorf("the sequence loses more disks than tolerated")
							}
							r.check(f.t)
						})
					})
				}
			})
			logDistributions(t, hosts, results.list)
		})
	}
}

type lossResults struct {
	mu   sync.Mutex
	list []lossResult
}

func (l *lossResults) add(r lossResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (r lossResult) check(t *testing.T) {
	if r.eachRead > r.bound() {
		t.Errorf("first host readable after %v, all after %v, want %v", r.firstRead, r.eachRead, r.bound())
	}
	if !r.beyond && r.mended > catchUpTime {
		t.Errorf("a lost disk has a vote for %v, want %v: the next loss may leave no quorum", r.mended, catchUpTime)
	}
	if !r.everBeyond && r.unreadable > contactTime {
		t.Errorf("nothing was readable for %v, want %v", r.unreadable, contactTime)
	}
}

// duringFirst, as the gap of a pair, begins the second loss while the first one lasts.
const duringFirst = -time.Second

// runPair runs two losses. The gap is the time from the return of the first host to the second loss.
func (f *lossFleet) runPair(p lossPair) {
	var faults sync.WaitGroup
	lasts := func(k lossKind) time.Duration {
		if k.several {
			return 500 * time.Millisecond
		}
		return 2 * time.Second
	}
	f.begin(&faults, p.first, lasts(p.first))
	if p.gap == duringFirst {
		time.Sleep(300 * time.Millisecond)
	} else {
		faults.Wait()
		// The steps of the account must not make a loss after exactly the catch-up time one too early.
		time.Sleep(p.gap + 2*accountStep)
	}
	f.begin(&faults, p.second, lasts(p.second))
	faults.Wait()
}

type lossPair struct {
	first  lossKind
	second lossKind
	gap    time.Duration
}

// allPairs returns all pairs with all gaps.
func allPairs() []lossPair {
	var out []lossPair
	for _, first := range lossKinds {
		for _, second := range lossKinds {
			for _, gap := range []time.Duration{
				duringFirst,
				0,
				500 * time.Millisecond,
				time.Second,
				2 * time.Second,
				3 * time.Second,
				4 * time.Second,
				6 * time.Second,
				8 * time.Second,
			} {
				out = append(out, lossPair{
					first:  first,
					second: second,
					gap:    gap,
				})
			}
		}
	}
	return out
}

// A loss while the one before is being mended must leave a quorum, unless more disks are lost than tolerated. LOSS_PAIRS sets the
// number of draws for all pairs; else only a disk that is lost as soon as is tolerated is drawn, once for each first loss.
func TestPairsOfLossesLeaveConfigurationReadable(t *testing.T) {
	hosts := envInt("LOSSES_HOSTS", 3)
	draws := envInt("LOSS_PAIRS", 0)
	for i, p := range allPairs() {
		if draws == 0 && (p.second.name != "disk" || p.gap != catchUpTime) {
			continue
		}
		for draw := range max(draws, 1) {
			name := fmt.Sprintf("%s,%s,%v,%d", p.first.name, p.second.name, p.gap, draw)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				runLossFleet(t, hosts, uint64(i<<8+draw), func(f *lossFleet) {
					f.runPair(p)
					r := f.await()
					f.t.Logf("pair hosts=%d %s %v", hosts, name, r)
					if !r.disksBeyond {
						r.check(f.t)
					}
				})
			})
		}
	}
}

// Guards against a configuration that can't be read, or is older than one that was confirmed, because hosts confirmed after a
// kill what their disks didn't hold yet. LOSSES sets the number of draws.
func TestKillsDuringSyncsThenPowerLosses(t *testing.T) {
	for draw := range envInt("LOSSES", 10) {
		t.Run(fmt.Sprint(draw), func(t *testing.T) {
			t.Parallel()
			runLossFleet(t, 3, uint64(draw), func(f *lossFleet) {
				for range 4 {
					var faults sync.WaitGroup
					f.begin(&faults, killedDuringSync, f.plan.between(500*time.Millisecond, 3*time.Second))
					faults.Wait()
					time.Sleep(catchUpTime)
				}
				f.await().check(f.t)
			})
		})
	}
}

// A disk may be lost while a host stops whose replacement has had the catch-up time, also the leader's. The stopping host must
// not end with the vote that the others then need, or nobody can read any more.
func TestDiskLostWhileHostStopsLeavesQuorum(t *testing.T) {
	draws := envInt("LOSSES", 6)
	for i, after := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		for draw := range draws {
			t.Run(fmt.Sprint(after, " ", draw), func(t *testing.T) {
				t.Parallel()
				runLossFleet(t, 3, uint64(i*draws+draw), func(f *lossFleet) {
					var faults sync.WaitGroup
					f.begin(&faults, plannedAfterCatchUp, 0)
					time.Sleep(catchUpTime + after)
					f.begin(&faults, unplanned, 0)
					faults.Wait()
					r := f.await()
					f.t.Logf("stopping %v: %v", after, r)
					r.check(f.t)
				})
			})
		}
	}
}
