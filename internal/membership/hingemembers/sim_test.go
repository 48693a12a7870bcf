package hingemembers

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var epoch = time.Unix(1_700_000_000, 0)

// simulation runs the States of several hosts in simulated time, with delays, losses, cut
// paths, slow hosts, wrong clocks and a registry that a leader changes.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	hosts     []*simHost
	byName    map[hingeids.HostID]*simHost
	events    []simEvent
	serial    int
	loss      float64
	cuts      map[[2]hingeids.HostID]bool
	registry  Registry
	proposing bool
	// bytes and messages count what each host sent.
	bytes    map[hingeids.HostID]int
	messages map[hingeids.HostID]int
}

type simHost struct {
	config StateConfig
	state  *State
	rate   float64
	// slowBy delays everything that the host does; until stalledUntil and while dead it
	// does nothing.
	slowBy       time.Duration
	stalledUntil time.Duration
	dead         bool
	incarnations int
}

type simEvent struct {
	at     time.Duration
	serial int
	run    func()
}

func newSimulation(seed uint64, zones, hostsInZone int, rates bool) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		byName:   make(map[hingeids.HostID]*simHost),
		cuts:     make(map[[2]hingeids.HostID]bool),
		registry: make(Registry),
		bytes:    make(map[hingeids.HostID]int),
		messages: make(map[hingeids.HostID]int),
	}
	var peers []Peer
	for z := range zones {
		for i := range hostsInZone {
			peers = append(peers, Peer{
				Host:  hingeids.HostID(fmt.Sprintf("host-%d-%d", z, i)),
				Zone:  hingeids.Zone(fmt.Sprintf("zone-%d", z)),
				Voter: i == 0 && z < 3,
			})
		}
	}
	for _, p := range peers {
		h := &simHost{
			config: StateConfig{
				Instance: hingeids.Instance{Host: p.Host},
				Zone:     p.Zone,
				Voter:    p.Voter,
				Peers:    peers,
				Seed:     seed,
			},
			rate: 1,
		}
		if rates {
			h.rate = 0.97 + 0.06*s.random.Float64()
		}
		s.hosts = append(s.hosts, h)
		s.byName[p.Host] = h
		s.start(h)
	}
	return s
}

// The new instance is added to the registry.
func (s *simulation) start(h *simHost) {
	h.incarnations++
	h.dead = false
	h.config.Instance.Incarnation = hingeids.Incarnation(h.incarnations)
	h.state = NewState(s.clock(h), h.config)
	s.register(h, h.state)
	s.step(h, h.state)
}

func (s *simulation) register(h *simHost, state *State) {
	s.after(s.delay(), func() {
		if h.state == state && !h.dead {
			s.setRegistry(state.Instance(), false)
		}
	})
}

func (s *simulation) setRegistry(instance hingeids.Instance, ended bool) {
	next := make(Registry)
	for k, v := range s.registry {
		next[k] = v
	}
	next[instance.Host] = RegistryEntry{
		Incarnation: instance.Incarnation,
		Ended:       ended,
	}
	s.registry = next
	for _, h := range s.hosts {
		s.after(s.delay(), func() {
			if !h.dead && !s.isolated(h) {
				h.state.SetRegistry(s.registry)
			}
		})
	}
}

// A host is isolated if it can receive from no voter other than itself.
func (s *simulation) isolated(h *simHost) bool {
	for _, o := range s.hosts {
		if o != h && o.config.Voter && !s.cuts[[2]hingeids.HostID{o.config.Instance.Host, h.config.Instance.Host}] {
			return false
		}
	}
	return true
}

func (s *simulation) clock(h *simHost) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * h.rate))
}

func (s *simulation) delay() time.Duration {
	return time.Duration(500+s.random.IntN(4000)) * time.Microsecond
}

func (s *simulation) after(d time.Duration, run func()) {
	s.serial++
	s.events = append(s.events, simEvent{
		at:     s.now + d,
		serial: s.serial,
		run:    run,
	})
	up := len(s.events) - 1
	for up > 0 && s.earlier(up, (up-1)/2) {
		s.events[up], s.events[(up-1)/2] = s.events[(up-1)/2], s.events[up]
		up = (up - 1) / 2
	}
}

