package hingeslots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var epoch = time.Unix(1_700_000_000, 0)

// simulation runs the States of one zone in simulated time against simulated
// engines, with a record and leases that behave like those of hingemembers.
type simulation struct {
	random        *rand.Rand
	now           time.Duration
	queue         eventQueue
	serial        int
	loss          float64
	maxExtraDelay time.Duration
	hosts         map[hingeids.HostID]*simHost
	names         []hingeids.HostID
	engines       map[hingeids.ServerID]*simEngine
	cuts          map[[2]hingeids.HostID]bool
	record        map[hingeids.HostID]simRecord
	// isolated hosts receive no record and can't renew their leases.
	isolated map[hingeids.HostID]bool
	// onGrant, if set, receives the results in place of the simulated engines.
	onGrant    func(r Result)
	violations []string
	messages   int
	// answered holds the requests that were granted a slot or refused.
	answered map[hingeids.RequestID]bool
	// bytes is the size of the sent messages; it is only updated if countBytes is
	// set.
	countBytes bool
	bytes      int
}

type simRecord struct {
	incarnation hingeids.Incarnation
	ended       bool
}

type simHost struct {
	id        hingeids.HostID
	state     *State
	rate      float64
	dead      bool
	renewedAt time.Duration
	view      View
	// active holds the requests that wait for a slot or have one.
	active   map[hingeids.RequestID]bool
	sequence uint64
}

type simEngine struct {
	Engine
	held map[hingeids.RequestID]bool
	// maxHeld is the highest number of held requests since the last reset.
	maxHeld int
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
		random:   rand.New(rand.NewPCG(seed, 2)),
		hosts:    make(map[hingeids.HostID]*simHost),
		engines:  make(map[hingeids.ServerID]*simEngine),
		cuts:     make(map[[2]hingeids.HostID]bool),
		record:   make(map[hingeids.HostID]simRecord),
		isolated: make(map[hingeids.HostID]bool),
		answered: make(map[hingeids.RequestID]bool),
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
	instance := hingeids.Instance{
		Host:        h.id,
		Incarnation: r.incarnation + 1,
	}
	h.state = NewState(instance, s.names)
	h.dead, h.sequence, h.renewedAt = false, 0, s.now
	h.active = make(map[hingeids.RequestID]bool)
	h.view = View{
		Alive: s.names,
	}
	h.state.SetEngines(s.clock(h), s.announced())
	s.distributeRecord()
	s.tick(h, h.state)
}

func (s *simulation) announced() []Engine {
	var engines []Engine
	for i := range len(s.engines) {
		engines = append(engines, s.engines[hingeids.ServerID(fmt.Sprintf("engine-%d", i))].Engine)
	}
	return engines
}

// distributeEngines delivers the announced engines to each host after a random
// delay.
func (s *simulation) distributeEngines() {
	for _, n := range s.names {
		h := s.hosts[n]
		s.after(s.delay()*10, func() {
			h.state.SetEngines(s.clock(h), s.announced())
		})
	}
}

// distributeRecord delivers the record to each host after a random delay. Each
// host reads the record on delivery, so an older one never replaces a newer one.
func (s *simulation) distributeRecord() {
	for _, n := range s.names {
		h := s.hosts[n]
		state := h.state
		s.after(s.delay()*10, func() {
			if h.state == state && !s.isolated[n] {
				h.view.Recorded = s.currentRecord()
			}
		})
	}
}

func (s *simulation) currentRecord() map[hingeids.HostID]hingeids.Incarnation {
	recorded := make(map[hingeids.HostID]hingeids.Incarnation)
	for h, r := range s.record {
		if !r.ended {
			recorded[h] = r.incarnation
		}
	}
	return recorded
}

// An instance's lease runs from its last renewal. The instance is recorded as
// ended only after the lease has expired by any clock.
const (
	simLease  = 1500 * time.Millisecond
	simExpiry = 1700 * time.Millisecond
)

// recordEnded records the end of instances that have not renewed their lease.
func (s *simulation) recordEnded() {
	for _, n := range s.names {
		h, r := s.hosts[n], s.record[n]
		if !r.ended && s.now-h.renewedAt > simExpiry {
			s.record[n] = simRecord{
				incarnation: r.incarnation,
				ended:       true,
			}
			s.distributeRecord()
		}
	}
}

