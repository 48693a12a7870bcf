package hingeslots

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// comparison simulates 7 hosts and 9 engines of 20 slots at 95% load, with
// requests of 2 s on average. One engine is three times slower. Load reports
// are up to half a second old.
type comparison struct {
	*simulation
	// demand generates the requests, so that they are the same for each strategy.
	demand      *rand.Rand
	strategy    slotStrategy
	busy        [9]int
	engineQueue [9][]*job // requests queued inside an overfilled engine
	reported    [9]int
	overfilled  int
	starts      int
	waits       []time.Duration
	busyTime    time.Duration
}

type job struct {
	host      int
	engine    int
	arrivedAt time.Duration
	duration  time.Duration
	started   bool
	id        hingeids.RequestID
}

type slotStrategy interface {
	arrive(j *job)
	finish(j *job)
	waiting(engine int) int
}

const (
	compareSlots = 20
	warmUp       = 10 * time.Second
	measured     = 60 * time.Second
)

func (c *comparison) send(j *job) {
	if c.now > warmUp {
		c.starts++
	}
	if c.busy[j.engine] < compareSlots {
		c.begin(j)
		return
	}
	if c.now > warmUp {
		c.overfilled++
	}
	c.engineQueue[j.engine] = append(c.engineQueue[j.engine], j)
}

func (c *comparison) begin(j *job) {
	c.busy[j.engine]++
	if c.now > warmUp {
		c.waits = append(c.waits, c.now-j.arrivedAt)
	}
	duration := j.duration
	if j.engine == 0 {
		duration *= 3
	}
	c.after(duration, func() {
		c.busy[j.engine]--
		if q := c.engineQueue[j.engine]; len(q) > 0 {
			c.engineQueue[j.engine] = q[1:]
			c.begin(q[0])
		}
		c.strategy.finish(j)
	})
}

// twoChoices returns the less loaded of two random engines, by the load reports.
func (c *comparison) twoChoices() int {
	a, b := c.random.IntN(9), c.random.IntN(9)
	if c.reported[b] < c.reported[a] {
		return b
	}
	return a
}

func (c *comparison) scheduleArrival() {
	c.after(time.Duration(c.demand.ExpFloat64()*float64(time.Second)/(0.95*(160.0/2+20.0/6))), func() {
		c.strategy.arrive(&job{
			host:      c.demand.IntN(7),
			arrivedAt: c.now,
			duration:  time.Duration(c.demand.ExpFloat64() * float64(2*time.Second)),
		})
		c.scheduleArrival()
	})
}

func (c *comparison) report() {
	for e := range c.reported {
		c.reported[e] = c.busy[e] + len(c.engineQueue[e]) + c.strategy.waiting(e)
	}
	c.after(500*time.Millisecond, c.report)
}

func (c *comparison) sample() {
	if c.now > warmUp {
		for _, b := range c.busy {
			c.busyTime += time.Duration(b) * 10 * time.Millisecond
		}
	}
	c.after(10*time.Millisecond, c.sample)
}

// immediate sends requests without reserving a slot.
type immediate struct{ *comparison }

func (g immediate) arrive(j *job) {
	j.engine = g.twoChoices()
	g.send(j)
}
func (g immediate) finish(*job)     {}
func (g immediate) waiting(int) int { return 0 }

// staticShares gives each host a fixed share of each engine.
type staticShares struct {
	*comparison
	free  [7][9]int
	queue [7][]*job
}

func newStaticShares(c *comparison) *staticShares {
	f := &staticShares{
		comparison: c,
	}
	for e := range 9 {
		for h := range 7 {
			f.free[h][e] = int(poolSize(c.engines[engineID(e)].Engine, c.names, c.names[h]))
		}
	}
	return f
}

func (f *staticShares) arrive(j *job) {
	free := f.free[j.host][:]
	j.engine = slices.Index(free, slices.Max(free))
	if free[j.engine] == 0 {
		f.queue[j.host] = append(f.queue[j.host], j)
		return
	}
	free[j.engine]--
	f.send(j)
}

func (f *staticShares) finish(j *job) {
	q := f.queue[j.host]
	if len(q) == 0 {
		f.free[j.host][j.engine]++
		return
	}
	f.queue[j.host] = q[1:]
	q[0].engine = j.engine
	f.send(q[0])
}
func (f *staticShares) waiting(int) int { return 0 }

// cached lets hosts keep released slots until the engine's manager recalls them
// for waiting requests. Hosts renew their leases every 2.5 s.
type cached struct {
	*comparison
	choices int
	free    [9]int
	idle    [7][9]int
	queue   [9][]*job
}

func newCached(c *comparison, choices int) *cached {
	k := &cached{
		comparison: c,
		choices:    choices,
	}
	for e := range k.free {
		k.free[e] = compareSlots
	}
	k.recallAll()
	k.renew()
	return k
}

func (k *cached) renew() {
	k.messages += 2 * 7 * 9
	k.after(2500*time.Millisecond, k.renew)
}

func (k *cached) arrive(j *job) {
	idle := k.idle[j.host][:]
	if j.engine = slices.Index(idle, slices.Max(idle)); idle[j.engine] > 0 {
		idle[j.engine]--
		k.use(j, j.engine)
		return
	}
	for range k.choices {
		e := k.twoChoices()
		k.messages++
		k.after(k.delay(), func() {
			if k.free[e] > 0 {
				k.free[e]--
				k.grant(j, e)
				return
			}
			k.queue[e] = append(k.queue[e], j)
			k.recall(e)
		})
	}
}

func (k *cached) grant(j *job, e int) {
	k.messages++
	k.after(k.delay(), func() {
		k.use(j, e)
	})
}

