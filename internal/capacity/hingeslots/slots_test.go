package hingeslots

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// load starts requests at random hosts for a while, more than there are slots.
func (s *simulation) load(d, every time.Duration) {
	end := s.now + d
	for s.now < end {
		h := s.hosts[s.names[s.random.IntN(len(s.names))]]
		var engines []hingeids.ServerID
		for range 1 + s.random.IntN(2) {
			engines = append(engines, hingeids.ServerID(fmt.Sprintf("engine-%d", s.random.IntN(len(s.engines)))))
		}
		s.startRequest(h, s.random.IntN(3), engines...)
		s.run(s.now + every)
	}
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{3}`), 1, 7, rapid.ID[string]).Draw(t, "hosts")
		var ids []hingeids.HostID
		for _, h := range hosts {
			ids = append(ids, hingeids.HostID(h))
		}
		e := Engine{
			ID:    "engine-1",
			Slots: hingeids.Slots(rapid.IntRange(1, 40).Draw(t, "slots")),
		}
		sum := hingeids.Slots(0)
		for _, h := range ids {
			sum += poolSize(e, ids, h)
		}
		if diff := cmp.Diff(e.Slots, sum); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against unused slots and double grants under overload without faults.
func TestOverloadUsesAllSlots(t *testing.T) {
	s := newSimulation(1, 3, 2, 7, true)
	s.run(5 * time.Second)
	s.checkAllUsed(t)
	if diff := cmp.Diff([]string(nil), s.violations); diff != "" {
		t.Fatal(diff)
	}
}

// checkAllUsed checks that overload fills every slot.
func (s *simulation) checkAllUsed(t interface{ Fatalf(string, ...any) }) {
	for _, e := range s.engines {
		e.maxHeld = 0
	}
	s.load(3*time.Second, 20*time.Millisecond)
	for id, e := range s.engines {
		if e.maxHeld != int(e.Slots) {
			t.Fatalf("at %v engine %s held at most %d requests in %d slots under overload", s.now, id, e.maxHeld, e.Slots)
		}
	}
}

// Guards against lost or doubly granted slots after an engine's allocator is
// killed under load.
func TestSurvivesKilledAllocator(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, 3, 1, 8, true)
		s.run(5 * time.Second)
		s.load(2*time.Second, 50*time.Millisecond)
		allocator := s.hosts[rendezvous(s.names, "engine-0")]
		allocator.dead = true
		s.run(s.now + 1500*time.Millisecond)
		s.updateAlive()
		s.load(5*time.Second, 50*time.Millisecond)
		s.checkAllUsed(t)
		if diff := cmp.Diff([]string(nil), s.violations); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// updateAlive gives every host the correct list of hosts that are alive.
func (s *simulation) updateAlive() {
	var alive []hingeids.HostID
	for _, n := range s.names {
		if !s.hosts[n].dead {
			alive = append(alive, n)
		}
	}
	for _, n := range s.names {
		s.hosts[n].view.Alive = alive
	}
}

// Guards against double grants during a network partition, in which both hosts act
// as the allocator of one engine.
func TestTwoAllocatorsNeverGrantTheSameSlot(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, 2, 1, 6, true)
		s.run(5 * time.Second)
		s.load(time.Second, 50*time.Millisecond)
		s.cuts[[2]hingeids.HostID{"host-0", "host-1"}] = true
		s.cuts[[2]hingeids.HostID{"host-1", "host-0"}] = true
		s.hosts["host-0"].view.Alive = []hingeids.HostID{"host-0"}
		s.hosts["host-1"].view.Alive = []hingeids.HostID{"host-1"}
		s.load(8*time.Second, 50*time.Millisecond)
		s.checkAllUsed(t)
		if diff := cmp.Diff([]string(nil), s.violations); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// Guards against an unbounded queue and refusals in the wrong order during a
// burst.
func TestFullQueueRefusesLowestPriority(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	s.run(5 * time.Second)
	h := s.hosts["host-0"]
	for i := range 3 * maxWaiters {
		s.startRequest(h, i%3, "engine-0")
	}
	counts := make(map[int]int)
	for _, w := range h.state.engines["engine-0"].waiters {
		counts[w.priority]++
	}
	if diff := cmp.Diff(map[int]int{2: maxWaiters}, counts); diff != "" {
		t.Error(diff)
	}
}

// Guards against overfilled engines and lost slots under random crashes, restarts,
// partitions, outdated views, clock drift, and lost, duplicated and delayed
// messages.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"), 2, 5, true)
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.fault(t)
			s.load(time.Duration(rapid.IntRange(50, 2500).Draw(t, "wait"))*time.Millisecond, 40*time.Millisecond)
		}
		s.repair()
		s.run(s.now + 12*time.Second)
		s.checkAllUsed(t)
		if len(s.violations) > 0 {
			t.Fatal(s.violations[0])
		}
	})
}

func (s *simulation) fault(t *rapid.T) {
	h := s.hosts[rapid.SampledFrom(s.names).Draw(t, "host")]
	o := rapid.SampledFrom(s.names).Draw(t, "other")
	faults := []string{"kill", "restart", "cut", "heal", "away", "back", "view", "view", "loss", "late", "flap", "restartEngine"}
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case "kill":
		h.dead = true
	case "restart":
		s.start(h)
	case "cut":
		s.cuts[[2]hingeids.HostID{h.id, o}] = h.id != o
	case "heal":
		clear(s.cuts)
	case "away":
		s.isolated[h.id] = true
	case "back":
		clear(s.isolated)
		s.distributeRecord()
	case "view":
		h.view.Alive = rapid.SliceOfDistinct(rapid.SampledFrom(s.names), rapid.ID[hingeids.HostID]).Draw(t, "alive")
	case "loss":
		s.loss = 0.2
	case "restartEngine":
		e := s.engines[rapid.SampledFrom([]hingeids.ServerID{"engine-0", "engine-1"}).Draw(t, "engine")]
		e.Incarnation++
		clear(e.held)
		s.distributeEngines()
	case "flap":
		h.state.SetEngines(s.clock(h), nil) // The engine's announcements are late; it is known again at the next update.
		h.state.SetEngines(s.clock(h), s.announced())
	case "late":
		s.maxExtraDelay = 400 * time.Millisecond
	}
}

func (s *simulation) repair() {
	clear(s.cuts)
	clear(s.isolated)
	s.loss, s.maxExtraDelay = 0, 0
	for _, n := range s.names {
		if s.hosts[n].dead {
			s.start(s.hosts[n])
		}
	}
	s.distributeRecord()
	s.updateAlive()
}

// Guards against releasing a slot that was granted to an earlier instance of the
// host. That instance may have sent its request to the engine.
func TestGrantToEarlierInstanceIsNotReleased(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	h := s.hosts["host-0"]
	s.start(h)
	out := h.state.Receive(s.clock(h), Message{
		Kind:        kindGrant,
		From:        h.state.instance,
		Engine:      "engine-0",
		Incarnation: 1,
		ID: hingeids.RequestID{
			Instance: hingeids.Instance{
				Host:        "host-0",
				Incarnation: 1,
			},
			Sequence: 1,
		},
	})
	if len(out.Send)+len(out.Results)+len(h.state.local) > 0 {
		t.Errorf("a grant to an earlier instance caused the output %+v", out)
	}
}

// Guards against freeing an occupied slot when an engine's responses arrive out of
// order: the response to the earlier query lacks a request that started in
// between.
func TestReorderedHeldReportFreesNothing(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	s.run(time.Second)
	h := s.hosts["host-0"]
	h.view.Alive = nil
	s.run(2100 * time.Millisecond)
	e := s.engines["engine-0"].Engine
	id := hingeids.RequestID{
		Instance: hingeids.Instance{
			Host:        "gone",
			Incarnation: 1,
		},
	}
	earlier := s.clock(h).Add(100 * time.Millisecond)
	later := earlier.Add(queryInterval)
	h.state.HandleHeld(later, later, e, []hingeids.RequestID{id})
	h.state.HandleHeld(later, earlier, e, nil)
	p := h.state.engines["engine-0"].pools["host-0"]
	if !p.open || p.occupancy[id] == nil {
		t.Errorf("pool open: %v, want true; occupancy %v lacks the held request", p.open, p.occupancy)
	}
}

// Guards against matching a message to an earlier instance with a number of the
// current one, which would extend a delegation beyond its lease.
func TestDelegationToEarlierInstanceIsIgnored(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	h := s.hosts["host-0"]
	s.start(h)
	s.run(3 * time.Second)
	for number := range uint64(1000) {
		h.state.Receive(s.clock(h), Message{
			Kind:        kindDelegate,
			From:        hingeids.Instance{Host: "host-9"},
			Engine:      "engine-0",
			Incarnation: 1,
			Number:      number,
			Pool:        "host-9",
			Serial:      1,
			Duration:    delegationLease,
			Size:        2,
		})
	}
	if l := h.state.engines["engine-0"].delegations["host-9"]; l != nil {
		t.Errorf("accepted the delegation %+v to an earlier instance", l)
	}
}
