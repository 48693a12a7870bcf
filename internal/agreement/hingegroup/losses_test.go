package hingegroup

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

const (
	// recoverTime is the time within which the hosts serve again if losses overlapped beyond what is
	// tolerated.
	recoverTime = 12 * time.Second
	// readLimit is that of a read of the operator's API.
	readLimit    = 900 * time.Millisecond
	readInterval = 25 * time.Millisecond
	// largeReadInterval limits the work of a test of many hosts.
	largeReadInterval = 100 * time.Millisecond
	accountStep       = 10 * time.Millisecond
	// The election time and the heartbeat interval of the fleet's control hosts.
	fleetElectionTimeout   = 500 * time.Millisecond
	fleetHeartbeatInterval = 125 * time.Millisecond
)

type lossHost struct {
	id      hingeids.HostID
	disk    *faultyDisk
	process *process
	machine *hingeversion.Machine
	group   *Group
	stop    context.CancelFunc
	runErr  chan error
	// opened is closed once the process has opened its journal or was killed before.
	opened chan struct{}
	// readableSince is the time of the first good read after the last one that failed.
	readableSince time.Time
}

// loss is the loss of one host. It counts until the catch-up time has passed since the host is back.
type loss struct {
	id   hingeids.HostID
	disk bool
	back bool
	// expected reports that the host still runs, and that the one which replaces it has started.
	expected  bool
	remaining time.Duration
}

// lossFleet is a group of control hosts under a fake clock, with an operator who changes the
// configuration and a reader at each host.
type lossFleet struct {
	t            *testing.T
	wires        *wires
	hostsAtStart int
	voters       int
	tolerated    int
	// catchUp is the setting of the groups; the losses count for catchUpTime.
	catchUp time.Duration
	// literal counts the catch-up time also while no quorum is connected.
	literal   bool
	operators sync.WaitGroup
	ended     chan struct{}

	// plan draws the faults, so that they are the same for one seed whatever the hosts do; random draws all else.
	plan   *draws
	random *draws

	mu     sync.Mutex
	starts uint64
	ids    int
	zones  map[hingeids.HostID]hingeids.Zone
	// order has the hosts in service, also those that are down.
	order []hingeids.HostID
	hosts map[hingeids.HostID]*lossHost
	// opening are the hosts whose process opens its journal.
	opening map[hingeids.HostID]*lossHost
	// wallOffset is by how much the time of day of a host is wrong.
	wallOffset map[hingeids.HostID]time.Duration
	busy       map[hingeids.HostID]bool
	losses     []*loss
	// beyond reports that more hosts than tolerated were lost at once since no loss counted any more;
	// disksBeyond that more disks were.
	beyond      bool
	disksBeyond bool
	// everBeyond reports that more was lost at any time.
	everBeyond bool
	// sent is the newest version that was proposed, refused those that were reported as not run.
	sent    hingeversion.Version
	refused map[hingeversion.Version]bool
	// known is the newest version that was confirmed or read.
	known       hingeversion.Version
	confirmedAt time.Time
	changed     chan struct{}
	lastRead    time.Time
	// unreadable is the longest time between two good reads.
	unreadable time.Duration
	// pending are the hosts whose loss was drawn and hasn't begun, and whether it is one of a disk.
	pending map[hingeids.HostID]bool
	// quiet keeps the operator from sending changes.
	quiet int
	trace []string
}

// newLossFleet returns a fleet whose hosts have names and haven't started.
func newLossFleet(t *testing.T, hosts int, seed uint64) *lossFleet {
	voters := min(hosts, 5)
	f := &lossFleet{
		t:            t,
		wires:        newWires(),
		hostsAtStart: hosts,
		voters:       voters,
		tolerated:    (voters - 1) / 2,
		catchUp:      time.Duration(envInt("LOSSES_CATCH_UP_MS", int(catchUpTime.Milliseconds()))) * time.Millisecond,
		literal:      os.Getenv("LOSSES_LITERAL") != "",
		ended:        make(chan struct{}),
		plan:         newDraws(seed, 14),
		random:       newDraws(seed, 15),
		starts:       seed << 16,
		hosts:        make(map[hingeids.HostID]*lossHost),
		opening:      make(map[hingeids.HostID]*lossHost),
		zones:        make(map[hingeids.HostID]hingeids.Zone),
		wallOffset:   make(map[hingeids.HostID]time.Duration),
		busy:         make(map[hingeids.HostID]bool),
		pending:      make(map[hingeids.HostID]bool),
		refused:      make(map[hingeversion.Version]bool),
		changed:      make(chan struct{}),
	}
	for range hosts {
		f.order = append(f.order, f.newID())
	}
	return f
}

