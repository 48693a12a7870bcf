package hingemembers

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

func announcement(sequence uint64) hingeannounce.Announcement {
	return hingeannounce.Announcement{
		Server:      "engine-1",
		Incarnation: 1,
		Sequence:    sequence,
		Kind:        hingeannounce.Decode,
		Zone:        "zone-0",
		Address:     "127.0.0.1:9000",
		Model:       "redacteur",
		Slots:       20,
	}
}

func (s *simulation) stateOf(at, of hingeids.HostID) HostState {
	h, _ := s.byName[at].state.View(s.clock(s.byName[at])).Find(of)
	return h.State
}

// A killed entry host must expire within 3 s, so that its slots and requests can be
// released before other callers time out.
func TestKilledHostExpiresWithinBound(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, 2, true)
		s.run(5*time.Second, nil)
		killed := s.byName["host-1-1"]
		killed.dead = true
		s.run(s.now+3*time.Second, nil)
		got := s.byName["host-0-0"].state.Expired()
		if diff := cmp.Diff([]hingeids.Instance{killed.state.Instance()}, got); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// A host that stalls repeatedly, while some datagrams are lost, must not be suspect once
// its stalls have been observed, or its callers would repeatedly lose their requests.
func TestStallingHostIsNotSuspect(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, 2, true)
		s.loss = 0.05
		stalling := s.byName["host-2-0"]
		suspected := 0
		for s.now < 40*time.Second {
			stalling.stalledUntil = s.now + 1500*time.Millisecond
			s.run(s.now+4*time.Second, func() {
				if s.now > 10*time.Second && s.stateOf("host-0-0", "host-2-0") == Suspect {
					suspected++
				}
			})
		}
		if suspected > 0 {
			t.Errorf("seed %d: suspect in %d checks, want none", seed, suspected)
		}
	}
}

// A path between two hosts is cut in one or both directions. Both still reach the others,
// so neither may become suspect.
func TestCutPathDoesNotCauseSuspicion(t *testing.T) {
	pairs := [][2]hingeids.HostID{{"host-0-0", "host-2-1"}, {"host-2-1", "host-0-0"}}
	for ways := 1; ways <= 2; ways++ {
		s := newSimulation(1, 3, 2, true)
		s.run(3*time.Second, nil)
		for _, pair := range pairs[:ways] {
			s.cuts[pair] = true
		}
		s.run(20*time.Second, func() {
			for _, pair := range pairs {
				if got := s.stateOf(pair[0], pair[1]); got == Suspect {
					t.Fatalf("%d directions cut, at %v: %s is %v at %s", ways, s.now, pair[1], got, pair[0])
				}
			}
		})
	}
}

// The hosts of a zone that is cut off for a minute must keep their leases, or their
// callers would be rejected; and no instance may be recorded as ended, or its
// requests would be lost.
func TestIsolatedZoneKeepsItsLeases(t *testing.T) {
	s := newSimulation(2, 3, 2, true)
	s.run(5*time.Second, nil)
	s.cutZone("zone-2", true)
	s.run(60*time.Second, func() {
		for _, h := range s.hosts {
			s.recordExpired(h)
			if now := s.clock(h); h.state.LeaseUntil(now).Before(now) {
				t.Fatalf("at %v host %s has no valid lease", s.now, h.config.Instance.Host)
			}
		}
	})
	s.cutZone("zone-2", false)
	s.run(70*time.Second, nil)
	for _, a := range s.names() {
		for _, b := range s.names() {
			if got := s.stateOf(a, b); got != Alive {
				t.Errorf("after the partition %s is %v at %s", b, got, a)
			}
		}
	}
}

func (s *simulation) cutZone(z hingeids.Zone, on bool) {
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if (a.config.Zone == z) != (b.config.Zone == z) {
				s.cuts[[2]hingeids.HostID{a.config.Instance.Host, b.config.Instance.Host}] = on
			}
		}
	}
}

