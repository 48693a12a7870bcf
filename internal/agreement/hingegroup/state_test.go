package hingegroup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// callCounts counts the calls of all hosts by method.
type callCounts struct {
	mu     sync.Mutex
	counts map[hingelink.Method]int
	// latency delays each call, and so does its size at bytesPerSecond, if that is set. bytes counts the bodies.
	latency        time.Duration
	bytesPerSecond int
	bytes          int
}

func (c *callCounts) add(method hingelink.Method) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[hingelink.Method]int)
	}
	c.counts[method]++
}

func (c *callCounts) setLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

func (c *callCounts) setRate(bytesPerSecond int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesPerSecond = bytesPerSecond
}

// takeBytes returns the bytes that were sent since the last call.
func (c *callCounts) takeBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.bytes
	c.bytes = 0
	return n
}

// delay returns the time that a call with a body takes.
func (c *callCounts) delay(size int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += size
	if c.bytesPerSecond == 0 {
		return c.latency
	}
	return c.latency + time.Duration(size)*time.Second/time.Duration(c.bytesPerSecond)
}

func (c *callCounts) of(method hingelink.Method) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[method]
}

type countingLink struct {
	hingelink.Link
	counts *callCounts
}

func (l *countingLink) Call(ctx context.Context, to hingeids.HostID, method hingelink.Method, body []byte) ([]byte, error) {
	l.counts.add(method)
	select {
	case <-time.After(l.counts.delay(len(body))):
	case <-ctx.Done():
		return nil, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, ctx.Err())
	}
	return l.Link.Call(ctx, to, method, body)
}

// readState returns the version that an operator's read at a host returns.
func (g *openGroup) readState(at hingeids.HostID) (hingeversion.Version, error) {
	ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer stop()
	b, err := g.hosts[at].group.ReadState(ctx)
	if err != nil {
		return 0, err
	}
	m := hingeversion.New()
	if err := m.Restore(b); err != nil {
		g.t.Fatal(err)
	}
	return m.Documents().Load().Version, nil
}

func (g *openGroup) mustReadState(at hingeids.HostID, want hingeversion.Version) {
	g.t.Helper()
	start := time.Now()
	if v, err := g.readState(at); v != want || err != nil {
		g.t.Errorf("read at %s: version %d, %v, want %d", at, v, err, want)
	}
	if elapsed := time.Since(start); elapsed > 600*time.Millisecond {
		g.t.Errorf("the read at %s took %v", at, elapsed)
	}
}

func emptyDisk() *fillableDisk {
	return &fillableDisk{
		memoryDisk: newMemoryDisk(),
	}
}

// startUnwritable starts a host whose disk is full, so that it can neither join nor catch up.
func (g *openGroup) startUnwritable(id hingeids.HostID, disk *fillableDisk) {
	g.start(id, disk, false)
	disk.full.Store(true)
}

// notLeading returns a seed that doesn't lead, other than the given one.
func (g *openGroup) notLeading(other hingeids.HostID) hingeids.HostID {
	for _, id := range seeds {
		if x := g.hosts[id]; x != nil && id != other && x.group.Leader() != id {
			return id
		}
	}
	g.t.Fatal("all hosts lead")
	return ""
}

// A read and a change must work at a host that was just wiped and isn't a member yet. Operators may know no other.
func TestWipedHostServesOperators(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		wiped := g.notLeading("")
		g.kill(wiped)
		g.startUnwritable(wiped, emptyDisk())
		g.mustReadState(wiped, 1)
		time.Sleep(time.Second)
		g.mustReadState(wiped, 1)
		if err := g.change(wiped, 2); err != nil {
			t.Errorf("a change at the wiped host: %v", err)
		}
		g.mustReadState(wiped, 2)
	})
}

// A read must work at a member whose own copy lags behind, and must not return that copy.
func TestHostWithOldCopyServesOperators(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		behind := g.notLeading("")
		g.hosts[behind].disk.stall(5 * time.Second)
		g.mustChange(g.notLeading(behind), 2)
		g.mustReadState(behind, 2)
		time.Sleep(2 * time.Second)
		g.mustReadState(behind, 2)
	})
}

