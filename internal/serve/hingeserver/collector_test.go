package hingeserver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// openStreams starts n long streams and waits for their first tokens.
func (f *fleet) openStreams(id hingeids.HostID, n, tokens int) ([]*callerRequest, context.CancelFunc) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.ctx)
	var out []*callerRequest
	for i := range n {
		r := &callerRequest{
			prompt:  fmt.Sprintf("dossier %d at %s", i, id),
			tokens:  tokens,
			model:   "redacteur",
			done:    make(chan struct{}),
			started: make(chan struct{}),
		}
		go r.send(ctx, f.hosts[id].settings.Listen.Callers, true)
		out = append(out, r)
	}
	for _, r := range out {
		select {
		case <-r.started:
		case <-r.done:
			f.t.Fatalf("the stream has not started: %v", r.err)
		}
	}
	return out, cancel
}

// Guards against decode slots that stay occupied by the streams of a killed entry host,
// which can't cancel them itself.
func TestAKilledEntryHostsStreamsAreCancelled(t *testing.T) {
	t.Parallel()
	f := newEngines(t, 50*time.Millisecond)
	killed, other := f.order[1], f.order[2]
	_, cancel := f.openStreams(killed, 8, 2000)
	defer cancel()
	live, cancelLive := f.openStreams(other, 4, 200)
	defer cancelLive()
	before := f.held()
	f.kill(killed)
	elapsed := f.await("the killed host's streams to be cancelled", 10*time.Second, func() error {
		if n := f.held(); n > len(live) {
			return fmt.Errorf("%d allocations held, %d before the kill, want at most %d", n, before, len(live))
		}
		return nil
	})
	t.Logf("%d allocations held before the kill, released %v after it", before, elapsed)
	for _, r := range live {
		<-r.done
		if want := hingestandin.Answer(r.prompt, r.tokens); r.text != want || !r.complete {
			t.Errorf("a live stream was cut off: %v", r.err)
		}
	}
}

// Guards against callers that get no final response, and a host that doesn't serve again,
// when a suspended host resumes after the others have declared its instance ended.
func TestSuspendedEntryHostAnswersItsCallers(t *testing.T) {
	t.Parallel()
	f := newEngines(t, 50*time.Millisecond)
	suspended := f.order[1]
	streams, cancel := f.openStreams(suspended, 4, 4000)
	defer cancel()
	f.signal(suspended, 19)
	f.await("the suspended host's streams to be cancelled", 15*time.Second, func() error {
		if n := f.held(); n > 0 {
			return fmt.Errorf("%d allocations held", n)
		}
		return nil
	})
	f.signal(suspended, 18)
	for _, r := range streams {
		select {
		case <-r.done:
		case <-time.After(10 * time.Second):
			t.Fatal("a caller of the resumed host got no final response")
		}
		if r.complete {
			t.Error("a cancelled stream looked complete")
		}
	}
	f.await("the resumed host to serve again", 15*time.Second, func() error {
		r := &callerRequest{
			prompt:  "again",
			tokens:  5,
			model:   "redacteur",
			done:    make(chan struct{}),
			started: make(chan struct{}),
		}
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		defer cancel()
		r.send(ctx, f.hosts[suspended].settings.Listen.Callers, true)
		if !r.complete {
			return fmt.Errorf("got %q, %v", r.text, r.err)
		}
		return nil
	})
}

// Guards against work that is sent to an engine after it has announced its shutdown to
// only one entry host.
func TestALeavingEngineGetsNoNewWorkAnywhere(t *testing.T) {
	t.Parallel()
	f := newEngines(t, 2*time.Millisecond)
	leaving := f.standins["redacteur-2"]
	leaving.Leave()
	time.Sleep(2 * time.Second)
	before := leaving.Counts().Requests
	var all sync.WaitGroup
	for n := range 3 * len(f.order) {
		all.Go(func() {
			if !f.streamWithFailover(n, fmt.Sprintf("dossier %d", n)) {
				t.Error("a stream was cut off")
			}
		})
	}
	all.Wait()
	if got := leaving.Counts().Requests - before; got != 0 {
		t.Errorf("the engine got %d requests two seconds after it announced its shutdown", got)
	}
}

// Guards against requests that wait at a full engine while their KV cache is evicted, as
// hosts know each other's load only from delayed reports.
func TestEnginesGetNoMoreRequestsThanSlots(t *testing.T) {
	f := newEnginesOf(t, 5*time.Millisecond, 5)
	var all sync.WaitGroup
	for n := range 12 * len(f.order) {
		all.Go(func() {
			if !f.streamWithFailover(n, fmt.Sprintf("dossier %d", n)) {
				t.Error("a stream was incomplete")
			}
		})
	}
	all.Wait()
	maxHeld := 0
	for id, s := range f.standins {
		c := s.Counts()
		maxHeld = max(maxHeld, c.MaxHeld)
		if c.SlotOverruns > 0 {
			t.Errorf("%s was sent %d requests beyond its slots", id, c.SlotOverruns)
		}
	}
	if maxHeld < 4 {
		t.Errorf("the fullest engine held %d of 5 requests: the load was too low for this test", maxHeld)
	}
}
