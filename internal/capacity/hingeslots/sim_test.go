package hingeslots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var epoch = time.Unix(1_700_000_000, 0)

// simulation runs the States of one zone in simulated time against engines that
// say what they hold, with a record and standing as hingemembers gives them.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	serial  int
	loss    float64
	delayed time.Duration
	hosts   map[hingeids.HostID]*simHost
	names   []hingeids.HostID
	engines map[hingeids.ServerID]*simEngine
	cuts    map[[2]hingeids.HostID]bool
	record  map[hingeids.HostID]simRecord
	// away hosts can't renew their standing.
	away map[hingeids.HostID]bool
	// onGrant, if set, takes what is granted, in place of the engines here.
	onGrant func(r Result)
	// problems are broken invariants.
	problems []string
	messages int
	// got are the requests that have been granted a slot.
	got map[hingeids.RequestID]bool
	// bytes counts what is sent, only if it is measured.
	measured bool
	bytes    int
}

type simRecord struct {
	incarnation hingeids.Incarnation
	over        bool
}

type simHost struct {
	id      hingeids.HostID
	state   *State
	rate    float64
	dead    bool
	renewed time.Duration
	view    View
	// live are the requests that wait or have a slot.
	live     map[hingeids.RequestID]bool
	sequence uint64
}

type simEngine struct {
	Engine
	held map[hingeids.RequestID]bool
	// most is the highest number held since it was reset.
	most int
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

func newSimulation(seed uint64, hosts, engines int, slots hingeids.Slots, rates bool) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 2)),
		hosts:   make(map[hingeids.HostID]*simHost),
		engines: make(map[hingeids.ServerID]*simEngine),
		cuts:    make(map[[2]hingeids.HostID]bool),
		record:  make(map[hingeids.HostID]simRecord),
		away:    make(map[hingeids.HostID]bool),
		got:     make(map[hingeids.RequestID]bool),
	}
	for i := range engines {
		e := &simEngine{
			Engine: Engine{
				ID:          hingeids.ServerID(fmt.Sprintf("engine-%d", i)),
				Incarnation: 1,
				Slots:       slots,
			},
			held: make(map[hingeids.RequestID]bool),
		}
		s.engines[e.ID] = e
	}
	for i := range hosts {
		s.names = append(s.names, hingeids.HostID(fmt.Sprintf("host-%d", i)))
	}
	for _, n := range s.names {
		h := &simHost{
			id:   n,
			rate: 1,
		}
		if rates {
			h.rate = 0.96 + 0.08*s.random.Float64()
		}
		s.hosts[n] = h
	}
	for _, n := range s.names {
		s.start(s.hosts[n])
	}
	return s
}

func (s *simulation) start(h *simHost) {
	r := s.record[h.id]
	s.record[h.id] = simRecord{
		incarnation: r.incarnation + 1,
	}
	life := hingeids.Instance{
		Host:        h.id,
		Incarnation: r.incarnation + 1,
	}
	h.state = NewState(life, s.names)
	h.dead, h.sequence, h.renewed = false, 0, s.now
	h.live = make(map[hingeids.RequestID]bool)
	h.view = View{
		Alive: s.names,
	}
	h.state.SetEngines(s.clock(h), s.announced())
	s.spreadRecord()
	s.tick(h, h.state)
}

func (s *simulation) announced() []Engine {
	var engines []Engine
	for i := range len(s.engines) {
		engines = append(engines, s.engines[hingeids.ServerID(fmt.Sprintf("engine-%d", i))].Engine)
	}
	return engines
}

// spreadEngines brings what is announced to each host after a time of its own.
func (s *simulation) spreadEngines() {
	for _, n := range s.names {
		h := s.hosts[n]
		s.after(s.delay()*10, func() {
			h.state.SetEngines(s.clock(h), s.announced())
		})
	}
}

// spreadRecord brings the record to each host after a time of its own, and never
// an older one after a newer one.
func (s *simulation) spreadRecord() {
	for _, n := range s.names {
		h := s.hosts[n]
		state := h.state
		s.after(s.delay()*10, func() {
			if h.state == state && !s.away[n] {
				h.view.Recorded = s.currentRecord()
			}
		})
	}
}

func (s *simulation) currentRecord() map[hingeids.HostID]hingeids.Incarnation {
	recorded := make(map[hingeids.HostID]hingeids.Incarnation)
	for h, r := range s.record {
		if !r.over {
			recorded[h] = r.incarnation
		}
	}
	return recorded
}

// Standing as in hingemembers: a lease from the last renewal, and a life is over
// only when that is past by any clock.
const (
	simLease = 1500 * time.Millisecond
	simOver  = 1700 * time.Millisecond
)

// recordOver records lives that have not been renewed.
func (s *simulation) recordOver() {
	for _, n := range s.names {
		h, r := s.hosts[n], s.record[n]
		if !r.over && s.now-h.renewed > simOver {
			s.record[n] = simRecord{
				incarnation: r.incarnation,
				over:        true,
			}
			s.spreadRecord()
		}
	}
}