func (s *simulation) clock(h *simHost) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * h.rate))
}

func (s *simulation) delay() time.Duration {
	d := time.Duration(500+s.random.IntN(3000)) * time.Microsecond
	if s.maxExtraDelay > 0 && s.random.IntN(4) == 0 {
		d += time.Duration(s.random.Int64N(int64(s.maxExtraDelay)))
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

// tick steps a host every stepInterval while it is alive, and renews its lease.
func (s *simulation) tick(h *simHost, state *State) {
	if h.state != state {
		return
	}
	if !h.dead {
		if !s.isolated[h.id] && !s.record[h.id].ended {
			h.renewedAt = s.now
			h.view.LeaseUntil = s.clock(h).Add(simLease)
		}
		if s.record[h.id].ended && !s.isolated[h.id] {
			s.start(h) // The host has received the record that its instance has ended.
			return
		}
		state.SetView(h.view)
		s.apply(h, state, state.Step(s.clock(h)))
	}
	s.recordEnded()
	s.after(stepInterval, func() {
		s.tick(h, state)
	})
}

func (s *simulation) apply(h *simHost, state *State, out Output) {
	for _, o := range out.Send {
		s.messages++
		if s.countBytes {
			s.bytes += wireSize(o.Message)
		}
		s.deliver(h, o)
		if s.loss > 0 && s.random.IntN(20) == 0 {
			s.deliver(h, o)
		}
	}
	for _, e := range out.QueryHeld {
		s.queryHeld(h, state, e)
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
			s.apply(to, state, state.Receive(s.clock(to), o.Message))
		}
	})
}

func (s *simulation) queryHeld(h *simHost, state *State, of Engine) {
	queriedAt := s.clock(h)
	s.after(s.delay(), func() {
		var ids []hingeids.RequestID
		for id := range s.engines[of.ID].held {
			ids = append(ids, id)
		}
		s.after(s.delay(), func() {
			if h.state == state && !h.dead {
				s.apply(h, state, state.HandleHeld(s.clock(h), queriedAt, of, ids))
			}
		})
	})
}

func (s *simulation) startRequest(h *simHost, priority int, engines ...hingeids.ServerID) {
	if h.dead {
		return
	}
	h.sequence++
	id := hingeids.RequestID{
		Instance: h.state.instance,
		Sequence: h.sequence,
	}
	h.active[id] = true
	out, _ := h.state.Acquire(s.clock(h), engines, id, priority)
	s.apply(h, h.state, out)
}

func (s *simulation) release(h *simHost, state *State, id hingeids.RequestID) {
	delete(h.active, id)
	s.apply(h, state, state.Release(s.clock(h), id))
}

// result sends a granted request after a random delay, unless its grant has
// expired.
func (s *simulation) result(h *simHost, state *State, r Result) {
	if s.onGrant != nil {
		s.onGrant(r)
		return
	}
	waiting := h.active[r.ID]
	if r.Granted && s.answered[r.ID] {
		s.violations = append(s.violations, fmt.Sprintf("at %v request %v was granted a second slot", s.now, r.ID))
	}
	s.answered[r.ID] = true
	if !r.Granted || !waiting {
		delete(h.active, r.ID)
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

// begin starts a request on its engine and records if the engine is overfilled.
func (s *simulation) begin(h *simHost, state *State, r Result) {
	e := s.engines[r.Engine]
	e.held[r.ID] = true
	e.maxHeld = max(e.maxHeld, len(e.held))
	if len(e.held) > int(e.Slots) {
		s.violations = append(s.violations, fmt.Sprintf("at %v engine %s holds %d requests in %d slots", s.now, e.ID, len(e.held), e.Slots))
	}
	duration := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
	s.after(duration, func() {
		if h.dead || h.state != state {
			s.after(time.Duration(s.random.IntN(3000))*time.Millisecond, func() {
				delete(e.held, r.ID) // Another host cancels the request of a holder that has crashed.
			})
			return
		}
		delete(e.held, r.ID)
		s.release(h, state, r.ID)
	})
}
