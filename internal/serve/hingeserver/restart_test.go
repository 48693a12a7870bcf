package hingeserver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

func (f *fleet) changeMany(at hingeids.HostID, n int) hingeids.Revision {
	f.t.Helper()
	status, err := f.status(at)
	if err != nil {
		f.t.Fatal(err)
	}
	last := status.Committed
	for i := range n {
		c := f.change(last, 24*time.Hour+time.Duration(i+1)*time.Second)
		f.await("a change to be accepted", 5*time.Second, func() error {
			accepted, code, err := f.apply(at, c)
			if code != http.StatusOK {
				return err
			}
			last = accepted.Revision
			return nil
		})
	}
	return last
}

// Guards against hosts, with and without a disk, that don't catch up after hundreds of
// changes during their downtime.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	withDisk, without := f.order[3], f.order[4]
	f.kill(withDisk)
	f.kill(without)
	newest := f.changeMany(f.order[0], 300)
	f.start(withDisk)
	f.start(without)
	elapsed := f.awaitRevision(newest, withDisk, without)
	t.Logf("both applied revision %d %v after their start", newest, elapsed)
}

// Guards against a host without a disk that restarts in a cut-off zone and becomes ready
// with an older configuration than its zone's peers have.
func TestDisklessHostRestartsCutOff(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	newest := f.changeMany(f.order[0], 5)
	f.awaitRevision(newest, f.order...)
	cancale := f.order[:3]
	f.cutZone("cancale", true)
	time.Sleep(time.Second)
	restarted := cancale[1]
	f.kill(restarted)
	f.start(restarted)
	// The new process starts without cuts, so that it could reach the other zones over its own
	// connections.
	for _, id := range f.order[3:] {
		_, _ = fmt.Fprintln(f.hosts[restarted].control, "cut", id)
	}
	f.await("the host to be ready", 10*time.Second, func() error {
		status, err := f.status(restarted)
		if err != nil {
			return err
		}
		if status.Ready && status.Committed < newest {
			t.Fatalf("the host is ready with revision %d, but %d was in force before", status.Committed, newest)
		}
		if !status.Ready {
			return errors.New(status.Reason)
		}
		return nil
	})
}

func newEngines(t *testing.T, gap time.Duration) *fleet {
	return newEnginesOf(t, gap, 20)
}

func newEnginesOf(t *testing.T, gap time.Duration, slots hingeids.Slots) *fleet {
	f := newFleet(t)
	n := 0
	for _, zone := range f.inventory.Zones {
		for _, kind := range []hingeannounce.Kind{hingeannounce.Prefill, hingeannounce.Decode, hingeannounce.Decode} {
			n++
			f.standin(hingestandin.Options{
				Server:    hingeids.ServerID(fmt.Sprintf("redacteur-%d", n)),
				Kind:      kind,
				Zone:      zone.Name,
				Slots:     slots,
				TokenGap:  gap,
				Heartbeat: 100 * time.Millisecond,
			})
		}
	}
	f.configure()
	f.awaitUsableServers(f.order...)
	return f
}

func (f *fleet) held() int {
	n := 0
	for _, s := range f.standins {
		n += s.Counts().Held
	}
	return n
}

// Guards against streams that are cut off and allocations that are never released in a
// rolling restart.
func TestRollingRestartCutsNothingOff(t *testing.T) {
	t.Parallel()
	f := newEngines(t, 10*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	var sent, cut atomic.Int64
	var callers sync.WaitGroup
	for n := range 14 {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if !f.streamWithFailover(n+i, fmt.Sprintf("dossier %d of caller %d", i, n)) {
					cut.Add(1)
				}
				sent.Add(1)
			}
		})
	}
	for _, id := range f.order {
		f.signal(id, syscall.SIGTERM)
		select {
		case <-f.hosts[id].exited:
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not exit", id)
		}
		f.start(id)
		f.awaitUsableServers(id)
	}
	stop()
	callers.Wait()
	t.Logf("%d streams, %d cut off", sent.Load(), cut.Load())
	if cut.Load() > 0 || sent.Load() == 0 {
		t.Errorf("%d of %d streams were cut off", cut.Load(), sent.Load())
	}
	f.await("all allocations to be released", 5*time.Second, func() error {
		if n := f.held(); n > 0 {
			return fmt.Errorf("%d allocations held", n)
		}
		return nil
	})
}

// streamWithFailover tries the hosts in turn, as a balancer does, until one accepts the
// request. It reports whether the stream was complete.
func (f *fleet) streamWithFailover(n int, prompt string) bool {
	for i := range 100 {
		id := f.order[(n+i)%len(f.order)]
		r := &callerRequest{
			prompt:  prompt,
			tokens:  40,
			model:   "redacteur",
			done:    make(chan struct{}),
			started: make(chan struct{}),
		}
		r.send(f.ctx, f.hosts[id].settings.Listen.Callers, true)
		if r.text == "" && !r.complete {
			// The host refused the request or is down.
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if want := hingestandin.Answer(prompt, r.tokens); r.text != want || !r.complete {
			f.t.Logf("incomplete stream of host %s: %d of %d bytes, %v", id, len(r.text), len(want), r.err)
			return false
		}
		return true
	}
	f.t.Logf("no host accepted the request %q", prompt)
	return false
}