// A read must work at a host that was removed from the group while it was down.
func TestRemovedHostServesOperators(t *testing.T) {
	for name, full := range map[string]bool{
		"may rejoin":   false,
		"can't rejoin": true,
	} {
		t.Run(name, func(t *testing.T) {
			withOpenGroup(t, func(t *testing.T, g *openGroup) {
				g.mustChange("core-1", 1)
				away := g.kill(g.notLeading(""))
				id := away.group.settings.Self
				g.start("core-4", emptyDisk(), false)
				time.Sleep(40 * time.Second)
				g.mustChange("core-4", 2)
				if full {
					g.startUnwritable(id, away.disk)
				} else {
					g.start(id, away.disk, false)
				}
				for range 10 {
					g.mustReadState(id, 2)
					time.Sleep(100 * time.Millisecond)
				}
				if err := g.change(id, 3); err != nil {
					t.Errorf("a change at the removed host: %v", err)
				}
			})
		})
	}
}

// A host whose seeds are gone must find the group by the messages that arrive for its lost disk, or by hosts that
// the process knows from elsewhere.
func TestHostWhoseSeedsAreGoneServesOperators(t *testing.T) {
	for name, contacts := range map[string][]hingeids.HostID{
		"messages for the lost disk": nil,
		"contacts":                   seeds,
	} {
		t.Run(name, func(t *testing.T) {
			withOpenGroup(t, func(t *testing.T, g *openGroup) {
				g.mustChange("core-1", 1)
				id := g.notLeading("")
				g.kill(id)
				g.seeds = []hingeids.HostID{"gone-1", "gone-2"}
				if len(contacts) > 0 {
					id = "core-4"
				}
				g.contacts = contacts
				g.startUnwritable(id, emptyDisk())
				time.Sleep(300 * time.Millisecond)
				g.mustReadState(id, 1)
			})
		})
	}
}

// A wiped host whose seeds are gone must get its vote back as well, else the next loss leaves no quorum.
func TestWipedHostWhoseSeedsAreGoneJoins(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		id := g.notLeading("")
		g.kill(id)
		g.seeds = []hingeids.HostID{"gone-1", "gone-2"}
		g.start(id, emptyDisk(), false)
		time.Sleep(4 * time.Second)
		if s := g.hosts[id].group.Status(); !s.Members.HasVoter(s.Self) {
			t.Errorf("members %+v", s.Members)
		}
	})
}

// Reads of one moment must share their queries. After a power failure many followers and operators ask at once.
func TestReadsOfOneMomentShareQueries(t *testing.T) {
	for name, wiped := range map[string]bool{
		"member":     false,
		"wiped host": true,
	} {
		t.Run(name, func(t *testing.T) {
			withOpenGroup(t, func(t *testing.T, g *openGroup) {
				g.mustChange("core-1", 1)
				id := g.notLeading("")
				if wiped {
					g.kill(id)
					g.startUnwritable(id, emptyDisk())
					time.Sleep(time.Second)
				}
				g.calls.setLatency(time.Millisecond)
				before := g.calls.of("config.read") + g.calls.of("config.state")
				var reads sync.WaitGroup
				for range 1000 {
					reads.Go(func() {
						if v, err := g.readState(id); v != 1 || err != nil {
							t.Errorf("version %d, %v", v, err)
						}
					})
				}
				reads.Wait()
				if n := g.calls.of("config.read") + g.calls.of("config.state") - before; n > 10 {
					t.Errorf("1000 reads made %d calls", n)
				}
			})
		})
	}
}

// Without a leader, a read must be refused soon, also if the other hosts don't answer.
func TestReadWithoutLeaderIsRefusedSoon(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		for _, id := range seeds[1:] {
			g.network.Suspend(id)
		}
		defer func() {
			for _, id := range seeds[1:] {
				g.network.Resume(id)
			}
		}()
		time.Sleep(5 * time.Second)
		start := time.Now()
		_, err := g.readState(seeds[0])
		if elapsed := time.Since(start); elapsed > 400*time.Millisecond {
			t.Errorf("refused after %v", elapsed)
		}
		var u *Unavailable
		if !errors.As(err, &u) || u.Reason != NoLeader || len(u.Asked) < 2 {
			t.Errorf("got %v", err)
		}
	})
}