func (s *simulation) clock(h *simHost) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * h.rate))
}

func (s *simulation) delay() time.Duration {
	d := time.Duration(500+s.random.IntN(3000)) * time.Microsecond
	if s.delayed > 0 && s.random.IntN(4) == 0 {
		d += time.Duration(s.random.Int64N(int64(s.delayed)))
	}
	return d
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

// tick steps a host each stepEvery while it lives, and renews its standing.
func (s *simulation) tick(h *simHost, state *State) {
	if h.state != state {
		return
	}
	if !h.dead {
		if !s.away[h.id] && !s.record[h.id].over {
			h.renewed = s.now
			h.view.StandsUntil = s.clock(h).Add(simLease)
		}
		if s.record[h.id].over && !s.away[h.id] {
			s.start(h) // It learned that its life is over.
			return
		}
		state.SetView(h.view)
		s.do(h, state, state.Step(s.clock(h)))
	}
	s.recordOver()
	s.after(stepEvery, func() {
		s.tick(h, state)
	})
}

func (s *simulation) do(h *simHost, state *State, out Output) {
	for _, o := range out.Send {
		s.messages++
		if s.measured {
			s.bytes += wireSize(o.Message)
		}
		s.deliver(h, o)
		if s.loss > 0 && s.random.IntN(20) == 0 {
			s.deliver(h, o)
		}
	}
	for _, e := range out.AskHeld {
		s.askHeld(h, state, e)
	}
	for _, r := range out.Results {
		s.result(h, state, r)
	}
}

func (s *simulation) deliver(h *simHost, o Outgoing) {
	if s.cuts[[2]hingeids.HostID{h.id, o.To}] || s.random.Float64() < s.loss {
		return
	}
	to := s.hosts[o.To]
	s.after(s.delay(), func() {
		if !to.dead {
			state := to.state
			s.do(to, state, state.Receive(s.clock(to), o.Message))
		}
	})
}

func (s *simulation) askHeld(h *simHost, state *State, of Engine) {
	asked := s.clock(h)
	s.after(s.delay(), func() {
		var ids []hingeids.RequestID
		for id := range s.engines[of.ID].held {
			ids = append(ids, id)
		}
		s.after(s.delay(), func() {
			if h.state == state && !h.dead {
				s.do(h, state, state.TakeHeld(s.clock(h), asked, of, ids))
			}
		})
	})
}

// want begins a request that will run for the given time once it has a slot.
func (s *simulation) want(h *simHost, priority int, engines ...hingeids.ServerID) {
	if h.dead {
		return
	}
	h.sequence++
	id := hingeids.RequestID{
		Instance: h.state.life,
		Sequence: h.sequence,
	}
	h.live[id] = true
	out, _ := h.state.Acquire(s.clock(h), engines, id, priority)
	s.do(h, h.state, out)
}

func (s *simulation) release(h *simHost, state *State, id hingeids.RequestID) {
	delete(h.live, id)
	s.do(h, state, state.Release(s.clock(h), id))
}

// result starts a granted request after some time, if it still may.
func (s *simulation) result(h *simHost, state *State, r Result) {
	if s.onGrant != nil {
		s.onGrant(r)
		return
	}
	waiting := h.live[r.ID]
	if r.Granted && s.got[r.ID] {
		s.problems = append(s.problems, fmt.Sprintf("at %v %v was granted a second slot", s.now, r.ID))
	}
	s.got[r.ID] = true
	if !r.Granted || !waiting {
		delete(h.live, r.ID)
		return
	}
	s.after(s.delay(), func() {
		if h.state != state || h.dead {
			return
		}
		if !s.clock(h).Before(r.StartBy) {
			s.release(h, state, r.ID)
			return
		}
		incarnation := s.engines[r.Engine].Incarnation
		s.after(s.delay(), func() {
			if s.engines[r.Engine].Incarnation == incarnation {
				s.begin(h, state, r)
			}
		})
	})
}

// begin puts a request on its engine, which is where a slot granted twice shows.
func (s *simulation) begin(h *simHost, state *State, r Result) {
	e := s.engines[r.Engine]
	e.held[r.ID] = true
	e.most = max(e.most, len(e.held))
	if len(e.held) > int(e.Slots) {
		s.problems = append(s.problems, fmt.Sprintf("at %v %s holds %d of %d", s.now, e.ID, len(e.held), e.Slots))
	}
	runs := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
	s.after(runs, func() {
		if h.dead || h.state != state {
			s.after(time.Duration(s.random.IntN(3000))*time.Millisecond, func() {
				delete(e.held, r.ID) // Its holder is gone: another cancels it.
			})
			return
		}
		delete(e.held, r.ID)
		s.release(h, state, r.ID)
	})
}
