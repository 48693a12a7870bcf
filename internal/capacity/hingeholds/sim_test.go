package hingeholds

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
)

var epoch = time.Unix(1_700_000_000, 0)

// simulation runs States of several hosts against simulated engines and links.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	sequence     int
	loss         float64
	hosts        []*simHost
	byID         map[hingeids.HostID]*simHost
	engines      []*simEngine
	record       hingemembers.Registry
	blockedLinks map[string]bool
	// violations describes each active request that was cancelled.
	violations []string
}

type simHost struct {
	id       hingeids.HostID
	state    *State
	instance hingeids.Instance
	// down is whether the host is killed or suspended.
	down  bool
	known map[hingeids.RequestID]bool
	next  uint64
}

type simEngine struct {
	Engine
	allocations map[hingeids.RequestID]time.Duration
}

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 3)),
		byID:         make(map[hingeids.HostID]*simHost),
		record:       make(hingemembers.Registry),
		blockedLinks: make(map[string]bool),
	}
	for i := range 2 {
		s.engines = append(s.engines, &simEngine{
			Engine: Engine{
				ID:          hingeids.ServerID(fmt.Sprintf("engine-%d", i)),
				Incarnation: 1,
			},
			allocations: make(map[hingeids.RequestID]time.Duration),
		})
	}
	for i := range 3 {
		h := &simHost{
			id: hingeids.HostID(fmt.Sprintf("host-%d", i)),
		}
		s.hosts = append(s.hosts, h)
		s.byID[h.id] = h
	}
	for _, h := range s.hosts {
		s.restart(h)
	}
	return s
}

// restart starts a new instance of a host and replaces the previous one in the record.
func (s *simulation) restart(h *simHost) {
	h.instance = hingeids.Instance{
		Host:        h.id,
		Incarnation: h.instance.Incarnation + 1,
	}
	h.down = false
	h.state = NewState()
	h.known = make(map[hingeids.RequestID]bool)
	s.recordInstance(h.instance, false)
	s.tick(h, h.state)
}

func (s *simulation) recordInstance(instance hingeids.Instance, ended bool) {
	next := hingemembers.Registry{}
	for k, v := range s.record {
		next[k] = v
	}
	next[instance.Host] = hingemembers.RegistryEntry{
		Incarnation: instance.Incarnation,
		Ended:       ended,
	}
	s.record = next
}

func (s *simulation) delay() time.Duration {
	return time.Duration(500+s.random.IntN(3000)) * time.Microsecond
}

func (s *simulation) clock() time.Time {
	return epoch.Add(s.now)
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, simEvent{
		at:       s.now + d,
		sequence: s.sequence,
		run:      run,
	})
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// delivered is random while the link is up.
func (s *simulation) delivered(from, to string) bool {
	return !s.blockedLinks[from+">"+to] && s.random.Float64() >= s.loss
}

func (s *simulation) tick(h *simHost, state *State) {
	if h.state != state {
		return
	}
	if !h.down {
		if s.record.HasEnded(h.instance) {
			s.restart(h) // All its callers have received a final response.
			return
		}
		var engines []Engine
		for i, e := range s.engines {
			seen := e.Engine
			seen.Responsible = s.hosts[i].down || s.hosts[i] == h
			engines = append(engines, seen)
		}
		state.SetEngines(s.clock(), engines)
		state.SetRecord(s.record)
		s.step(h, state)
	}
	s.schedule(100*time.Millisecond, func() {
		s.tick(h, state)
	})
}

func (s *simulation) step(h *simHost, state *State) {
	out, _ := state.Step(s.clock())
	for _, e := range out.Polls {
		s.poll(h, state, e)
	}
	for _, q := range out.Queries {
		s.queryOwner(h, state, q)
	}
	for _, c := range out.Cancels {
		s.cancel(h, state, c)
	}
	for _, c := range out.Released {
		delete(h.known, c.ID)
	}
}

func (s *simulation) engine(id hingeids.ServerID) *simEngine {
	for _, e := range s.engines {
		if e.ID == id {
			return e
		}
	}
	return nil
}

func (s *simulation) poll(h *simHost, state *State, polled Engine) {
	if !s.delivered(string(h.id), string(polled.ID)) {
		return
	}
	s.schedule(s.delay(), func() {
		var allocations []Allocation
		for id := range s.engine(polled.ID).allocations {
			allocations = append(allocations, Allocation{
				ID:   id,
				Kind: Running,
			})
		}
		s.reply(h, state, string(polled.ID), func() {
			state.HandleAllocations(s.clock(), polled, allocations)
		})
	})
}

// reply delivers a response to a host if its instance is still the same.
func (s *simulation) reply(h *simHost, state *State, from string, handle func()) {
	if !s.delivered(from, string(h.id)) {
		return
	}
	s.schedule(s.delay(), func() {
		if h.state == state && !h.down {
			handle()
			s.step(h, state)
		}
	})
}

func (s *simulation) queryOwner(h *simHost, state *State, q OwnershipQuery) {
	if !s.delivered(string(h.id), string(q.Host)) {
		return
	}
	s.schedule(s.delay(), func() {
		o := s.byID[q.Host]
		if o.down {
			return
		}
		var known []hingeids.RequestID
		for _, id := range q.IDs {
			if o.known[id] {
				known = append(known, id)
			}
		}
		instance := o.instance
		s.reply(h, state, string(q.Host), func() {
			state.HandleQueryReply(s.clock(), instance, q.IDs, known)
		})
	})
}

// cancel delivers a cancel to an engine and records a violation if the request is
// still active at its owner.
func (s *simulation) cancel(h *simHost, state *State, c Cancellation) {
	if !s.delivered(string(h.id), string(c.Engine)) {
		return
	}
	s.schedule(s.delay(), func() {
		owner := s.byID[c.ID.Host]
		if owner.known[c.ID] && !s.record.HasEnded(c.ID.Instance) {
			s.violations = append(s.violations, fmt.Sprintf("at %v %s cancelled active request %v", s.now, h.id, c.ID))
		}
		delete(s.engine(c.Engine).allocations, c.ID)
		s.reply(h, state, string(c.Engine), func() {
			state.HandleCancelled(c)
		})
	})
}

// startRequest starts a request. It completes, is abandoned by its caller, or is
// dropped by its owner.
func (s *simulation) startRequest() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if h.down {
		return
	}
	e := s.engines[s.random.IntN(len(s.engines))]
	h.next++
	id := hingeids.RequestID{
		Instance: h.instance,
		Sequence: h.next,
	}
	h.known[id] = true
	if !s.delivered(string(h.id), string(e.ID)) {
		delete(h.known, id)
		return
	}
	state := h.state
	s.schedule(s.delay(), func() {
		e.allocations[id] = s.now
	})
	s.schedule(time.Duration(20+s.random.IntN(4000))*time.Millisecond, func() {
		if h.state != state || h.down {
			return
		}
		switch s.random.IntN(3) {
		case 0: // The caller disconnects.
			delete(h.known, id)
			state.Abandon(s.clock(), e.ID, id)
		case 1: // The owner drops it, as when the engine's response was lost.
			delete(h.known, id)
		default:
			delete(e.allocations, id)
			delete(h.known, id)
		}
	})
}

// orphans returns the allocations whose requests are in no owner's table.
func (s *simulation) orphans() []hingeids.RequestID {
	var out []hingeids.RequestID
	for _, e := range s.engines {
		for id := range e.allocations {
			if !s.byID[id.Host].known[id] {
				out = append(out, id)
			}
		}
	}
	return out
}