// end stops all processes.
func (f *lossFleet) end() {
	if f.t.Failed() {
		f.t.Logf("hosts %d:\n%s", f.hostsAtStart, f.describe())
	}
	close(f.ended)
	for _, id := range f.running() {
		f.kill(id, false)
	}
	f.operators.Wait()
}

// runLossFleet runs f in a bubble with a fake clock, with a fleet whose votes are assigned.
func runLossFleet(t *testing.T, hosts int, seed uint64, f func(f *lossFleet)) {
	synctest.Test(t, func(t *testing.T) {
		g := newLossFleet(t, hosts, seed)
		contacts := slices.Clone(g.order[:3])
		for _, id := range g.order {
			g.start(id, newFaultyDisk(), contacts, true)
		}
		g.operators.Go(g.operate)
		g.operators.Go(g.account)
		mended := false
		for elapsed := time.Duration(0); elapsed < recoverTime && !mended; elapsed += readInterval {
			time.Sleep(readInterval)
			mended = g.isMended()
		}
		if !mended {
			t.Error("the group didn't start")
		}
		time.Sleep(time.Second)
		g.resetUnreadable()
		f(g)
		g.end()
	})
}

func (f *lossFleet) resetUnreadable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreadable = 0
}

func (f *lossFleet) running() []hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.hosts))
}

func (f *lossFleet) newID() hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	id := hingeids.HostID(fmt.Sprintf("core-%d", f.ids))
	f.zones[id] = hingeids.Zone(fmt.Sprintf("zone-%d", f.ids%3))
	return id
}

func (f *lossFleet) newIDInZoneOf(replaced hingeids.HostID) hingeids.HostID {
	id := f.newID()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[id] = f.zones[replaced]
	return id
}

func (f *lossFleet) zoneOf(id hingeids.HostID) hingeids.Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[id]
}

func (f *lossFleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (f *lossFleet) describe() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.Clone(f.trace)
	for _, id := range f.order {
		if x := f.hosts[id]; x != nil {
			s := x.group.Status()
			out = append(out, fmt.Sprintf("%v: leader %v, term %d, commit %d, last %d, version %d, members %+v",
				s.Self, s.Leader, s.Term, s.Commit, s.LastIndex, x.machine.Documents().Load().Version, s.Members))
		}
	}
	return strings.Join(out, "\n")
}

// contacts returns the addresses that a process is given at its start: up to three of the hosts in service.
func (f *lossFleet) contacts() []hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []hingeids.HostID
	for _, i := range f.random.perm(len(f.order))[:min(3, len(f.order))] {
		out = append(out, f.order[i])
	}
	return out
}

