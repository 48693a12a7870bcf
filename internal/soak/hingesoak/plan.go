package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type kind string

// The kinds of faults. wipe kills a control host and restarts it with an empty data
// folder; killAllControls kills all control hosts at once and keeps their data.
const (
	kill            kind = "kill"
	term            kind = "term"
	freeze          kind = "freeze"
	wipe            kind = "wipe"
	killAllControls kind = "storm"
	hup             kind = "hup"
	link            kind = "link"
)

type fault struct {
	at   time.Duration
	kind kind
	// control selects the control hosts, else the entry hosts. index is the number of the
	// host, or of the backend server for link.
	control  bool
	index    int
	duration time.Duration
	mode     mode
	// limit is the rate limit that a server names.
	limit hingeids.RequestsPerSecond
	// reports is the number of reports of each server that are late; again says that they arrive a second time.
	reports int
	again   bool
	loss
}

func (f fault) String() string {
	host := "entry"
	if f.control {
		host = "control"
	}
	if f.seeds != "" {
		return f.lossString()
	}
	switch f.kind {
	case late:
		return f.lateString()
	case limit:
		return fmt.Sprintf("server %d names a limit of %v/s for %v", f.index, f.limit, f.duration)
	case leave, refuse:
		return fmt.Sprintf("server %d: %s for %v", f.index, f.kind, f.duration)
	case link:
		return fmt.Sprintf("link of server %d: %s for %v", f.index, f.mode, f.duration)
	}
	return fmt.Sprintf("%s %s %d for %v", f.kind, host, f.index, f.duration)
}

// plan generates the faults of a run (rules 1 and 2).
func plan(random *rand.Rand, o Options) []fault {
	var out []fault
	at := 500 * time.Millisecond
	for at < o.Duration {
		f := fault{
			at:       at,
			kind:     []kind{kill, term, freeze, wipe, killAllControls, hup, link, link, link}[random.IntN(9)],
			control:  random.IntN(2) == 0,
			duration: time.Duration(200+random.IntN(3000)) * time.Millisecond,
		}
		switch {
		case f.kind == link:
			f.index = random.IntN(len(serverKinds))
			f.mode = []mode{delay, reset, oneWay, silent}[random.IntN(4)]
		case f.kind == wipe || f.kind == killAllControls:
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

// inject starts a fault and returns; the fault ends after its duration.
func (s *soak) inject(ctx context.Context, f fault) {
	switch {
	case f.kind == late:
		for _, x := range s.servers {
			x.reports.begin(f)
		}
	case f.kind == limit || f.kind == leave || f.kind == refuse:
		s.servers[f.index].setNeed(f)
	case f.kind == link:
		s.servers[f.index].proxy.setMode(f.mode)
		time.AfterFunc(f.duration, func() {
			s.servers[f.index].proxy.setMode(passThrough)
		})
	case f.kind == killAllControls:
		s.fleet.killAllControls()
	case f.control:
		s.fleet.injectControl(ctx, f)
	default:
		s.checker.recordHostFault(f.index)
		s.fleet.injectProcess(s.fleet.entries[f.index], f)
	}
}

// injectControl applies a fault to a control host, unless another one is still affected.
// Further faults are skipped until the host has had repairTime to catch up.
func (x *fleet) injectControl(ctx context.Context, f fault) {
	if !x.controlDown.TryLock() {
		return
	}
	p := x.controlHosts()[f.index]
	x.injectProcess(p, f)
	x.faults.Go(func() {
		defer x.controlDown.Unlock()
		pause := f.duration + repairTime
		t := time.NewTimer(pause)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	})
}

// repairTime is the time for a restarted control host to restore its data.
const repairTime = 4 * time.Second

// signalDelay is the minimum age of a process for SIGHUP and SIGTERM, whose handlers
// aren't installed before.
const signalDelay = 300 * time.Millisecond

// injectProcess applies a fault to one process in the background.
func (x *fleet) injectProcess(p *process, f fault) {
	x.faults.Go(func() {
		x.applyFault(p, f)
	})
}

// applyFault applies a fault to one process and returns after its end.
func (x *fleet) applyFault(p *process, f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !f.control {
		defer x.checker.recordHostFault(f.index)
	} else if len(x.options.Disturbances) > 0 {
		x.lost.touch()
		defer x.lost.touch()
	}
	switch f.kind {
	case hup:
		time.Sleep(time.Until(p.started.Add(signalDelay)))
		p.signal(syscall.SIGHUP)
	case freeze:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		p.signal(syscall.SIGCONT)
	case term:
		time.Sleep(time.Until(p.started.Add(signalDelay)))
		p.signal(syscall.SIGTERM)
		if !p.wait(p.settings.Grace) {
			x.checker.recordViolation("a process exits within its grace period", "", p.name)
		}
		x.restartWith(p, f.seeds)
	default:
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
		if f.kind == wipe {
			p.emptyAt = time.Now()
			// After a failed removal the host restarts with its old data.
			_ = os.RemoveAll(p.settings.DataFolder)
		}
		time.Sleep(f.duration)
		x.restartWith(p, f.seeds)
	}
}

func (x *fleet) killAllControls() {
	if !x.controlDown.TryLock() {
		return
	}
	x.faults.Go(func() {
		defer x.controlDown.Unlock()
		if len(x.options.Disturbances) > 0 {
			x.lost.touch()
		}
		for _, p := range x.controlHosts() {
			p.mu.Lock()
			p.signal(syscall.SIGKILL)
		}
		for _, p := range x.controlHosts() {
			p.wait(time.Second)
			x.restart(p)
			p.mu.Unlock()
		}
		if len(x.options.Disturbances) > 0 {
			x.lost.touch()
		}
		time.Sleep(repairTime)
	})
}