// A change whose answer was lost may have run, so it must not be sent to the leader again.
func TestChangeAtWipedHostIsSentOnce(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		wiped := g.notLeading("")
		leader := g.hosts[wiped].group.Leader()
		g.kill(wiped)
		g.startUnwritable(wiped, emptyDisk())
		g.mustReadState(wiped, 1)
		g.network.Cut(leader, wiped)
		before := g.calls.of("config.propose")
		err := g.change(wiped, 2)
		if v := hingeverdict.Of(err); v == hingeverdict.Ran {
			t.Errorf("a change without an answer has verdict %v", v)
		}
		if n := g.calls.of("config.propose") - before; n > 1 {
			t.Errorf("the change was sent %d times", n)
		}
	})
}

// Through drawn losses, cuts and empty disks, no read at any host may return less than what was accepted before it,
// and nothing that was accepted may be lost.
func TestReadsAreNeverOlderThanAcceptedChanges(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withOpenGroup(t, func(t *testing.T, g *openGroup) {
				d := drawnFaults{
					group:  g,
					random: rand.New(rand.NewPCG(seed, 1)),
				}
				d.run(30 * time.Second)
				t.Logf("version %d accepted, %d reads answered, %d failed", d.accepted, d.answered, d.failed)
			})
		})
	}
}

// drawnFaults plays faults, one after the other, beside reads and changes.
type drawnFaults struct {
	group  *openGroup
	random *rand.Rand
	// pause is the time after the last fault within which the next one isn't to be borne.
	pause    time.Duration
	spares   int
	mu       sync.Mutex
	accepted hingeversion.Version
	answered int
	failed   int
}

func (d *drawnFaults) newest() hingeversion.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepted
}

func (d *drawnFaults) read(id hingeids.HostID, x *openHost) {
	atLeast := d.newest()
	ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer stop()
	b, err := x.group.ReadState(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failed++
		return
	}
	d.answered++
	m := hingeversion.New()
	if err := m.Restore(b); err != nil {
		d.group.t.Error(err)
	}
	if v := m.Documents().Load().Version; v < atLeast {
		d.group.t.Errorf("a read at %s returned version %d, and %d was accepted before it", id, v, atLeast)
	}
}

