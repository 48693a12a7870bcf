package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// kind is a kind of fault.
type kind string

// The kinds of faults. A wipe kills a control host, which comes back with an empty disk; a
// storm kills all control hosts at once and keeps their disks.
const (
	kill   kind = "kill"
	term   kind = "term"
	freeze kind = "freeze"
	wipe   kind = "wipe"
	storm  kind = "storm"
	hup    kind = "hup"
	link   kind = "link"
)

// fault is one entry of a plan.
type fault struct {
	at   time.Duration
	kind kind
	// control says that a control host is meant, else an entry host; index is which one, or
	// which backend server.
	control bool
	index   int
	lasts   time.Duration
	mode    mode
}

func (f fault) String() string {
	who := "entry"
	if f.control {
		who = "control"
	}
	if f.kind == link {
		return fmt.Sprintf("link of server %d: %s for %v", f.index, f.mode, f.lasts)
	}
	return fmt.Sprintf("%s %s %d for %v", f.kind, who, f.index, f.lasts)
}

// plan draws the faults of a run (rules 1 and 2).
func plan(random *rand.Rand, o Options) []fault {
	var out []fault
	at := 500 * time.Millisecond
	for at < o.Lasts {
		f := fault{
			at:      at,
			kind:    []kind{kill, term, freeze, wipe, storm, hup, link, link, link}[random.IntN(9)],
			control: random.IntN(2) == 0,
			lasts:   time.Duration(200+random.IntN(3000)) * time.Millisecond,
		}
		switch {
		case f.kind == link:
			f.index = random.IntN(len(serverKinds))
			f.mode = []mode{delay, reset, oneWay, silent}[random.IntN(4)]
		case f.kind == wipe || f.kind == storm:
			f.control = true
			f.index = random.IntN(o.Controls)
		case f.control:
			f.index = random.IntN(o.Controls)
		default:
			f.index = random.IntN(o.Entries)
		}
		out = append(out, f)
		at += time.Duration(200+random.IntN(1500)) * time.Millisecond
	}
	return out
}

// inject begins a fault; it ends by itself.
func (s *soak) inject(ctx context.Context, f fault) {
	switch {
	case f.kind == link:
		s.servers[f.index].proxy.set(f.mode)
		time.AfterFunc(f.lasts, func() {
			s.servers[f.index].proxy.set(pass)
		})
	case f.kind == storm:
		s.fleet.storm()
	case f.control:
		s.fleet.strikeControl(ctx, f)
	default:
		s.fleet.strike(s.fleet.entries[f.index], f)
	}
}

// strikeControl loses one control host at a time. After a wipe the next loss waits
// until the host that lost its disk is repaired.
func (x *fleet) strikeControl(ctx context.Context, f fault) {
	if !x.controlLost.TryLock() {
		return
	}
	p := x.controls[f.index]
	x.strike(p, f)
	x.faults.Go(func() {
		defer x.controlLost.Unlock()
		pause := f.lasts + repairTime
		t := time.NewTimer(pause)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	})
}

// repairTime is how long a control host may take to hold everything again after it is back.
const repairTime = 4 * time.Second

// bornTime is how long after its start a process gets no signal that it has to take: no program
// can take one before its first instruction.
const bornTime = 300 * time.Millisecond

// strike does one thing to one process.
func (x *fleet) strike(p *process, f fault) {
	x.faults.Go(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		switch f.kind {
		case hup:
			time.Sleep(time.Until(p.started.Add(bornTime)))
			p.signal(syscall.SIGHUP)
		case freeze:
			p.signal(syscall.SIGSTOP)
			time.Sleep(f.lasts)
			p.signal(syscall.SIGCONT)
		case term:
			time.Sleep(time.Until(p.started.Add(bornTime)))
			p.signal(syscall.SIGTERM)
			if !p.wait(p.settings.Grace) {
				x.book.broken("ends within its grace", "", p.name)
			}
			x.restart(p)
		default:
			p.signal(syscall.SIGKILL)
			p.wait(time.Second)
			if f.kind == wipe {
				// A failed removal shows as a host that is not repaired from nothing.
				_ = os.RemoveAll(p.settings.DataFolder)
			}
			time.Sleep(f.lasts)
			x.restart(p)
		}
	})
}

// storm kills all control hosts at the same moment.
func (x *fleet) storm() {
	if !x.controlLost.TryLock() {
		return
	}
	x.faults.Go(func() {
		defer x.controlLost.Unlock()
		for _, p := range x.controls {
			p.mu.Lock()
			p.signal(syscall.SIGKILL)
		}
		for _, p := range x.controls {
			p.wait(time.Second)
			x.restart(p)
			p.mu.Unlock()
		}
		time.Sleep(repairTime)
	})
}
