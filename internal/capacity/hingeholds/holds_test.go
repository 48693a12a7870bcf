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
		s.request()
		s.run(s.now + 40*time.Millisecond)
	}
}

// An entry host is killed with requests on its engines, and its machine never comes back.
// Its life is recorded as over up to 3 s later. 5 s after the kill no
// engine may hold anything of it, with a fifth of all messages lost.
func TestKilledHostLeavesNothing(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed)
		s.loss = 0.2
		s.load(3 * time.Second)
		killed := s.hosts[seed%3]
		killed.down = true
		killed.known = nil
		s.run(s.now + time.Duration(1700+s.random.IntN(1300))*time.Millisecond)
		s.recordLife(killed.life, true)
		s.run(6 * time.Second)
		s.load(2 * time.Second)
		for _, e := range s.engines {
			for id := range e.held {
				if id.Host == killed.id {
					t.Errorf("seed %d: %s still holds %v", seed, e.ID, id)
				}
			}
		}
	}
}

// A zone is cut off: its host can be reached by nobody but its engines, and its
// callers read on. None of its requests may be cancelled.
func TestCutOffOwnerIsLeftAlone(t *testing.T) {
	s := newSimulation(1)
	for _, o := range []string{"host-1", "host-2"} {
		s.cuts["host-0>"+o] = true
		s.cuts[o+">host-0"] = true
	}
	s.load(30 * time.Second)
	if diff := cmp.Diff([]string(nil), s.problems); diff != "" {
		t.Error(diff)
	}
}

// Hosts are killed, frozen, restarted and cut off, engines restart, messages are
// lost. No live request of a living owner is ever cancelled; and 5 s after the
// last fault is mended nothing is held that nobody answers for.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			s.fault(t)
			s.load(time.Duration(rapid.IntRange(50, 2500).Draw(t, "wait")) * time.Millisecond)
		}
		clear(s.cuts)
		s.loss = 0
		for _, h := range s.hosts {
			if h.down {
				s.start(h)
			}
		}
		s.run(s.now + 5*time.Second)
		if len(s.problems) > 0 {
			t.Fatal(s.problems[0])
		}
		if left := s.leftovers(); len(left) > 0 {
			t.Fatalf("%d holds are left, such as %v", len(left), left[0])
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
			s.recordLife(h.life, true)
		}
	case "thaw":
		if h.down {
			h.down = false
		}
	case "restart":
		s.start(h)
	case "cut":
		s.cuts[string(h.id)+">"+string(o.id)] = h != o
	case "cutEngine":
		s.cuts[string(h.id)+">"+string(e.ID)] = true
	case "engine":
		e.Incarnation++
		clear(e.held)
	case "loss":
		s.loss = 0.3
	case "heal":
		clear(s.cuts)
	}
}

// stubborn is an engine that doesn't answer the first cancels.
type stubborn struct {
	mu    sync.Mutex
	holds []Hold
	fails int
}

func (s *stubborn) Held(context.Context, hingeids.ServerID) ([]Hold, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Hold(nil), s.holds...), nil
}

func (s *stubborn) Cancel(_ context.Context, _ hingeids.ServerID, id hingeids.RequestID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails--; s.fails >= 0 {
		return eris.New("no answer")
	}
	var kept []Hold
	for _, h := range s.holds {
		if h.ID != id {
			kept = append(kept, h)
		}
	}
	s.holds = kept
	return nil
}

type owner struct {
	life  hingeids.Instance
	knows hingeids.RequestID
}

func (o owner) Life() hingeids.Instance          { return o.life }
func (o owner) Knows(id hingeids.RequestID) bool { return id == o.knows }
func (o owner) request(n uint64) hingeids.RequestID {
	return hingeids.RequestID{Instance: o.life, Sequence: n}
}

// A watches an engine that holds four things for requests of B, of which B knows
// one still; the engine leaves the first cancels unanswered. In the end only that one is held.
func TestDriversGiveUpWhatTheOwnerDoesNotKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := hingefake.NewNetwork()
		b := owner{
			life: hingeids.Instance{
				Host:        "b",
				Incarnation: 7,
			},
		}
		b.knows = b.request(2)
		engine := &stubborn{
			fails: 5,
		}
		for i, k := range []Kind{Running, ExportedCache, Reservation, Import} {
			engine.holds = append(engine.holds, Hold{
				ID:   b.request(uint64(i)),
				Kind: k,
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		for _, o := range []owner{{life: hingeids.Instance{Host: "a", Incarnation: 1}}, b} {
			h := New(Config{
				Link:    network.Link(o.life.Host),
				Engines: engine,
				Owner:   o,
			})
			h.SetEngines([]Engine{{
				ID:          "engine-0",
				Incarnation: 1,
				Mine:        o.life.Host == "a",
			}})
			group.Go(func() error {
				return h.Run(ctx)
			})
		}
		time.Sleep(5 * time.Second)
		got, _ := engine.Held(ctx, "engine-0")
		want := []Hold{{
			ID:   b.knows,
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
