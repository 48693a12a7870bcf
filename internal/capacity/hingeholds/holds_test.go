package hingeholds

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

func (s *simulation) load(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.startRequest()
		s.run(s.now + 40*time.Millisecond)
	}
}

// Guards against allocations that remain after their entry host was killed, if its
// instance is recorded as ended within 3 s and a fifth of all messages is lost.
func TestKilledHostAllocationsAreCancelled(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed)
		s.loss = 0.2
		s.load(3 * time.Second)
		killed := s.hosts[seed%3]
		killed.down = true
		killed.known = nil
		s.run(s.now + time.Duration(1700+s.random.IntN(1300))*time.Millisecond)
		s.recordInstance(killed.instance, true)
		s.run(6 * time.Second)
		s.load(2 * time.Second)
		for _, e := range s.engines {
			for id := range e.allocations {
				if id.Host == killed.id {
					t.Errorf("seed %d: %s still has an allocation for %v", seed, e.ID, id)
				}
			}
		}
	}
}

// A host is partitioned from the other hosts but not from its engines and callers.
// None of its requests may be cancelled.
func TestUnreachableOwnerKeepsAllocations(t *testing.T) {
	s := newSimulation(1)
	for _, o := range []string{"host-1", "host-2"} {
		s.blockedLinks["host-0>"+o] = true
		s.blockedLinks[o+">host-0"] = true
	}
	s.load(30 * time.Second)
	if diff := cmp.Diff([]string(nil), s.violations); diff != "" {
		t.Error(diff)
	}
}

// With random faults of hosts, engines and links no active request of a current
// instance may be cancelled, and 5 s after the last fault no allocation may be orphaned.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			s.fault(t)
			s.load(time.Duration(rapid.IntRange(50, 2500).Draw(t, "wait")) * time.Millisecond)
		}
		clear(s.blockedLinks)
		s.loss = 0
		for _, h := range s.hosts {
			if h.down {
				s.restart(h)
			}
		}
		s.run(s.now + 5*time.Second)
		if len(s.violations) > 0 {
			t.Fatal(s.violations[0])
		}
		if orphans := s.orphans(); len(orphans) > 0 {
			t.Fatalf("%d orphaned allocations, such as that of %v", len(orphans), orphans[0])
		}
	})
}

func (s *simulation) fault(t *rapid.T) {
	h := rapid.SampledFrom(s.hosts).Draw(t, "host")
	o := rapid.SampledFrom(s.hosts).Draw(t, "other")
	e := rapid.SampledFrom(s.engines).Draw(t, "engine")
	faults := []string{"kill", "over", "thaw", "restart", "cut", "cutEngine", "engine", "loss", "heal"}
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case "kill":
		h.down = true
	case "over":
		if h.down {
			s.recordInstance(h.instance, true)
		}
	case "thaw":
		if h.down {
			h.down = false
		}
	case "restart":
		s.restart(h)
	case "cut":
		s.blockedLinks[string(h.id)+">"+string(o.id)] = h != o
	case "cutEngine":
		s.blockedLinks[string(h.id)+">"+string(e.ID)] = true
	case "engine":
		e.Incarnation++
		clear(e.allocations)
	case "loss":
		s.loss = 0.3
	case "heal":
		clear(s.blockedLinks)
	}
}

// failingEngine is an engine on which the first cancels fail.
type failingEngine struct {
	mu          sync.Mutex
	allocations []Allocation
	failures    int
}

func (s *failingEngine) Allocations(context.Context, hingeids.ServerID) ([]Allocation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Allocation(nil), s.allocations...), nil
}

func (s *failingEngine) Cancel(_ context.Context, _ hingeids.ServerID, id hingeids.RequestID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures--; s.failures >= 0 {
		return eris.New("engine doesn't respond")
	}
	var remaining []Allocation
	for _, h := range s.allocations {
		if h.ID != id {
			remaining = append(remaining, h)
		}
	}
	s.allocations = remaining
	return nil
}

type fakeOwner struct {
	instance hingeids.Instance
	known    hingeids.RequestID
}

func (o fakeOwner) Instance() hingeids.Instance     { return o.instance }
func (o fakeOwner) Owns(id hingeids.RequestID) bool { return id == o.known }
func (o fakeOwner) requestID(n uint64) hingeids.RequestID {
	return hingeids.RequestID{Instance: o.instance, Sequence: n}
}

// Guards against keeping allocations that their owner doesn't know: of four, only the
// one in its table may remain, even if the first cancels fail.
func TestDriverCancelsRequestsUnknownToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := hingefake.NewNetwork()
		b := fakeOwner{
			instance: hingeids.Instance{
				Host:        "b",
				Incarnation: 7,
			},
		}
		b.known = b.requestID(2)
		engine := &failingEngine{
			failures: 5,
		}
		for i, k := range []AllocationKind{Running, ExportedCache, Reservation, Import} {
			engine.allocations = append(engine.allocations, Allocation{
				ID:   b.requestID(uint64(i)),
				Kind: k,
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		for _, o := range []fakeOwner{{instance: hingeids.Instance{Host: "a", Incarnation: 1}}, b} {
			h := New(Config{
				Link:    network.Link(o.instance.Host),
				Engines: engine,
				Owner:   o,
			})
			h.SetEngines([]Engine{{
				ID:          "engine-0",
				Incarnation: 1,
				Responsible: o.instance.Host == "a",
			}})
			group.Go(func() error {
				return h.Run(ctx)
			})
		}
		time.Sleep(5 * time.Second)
		got, _ := engine.Allocations(ctx, "engine-0")
		want := []Allocation{{
			ID:   b.known,
			Kind: Reservation,
		}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