// start starts a host's process. Its disk may be full at first.
func (f *lossFleet) start(id hingeids.HostID, disk *faultyDisk, contacts []hingeids.HostID, bootstraps bool) {
	x := &lossHost{
		id:      id,
		disk:    disk,
		process: newProcess(),
		machine: hingeversion.New(),
		runErr:  make(chan error, 1),
		opened:  make(chan struct{}),
	}
	defer close(x.opened)
	f.mu.Lock()
	f.starts++
	seed := f.starts
	f.opening[id] = x
	f.mu.Unlock()
	link := f.wires.link(id, x.process)
	settings := Settings{
		Name:              "config",
		Self:              id,
		Hosts:             contacts,
		Open:              true,
		JoinOnly:          !bootstraps,
		Voters:            f.voters,
		CatchUp:           f.catchUp,
		Zone:              f.zoneOf,
		ElectionTimeout:   fleetElectionTimeout,
		HeartbeatInterval: fleetHeartbeatInterval,
		Clock:             x.process.now,
		WallClock: func() time.Time {
			now := x.process.now()
			f.mu.Lock()
			defer f.mu.Unlock()
			return now.Add(f.wallOffset[id])
		},
		Seed: seed,
	}
	view := diskView{
		disk:    disk,
		process: x.process,
	}
	for {
		var err error
		if x.group, err = New(settings, link, view, x.machine); err == nil {
			break
		}
		if x.process.isDead() {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.opening, id)
	if x.process.isDead() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go func() {
		x.runErr <- x.group.Run(ctx)
	}()
	go f.readAt(x)
	f.hosts[id] = x
}

// kill ends a host's process at once, and returns nil if none runs.
func (f *lossFleet) kill(id hingeids.HostID, losesPower bool) *lossHost {
	f.mu.Lock()
	x := f.hosts[id]
	delete(f.hosts, id)
	if opening := f.opening[id]; opening != nil {
		f.mu.Unlock()
		return f.killOpening(opening, losesPower)
	}
	f.mu.Unlock()
	if x == nil {
		return nil
	}
	f.wires.remove(id)
	close(x.process.dead)
	x.stop()
	if err := <-x.runErr; err != nil {
		f.t.Error(id, err)
	}
	if losesPower {
		x.disk.losePower(f.random)
	}
	return x
}

// killOpening ends a process that opens its journal.
func (f *lossFleet) killOpening(x *lossHost, losesPower bool) *lossHost {
	f.wires.remove(x.id)
	close(x.process.dead)
	<-x.opened
	f.mu.Lock()
	delete(f.opening, x.id)
	f.mu.Unlock()
	if losesPower {
		x.disk.losePower(f.random)
	}
	return x
}

func contentOf(v hingeversion.Version) string {
	return fmt.Sprintf("routes of version %d", v)
}

// operate proposes one version after another.
func (f *lossFleet) operate() {
	for {
		select {
		case <-f.ended:
			return
		case <-time.After(f.random.between(20*time.Millisecond, 120*time.Millisecond)):
		}
		f.mu.Lock()
		if f.quiet > 0 {
			f.mu.Unlock()
			continue
		}
		x := f.hosts[f.order[f.random.intN(len(f.order))]]
		f.sent++
		v := f.sent
		f.mu.Unlock()
		if x != nil {
			f.propose(x, v)
		}
	}
}

func (f *lossFleet) setQuiet(quiet bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if quiet {
		f.quiet++
	} else {
		f.quiet--
	}
}

func (f *lossFleet) propose(x *lossHost, v hingeversion.Version) {
	body, err := hingeversion.Document{
		Version: v,
		Body:    []byte(contentOf(v)),
	}.Encode()
	if err != nil {
		f.t.Error(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), readLimit)
	defer stop()
	_, err = x.group.Propose(ctx, body)
	if !x.process.pass() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.known = max(f.known, v)
		f.confirmedAt = time.Now()
		close(f.changed)
		f.changed = make(chan struct{})
	case hingeverdict.Of(err) == hingeverdict.NotRun:
		f.refused[v] = true
	}
}

func (f *lossFleet) readAt(x *lossHost) {
	interval := readInterval
	if f.hostsAtStart > 9 {
		interval = largeReadInterval
	}
	for x.process.sleep(interval) {
		f.mu.Lock()
		known := f.known
		f.mu.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), readLimit)
		_, err := x.group.Read(ctx)
		stop()
		if x.process.pass() {
			f.recordRead(x, err, known)
		}
	}
}

// recordRead checks a read, which began when the known version was in force already.
func (f *lossFleet) recordRead(x *lossHost, err error, known hingeversion.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		x.readableSince = time.Time{}
		return
	}
	d := *x.machine.Documents().Load()
	switch {
	case d.Version < known:
		f.t.Errorf("%s reads version %d after %d was confirmed or read", x.id, d.Version, known)
	case d.Version > f.sent || f.refused[d.Version]:
		f.t.Errorf("%s reads version %d, which was refused or not sent", x.id, d.Version)
	case d.Version > 0 && string(d.Body) != contentOf(d.Version):
		f.t.Errorf("%s reads %q as version %d", x.id, d.Body, d.Version)
	}
	now := time.Now()
	f.known = max(f.known, d.Version)
	f.unreadable = max(f.unreadable, now.Sub(f.lastRead))
	f.lastRead = now
	if x.readableSince.IsZero() {
		x.readableSince = now
	}
}