func (s *simulation) earlier(i, j int) bool {
	a, b := s.events[i], s.events[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.serial, b.serial)) < 0
}

func (s *simulation) pop() simEvent {
	top := s.events[0]
	last := len(s.events) - 1
	s.events[0] = s.events[last]
	s.events = s.events[:last]
	for i := 0; ; {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < last && s.earlier(child, least) {
				least = child
			}
		}
		if least == i {
			return top
		}
		s.events[i], s.events[least] = s.events[least], s.events[i]
		i = least
	}
}

// step runs a host's state until the host dies or restarts.
func (s *simulation) step(h *simHost, state *State) {
	s.after(s.slowness(h)+time.Duration(s.random.IntN(50))*time.Millisecond, func() {
		if h.state != state || h.dead {
			return
		}
		now := s.clock(h)
		send, next := state.Step(now)
		s.send(h, send)
		if from, due := state.PullTarget(now); due {
			s.pull(h, state, from)
		}
		if state.DeclaredEnded() {
			state.StartInstance(now)
			s.register(h, state)
		}
		s.after(max(next.Sub(now), 0), func() {
			s.step(h, state)
		})
	})
}

func (s *simulation) slowness(h *simHost) time.Duration {
	return h.slowBy + max(h.stalledUntil-s.now, 0)
}

func (s *simulation) cut(from, to hingeids.HostID) bool {
	return s.cuts[[2]hingeids.HostID{from, to}]
}

func (s *simulation) send(h *simHost, all []Outgoing) {
	from := h.config.Instance.Host
	for _, o := range all {
		s.bytes[from] += len(encode(o.Message))
		s.messages[from]++
		to := s.byName[o.To]
		if s.cut(from, o.To) || s.random.Float64() < s.loss {
			continue
		}
		s.after(s.delay()+s.slowness(to), func() {
			if !to.dead {
				s.send(to, to.state.Receive(s.clock(to), from, o.Message))
			}
		})
	}
}

func (s *simulation) pull(h *simHost, state *State, from hingeids.HostID) {
	to, self := s.byName[from], h.config.Instance.Host
	if to.dead || s.cut(self, from) || s.cut(from, self) {
		return
	}
	table := state.Table(s.clock(h))
	s.bytes[self] += len(encode(table))
	s.after(s.delay(), func() {
		to.state.MergeTable(s.clock(to), table)
		answer := to.state.Table(s.clock(to))
		s.bytes[from] += len(encode(answer))
		s.after(s.delay(), func() {
			if h.state == state && !h.dead {
				state.MergeTable(s.clock(h), answer)
			}
		})
	})
}

// In simulated time.
const checkEvery = 10 * time.Millisecond

// The check, if not nil, runs at intervals of checkEvery.
func (s *simulation) run(until time.Duration, check func()) {
	checked := s.now
	for len(s.events) > 0 && s.events[0].at <= until {
		e := s.pop()
		s.now = e.at
		e.run()
		if check != nil && s.now-checked >= checkEvery {
			checked = s.now
			check()
		}
	}
	s.now = until
}

// As with the leader of the configuration log, the change is committed some time
// after it was proposed, and only if the registry hasn't changed meanwhile.
func (s *simulation) recordExpired(h *simHost) {
	if h.dead || s.proposing || s.isolated(h) || !sameRegistry(h.state.registry, s.registry) {
		return
	}
	for _, l := range h.state.Expired() {
		s.proposing = true
		proposed := s.registry
		s.after(time.Duration(s.random.IntN(2000))*time.Millisecond, func() {
			s.proposing = false
			if sameRegistry(proposed, s.registry) {
				s.setRegistry(l, true)
			}
		})
		return
	}
}

func sameRegistry(a, b Registry) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}

func (s *simulation) names() []hingeids.HostID {
	var out []hingeids.HostID
	for _, h := range s.hosts {
		out = append(out, h.config.Instance.Host)
	}
	slices.Sort(out)
	return out
}
