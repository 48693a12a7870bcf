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

// simulation runs States against engines that hold what owners sent them.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	serial  int
	loss    float64
	hosts   []*simHost
	byID    map[hingeids.HostID]*simHost
	engines []*simEngine
	record  hingemembers.Record
	cuts    map[string]bool
	// problems are broken invariants.
	problems []string
}

type simHost struct {
	id    hingeids.HostID
	state *State
	life  hingeids.Instance
	// down hosts do nothing: killed or frozen.
	down  bool
	known map[hingeids.RequestID]bool
	next  uint64
}

type simEngine struct {
	Engine
	held map[hingeids.RequestID]time.Duration
}

type simEvent struct {
	at     time.Duration
	serial int
	run    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
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
		random: rand.New(rand.NewPCG(seed, 3)),
		byID:   make(map[hingeids.HostID]*simHost),
		record: make(hingemembers.Record),
		cuts:   make(map[string]bool),
	}
	for i := range 2 {
		s.engines = append(s.engines, &simEngine{
			Engine: Engine{
				ID:          hingeids.ServerID(fmt.Sprintf("engine-%d", i)),
				Incarnation: 1,
			},
			held: make(map[hingeids.RequestID]time.Duration),
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
		s.start(h)
	}
	return s
}

// start begins a new life of a host; the earlier one is over at once.
func (s *simulation) start(h *simHost) {
	h.life = hingeids.Instance{
		Host:        h.id,
		Incarnation: h.life.Incarnation + 1,
	}
	h.down = false
	h.state = NewState()
	h.known = make(map[hingeids.RequestID]bool)
	s.recordLife(h.life, false)
	s.tick(h, h.state)
}

func (s *simulation) recordLife(l hingeids.Instance, over bool) {
	next := hingemembers.Record{}
	for k, v := range s.record {
		next[k] = v
	}
	next[l.Host] = hingemembers.Recorded{
		Incarnation: l.Incarnation,
		Over:        over,
	}
	s.record = next
}

func (s *simulation) delay() time.Duration {
	return time.Duration(500+s.random.IntN(3000)) * time.Microsecond
}

func (s *simulation) clock() time.Time {
	return epoch.Add(s.now)
}

func (s *simulation) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, simEvent{
		at:     s.now + d,
		serial: s.serial,
		run:    run,
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

// passes reports whether a message gets from one end to another.
func (s *simulation) passes(from, to string) bool {
	return !s.cuts[from+">"+to] && s.random.Float64() >= s.loss
}

func (s *simulation) tick(h *simHost, state *State) {
	if h.state != state {
		return
	}
	if !h.down {
		if s.record.IsOver(h.life) {
			s.start(h) // Its callers have been answered finally.
			return
		}
		var engines []Engine
		for i, e := range s.engines {
			seen := e.Engine
			seen.Mine = s.hosts[i].down || s.hosts[i] == h
			engines = append(engines, seen)
		}
		state.SetEngines(s.clock(), engines)
		state.SetRecord(s.record)
		s.step(h, state)
	}
	s.after(100*time.Millisecond, func() {
		s.tick(h, state)
	})
}

func (s *simulation) step(h *simHost, state *State) {
	out, _ := state.Step(s.clock())
	for _, e := range out.Poll {
		s.poll(h, state, e)
	}
	for _, q := range out.Ask {
		s.ask(h, state, q)
	}
	for _, c := range out.Cancel {
		s.cancel(h, state, c)
	}
	for _, c := range out.Gone {
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

func (s *simulation) poll(h *simHost, state *State, of Engine) {
	if !s.passes(string(h.id), string(of.ID)) {
		return
	}
	s.after(s.delay(), func() {
		var holds []Hold
		for id := range s.engine(of.ID).held {
			holds = append(holds, Hold{
				ID:   id,
				Kind: Running,
			})
		}
		s.answer(h, state, string(of.ID), func() {
			state.TakeHeld(s.clock(), of, holds)
		})
	})
}

// answer carries an answer back to a host, if it still leads the same life.
func (s *simulation) answer(h *simHost, state *State, from string, take func()) {
	if !s.passes(from, string(h.id)) {
		return
	}
	s.after(s.delay(), func() {
		if h.state == state && !h.down {
			take()
			s.step(h, state)
		}
	})
}

func (s *simulation) ask(h *simHost, state *State, q Question) {
	if !s.passes(string(h.id), string(q.Host)) {
		return
	}
	s.after(s.delay(), func() {
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
		life := o.life
		s.answer(h, state, string(q.Host), func() {
			state.TakeAnswer(s.clock(), life, q.IDs, known)
		})
	})
}

// cancel carries a cancel to an engine, where one of a living owner's live
// request shows.
func (s *simulation) cancel(h *simHost, state *State, c Cancellation) {
	if !s.passes(string(h.id), string(c.Engine)) {
		return
	}
	s.after(s.delay(), func() {
		owner := s.byID[c.ID.Host]
		if owner.known[c.ID] && !s.record.IsOver(c.ID.Instance) {
			s.problems = append(s.problems, fmt.Sprintf("at %v %s cancelled live %v", s.now, h.id, c.ID))
		}
		delete(s.engine(c.Engine).held, c.ID)
		s.answer(h, state, string(c.Engine), func() {
			state.TakeCancelled(c)
		})
	})
}

// request begins a request; it ends by itself, or its caller leaves.
func (s *simulation) request() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if h.down {
		return
	}
	e := s.engines[s.random.IntN(len(s.engines))]
	h.next++
	id := hingeids.RequestID{
		Instance: h.life,
		Sequence: h.next,
	}
	h.known[id] = true
	if !s.passes(string(h.id), string(e.ID)) {
		delete(h.known, id)
		return
	}
	state := h.state
	s.after(s.delay(), func() {
		e.held[id] = s.now
	})
	s.after(time.Duration(20+s.random.IntN(4000))*time.Millisecond, func() {
		if h.state != state || h.down {
			return
		}
		switch s.random.IntN(3) {
		case 0: // The caller leaves: known until the engine has given it up.
			delete(h.known, id)
			state.Abandon(s.clock(), e.ID, id)
		case 1: // The owner forgets it, as when an answer of the engine was lost.
			delete(h.known, id)
		default:
			delete(e.held, id)
			delete(h.known, id)
		}
	})
}

// leftovers are holds that nobody answers for.
func (s *simulation) leftovers() []hingeids.RequestID {
	var out []hingeids.RequestID
	for _, e := range s.engines {
		for id := range e.held {
			if !s.byID[id.Host].known[id] {
				out = append(out, id)
			}
		}
	}
	return out
}