// With lost datagrams and a cut path, every host must find an announced server
// usable, and unusable within 2 s after it leaves.
func TestLeavingServerIsKnownEverywhereSoon(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed, 3, 2, true)
		s.loss = 0.1
		s.cuts[[2]hingeids.HostID{"host-0-0", "host-1-1"}] = true
		s.run(3*time.Second, nil)
		first := s.byName["host-0-0"]
		sequence := uint64(0)
		for range 20 {
			sequence++
			first.state.Announce(s.clock(first), announcement(sequence))
			s.run(s.now+500*time.Millisecond, nil)
		}
		s.checkUsable(t, true)
		leaving := announcement(sequence + 1)
		leaving.Leaving = true
		first.state.Announce(s.clock(first), leaving)
		s.run(s.now+2*time.Second, nil)
		s.checkUsable(t, false)
	}
}

func (s *simulation) checkUsable(t *testing.T, want bool) {
	t.Helper()
	for _, h := range s.hosts {
		_, got := h.state.servers.View(s.clock(h)).Find("engine-1")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("usable at host %s at %v: %s", h.config.Instance.Host, s.now, diff)
		}
	}
}

// A frozen host that was recorded as ended resumes. It must learn that its instance has
// ended, and rejoin with a new one.
func TestFrozenHostLearnsThatItsInstanceHasEnded(t *testing.T) {
	s := newSimulation(3, 3, 2, true)
	s.run(5*time.Second, nil)
	frozen := s.byName["host-1-1"]
	before := frozen.state.Instance()
	frozen.dead = true
	s.run(12*time.Second, func() {
		s.recordExpired(s.byName["host-0-0"])
	})
	if !s.registry.HasEnded(before) {
		t.Fatal("the frozen instance was not recorded as ended")
	}
	frozen.dead = false
	s.step(frozen, frozen.state)
	s.run(16*time.Second, func() {
		s.recordExpired(s.byName["host-0-0"])
	})
	after := frozen.state.Instance()
	if after.Incarnation <= before.Incarnation || !s.registry.Has(after) {
		t.Errorf("instance %v after %v, registry entry %v", after, before, s.registry[before.Host])
	}
	if got := s.stateOf("host-0-0", "host-1-1"); got != Alive {
		t.Errorf("the new instance is %v, want alive", got)
	}
}