func (d *drawnFaults) change(x *openHost, v hingeversion.Version) {
	body, err := hingeversion.Document{
		Version: v,
		Body:    []byte("routes"),
	}.Encode()
	if err != nil {
		d.group.t.Error(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer stop()
	if _, err := x.group.Propose(ctx, body); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = max(d.accepted, v)
}

func (d *drawnFaults) run(length time.Duration) {
	g := d.group
	end := time.Now().Add(length)
	var work sync.WaitGroup
	version := hingeversion.Version(0)
	nextFault := time.Now().Add(time.Second)
	mend := func() {}
	for time.Now().Before(end) {
		for id, x := range g.hosts {
			work.Go(func() {
				d.read(id, x)
			})
		}
		version++
		x := g.hosts[d.host()]
		v := version
		work.Go(func() {
			d.change(x, v)
		})
		time.Sleep(time.Duration(10+d.random.IntN(60)) * time.Millisecond)
		if time.Now().After(nextFault) {
			mend()
			mend = d.fault()
			nextFault = time.Now().Add(d.pause + time.Duration(500+d.random.IntN(6000))*time.Millisecond)
		}
	}
	work.Wait()
	mend()
	time.Sleep(8 * time.Second)
	for id := range g.hosts {
		if v, err := g.readState(id); v < d.accepted || err != nil {
			g.t.Errorf("at the end a read at %s returned version %d, %v, and %d was accepted", id, v, err, d.accepted)
		}
	}
}

func (d *drawnFaults) host() hingeids.HostID {
	return seeds[d.random.IntN(len(seeds))]
}

func (d *drawnFaults) spare() hingeids.HostID {
	return hingeids.HostID(fmt.Sprint("spare-", d.spares))
}

// fault plays one fault and returns what ends it.
func (d *drawnFaults) fault() func() {
	g := d.group
	id := d.host()
	d.pause = 0
	switch d.random.IntN(6) {
	case 0:
		disk := g.kill(id).disk
		g.start(id, disk, false)
	case 1:
		g.kill(id)
		g.start(id, emptyDisk(), false)
		d.pause = catchUpTime
	case 2:
		g.network.Suspend(id)
		return func() {
			g.network.Resume(id)
		}
	case 3:
		g.hosts[id].disk.stall(time.Duration(d.random.IntN(3000)) * time.Millisecond)
	case 4:
		other := d.host()
		g.network.Cut(id, other)
		if d.random.IntN(2) == 0 {
			g.network.Cut(other, id)
		}
		return func() {
			g.network.Restore(id, other)
			g.network.Restore(other, id)
		}
	case 5:
		// A host beyond the voters comes at a new address, and the one before it leaves for good.
		if d.spares > 0 {
			g.kill(d.spare())
			d.pause = catchUpTime
		}
		d.spares++
		g.start(d.spare(), emptyDisk(), false)
	}
	return func() {}
}

// If a failed write makes a host restart from its disk while a read takes the state, the older state must not be
// returned.
func TestStateFromBeforeARestartIsNotReturned(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		g.mustChange("core-1", 2)
		time.Sleep(time.Second)
		id := g.notLeading("")
		x := g.hosts[id]
		interrupted := false
		x.group.ServeState(func() []byte {
			if !interrupted {
				interrupted = true
				x.disk.full.Store(true)
				g.mustChange(g.notLeading(id), 3)
				time.Sleep(100 * time.Millisecond)
				x.disk.full.Store(false)
				for x.machine.Documents().Load().Version > 0 {
					time.Sleep(time.Millisecond)
				}
			}
			return x.machine.Snapshot()
		})
		if v, err := g.readState(id); err == nil && v < 2 {
			t.Errorf("read version %d after version 2 was accepted", v)
		}
		if !interrupted {
			t.Error("the read didn't use the local copy")
		}
		time.Sleep(time.Second)
		g.mustReadState(id, 3)
	})
}

// While no leader is known, reads must not multiply: each host asks each other one once for all reads of a moment.
func TestReadsOfManyHostsWithoutLeaderStayFew(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		const hosts, reads = 25, 100
		for i := len(seeds); i < hosts; i++ {
			g.start(hingeids.HostID(fmt.Sprint("core-", i+1)), emptyDisk(), false)
		}
		g.mustChange("core-1", 1)
		time.Sleep(5 * time.Second)
		var lost []*openHost
		for id := range g.voters("core-4") {
			if len(lost) < 2 {
				lost = append(lost, g.kill(id))
			}
		}
		time.Sleep(3 * time.Second)
		g.calls.setLatency(time.Millisecond)
		before := g.calls.of("config.read") + g.calls.of("config.state")
		var work sync.WaitGroup
		for id := range g.hosts {
			for range reads {
				work.Go(func() {
					if _, err := g.readState(id); err == nil {
						t.Error("a read was answered without a quorum")
					}
				})
			}
		}
		work.Wait()
		n := g.calls.of("config.read") + g.calls.of("config.state") - before
		t.Logf("%d reads made %d calls", reads*len(g.hosts), n)
		if n > 2*hosts*hosts {
			t.Errorf("%d reads at %d hosts made %d calls", reads*len(g.hosts), len(g.hosts), n)
		}
		g.calls.setLatency(0)
		for _, x := range lost {
			g.start(x.group.settings.Self, x.disk, false)
		}
		time.Sleep(contactTime)
		for id := range g.hosts {
			g.mustReadState(id, 1)
		}
	})
}