// account counts down the catch-up times, and records when more is lost than tolerated.
func (f *lossFleet) account() {
	for {
		select {
		case <-f.ended:
			return
		case <-time.After(accountStep):
		}
		f.mu.Lock()
		f.accountStep()
		f.mu.Unlock()
	}
}

func (f *lossFleet) accountStep() {
	lost, disks, unavailable := f.countLosses()
	if lost == 0 {
		f.beyond = false
		f.disksBeyond = false
	}
	f.beyond = f.beyond || lost > f.tolerated
	f.everBeyond = f.everBeyond || f.beyond
	f.disksBeyond = f.disksBeyond || disks > f.tolerated
	for _, l := range f.losses {
		// A lost disk can't be filled again while its host reaches no quorum: it is cut off for as long.
		if l.back && (unavailable <= f.tolerated || f.literal) {
			l.remaining -= accountStep
		}
	}
	f.losses = slices.DeleteFunc(f.losses, func(l *loss) bool {
		return l.remaining <= 0 && !l.expected
	})
}

// countLosses returns the numbers of lost hosts, of lost disks, and of hosts that are away or whose disk is lost.
func (f *lossFleet) countLosses() (lost, disks, unavailable int) {
	all := make(map[hingeids.HostID]bool)
	without := make(map[hingeids.HostID]bool)
	for _, l := range f.losses {
		if l.expected || l.remaining <= 0 {
			continue
		}
		all[l.id] = true
		if l.disk {
			disks++
		}
		if l.disk || !l.back {
			without[l.id] = true
		}
	}
	return len(all), disks, len(without)
}

func (f *lossFleet) lose(id hingeids.HostID, disk bool) *loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &loss{
		id:        id,
		disk:      disk,
		remaining: catchUpTime,
	}
	f.losses = append(f.losses, l)
	if f.pending[id] == disk {
		delete(f.pending, id)
	}
	return l
}

// expect announces the loss of a host whose replacement starts now.
func (f *lossFleet) expect(id hingeids.HostID) *loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &loss{
		id:        id,
		disk:      true,
		back:      true,
		expected:  true,
		remaining: catchUpTime,
	}
	f.losses = append(f.losses, l)
	return l
}

// beginExpected begins an announced loss. A host that is down already can't hand its vote over, so that the
// catch-up time counts from now.
func (f *lossFleet) beginExpected(l *loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, l.id)
	l.expected = false
	if f.hosts[l.id] == nil {
		l.remaining = catchUpTime
	}
}

func (f *lossFleet) returned(l *loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.back = true
}

// mayLose reports whether one more loss, or one more lost disk, is tolerated now.
func (f *lossFleet) mayLose(disk bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost, disks, _ := f.countLosses()
	lost += len(f.pending)
	for _, pending := range f.pending {
		if pending {
			disks++
		}
	}
	if disk {
		return disks < f.tolerated
	}
	return lost < f.tolerated
}

// isMended reports whether the leader's list of voters is complete and has only disks that are there.
func (f *lossFleet) isMended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.hosts {
		s := x.group.Status()
		if !s.IsLeader || s.Commit < s.LastIndex || !time.Now().Before(s.LeaseUntil) {
			continue
		}
		for _, m := range s.Members.Voters {
			if y := f.hosts[m.Host]; y == nil || y.group.Status().Self != m {
				return false
			}
		}
		return len(s.Members.Voters) == f.voters && !s.Members.IsReplacing()
	}
	return false
}

func (f *lossFleet) leader() hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, x := range f.hosts {
		if s := x.group.Status(); s.IsLeader && time.Now().Before(s.LeaseUntil) {
			return id
		}
	}
	return ""
}

