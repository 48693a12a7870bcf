// Package hingesoak runs swifthinge-fleet as separate processes on loopback addresses,
// injects faults from outside them, and checks the guarantees for callers, backend
// servers and operators during the run.
//
//  1. The plan of faults is generated from a seed and the numbers of hosts, and printed,
//     so that a run can be repeated. Scheduling on the machine is not reproduced.
//  2. Faults overlap, within what three control hosts tolerate: either one control host
//     fails at a time, or all are killed at once and keep their data. Losses
//     (rules 9 and 10) replace these faults of control hosts.
//  3. Callers keep their connections open until the process at the other end exits.
//  4. Only processes that the run started are signalled, by process id.
//  5. Guarantees are checked by what callers, stand-ins and operators observe, not by logs.
//  6. Connections to backend servers pass a proxy, which delays, resets, blocks (in one
//     direction) or silences them. Links between the processes are affected only by
//     signals to the processes, and with losses by a relay that all their datagrams pass.
//  7. A poison request crashes each server that runs it. The server restarts after a
//     delay under another name. The request is resent to any entry host under a new id.
//     So does each decode engine that runs a request with a poison part; other requests with the part that all prompts
//     share are answered.
//  8. Servers in need state it in their answers for a while. An entry host that has received such an answer obeys it,
//     whatever happens to other processes, until it is restarted or suspended itself.
//  9. Tolerable losses leave no more control hosts lost at a time than the settings say; a host counts as lost while a
//     fault is in progress there, and for the catch-up time after its start or its return. The next loss begins as soon as it is
//     tolerated. All control hosts may be killed at any time, if they keep their disks. Overlapping losses
//     begin at any time, and only take no more disks than the settings say.
//  10. The last loss follows an accepted change at once. Then each control host must return the newest accepted
//     configuration, with the content that was sent, within the contact time, or the recovery time after overlapping losses.
//  11. With late reports, the next few reports of all servers arrive late, or a second time at another control host, again and again.
//     A server whose reports are acknowledged again is used once every control host that got a late one has found it silent.
//  12. With growth, versions get larger by the same number of routes, up to what control hosts accept. The newest one is in force
//     at each entry host at the end.
//  13. With changes, operators move, split, drop and add routes, change time limits and add services, and send what must change
//     nothing. Faults begin in the first third of each 12 s only, and each fourth seed has none, so that hosts come in touch.
//  14. Disturbances of links pass the relay too. An entry host is out of touch while its links to control hosts are disturbed or
//     it is stopped, and contactBound after; all are for the same time around faults of control hosts and their links to each other.
//     Then every change that was accepted applyBound ago is in force. What was in force at a host stays so, in touch or not.
//     The final fault waits until no other control host is lost.
package hingesoak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options configures a run.
type Options struct {
	// Program is the path of swifthinge-fleet. Folder receives settings, data and logs;
	// its earlier content is removed.
	Program string
	Folder  string
	Seed    uint64
	// Controls and Entries are the numbers of control and entry hosts; zero means three.
	Controls int
	Entries  int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// PoisonRequests is the number of different poison requests, each sent repeatedly.
	PoisonRequests int
	// PoisonParts is the number of different parts of prompts that crash servers; no two requests with one are alike. All
	// other prompts then have a part in common.
	PoisonParts int
	// Needs makes servers state that they are in need.
	Needs bool
	// LateReports makes reports of servers arrive late, and again at other control hosts.
	LateReports bool
	// Growth is the number of routes that each version has more than the one before.
	Growth int
	// Changes replaces the operators by ones that move, split, drop and add routes and services, and send what must change nothing.
	Changes bool
	// Losses injects losses of control hosts in place of the other faults at control hosts; empty means none.
	Losses Losses
	// PeacefulStart injects no faults while the system starts for the first time, for programs that don't survive these.
	PeacefulStart bool
	// Disturbances are injected beside the other faults.
	Disturbances []Disturbance
	Out          io.Writer
}