// use starts a request, or keeps the slot if another engine granted one first.
func (k *cached) use(j *job, e int) {
	if j.started {
		k.idle[j.host][e]++
		return
	}
	j.started, j.engine = true, e
	k.send(j)
}

// recall requests each host's idle slots of an engine.
func (k *cached) recall(e int) {
	for h := range 7 {
		k.messages += 2
		k.after(k.delay(), func() {
			for ; k.idle[h][e] > 0 && len(k.queue[e]) > 0; k.idle[h][e]-- {
				j := k.queue[e][0]
				k.queue[e] = k.queue[e][1:]
				k.after(k.delay(), func() {
					k.grant(j, e)
				})
			}
		})
	}
}

func (k *cached) recallAll() {
	for e, q := range k.queue {
		if len(q) > 0 {
			k.recall(e)
		}
	}
	k.after(100*time.Millisecond, k.recallAll)
}

// finish passes the slot to a request of the same host, or keeps it.
func (k *cached) finish(j *job) {
	q := k.queue[j.engine]
	at := slices.IndexFunc(q, func(o *job) bool {
		return o.host == j.host
	})
	if at < 0 {
		k.idle[j.host][j.engine]++
		return
	}
	next := q[at]
	k.queue[j.engine] = slices.Delete(q, at, at+1)
	k.messages++
	k.use(next, j.engine)
}
func (k *cached) waiting(e int) int { return len(k.queue[e]) }

// delegated runs the State of this package, with each request waiting at several
// engines.
type delegated struct {
	*comparison
	choices int
	jobs    map[hingeids.RequestID]*job
}

func newDelegated(c *comparison, choices int) slotStrategy {
	d := delegated{
		comparison: c,
		choices:    choices,
		jobs:       make(map[hingeids.RequestID]*job),
	}
	for _, h := range c.hosts {
		h.dead = false
	}
	c.onGrant = func(r Result) {
		j := d.jobs[r.ID]
		j.engine = slices.IndexFunc(c.engineIDs(), func(id hingeids.ServerID) bool {
			return id == r.Engine
		})
		d.held(j)[j.id] = true
		d.send(j)
	}
	return d
}

func (c *comparison) engineIDs() []hingeids.ServerID {
	var out []hingeids.ServerID
	for e := range 9 {
		out = append(out, engineID(e))
	}
	return out
}

func engineID(e int) hingeids.ServerID {
	return hingeids.ServerID(fmt.Sprintf("engine-%d", e))
}

func (d delegated) arrive(j *job) {
	h := d.hosts[d.names[j.host]]
	h.sequence++
	j.id = hingeids.RequestID{
		Instance: h.state.instance,
		Sequence: h.sequence,
	}
	d.jobs[j.id] = j
	var engines []hingeids.ServerID
	for range d.choices {
		engines = append(engines, engineID(d.twoChoices()))
	}
	out, _ := h.state.Acquire(d.clock(h), engines, j.id, 0)
	d.apply(h, h.state, out)
}

func (d delegated) held(j *job) map[hingeids.RequestID]bool {
	return d.engines[engineID(j.engine)].held
}

func (d delegated) finish(j *job) {
	h := d.hosts[d.names[j.host]]
	delete(d.held(j), j.id)
	delete(d.jobs, j.id)
	d.apply(h, h.state, h.state.Release(d.clock(h), j.id))
}

func (d delegated) waiting(e int) int {
	sum := 0
	for _, h := range d.hosts {
		sum += len(h.state.engines[engineID(e)].waiters)
	}
	return sum
}

// BenchmarkWays compares strategies of slot allocation.
func BenchmarkWays(b *testing.B) {
	strategies := []struct {
		name string
		make func(c *comparison) slotStrategy
	}{
		{name: "guessing", make: func(c *comparison) slotStrategy { return immediate{comparison: c} }},
		{name: "fixed", make: func(c *comparison) slotStrategy { return newStaticShares(c) }},
		{name: "lent1", make: func(c *comparison) slotStrategy { return newDelegated(c, 1) }},
		{name: "lent2", make: func(c *comparison) slotStrategy { return newDelegated(c, 2) }},
		{name: "cached1", make: func(c *comparison) slotStrategy { return newCached(c, 1) }},
		{name: "cached2", make: func(c *comparison) slotStrategy { return newCached(c, 2) }},
	}
	for _, strategy := range strategies {
		b.Run(strategy.name, func(b *testing.B) {
			for range b.N {
				compare(b, strategy.make)
			}
		})
	}
}

func compare(b *testing.B, newStrategy func(c *comparison) slotStrategy) {
	var waits []time.Duration
	var overfilled, starts, messages int
	var busyTime time.Duration
	for seed := range uint64(5) {
		c := &comparison{
			simulation: newSimulation(seed, 7, 9, compareSlots, false),
			demand:     rand.New(rand.NewPCG(seed, 9)),
		}
		for _, h := range c.hosts {
			h.dead = true // Only delegated uses the hosts; the others count their own messages.
		}
		c.strategy = newStrategy(c)
		c.run(5 * time.Second)
		c.scheduleArrival()
		c.report()
		c.sample()
		c.run(warmUp)
		c.messages = 0
		c.run(warmUp + measured)
		waits = append(waits, c.waits...)
		overfilled, starts, messages = overfilled+c.overfilled, starts+c.starts, messages+c.messages
		busyTime += c.busyTime
	}
	slices.Sort(waits)
	b.ReportMetric(100*float64(overfilled)/float64(starts), "%overfull")
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "ms-p50")
	b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "ms-p99")
	b.ReportMetric(100*busyTime.Seconds()/(5*measured.Seconds()*180), "%busy")
	b.ReportMetric(float64(messages)/float64(starts), "messages/request")
}
