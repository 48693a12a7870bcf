package hingeslots

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// comparison measures ways to give out slots: 7 hosts, 9 engines of 20 slots,
// requests of 2 s on average, one engine three times slower, 95% of what all can
// do. Load reports are up to half a second old in each way that uses them.
type comparison struct {
	*simulation
	// demand draws the work, so that it is the same for each way.
	demand   *rand.Rand
	way      wayToGive
	busy     [9]int
	inside   [9][]*job // queued inside an engine that was overfilled
	reported [9]int
	over     int
	starts   int
	waits    []time.Duration
	busyTime time.Duration
}

type job struct {
	host   int
	engine int
	came   time.Duration
	runs   time.Duration
	begun  bool
	id     hingeids.RequestID
}

type wayToGive interface {
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
		c.over++
	}
	c.inside[j.engine] = append(c.inside[j.engine], j)
}

func (c *comparison) begin(j *job) {
	c.busy[j.engine]++
	if c.now > warmUp {
		c.waits = append(c.waits, c.now-j.came)
	}
	runs := j.runs
	if j.engine == 0 {
		runs *= 3
	}
	c.after(runs, func() {
		c.busy[j.engine]--
		if q := c.inside[j.engine]; len(q) > 0 {
			c.inside[j.engine] = q[1:]
			c.begin(q[0])
		}
		c.way.finish(j)
	})
}

// twoChoices takes the less loaded of two engines by the lagging reports.
func (c *comparison) twoChoices() int {
	a, b := c.random.IntN(9), c.random.IntN(9)
	if c.reported[b] < c.reported[a] {
		return b
	}
	return a
}

func (c *comparison) work() {
	c.after(time.Duration(c.demand.ExpFloat64()*float64(time.Second)/(0.95*(160.0/2+20.0/6))), func() {
		c.way.arrive(&job{
			host: c.demand.IntN(7),
			came: c.now,
			runs: time.Duration(c.demand.ExpFloat64() * float64(2*time.Second)),
		})
		c.work()
	})
}