// Violation is a violated guarantee. At is the time since the start of the run,
// RequestID the request, if any.
type Violation struct {
	Guarantee string
	At        time.Duration
	RequestID string
	Detail    string
}

// Report has the counts and violations of a run.
type Report struct {
	Sent     int
	Answered int
	Refused  int
	Changes  int
	Faults   int
	// Crashes counts the server crashes under poison requests.
	Crashes int
	// FinalReads are the times from the last loss to a good read at each control host, shortest first.
	FinalReads []time.Duration
	Violations []Violation
}

const (
	// defaultHosts is the default number of hosts of each kind.
	defaultHosts = 3
	// minCallers is the minimum number of callers; a run has at least one per entry host.
	minCallers = 12
	// startTimeout bounds the time until the fleet is ready after its start, recoveryTimeout
	// after the last fault.
	startTimeout    = 15 * time.Second
	recoveryTimeout = 20 * time.Second
	// finalRequests is the number of requests sent after recovery; 90 % of them must be answered.
	finalRequests = 40
)

type soak struct {
	options   Options
	startedAt time.Time
	random    *rand.Rand
	fleet     *fleet
	servers   []*server
	checker   *checker
	// changes is nil in a run without changes of all kinds.
	changes *changes
	// load tracks the callers and operators, which stop before the processes are killed.
	load sync.WaitGroup
}

// Run runs the faults of one seed and returns what was observed. The error is not nil
// only if the run could not start.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Controls = cmp.Or(o.Controls, defaultHosts)
	o.Entries = cmp.Or(o.Entries, defaultHosts)
	if !slices.Contains([]Losses{"", TolerableLosses, OverlappingLosses}, o.Losses) {
		return Report{}, eris.Errorf("losses are %q, want %s or %s", o.Losses, TolerableLosses, OverlappingLosses)
	}
	if err := checkDisturbances(o); err != nil {
		return Report{}, err
	}
	// Data of an earlier run would prevent the first start of a new system.
	if err := os.RemoveAll(o.Folder); err != nil {
		return Report{}, eris.Wrap(err, "remove folder of an earlier run")
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return Report{}, eris.Wrap(err, "create folder of the run")
	}
	s := &soak{
		options:   o,
		startedAt: time.Now(),
		random:    rand.New(rand.NewPCG(o.Seed, 7)),
		checker:   newChecker(time.Now()),
	}
	s.fleet = newFleet(o)
	s.fleet.checker = s.checker
	defer s.fleet.killAll()
	if err := s.fleet.startAll(); err != nil {
		return Report{}, err
	}
	if !o.PeacefulStart {
		s.breakFirstStart()
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.startServers(runCtx); err != nil {
		return Report{}, err
	}
	if o.Changes {
		if err := s.startChanges(runCtx); err != nil {
			return Report{}, err
		}
	}
	operator := newOperator(s.fleet, s.checker, o.Losses != "" || o.Growth > 0 || len(o.Disturbances) > 0, o.Growth)
	operator.changes = s.changes
	if !waitFor(runCtx, startTimeout, func() bool {
		return operator.sendNext(runCtx, 1)
	}) {
		return Report{}, eris.New("control hosts accepted no configuration within the start timeout")
	}
	if !waitFor(runCtx, startTimeout, s.fleet.ready) {
		return Report{}, eris.New("entry hosts were not ready within the start timeout")
	}
	s.runLoad(runCtx, operator)
	s.checkRecovery(runCtx, operator)
	stop()
	s.load.Wait()
	return s.checker.report(), nil
}

