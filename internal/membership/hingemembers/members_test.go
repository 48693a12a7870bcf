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

// An entry host is killed. Its peers notice, the zone and a majority of voters
// testify, and its life may be recorded as over within 3 s, so that what it held
// can be given up before callers give up on the rest.
func TestKilledHostIsOverdueSoon(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, 2, true)
		s.run(5*time.Second, nil)
		killed := s.byName["host-1-1"]
		killed.dead = true
		s.run(s.now+3*time.Second, nil)
		got := s.byName["host-0-0"].state.Overdue()
		if diff := cmp.Diff([]hingeids.Instance{killed.state.Life()}, got); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// A host stalls for a second and a half every few seconds, as one does that
// swaps, and some datagrams are lost. Once its stalls are known it may not be
// taken for dead, or its callers would lose their requests again and again.
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
			t.Errorf("seed %d: suspect in %d looks", seed, suspected)
		}
	}
}

// The path between two hosts is cut silently, one way or both. Both still reach
// the rest, so neither may be suspect.
func TestCutPathIsNotADeath(t *testing.T) {
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
					t.Fatalf("%d ways cut, at %v: %s looks %v from %s", ways, s.now, pair[1], got, pair[0])
				}
			}
		})
	}
}

// A zone is cut off for a minute. Its hosts must go on standing, or its callers
// would be refused although its engines are there; and no life may be recorded
// as over, or all its requests would be given up when it comes back.
func TestZoneCutOffGoesOnStanding(t *testing.T) {
	s := newSimulation(2, 3, 2, true)
	s.run(5*time.Second, nil)
	s.cutZone("zone-2", true)
	s.run(60*time.Second, func() {
		for _, h := range s.hosts {
			s.lead(h)
			if now := s.clock(h); h.state.StandsUntil(now).Before(now) {
				t.Fatalf("at %v host %s does not stand", s.now, h.config.Life.Host)
			}
		}
	})
	s.cutZone("zone-2", false)
	s.run(70*time.Second, nil)
	for _, a := range s.names() {
		for _, b := range s.names() {
			if got := s.stateOf(a, b); got != Alive {
				t.Errorf("after the cut %s looks %v from %s", b, got, a)
			}
		}
	}
}

func (s *simulation) cutZone(z hingeids.Zone, on bool) {
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if (a.config.Zone == z) != (b.config.Zone == z) {
				s.cuts[[2]hingeids.HostID{a.config.Life.Host, b.config.Life.Host}] = on
			}
		}
	}
}

// A backend server tells one entry host that it leaves. Until then every host can
// use it, and within 2 s of it none may, with a tenth of all datagrams lost and
// the path from that host to another cut.
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
		s.wantUsable(t, true)
		leaving := announcement(sequence + 1)
		leaving.Leaving = true
		first.state.Announce(s.clock(first), leaving)
		s.run(s.now+2*time.Second, nil)
		s.wantUsable(t, false)
	}
}

func (s *simulation) wantUsable(t *testing.T, want bool) {
	t.Helper()
	for _, h := range s.hosts {
		_, got := h.state.servers.View(s.clock(h)).Find("engine-1")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("usable at host %s at %v: %s", h.config.Life.Host, s.now, diff)
		}
	}
}

// A host that was frozen long enough to be recorded as over wakes up. It must
// learn that its life is over, and come back under a new one.
func TestFrozenHostLearnsThatItsLifeIsOver(t *testing.T) {
	s := newSimulation(3, 3, 2, true)
	s.run(5*time.Second, nil)
	frozen := s.byName["host-1-1"]
	before := frozen.state.Life()
	frozen.dead = true
	s.run(12*time.Second, func() {
		s.lead(s.byName["host-0-0"])
	})
	if !s.record.IsOver(before) {
		t.Fatal("the frozen life was not recorded as over")
	}
	frozen.dead = false
	s.step(frozen, frozen.state)
	s.run(16*time.Second, func() {
		s.lead(s.byName["host-0-0"])
	})
	after := frozen.state.Life()
	if after.Incarnation <= before.Incarnation || !s.record.Has(after) {
		t.Errorf("life %v after %v, record %v", after, before, s.record[before.Host])
	}
	if got := s.stateOf("host-0-0", "host-1-1"); got != Alive {
		t.Errorf("the new life looks %v", got)
	}
}