// The result of joining facts must not depend on their order and repetition, or hosts
// would disagree permanently.
func TestJoinIsTheSameInAnyOrder(t *testing.T) {
	fact := rapid.Custom(func(t *rapid.T) HostFact {
		return HostFact{
			Instance: hingeids.Instance{
				Host:        "host-0-0",
				Incarnation: hingeids.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
			},
			Version: rapid.Uint32Range(0, 2).Draw(t, "version"),
			Suspect: rapid.Bool().Draw(t, "suspect"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
			Ended:   rapid.Bool().Draw(t, "over"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(fact, 1, 6).Draw(t, "facts")
		order := rapid.Permutation(append(all, all...)).Draw(t, "order")
		one, other := all[0], order[0]
		for _, f := range all {
			one = join(one, f)
		}
		for _, f := range order {
			other = join(other, f)
		}
		if diff := cmp.Diff(one, other); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Under random kills, restarts, freezes, delays, cut paths and clock rates, an
// instance recorded as ended must hold no valid lease, or two hosts could grant one
// slot. After the faults all hosts must converge.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 2, true)
		checkLeases := func() {
			for _, h := range s.hosts {
				s.recordExpired(h)
				now := s.clock(h)
				if s.registry.HasEnded(h.state.Instance()) && h.state.LeaseUntil(now).After(now) {
					t.Fatalf("at %v instance %v has ended and holds a valid lease", s.now, h.state.Instance())
				}
			}
		}
		s.run(3*time.Second, checkLeases)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.fault(t)
			s.run(s.now+time.Duration(rapid.IntRange(50, 2500).Draw(t, "wait"))*time.Millisecond, checkLeases)
		}
		s.repair()
		s.run(s.now+15*time.Second, checkLeases)
		for _, a := range s.names() {
			for _, b := range s.names() {
				if got := s.stateOf(a, b); got != Alive {
					t.Fatalf("at the end %s is %v at %s", b, got, a)
				}
			}
		}
	})
}

func (s *simulation) fault(t *rapid.T) {
	h := rapid.SampledFrom(s.hosts).Draw(t, "host")
	switch rapid.SampledFrom([]string{"kill", "restart", "thaw", "slow", "cut", "zone", "away", "away", "heal", "heal", "loss"}).Draw(t, "fault") {
	case "kill":
		h.dead = true
	case "restart":
		s.start(h)
	case "thaw":
		if h.dead {
			h.dead = false
			s.step(h, h.state)
		}
	case "slow":
		h.slowBy = 200 * time.Millisecond
	case "cut":
		o := rapid.SampledFrom(s.hosts).Draw(t, "to")
		s.cuts[[2]hingeids.HostID{h.config.Instance.Host, o.config.Instance.Host}] = true
	case "zone":
		s.cutZone(h.config.Zone, true)
	case "away":
		for _, o := range s.hosts {
			s.cuts[[2]hingeids.HostID{h.config.Instance.Host, o.config.Instance.Host}] = true
			s.cuts[[2]hingeids.HostID{o.config.Instance.Host, h.config.Instance.Host}] = true
		}
	case "heal":
		clear(s.cuts)
	case "loss":
		s.loss = 0.2
	}
}

func (s *simulation) repair() {
	clear(s.cuts)
	s.loss = 0
	for _, h := range s.hosts {
		h.slowBy = 0
		if h.dead {
			s.start(h)
			continue
		}
		h.state.SetRegistry(s.registry)
	}
}

// BenchmarkBytes reports the traffic of a member, with twelve servers that each announce
// themselves twice a second, for 6 and for 560 hosts.
func BenchmarkBytes(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{3, 2}, {4, 140}} {
		b.Run(fmt.Sprint(size.zones*size.hosts), func(b *testing.B) {
			for range b.N {
				s := newSimulation(1, size.zones, size.hosts, false)
				s.run(12*time.Second, nil)
				clear(s.bytes)
				clear(s.messages)
				for i := range uint64(240) {
					a := announcement(i + 1)
					a.Server = hingeids.ServerID(fmt.Sprintf("engine-%d", i%12))
					h := s.hosts[int(i)%12%len(s.hosts)]
					h.state.Announce(s.clock(h), a)
					s.run(s.now+time.Second/24, nil)
				}
				bytes, messages, most := 0, 0, 0
				for h := range s.bytes {
					bytes += s.bytes[h]
					messages += s.messages[h]
					most = max(most, s.bytes[h])
				}
				members := float64(len(s.hosts))
				b.ReportMetric(float64(bytes)/members/10, "B/s/member")
				b.ReportMetric(float64(most)/10, "B/s/busiest")
				b.ReportMetric(float64(messages)/members/10, "messages/s/member")
			}
		})
	}
}

// A host that shuts down in an orderly way must expire within a round or two, so that its
// slots are not idle until its lease has run out.
func TestEndedInstanceExpiresAtOnce(t *testing.T) {
	s := newSimulation(1, 3, 2, true)
	s.run(5*time.Second, nil)
	ending := s.byName["host-2-1"]
	ending.state.Leave()
	s.run(5500*time.Millisecond, nil)
	if diff := cmp.Diff(Leaving, s.stateOf("host-0-0", "host-2-1")); diff != "" {
		t.Error(diff)
	}
	ending.state.End()
	s.run(6*time.Second, nil)
	got := s.byName["host-0-0"].state.Expired()
	if diff := cmp.Diff([]hingeids.Instance{ending.state.Instance()}, got); diff != "" {
		t.Error(diff)
	}
	if ending.state.DeclaredEnded() {
		t.Error("an instance that ended itself is declared ended by others")
	}
}

// Every peer must get each server's heartbeats even if the peers are always served in
// the same order. Otherwise the last ones consider the server dead.
func TestEachPeerGetsTheHeartbeats(t *testing.T) {
	s := newSimulation(1, 3, 2, false)
	s.run(3*time.Second, nil)
	h := s.hosts[0]
	received := make(map[hingeids.HostID]int)
	sendTo := func(to hingeids.HostID) {
		out := h.state.outgoing(s.clock(h), to, Message{})
		received[to] += len(out.Message.Servers)
	}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		for n := range 3 {
			a := announcement(sequence)
			a.Server = hingeids.ServerID(fmt.Sprintf("redacteur-%d", n+1))
			h.state.Announce(s.clock(h), a)
		}
		for _, p := range h.state.peers[:4] {
			sendTo(p.Host)
		}
		for _, p := range h.state.peers {
			sendTo(p.Host)
		}
	}
	for _, p := range h.state.peers {
		if received[p.Host] < 20 {
			t.Errorf("%s received %d of 60 heartbeats, want at least 20; all: %v", p.Host, received[p.Host], received)
		}
	}
}
