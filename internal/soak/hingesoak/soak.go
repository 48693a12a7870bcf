// Package hingesoak runs the real programs as separate processes on loopback addresses,
// injects faults from outside them, and checks while it runs what callers, backend
// servers and operators are promised.
//
//  1. The plan of faults is drawn from a seed and printed, so that a run can be played
//     again. What the machine's own timing adds is not in it.
//     The plan depends on the numbers of hosts too.
//  2. Faults overlap. One control host is lost at a time, or all are killed at once with
//     their disks kept: that is what three of them bear.
//  3. Callers keep their connections until the process at the other end is gone.
//  4. Only processes that the soak started are stopped, by their ids.
//  5. A promise is judged by what callers, stand-ins and operators saw, never by logs.
//  6. Connections to backend servers go through a proxy in the soak, which delays,
//     resets, cuts one way or silences them. The links between the programs are
//     disturbed by signals only.
//  7. A poison request ends each server that runs it; the server is back after some seconds under another name. It comes again
//     at any entry host, each time under a new id.
package hingesoak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options of a run.
type Options struct {
	// Program is the path of swifthinge-fleet, Folder where settings, data and logs go.
	Program string
	Folder  string
	Seed    uint64
	// Controls and Entries are how many hosts there are of each kind; zero is three.
	Controls int
	Entries  int
	// Lasts is how long faults are injected.
	Lasts time.Duration
	// Poison is how many requests end each server that runs them, and come again and again.
	Poison int
	Out    io.Writer
}

// Broken is a promise that was broken.
type Broken struct {
	Promise string
	At      time.Duration
	ID      string
	Detail  string
}

// Report is what a run found.
type Report struct {
	Asked    int
	Answered int
	Refused  int
	Changes  int
	Faults   int
	// Ended counts the servers that ended under poison requests.
	Ended  int
	Broken []Broken
}

const (
	// usual is how many hosts of each kind a run has that doesn't say.
	usual = 3
	// callers is the least number of callers; in a larger fleet each entry host has one.
	callers = 12
	// startTime is how long the programs may take to be ready at first, recoverTime
	// after the last fault.
	startTime   = 15 * time.Second
	recoverTime = 20 * time.Second
	// settled is how many requests are sent at the end, of which all but a few are to be answered.
	settled = 40
)

// soak is one run.
type soak struct {
	options Options
	began   time.Time
	random  *rand.Rand
	fleet   *fleet
	servers []*server
	book    *book
	// load are the callers and operators, which end before the programs do.
	load sync.WaitGroup
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Controls = cmp.Or(o.Controls, usual)
	o.Entries = cmp.Or(o.Entries, usual)
	// Disks of an earlier run would keep a new system from being founded.
	if err := os.RemoveAll(o.Folder); err != nil {
		return Report{}, eris.Wrap(err, "folder of the soak")
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return Report{}, eris.Wrap(err, "folder of the soak")
	}
	s := &soak{
		options: o,
		began:   time.Now(),
		random:  rand.New(rand.NewPCG(o.Seed, 7)),
		book:    newBook(time.Now()),
	}
	s.fleet = newFleet(o)
	s.fleet.book = s.book
	defer s.fleet.end()
	if err := s.fleet.startAll(); err != nil {
		return Report{}, err
	}
	inner, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.startServers(inner); err != nil {
		return Report{}, err
	}
	operator := newOperator(s.fleet, s.book)
	if !waitFor(inner, startTime, func() bool {
		return operator.change(inner, 1)
	}) {
		return Report{}, eris.New("no configuration was accepted at the start")
	}
	if !waitFor(inner, startTime, s.fleet.ready) {
		return Report{}, eris.New("the entry hosts didn't become ready")
	}
	s.play(inner, operator)
	s.finish(inner, operator)
	stop()
	s.load.Wait()
	return s.book.report(), nil
}

// play lets callers and operators act while faults come.
func (s *soak) play(ctx context.Context, operator *operator) {
	loaded, stop := context.WithCancel(ctx)
	for i := range max(callers, s.options.Entries) {
		s.load.Go(func() {
			newCaller(s.fleet, s.book, s.options.Seed, i).run(loaded)
		})
	}
	for i := range s.options.Poison {
		s.load.Go(func() {
			newPoisoner(s.fleet, s.book, s.options.Seed, i).run(loaded)
		})
	}
	s.load.Go(func() {
		operator.run(loaded)
	})
	s.load.Go(func() {
		operator.read(loaded)
	})
	for _, f := range plan(s.random, s.options) {
		at := s.began.Add(f.at)
		_, _ = fmt.Fprintf(s.options.Out, "%8.3f s %s\n", f.at.Seconds(), f)
		if !sleepUntil(ctx, at) {
			break
		}
		s.book.fault()
		s.inject(ctx, f)
	}
	s.fleet.awaitFaults()
	stop()
	s.load.Wait()
}

// finish checks what must hold once everything is well again.
func (s *soak) finish(ctx context.Context, operator *operator) {
	for _, x := range s.servers {
		x.proxy.set(pass)
	}
	if !waitFor(ctx, recoverTime, func() bool {
		return s.fleet.ready() && operator.change(ctx, 1)
	}) {
		s.book.broken("recovers", "", "not all hosts are ready, or no change is accepted, 20 s after the last fault")
		return
	}
	time.Sleep(2 * time.Second)
	c := newCaller(s.fleet, s.book, s.options.Seed, callers)
	good := 0
	for range settled {
		if c.once(ctx) {
			good++
		}
	}
	if good < settled*9/10 {
		s.book.broken("recovers", "", fmt.Sprintf("%d of %d requests are answered after the faults", good, settled))
	}
	operator.readAll(ctx)
	s.checkLists(ctx)
}

func waitFor(ctx context.Context, most time.Duration, f func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; {
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