// Facts arrive in any order, doubled and late: what a host knows at the end must
// not depend on it, or hosts would disagree for good.
func TestJoinIsTheSameInAnyOrder(t *testing.T) {
	fact := rapid.Custom(func(t *rapid.T) HostFact {
		return HostFact{
			Life: hingeids.Instance{
				Host:        "host-0-0",
				Incarnation: hingeids.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
			},
			Version: rapid.Uint32Range(0, 2).Draw(t, "version"),
			Suspect: rapid.Bool().Draw(t, "suspect"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
			Over:    rapid.Bool().Draw(t, "over"),
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

// Hosts are killed, restarted, frozen, slow and cut off in any combination, with
// clocks that differ by up to six in a hundred. A life recorded as over may not
// stand, or two hosts could grant one slot; and when all is well again all agree.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 2, true)
		standsNot := func() {
			for _, h := range s.hosts {
				s.lead(h)
				now := s.clock(h)
				if s.record.IsOver(h.state.Life()) && h.state.StandsUntil(now).After(now) {
					t.Fatalf("at %v life %v is over and stands", s.now, h.state.Life())
				}
			}
		}
		s.run(3*time.Second, standsNot)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.fault(t)
			s.run(s.now+time.Duration(rapid.IntRange(50, 2500).Draw(t, "wait"))*time.Millisecond, standsNot)
		}
		s.mend()
		s.run(s.now+15*time.Second, standsNot)
		for _, a := range s.names() {
			for _, b := range s.names() {
				if got := s.stateOf(a, b); got != Alive {
					t.Fatalf("at the end %s looks %v from %s", b, got, a)
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
		s.cuts[[2]hingeids.HostID{h.config.Life.Host, o.config.Life.Host}] = true
	case "zone":
		s.cutZone(h.config.Zone, true)
	case "away":
		for _, o := range s.hosts {
			s.cuts[[2]hingeids.HostID{h.config.Life.Host, o.config.Life.Host}] = true
			s.cuts[[2]hingeids.HostID{o.config.Life.Host, h.config.Life.Host}] = true
		}
	case "heal":
		clear(s.cuts)
	case "loss":
		s.loss = 0.2
	}
}

func (s *simulation) mend() {
	clear(s.cuts)
	s.loss = 0
	for _, h := range s.hosts {
		h.slowBy = 0
		if h.dead {
			s.start(h)
			continue
		}
		h.state.SetRecord(s.record)
	}
}

// BenchmarkBytes reports what a member sends, with twelve servers that announce
// themselves twice a second each, at the sizes of today and at 560 hosts.
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

// A host shuts down in good order. Its peers learn it within a round or two and the
// record may show it at once, so that its slots are not idle for the time that a
// death takes to be certain.
func TestEndedLifeIsOverdueAtOnce(t *testing.T) {
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
	got := s.byName["host-0-0"].state.Overdue()
	if diff := cmp.Diff([]hingeids.Instance{ending.state.Life()}, got); diff != "" {
		t.Error(diff)
	}
	if ending.state.DeclaredOver() {
		t.Error("a life that ended itself takes itself for declared over")
	}
}

// Probes and acknowledgements fall into a rhythm: between two heartbeats of a
// server a host may answer four peers and then probe all in the same order. Were
// a heartbeat sent a number of times and not to each peer, the first ones would
// use it up each time, and the last would take the server for gone.
func TestEachPeerGetsTheHeartbeats(t *testing.T) {
	s := newSimulation(1, 3, 2, false)
	s.run(3*time.Second, nil)
	h := s.hosts[0]
	told := make(map[hingeids.HostID]int)
	tell := func(to hingeids.HostID) {
		out := h.state.outgoing(s.clock(h), to, Message{})
		told[to] += len(out.Message.Servers)
	}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		for n := range 3 {
			a := announcement(sequence)
			a.Server = hingeids.ServerID(fmt.Sprintf("redacteur-%d", n+1))
			h.state.Announce(s.clock(h), a)
		}
		for _, p := range h.state.peers[:4] {
			tell(p.Host)
		}
		for _, p := range h.state.peers {
			tell(p.Host)
		}
	}
	for _, p := range h.state.peers {
		if told[p.Host] < 20 {
			t.Errorf("%s was told %d heartbeats of 60, others: %v", p.Host, told[p.Host], told)
		}
	}
}
