package hingeslots

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// load begins requests at random hosts for a while, more than the slots can take.
func (s *simulation) load(d, every time.Duration) {
	end := s.now + d
	for s.now < end {
		h := s.hosts[s.names[s.random.IntN(len(s.names))]]
		var engines []hingeids.ServerID
		for range 1 + s.random.IntN(2) {
			engines = append(engines, hingeids.ServerID(fmt.Sprintf("engine-%d", s.random.IntN(len(s.engines)))))
		}
		s.want(h, s.random.IntN(3), engines...)
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
			sum += share(e, ids, h)
		}
		if diff := cmp.Diff(e.Slots, sum); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Everything works: under more demand than slots every slot is used, by
// whichever host asks, and none twice.
func TestAllSlotsAreUsed(t *testing.T) {
	s := newSimulation(1, 3, 2, 7, true)
	s.run(5 * time.Second)
	s.wantAllUsed(t)
	if diff := cmp.Diff([]string(nil), s.problems); diff != "" {
		t.Fatal(diff)
	}
}

// wantAllUsed checks that demand above the slots fills every one of them.
func (s *simulation) wantAllUsed(t interface{ Fatalf(string, ...any) }) {
	for _, e := range s.engines {
		e.most = 0
	}
	s.load(3*time.Second, 20*time.Millisecond)
	for id, e := range s.engines {
		if e.most != int(e.Slots) {
			t.Fatalf("at %v %s holds %d of %d under full demand", s.now, id, e.most, e.Slots)
		}
	}
}

// The granter of an engine is killed under load. The others take over what it
// granted and, once its life is over, its own pool; callers wait a few seconds and
// no slot is given twice.
func TestKilledGranterIsSurvived(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, 3, 1, 8, true)
		s.run(5 * time.Second)
		s.load(2*time.Second, 50*time.Millisecond)
		granter := s.hosts[rendezvous(s.names, "engine-0")]
		granter.dead = true
		s.run(s.now + 1500*time.Millisecond)
		s.lookAlive()
		s.load(5*time.Second, 50*time.Millisecond)
		s.wantAllUsed(t)
		if diff := cmp.Diff([]string(nil), s.problems); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// lookAlive gives every host the right view of who lives.
func (s *simulation) lookAlive() {
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

// The path between two hosts of a zone is cut, both ways, and each thinks the
// other dead, so both grant slots of one engine. Each may only grant its own.
func TestTwoGrantersNeverShareASlot(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, 2, 1, 6, true)
		s.run(5 * time.Second)
		s.load(time.Second, 50*time.Millisecond)
		s.cuts[[2]hingeids.HostID{"host-0", "host-1"}] = true
		s.cuts[[2]hingeids.HostID{"host-1", "host-0"}] = true
		s.hosts["host-0"].view.Alive = []hingeids.HostID{"host-0"}
		s.hosts["host-1"].view.Alive = []hingeids.HostID{"host-1"}
		s.load(8*time.Second, 50*time.Millisecond)
		s.wantAllUsed(t)
		if diff := cmp.Diff([]string(nil), s.problems); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// A burst fills the queue: those of the lowest priority are refused at once,
// those of the highest are not, and the queue stays bounded.
func TestFullQueueRefusesTheLowest(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	s.run(5 * time.Second)
	h := s.hosts["host-0"]
	for i := range 3 * maxWaiters {
		s.want(h, i%3, "engine-0")
	}
	counts := make(map[int]int)
	for _, w := range h.state.engines["engine-0"].waiters {
		counts[w.priority]++
	}
	if diff := cmp.Diff(map[int]int{2: maxWaiters}, counts); diff != "" {
		t.Error(diff)
	}
}

// Hosts are killed, restarted and cut from each other and from the record, they
// see different hosts alive, messages are lost, doubled and late, clocks differ. An
// engine may never get more requests than it has slots; and when all is well
// again, all slots come back into use.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"), 2, 5, true)
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.fault(t)
			s.load(time.Duration(rapid.IntRange(50, 2500).Draw(t, "wait"))*time.Millisecond, 40*time.Millisecond)
		}
		s.mend()
		s.run(s.now + 12*time.Second)
		s.wantAllUsed(t)
		if len(s.problems) > 0 {
			t.Fatal(s.problems[0])
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
		s.away[h.id] = true
	case "back":
		clear(s.away)
		s.spreadRecord()
	case "view":
		h.view.Alive = rapid.SliceOfDistinct(rapid.SampledFrom(s.names), rapid.ID[hingeids.HostID]).Draw(t, "alive")
	case "loss":
		s.loss = 0.2
	case "restartEngine":
		e := s.engines[rapid.SampledFrom([]hingeids.ServerID{"engine-0", "engine-1"}).Draw(t, "engine")]
		e.Incarnation++
		clear(e.held)
		s.spreadEngines()
	case "flap":
		h.state.SetEngines(s.clock(h), nil) // Its announcements were late; at the next look it is back.
		h.state.SetEngines(s.clock(h), s.announced())
	case "late":
		s.delayed = 400 * time.Millisecond
	}
}

func (s *simulation) mend() {
	clear(s.cuts)
	clear(s.away)
	s.loss, s.delayed = 0, 0
	for _, n := range s.names {
		if s.hosts[n].dead {
			s.start(s.hosts[n])
		}
	}
	s.spreadRecord()
	s.lookAlive()
}

// A host is restarted while a grant to its earlier life is on its way. That life
// may have sent its request, so the new one must not give the slot back. Found
// by random schedules.
func TestGrantToAnEarlierLifeIsNotGivenBack(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	h := s.hosts["host-0"]
	s.start(h)
	out := h.state.Receive(s.clock(h), Message{
		Kind:        kindGrant,
		From:        h.state.life,
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
		t.Errorf("it did %+v", out)
	}
}

// An engine's answers overtake each other: the later question opens a pool, then
// the answer to the earlier one comes, which does not show a request begun in
// between. Its slot must stay taken. Found by random schedules.
func TestOvertakenAnswerFreesNothing(t *testing.T) {
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
	later := earlier.Add(askEvery)
	h.state.TakeHeld(later, later, e, []hingeids.RequestID{id})
	h.state.TakeHeld(later, earlier, e, nil)
	p := h.state.engines["engine-0"].pools["host-0"]
	if !p.open || p.book[id] == nil {
		t.Errorf("open %v, book %v", p.open, p.book)
	}
}

// A host is restarted while loans to its earlier life are on their way. The new
// life numbers its questions too; it must not take an answer for one of its own,
// or it would count a loan that nobody lent it from too late a time.
func TestLoanToAnEarlierLifeIsNotTaken(t *testing.T) {
	s := newSimulation(1, 1, 1, 2, false)
	h := s.hosts["host-0"]
	s.start(h)
	s.run(3 * time.Second)
	for number := range uint64(1000) {
		h.state.Receive(s.clock(h), Message{
			Kind:        kindLend,
			From:        hingeids.Instance{Host: "host-9"},
			Engine:      "engine-0",
			Incarnation: 1,
			Number:      number,
			Pool:        "host-9",
			Serial:      1,
			For:         loanLease,
			Size:        2,
		})
	}
	if l := h.state.engines["engine-0"].loans["host-9"]; l != nil {
		t.Errorf("it took the loan %+v", l)
	}
}
