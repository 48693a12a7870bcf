package hingequeue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a simulated event. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// load describes the requests to a service, which take 30 ms, are late after 150 ms and time out
// after a second.
type load struct {
	hosts    int
	replicas int
	slots    int
	// offeredLoad is the arrival rate relative to the capacity of all slots, by the time since the
	// start.
	offeredLoad func(passed time.Duration) float64
	duration    time.Duration
	// slow is the factor by which the first replica becomes slower after a third of the duration;
	// zero for none.
	slow float64
	// silent is the number of replicas that stop answering after half of the duration.
	silent int
	seed   uint64
}

const (
	work          = 30 * time.Millisecond
	target        = 150 * time.Millisecond
	callerMaxWait = time.Second
	// replicaQueueSize is the length of a replica's own queue. A refusal by a full replica takes as
	// long as the queue.
	replicaQueueSize = 24
	// networkDelay is the time that a message between hosts and replicas is in transit.
	networkDelay = 500 * time.Microsecond
)

type backend struct {
	busy    int
	waiting []func(now time.Time)
	slow    float64
	silent  bool
}

type counts struct {
	total, inTime, late, refused, failed int
	refusedByReplica                     int
}

func (c counts) share(n int) float64 {
	return float64(n) / float64(c.total)
}

type sim struct {
	load
	random   *rand.Rand
	pending  events
	sequence int
	list     []hingebalance.Replica
	backends map[hingeids.ServerID]*backend
	counts   counts
	chooser  chooser
}

type request struct {
	number   int
	host     int
	arrived  time.Time
	attempts int
	avoid    []hingeids.ServerID
}

// chooser is a method of choosing replicas. It calls sim.send or counts a refusal, at once or
// later.
type chooser interface {
	choose(now time.Time, s *sim, r *request)
	completed(now time.Time, s *sim, r *request, id hingeids.ServerID, o hingebalance.Outcome, elapsed time.Duration)
}

func simulate(l load, c chooser) counts {
	s := &sim{
		load:     l,
		random:   rand.New(rand.NewPCG(l.seed, 7)),
		backends: make(map[hingeids.ServerID]*backend),
		chooser:  c,
	}
	for i := range l.replicas {
		id := hingeids.ServerID(fmt.Sprintf("app-%02d", i))
		s.list = append(s.list, hingebalance.Replica{
			Server: id,
			Slots:  hingeids.Slots(l.slots),
		})
		s.backends[id] = &backend{
			slow: 1,
		}
	}
	if l.slow > 0 {
		s.schedule(start, l.duration/3, func(time.Time) {
			s.backends["app-00"].slow = l.slow
		})
	}
	for i := range l.silent {
		s.schedule(start, l.duration/2, func(time.Time) {
			s.backends[s.list[len(s.list)-1-i].Server].silent = true
		})
	}
	s.schedule(start, 0, s.arrive)
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		e.run(e.at)
	}
	return s.counts
}

func (s *sim) schedule(now time.Time, d time.Duration, run func(now time.Time)) {
	s.sequence++
	heap.Push(&s.pending, event{
		at:       now.Add(d),
		sequence: s.sequence,
		run:      run,
	})
}