// pick returns a running host that no other fault concerns, often the leader or else a voter, and marks
// it as busy until its fault has ended. It returns "" if there is none.
func (f *lossFleet) pick(losesDisk bool) hingeids.HostID {
	leader := f.leader()
	f.mu.Lock()
	defer f.mu.Unlock()
	var free, voters []hingeids.HostID
	for _, id := range f.order {
		x := f.hosts[id]
		if x == nil || f.busy[id] {
			continue
		}
		free = append(free, id)
		if s := x.group.Status(); s.Members.HasVoter(s.Self) {
			voters = append(voters, id)
		}
	}
	draw := f.plan.intN(10)
	id := hingeids.HostID("")
	switch {
	case len(free) == 0:
		return ""
	case draw < 4 && slices.Contains(free, leader):
		id = leader
	case draw < 8 && len(voters) > 0:
		id = voters[f.plan.intN(len(voters))]
	default:
		id = free[f.plan.intN(len(free))]
	}
	f.busy[id] = true
	f.pending[id] = losesDisk
	return id
}

func (f *lossFleet) release(id hingeids.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, id)
	delete(f.pending, id)
}

func (f *lossFleet) removeFromService(id hingeids.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = slices.DeleteFunc(f.order, func(o hingeids.HostID) bool {
		return o == id
	})
}

func (f *lossFleet) addToService(id hingeids.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = append(f.order, id)
}

// lossResult has the times from the last fault on. A time is resultLimit if the event didn't come.
type lossResult struct {
	// firstRead is the time until the first host is readable for good, eachRead until all are.
	firstRead time.Duration
	eachRead  time.Duration
	// change is the time until a change is confirmed, mended until all votes are with disks that are there.
	change time.Duration
	mended time.Duration
	// unreadable is the longest time without a good read anywhere, from the first fault on.
	unreadable  time.Duration
	beyond      bool
	everBeyond  bool
	disksBeyond bool
}

const (
	resultLimit = 15 * time.Second
	// observedFor is longer than the mending of a lost disk, which must not end the reads again.
	observedFor = catchUpTime + time.Second
)

func (r lossResult) bound() time.Duration {
	if r.beyond {
		return recoverTime
	}
	return contactTime
}

// String has the times in milliseconds, for the pages of measurements.
func (r lossResult) String() string {
	return fmt.Sprintf("first=%d each=%d change=%d mended=%d unreadable=%d beyond=%v everBeyond=%v disksBeyond=%v",
		r.firstRead.Milliseconds(), r.eachRead.Milliseconds(), r.change.Milliseconds(), r.mended.Milliseconds(),
		r.unreadable.Milliseconds(), r.beyond, r.everBeyond, r.disksBeyond)
}

// await measures the recovery once the last fault has ended.
func (f *lossFleet) await() lossResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountStep()
	lastFault := time.Now()
	r := lossResult{
		change:      resultLimit,
		mended:      resultLimit,
		beyond:      f.beyond,
		everBeyond:  f.everBeyond,
		disksBeyond: f.disksBeyond,
	}
	for elapsed := accountStep; elapsed <= resultLimit; elapsed += accountStep {
		f.mu.Unlock()
		time.Sleep(accountStep)
		mended := f.isMended()
		f.mu.Lock()
		if mended {
			r.mended = min(r.mended, elapsed)
		}
		if f.confirmedAt.After(lastFault) {
			r.change = min(r.change, elapsed)
		}
		f.recordTimes(&r, lastFault)
		if elapsed >= observedFor && max(r.eachRead, r.change, r.mended) < resultLimit {
			break
		}
	}
	return r
}

func (f *lossFleet) recordTimes(r *lossResult, lastFault time.Time) {
	r.firstRead = resultLimit
	r.eachRead = 0
	for _, id := range f.order {
		read := resultLimit
		if x := f.hosts[id]; x != nil && !x.readableSince.IsZero() {
			read = max(0, x.readableSince.Sub(lastFault))
		}
		r.firstRead = min(r.firstRead, read)
		r.eachRead = max(r.eachRead, read)
	}
	r.unreadable = max(f.unreadable, time.Since(f.lastRead))
}
