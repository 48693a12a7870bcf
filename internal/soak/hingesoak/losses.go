package hingesoak

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// lossCount knows until when each control host, by its index, counts as lost.
type lossCount struct {
	mu    sync.Mutex
	until []time.Time
	// active are the faults in progress at each host. changedAt is when a fault last began or ended.
	active    []int
	changedAt time.Time
}

func (l *lossCount) begin(hosts ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changedAt = time.Now()
	for _, i := range hosts {
		l.active[i]++
	}
}

// end ends a fault at the hosts, which count as lost until a moment that may be past.
func (l *lossCount) end(until time.Time, hosts ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changedAt = time.Now()
	for _, i := range hosts {
		l.active[i]--
		l.until[i] = until
	}
}

func (l *lossCount) lastChange() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changedAt
}

// admits reports whether no fault is in progress at the hosts, and no more than limit hosts would be lost together with
// the counted ones. A negative limit means any number.
func (l *lossCount) admits(limit int, hosts, counted []int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := 0
	for i := range l.until {
		if l.active[i] > 0 && slices.Contains(hosts, i) {
			return false
		}
		if l.active[i] > 0 || time.Now().Before(l.until[i]) || slices.Contains(counted, i) {
			lost++
		}
	}
	return limit < 0 || lost <= limit
}

// playLosses injects the losses of a plan, each as soon as it is admitted, and checks the reads after the last one.
func (s *soak) playLosses(ctx context.Context, operator *operator, faults []fault) {
	begin := time.Now()
	for _, f := range faults {
		hosts, counted := s.hostsOf(f)
		limit := maxLost(s.options)
		if s.options.Losses == OverlappingLosses || len(counted) == 0 {
			limit = -1
		}
		if !sleepUntil(ctx, begin.Add(f.at)) {
			return
		}
		for !s.fleet.lost.admits(limit, hosts, counted) {
			if !sleepUntil(ctx, time.Now().Add(admitInterval)) {
				return
			}
		}
		if f.afterAck && !s.awaitAck(ctx, operator, f.final) {
			break
		}
		_, _ = fmt.Fprintf(s.options.Out, "%8.3f s %s; begun at %.3f s\n", f.at.Seconds(), f, time.Since(begin).Seconds())
		s.checker.countFault()
		s.fleet.lost.begin(hosts...)
		s.fleet.faults.Go(func() {
			s.fleet.injectLoss(f, hosts)
		})
	}
	all := make([]int, s.options.Controls)
	for i := range all {
		all[i] = i
	}
	for !s.fleet.lost.admits(-1, all, nil) {
		if !sleepUntil(ctx, time.Now().Add(admitInterval)) {
			return
		}
	}
	s.checkReads(ctx, operator)
}

// hostsOf returns the control hosts that a fault hits, and those that it adds to the lost ones. All may be killed at once
// whatever is lost.
func (s *soak) hostsOf(f fault) (hosts, counted []int) {
	for i := range s.options.Controls {
		struck := f.kind == strike && f.takesDisk(i, s.options.Controls)
		switch {
		case struck, f.kind != strike && i == f.index, f.kind == cut && f.cut == cutApart:
			hosts, counted = append(hosts, i), append(counted, i)
		case f.kind == strike && f.scope != scopeNone:
			hosts = append(hosts, i)
		}
	}
	return hosts, counted
}

// takesDisk reports whether a strike takes the disk of the ith of n control hosts.
func (f fault) takesDisk(i, n int) bool {
	return (i-f.index+n)%n < f.disks
}

// awaitAck sends changes until one is accepted, and reports whether one was within the bound. Only before the last fault
// is it a violation if none is, and the load goes on without one otherwise.
func (s *soak) awaitAck(ctx context.Context, operator *operator, final bool) bool {
	timeout := ackBound
	if final {
		timeout = max(ackBound, time.Until(s.fleet.lost.lastChange().Add(s.calmBound()+ackBound)))
	}
	if waitFor(ctx, timeout, func() bool {
		return operator.sendNext(ctx, 1)
	}) || !final {
		return true
	}
	s.checker.recordViolation("a change is accepted", "", fmt.Sprintf("none within %v, %v after the last loss", timeout, time.Since(s.fleet.lost.lastChange())))
	return false
}

// calmBound is the time after the last fault within which the control hosts serve again.
func (s *soak) calmBound() time.Duration {
	if s.options.Losses == OverlappingLosses {
		return recoveryBound
	}
	return contactBound
}

// checkReads checks that every control host returns the newest configuration within the bound after the last fault.
func (s *soak) checkReads(ctx context.Context, operator *operator) {
	last := s.fleet.lost.lastChange()
	var reads sync.WaitGroup
	for _, p := range s.fleet.controlHosts() {
		reads.Go(func() {
			detail := ""
			for ok := false; !ok; {
				if ok, detail = operator.readAt(ctx, p.settings.ControlAddress); !ok {
					if time.Since(last) > s.calmBound()+unreadableTimeout || !sleepUntil(ctx, time.Now().Add(readInterval)) {
						s.checker.recordViolation("the configuration is readable after the last fault", "",
							fmt.Sprintf("%s: not within %v, the last answer: %s", p.name, time.Since(last), detail))
						return
					}
				}
			}
			after := time.Since(last)
			s.checker.recordFinalRead(after)
			if after > s.calmBound() {
				s.checker.recordViolation("the configuration is readable after the last fault", "", fmt.Sprintf("%s: after %v", p.name, after))
			}
		})
	}
	reads.Wait()
}