func (c *comparison) report() {
	for e := range c.reported {
		c.reported[e] = c.busy[e] + len(c.inside[e]) + c.way.waiting(e)
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

// guessing sends at once.
type guessing struct{ *comparison }

func (g guessing) arrive(j *job) {
	j.engine = g.twoChoices()
	g.send(j)
}
func (g guessing) finish(*job)     {}
func (g guessing) waiting(int) int { return 0 }

// fixed gives each host its part of each engine for good.
type fixed struct {
	*comparison
	free  [7][9]int
	queue [7][]*job
}

func newFixed(c *comparison) *fixed {
	f := &fixed{
		comparison: c,
	}
	for e := range 9 {
		for h := range 7 {
			f.free[h][e] = int(share(c.engines[engineID(e)].Engine, c.names, c.names[h]))
		}
	}
	return f
}

func (f *fixed) arrive(j *job) {
	free := f.free[j.host][:]
	j.engine = slices.Index(free, slices.Max(free))
	if free[j.engine] == 0 {
		f.queue[j.host] = append(f.queue[j.host], j)
		return
	}
	free[j.engine]--
	f.send(j)
}

func (f *fixed) finish(j *job) {
	q := f.queue[j.host]
	if len(q) == 0 {
		f.free[j.host][j.engine]++
		return
	}
	f.queue[j.host] = q[1:]
	q[0].engine = j.engine
	f.send(q[0])
}
func (f *fixed) waiting(int) int { return 0 }

// cached keeps released slots at the host that had them, until the manager of the
// engine recalls them for another that waits; a lease is renewed every 2.5 s.
type cached struct {
	*comparison
	asked int
	free  [9]int
	idle  [7][9]int
	queue [9][]*job
}

func newCached(c *comparison, asked int) *cached {
	k := &cached{
		comparison: c,
		asked:      asked,
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
	for range k.asked {
		e := k.twoChoices()
		k.messages++
		k.after(k.delay(), func() {
			if k.free[e] > 0 {
				k.free[e]--
				k.give(j, e)
				return
			}
			k.queue[e] = append(k.queue[e], j)
			k.recall(e)
		})
	}
}

func (k *cached) give(j *job, e int) {
	k.messages++
	k.after(k.delay(), func() {
		k.use(j, e)
	})
}

// use starts a request, or keeps the slot if another engine was faster.
func (k *cached) use(j *job, e int) {
	if j.begun {
		k.idle[j.host][e]++
		return
	}
	j.begun, j.engine = true, e
	k.send(j)
}

// recall asks each host for its idle slots of an engine. Each answers.
func (k *cached) recall(e int) {
	for h := range 7 {
		k.messages += 2
		k.after(k.delay(), func() {
			for ; k.idle[h][e] > 0 && len(k.queue[e]) > 0; k.idle[h][e]-- {
				j := k.queue[e][0]
				k.queue[e] = k.queue[e][1:]
				k.after(k.delay(), func() {
					k.give(j, e)
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

// finish keeps the slot, for the host's own waiters on that engine first.
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

// lent is the State as it runs, with each request waiting at some engines.
type lent struct {
	*comparison
	asked int
	jobs  map[hingeids.RequestID]*job
}

func newLent(c *comparison, asked int) wayToGive {
	l := lent{
		comparison: c,
		asked:      asked,
		jobs:       make(map[hingeids.RequestID]*job),
	}
	for _, h := range c.hosts {
		h.dead = false
	}
	c.onGrant = func(r Result) {
		j := l.jobs[r.ID]
		j.engine = slices.IndexFunc(c.ids(), func(id hingeids.ServerID) bool {
			return id == r.Engine
		})
		l.held(j)[j.id] = true
		l.send(j)
	}
	return l
}

func (c *comparison) ids() []hingeids.ServerID {
	var out []hingeids.ServerID
	for e := range 9 {
		out = append(out, engineID(e))
	}
	return out
}

func engineID(e int) hingeids.ServerID {
	return hingeids.ServerID(fmt.Sprintf("engine-%d", e))
}

func (l lent) arrive(j *job) {
	h := l.hosts[l.names[j.host]]
	h.sequence++
	j.id = hingeids.RequestID{
		Instance: h.state.life,
		Sequence: h.sequence,
	}
	l.jobs[j.id] = j
	var engines []hingeids.ServerID
	for range l.asked {
		engines = append(engines, engineID(l.twoChoices()))
	}
	out, _ := h.state.Acquire(l.clock(h), engines, j.id, 0)
	l.do(h, h.state, out)
}

func (l lent) held(j *job) map[hingeids.RequestID]bool {
	return l.engines[engineID(j.engine)].held
}

func (l lent) finish(j *job) {
	h := l.hosts[l.names[j.host]]
	delete(l.held(j), j.id)
	delete(l.jobs, j.id)
	l.do(h, h.state, h.state.Release(l.clock(h), j.id))
}

func (l lent) waiting(e int) int {
	sum := 0
	for _, h := range l.hosts {
		sum += len(h.state.engines[engineID(e)].waiters)
	}
	return sum
}

// BenchmarkWays prints the table of docs/design/04-slots-and-holds.md.
func BenchmarkWays(b *testing.B) {
	ways := []struct {
		name string
		make func(c *comparison) wayToGive
	}{
		{name: "guessing", make: func(c *comparison) wayToGive { return guessing{comparison: c} }},
		{name: "fixed", make: func(c *comparison) wayToGive { return newFixed(c) }},
		{name: "lent1", make: func(c *comparison) wayToGive { return newLent(c, 1) }},
		{name: "lent2", make: func(c *comparison) wayToGive { return newLent(c, 2) }},
		{name: "cached1", make: func(c *comparison) wayToGive { return newCached(c, 1) }},
		{name: "cached2", make: func(c *comparison) wayToGive { return newCached(c, 2) }},
	}
	for _, w := range ways {
		b.Run(w.name, func(b *testing.B) {
			for range b.N {
				compare(b, w.make)
			}
		})
	}
}

func compare(b *testing.B, begin func(c *comparison) wayToGive) {
	var waits []time.Duration
	var over, starts, messages int
	var busyTime time.Duration
	for seed := range uint64(5) {
		c := &comparison{
			simulation: newSimulation(seed, 7, 9, compareSlots, false),
			demand:     rand.New(rand.NewPCG(seed, 9)),
		}
		for _, h := range c.hosts {
			h.dead = true // Only one way uses them, and the others send nothing of theirs.
		}
		c.way = begin(c)
		c.run(5 * time.Second)
		c.work()
		c.report()
		c.sample()
		c.run(warmUp)
		c.messages = 0
		c.run(warmUp + measured)
		waits = append(waits, c.waits...)
		over, starts, messages = over+c.over, starts+c.starts, messages+c.messages
		busyTime += c.busyTime
	}
	slices.Sort(waits)
	b.ReportMetric(100*float64(over)/float64(starts), "%overfull")
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "ms-p50")
	b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "ms-p99")
	b.ReportMetric(100*busyTime.Seconds()/(5*measured.Seconds()*180), "%busy")
	b.ReportMetric(float64(messages)/float64(starts), "messages/request")
}