// runLoad runs callers and operators while it injects the faults of the plan.
func (s *soak) runLoad(ctx context.Context, operator *operator) {
	loadCtx, stop := context.WithCancel(ctx)
	for i := range max(minCallers, s.options.Entries) {
		s.load.Go(func() {
			newCaller(s.fleet, s.checker, s.options.Seed, i).run(loadCtx)
		})
	}
	for i := range s.options.PoisonRequests {
		s.load.Go(func() {
			newPoisoner(s.fleet, s.checker, s.options.Seed, i).run(loadCtx)
		})
	}
	for i := range s.options.PoisonParts {
		s.load.Go(func() {
			newPartPoisoner(s.fleet, s.checker, s.options.Seed, i, "").run(loadCtx)
		})
	}
	faults := plan(s.random, s.options)
	if s.options.Changes {
		s.runChanges(loadCtx, ctx)
		faults = calmFaults(faults, s.options.Seed)
	} else {
		s.load.Go(func() {
			operator.run(loadCtx)
		})
		s.load.Go(func() {
			operator.read(loadCtx)
		})
	}
	if s.options.Needs {
		faults = append(faults, planNeeds(rand.New(rand.NewPCG(s.options.Seed, 8)), s.options)...)
		slices.SortStableFunc(faults, func(a, b fault) int {
			return cmp.Compare(a.at, b.at)
		})
	}
	if s.options.LateReports {
		faults = append(faults, planReports(rand.New(rand.NewPCG(s.options.Seed, 10)), s.options)...)
		slices.SortStableFunc(faults, func(a, b fault) int {
			return cmp.Compare(a.at, b.at)
		})
	}
	var losses sync.WaitGroup
	s.startDisturbances(loadCtx, operator, &losses)
	if s.options.Losses == "" && len(s.options.Disturbances) > 0 && s.changes == nil {
		s.load.Go(func() {
			newProber("prober", s.fleet, s.checker, s.options.Seed).run(loadCtx)
		})
	}
	if s.options.Losses != "" {
		faults = slices.DeleteFunc(faults, func(f fault) bool {
			return f.control && f.kind != link
		})
		if !s.options.Changes {
			s.load.Go(func() {
				newProber("prober", s.fleet, s.checker, s.options.Seed).run(loadCtx)
			})
		}
		losses.Go(func() {
			s.playLosses(ctx, operator, planLosses(rand.New(rand.NewPCG(s.options.Seed, 9)), s.options))
		})
	}
	for _, f := range faults {
		at := s.startedAt.Add(f.at)
		_, _ = fmt.Fprintf(s.options.Out, "%8.3f s %s\n", f.at.Seconds(), f)
		if !sleepUntil(ctx, at) {
			break
		}
		s.checker.countFault()
		s.inject(ctx, f)
	}
	losses.Wait()
	s.fleet.awaitFaults()
	if s.options.disturbs(FinalFaults) {
		s.playFinal(ctx, operator)
	}
	if s.options.Changes {
		s.awaitSteady(ctx)
	}
	stop()
	s.load.Wait()
}

// checkRecovery removes all link faults, and checks readiness, answers, reads and poison lists.
func (s *soak) checkRecovery(ctx context.Context, operator *operator) {
	for _, x := range s.servers {
		x.proxy.setMode(passThrough)
		x.endNeed()
	}
	if !waitFor(ctx, recoveryTimeout, func() bool {
		return s.fleet.ready() && operator.sendNext(ctx, 1)
	}) {
		s.checker.recordViolation("the fleet recovers", "", "not all hosts are ready, or no change is accepted, 20 s after the last fault")
		return
	}
	time.Sleep(applyBound)
	s.awaitSilence(ctx)
	if s.changes != nil {
		s.changes.judgeCounts()
	} else if s.options.Losses != "" || s.options.Growth > 0 || len(s.options.Disturbances) > 0 {
		newProber("final-prober", s.fleet, s.checker, s.options.Seed).checkInForce(ctx)
	}
	c := newCaller(s.fleet, s.checker, s.options.Seed, minCallers)
	answered := 0
	for range finalRequests {
		if c.sendOne(ctx) {
			answered++
		}
	}
	if answered < finalRequests*9/10 {
		s.checker.recordViolation("the fleet recovers", "", fmt.Sprintf("%d of %d requests are answered after the faults", answered, finalRequests))
	}
	operator.readAll(ctx)
	s.checkLists(ctx)
}

func waitFor(ctx context.Context, timeout time.Duration, f func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if f() {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