// injectLoss applies a fault and returns after its end.
func (x *fleet) injectLoss(f fault, hosts []int) {
	p := x.controlHosts()[f.index]
	until := time.Time{}
	switch f.kind {
	case cut:
		cuts := x.cutPaths(f)
		x.relay.setCuts(cuts, true)
		time.Sleep(f.duration)
		x.relay.setCuts(cuts, false)
	case strike:
		x.strike(f)
	case replace:
		p.mu.Lock()
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
		p.mu.Unlock()
		time.Sleep(f.duration)
		x.swapControl(f)
	case handOver:
		old := x.swapControl(f)
		until = time.Now().Add(catchUp)
		time.Sleep(f.duration)
		old.mu.Lock()
		defer old.mu.Unlock()
		old.signal(syscall.SIGTERM)
		defer func() {
			if !old.wait(old.settings.Grace) {
				x.checker.recordViolation("a process exits within its grace period", "", old.name)
			}
		}()
	default:
		x.applyFault(p, f)
	}
	if f.kind != handOver {
		until = time.Now().Add(catchUp)
	}
	x.lost.end(until, hosts...)
}

// swapControl starts an empty control host at a new address in the place of another one, which it returns.
func (x *fleet) swapControl(f fault) *process {
	x.swap.Lock()
	defer x.swap.Unlock()
	hosts := slices.Clone(x.controlHosts())
	old := hosts[f.index]
	p := x.newProcess(true, len(hosts)+1+len(x.replaced()), old.settings.Zone)
	p.settings.FirstStart = false
	p.emptyAt = time.Now()
	p.settings.Seeds = x.seeds(f.seeds, p, old)
	if err := x.relay.add(p); err != nil {
		_, _ = fmt.Fprintln(x.options.Out, err)
	}
	x.restart(p)
	hosts[f.index] = p
	x.mu.Lock()
	defer x.mu.Unlock()
	x.controls, x.gone = hosts, append(x.gone, old)
	return old
}

// seeds returns the seeds of a process that is started, for an empty disk some of which run: the settings name the hosts of some
// seconds before. The host that the process replaces, if any, is no such one.
func (x *fleet) seeds(choice seedChoice, p *process, replaced ...*process) []hingeids.HostID {
	var present, gone []hingeids.HostID
	for _, c := range x.controlHosts() {
		if slices.Contains(replaced, c) {
			continue
		}
		present = append(present, hingeids.HostID(c.settings.IP))
	}
	for _, c := range x.replaced() {
		gone = append(gone, hingeids.HostID(c.settings.IP))
	}
	first := x.firstSeeds
	hasData := p.settings.DataFolder != "" && time.Since(p.emptyAt) > catchUp
	switch {
	case choice == seedsGone && hasData && len(gone) > 0:
		return gone[max(len(gone)-maxSeeds, 0):]
	case choice != seedsNew && slices.ContainsFunc(first, func(h hingeids.HostID) bool {
		return slices.Contains(present, h) && string(h) != p.settings.IP
	}):
		return first
	}
	return present[:min(len(present), maxSeeds)]
}

// restartWith starts a process again, in a run with losses with the seeds of a choice; none means the first ones.
func (x *fleet) restartWith(p *process, choice seedChoice) {
	if x.relay != nil {
		p.settings.Seeds = x.seeds(cmp.Or(choice, seedsOld), p)
	}
	x.restart(p)
}

// strike kills processes at once, removes the data of some control hosts and starts all again.
func (x *fleet) strike(f fault) {
	controls := x.controlHosts()
	var hit []*process
	for i, p := range controls {
		if struck := f.takesDisk(i, len(controls)); struck || f.scope != scopeNone {
			p.mu.Lock()
			if struck {
				p.emptyAt = time.Now()
			}
			p.settings.Seeds = x.seeds(f.seeds, p)
			hit = append(hit, p)
			defer p.mu.Unlock()
		}
	}
	for i, p := range x.entries {
		// An entry host with a fault of its own is passed over.
		if f.scope != scopeAll || !p.mu.TryLock() {
			continue
		}
		x.checker.recordHostFault(i)
		defer x.checker.recordHostFault(i)
		p.settings.Seeds = x.seeds(f.seeds, p)
		hit = append(hit, p)
		defer p.mu.Unlock()
	}
	for _, p := range hit {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range hit {
		p.wait(time.Second)
	}
	for i := range f.disks {
		// After a failed removal the host starts with its old data.
		_ = os.RemoveAll(controls[(f.index+i)%len(controls)].settings.DataFolder)
	}
	time.Sleep(f.duration)
	for _, p := range hit {
		x.restart(p)
	}
}

// cutPaths returns the paths that a cut blocks.
func (x *fleet) cutPaths(f fault) []path {
	var out []path
	controls := x.controlHosts()
	self := controls[f.index]
	for _, p := range x.all() {
		for _, q := range controls {
			if p == q || f.cut != cutApart && p != self && q != self || f.cut != cutAll && p.role != q.role {
				continue
			}
			there := path{
				from: p.settings.IP,
				to:   q.settings.IP,
			}
			back := path{
				from: there.to,
				to:   there.from,
			}
			if f.cut != cutFrom || p == self {
				out = append(out, there)
			}
			if f.cut == cutAll && p.role != q.role && q == self {
				out = append(out, back)
			}
		}
	}
	if f.cut == cutTo {
		out = slices.DeleteFunc(out, func(c path) bool {
			return c.from == self.settings.IP
		})
	}
	return out
}