func (s *sim) arrive(now time.Time) {
	if now.Sub(start) > s.duration {
		return
	}
	s.counts.total++
	s.chooser.choose(now, s, &request{
		number:  s.counts.total,
		host:    s.random.IntN(s.hosts),
		arrived: now,
	})
	capacity := float64(s.slots*s.replicas) / work.Seconds()
	rate := capacity * s.offeredLoad(now.Sub(start))
	s.schedule(now, time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
}

func (s *sim) send(now time.Time, r *request, id hingeids.ServerID) {
	r.attempts++
	b := s.backends[id]
	done := false
	sent := now
	complete := func(now time.Time, o hingebalance.Outcome) {
		if !done {
			done = true
			s.complete(now, r, id, o, now.Sub(sent))
		}
	}
	s.schedule(now, r.arrived.Add(callerMaxWait).Sub(now), func(now time.Time) {
		if !done {
			done = true
			s.chooser.completed(now, s, r, id, hingebalance.Failed, now.Sub(sent))
			s.counts.failed++
		}
	})
	s.schedule(now, networkDelay, func(now time.Time) {
		if b.silent {
			return
		}
		if len(b.waiting) >= replicaQueueSize {
			s.counts.refusedByReplica++
			wait := time.Duration(float64(replicaQueueSize) / float64(s.slots) * float64(work) * b.slow)
			s.schedule(now, wait+networkDelay, func(now time.Time) {
				complete(now, hingebalance.Full)
			})
			return
		}
		b.waiting = append(b.waiting, func(now time.Time) {
			b.busy++
			s.schedule(now, s.serviceTime(b), func(now time.Time) {
				b.busy--
				s.startNext(now, b)
				if !b.silent {
					s.schedule(now, networkDelay, func(now time.Time) {
						complete(now, hingebalance.Answered)
					})
				}
			})
		})
		s.startNext(now, b)
	})
	r.avoid = append(r.avoid, id)
}

func (s *sim) startNext(now time.Time, b *backend) {
	for len(b.waiting) > 0 && b.busy < s.slots {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		next(now)
	}
}

// serviceTime returns a log-normal time that is spread by half of its mean; one in a hundred is
// five times as long.
func (s *sim) serviceTime(b *backend) time.Duration {
	const spread = 0.5
	x := math.Exp(spread*s.random.NormFloat64() - spread*spread/2)
	if s.random.IntN(100) == 0 {
		x *= 5
	}
	return time.Duration(x * b.slow * float64(work) / 1.04)
}

func (s *sim) complete(now time.Time, r *request, id hingeids.ServerID, o hingebalance.Outcome, elapsed time.Duration) {
	s.chooser.completed(now, s, r, id, o, elapsed)
	switch {
	case o == hingebalance.Full && r.attempts < 2:
		s.chooser.choose(now, s, r)
	case o == hingebalance.Full:
		s.counts.refused++
	case now.Sub(r.arrived) <= target:
		s.counts.inTime++
	default:
		s.counts.late++
	}
}

// localChooser has each host choose by its own observations.
type localChooser struct {
	hosts map[int]*hingebalance.Balancer
}

func (c *localChooser) choose(now time.Time, s *sim, r *request) {
	b := c.hosts[r.host]
	if b == nil {
		b = hingebalance.New(uint64(r.host))
		c.hosts[r.host] = b
	}
	own := make([]hingebalance.Replica, len(s.list))
	for i, x := range s.list {
		x.Slots = 0
		x.MaxConnections = max(1800/s.hosts, 2)
		own[i] = x
	}
	x, found := b.Choose(now, own, hingebalance.Constraints{
		Avoid: r.avoid,
	})
	if found != hingebalance.Chosen {
		s.counts.refused++
		return
	}
	s.send(now, r, x.Server)
}

func (c *localChooser) completed(
	now time.Time, _ *sim, r *request, id hingeids.ServerID, o hingebalance.Outcome, elapsed time.Duration,
) {
	c.hosts[r.host].Done(now, id, "", o, elapsed)
}

// reportChooser has each host choose by the last periodic report of all requests in flight, and by
// what it has sent since.
type reportChooser struct {
	interval time.Duration
	open     map[hingeids.ServerID]int
	// reported is open as of the last report; sent counts what each host has sent since.
	reported   map[hingeids.ServerID]int
	sent       map[int]map[hingeids.ServerID]int
	reportedAt time.Time
}

func (c *reportChooser) choose(now time.Time, s *sim, r *request) {
	if now.Sub(c.reportedAt) > c.interval {
		c.reportedAt = now
		c.reported = make(map[hingeids.ServerID]int)
		for id, n := range c.open {
			c.reported[id] = n
		}
		c.sent = make(map[int]map[hingeids.ServerID]int)
	}
	if c.sent[r.host] == nil {
		c.sent[r.host] = make(map[hingeids.ServerID]int)
	}
	var best hingeids.ServerID
	least := math.MaxInt
	for _, at := range s.random.Perm(len(s.list)) {
		id := s.list[at].Server
		if n := c.reported[id] + c.sent[r.host][id]; n < least {
			best = id
			least = n
		}
	}
	// Beyond this, a request would certainly be late.
	if least > 4*s.slots {
		s.counts.refused++
		return
	}
	c.sent[r.host][best]++
	c.open[best]++
	s.send(now, r, best)
}

func (c *reportChooser) completed(
	_ time.Time, _ *sim, _ *request, id hingeids.ServerID, _ hingebalance.Outcome, _ time.Duration,
) {
	c.open[id]--
}

// queueChooser has all hosts use one central queue, a network delay away.
type queueChooser struct {
	queue *Queue
	delay time.Duration
	open  map[CallID]*request
	// stepScheduled is set while a step is scheduled for waiting requests.
	stepScheduled bool
}

func newQueueChooser(delay time.Duration) *queueChooser {
	return &queueChooser{
		queue: New(1),
		delay: delay,
		open:  make(map[CallID]*request),
	}
}

func callID(r *request) CallID {
	return CallID(fmt.Sprint(r.number, "/", r.attempts))
}

func (q *queueChooser) choose(now time.Time, s *sim, r *request) {
	s.schedule(now, q.delay, func(now time.Time) {
		id := callID(r)
		q.open[id] = r
		q.queue.SetReplicas(s.list)
		q.queue.Enqueue(now, CallRequest{
			ID:           id,
			SoftDeadline: r.arrived.Add(target),
			Deadline:     r.arrived.Add(callerMaxWait),
			Avoid:        r.avoid,
		})
		q.step(now, s)
	})
}

func (q *queueChooser) step(now time.Time, s *sim) {
	for _, d := range q.queue.Step(now) {
		r := q.open[d.ID]
		delete(q.open, d.ID)
		if d.Refused {
			s.counts.refused++
			continue
		}
		s.schedule(now, q.delay, func(now time.Time) {
			s.send(now, r, d.Server)
		})
	}
	if q.queue.Waiting() == 0 || q.stepScheduled {
		return
	}
	q.stepScheduled = true
	s.schedule(now, 20*time.Millisecond, func(now time.Time) {
		q.stepScheduled = false
		q.step(now, s)
	})
}

func (q *queueChooser) completed(
	now time.Time, s *sim, r *request, id hingeids.ServerID, o hingebalance.Outcome, elapsed time.Duration,
) {
	completion := Completion{
		ID:      CallID(fmt.Sprint(r.number, "/", r.attempts-1)),
		Server:  id,
		Outcome: o,
		Elapsed: elapsed,
	}
	s.schedule(now, q.delay, func(now time.Time) {
		q.queue.RecordCompletion(now, completion)
		q.step(now, s)
	})
}
