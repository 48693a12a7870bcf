// Package hingemodel is a discrete-event simulation of model engines, on which
// scheduling policies are measured. A run uses one goroutine and simulated time,
// and is deterministic for a seed.
//
//  1. A decode engine holds up to Slots requests. Its token gap is TokenGapBase
//     plus TokenGapPerRequest for each request held; all its requests decode at
//     the same rate.
//  2. A prefill engine works on one request at a time, by priority and then in
//     order of arrival; a request of higher priority preempts a lower one. Cached
//     prefix tokens cost nothing. The prefix cache holds PrefixCacheTokens tokens
//     and evicts the least recently used prefix.
//  3. A finished KV cache stays at the prefill engine for CacheRetention. If its
//     transfer hasn't begun by then, it is evicted and its prefill is wasted.
//  4. A transfer needs a free decode slot, which it holds from its start, and uses
//     the prefill engine's link. A link carries one transfer at a time.
//  5. Prefill at a decode engine holds a slot, runs at half speed, and halves the
//     engine's decode rate while it lasts.
//  6. Load reports arrive ReportDelay after they are measured. So do cache events,
//     of which one in ten is lost. Token gaps arrive without delay, because the
//     streams pass through the policy's own process.
//  7. A refused caller may retry, either after the given delay or at once. A
//     caller whose deadline passes cancels its request.
//
// Limits: links have no latency, decode engines don't fail, and one policy sees
// all arrivals, as in a zone with one entry host.
package hingemodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Cluster holds the capacities and speeds of the engines.
type Cluster struct {
	// Slots is the number of slots of each decode engine.
	Slots int
	// TokenGapBase and TokenGapPerRequest determine the token gap of a decode
	// engine. Rule 1.
	TokenGapBase       time.Duration
	TokenGapPerRequest time.Duration
	// PrefillRate and LinkRate are in tokens per second.
	PrefillRate float64
	LinkRate    float64
	// CacheRetention is how long a finished KV cache stays at its prefill engine.
	CacheRetention time.Duration
	// PrefixCacheTokens is the capacity of the prefix cache of each prefill engine.
	PrefixCacheTokens hingeids.Tokens
	// ReportInterval is the interval of load reports, ReportDelay their delay.
	ReportInterval time.Duration
	ReportDelay    time.Duration
}

// DefaultCluster returns the default cluster: twenty slots per decode engine,
// prefill that costs as much as many tens of output tokens, and eviction of a KV
// cache in under a second.
func DefaultCluster() Cluster {
	return Cluster{
		Slots:              20,
		TokenGapBase:       12 * time.Millisecond,
		TokenGapPerRequest: 650 * time.Microsecond,
		PrefillRate:        5000,
		LinkRate:           25000,
		CacheRetention:     800 * time.Millisecond,
		PrefixCacheTokens:  40000,
		ReportInterval:     500 * time.Millisecond,
		ReportDelay:        300 * time.Millisecond,
	}
}

func (c Cluster) tokenGap(held int) time.Duration {
	return c.TokenGapBase + time.Duration(held)*c.TokenGapPerRequest
}

// TickInterval is the interval of calls of Policy.Tick.
const TickInterval = 20 * time.Millisecond

// Slowdown makes one engine slower by Factor between two times since the start of
// the run.
type Slowdown struct {
	Engine     EngineID
	Start, End time.Duration
	Factor     float64
}

// ClientRetries configures how refused callers retry.
type ClientRetries struct {
	// RetryAfterShare is the share of refused requests that are retried after the
	// given delay. The others are retried at once.
	RetryAfterShare float64
	// Attempts is the maximum number of attempts for one request; 1 means no retry.
	Attempts int
}

// Run is the configuration of one simulation run.
type Run struct {
	Cluster  Cluster
	Workload Workload
	Phases   []Phase
	Slow     []Slowdown
	Clients  ClientRetries
	Seed     uint64
	// Warmup is the length of the warm-up. Requests that arrive during it aren't
	// counted in the outcomes.
	Warmup time.Duration
}

type state uint8

const (
	// arrived: the policy has the request, and no engine does.
	arrived state = iota
	// prefilling: queued or running at a prefill engine.
	prefilling
	// ready: the KV cache is at the prefill engine.
	ready
	// waitingSlot: queued for a slot of a decode engine.
	waitingSlot
	// preparing: holds a decode slot, during the transfer or the local prefill.
	preparing
	// decoding: writing the answer.
	decoding
	// closed: answered, refused or cancelled.
	closed
)

// immediateRetryDelay is the delay of a retry that ignores the delay given with
// the refusal.
const immediateRetryDelay = 50 * time.Millisecond

// drainTime is how long engines and policy run after the last phase, so that
// accepted requests can finish.
const drainTime = time.Minute

// epoch is the simulated time at the start of each run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type model struct {
	run      Run
	now      time.Time
	policy   Policy
	actions  Actions
	calls    schedule
	serial   uint64
	source   *source
	noise    *rand.Rand
	prefills []*prefillEngine
	decodes  []*decodeEngine
	slow     []float64
	result   *Result
}

// Simulate simulates a run with a policy and returns the result. Engines 0 to
// Workload.Prefill-1 are prefill engines, the others are decode engines.
func Simulate(r Run, p Policy) *Result {
	m := &model{
		run:    r,
		now:    epoch,
		policy: p,
		source: newSource(r.Seed, r.Workload),
		noise:  rand.New(rand.NewPCG(r.Seed, 2)),
		result: newResult(r),
	}
	for i := range r.Workload.Prefill + r.Workload.Decode {
		m.slow = append(m.slow, 1)
		if i < r.Workload.Prefill {
			m.prefills = append(m.prefills, newPrefillEngine())
		} else {
			m.decodes = append(m.decodes, &decodeEngine{})
		}
	}
	m.scheduleInputs()
	for len(m.calls) > 0 {
		t := heap.Pop(&m.calls).(timedCall)
		m.now = epoch.Add(time.Duration(t.at))
		t.do()
		m.executeActions()
	}
	return m.result
}

// scheduleInputs schedules arrivals, ticks, load reports and slowdowns. A series
// has only its next call in the schedule, which keeps the heap small.
func (m *model) scheduleInputs() {
	end := m.sampleArrivals()
	last := end + drainTime
	m.every(0, TickInterval, last, func() { m.policy.Tick(m.now, &m.actions) })
	for i := range m.slow {
		m.every(time.Duration(i)*50*time.Millisecond, m.run.Cluster.ReportInterval, last, func() { m.report(EngineID(i)) })
	}
	for _, s := range m.run.Slow {
		m.at(epoch.Add(s.Start), func() { m.setSpeed(s.Engine, s.Factor) })
		m.at(epoch.Add(s.End), func() { m.setSpeed(s.Engine, 1) })
	}
	m.result.end = epoch.Add(end)
}

// sampleArrivals samples all arrivals before the run, so that the policy's
// decisions can't change them, and returns the end of the last phase.
func (m *model) sampleArrivals() time.Duration {
	var list []*Request
	at := time.Duration(0)
	peak := m.run.Workload.PeakRate(m.run.Cluster)
	for _, p := range m.run.Phases {
		end := at + p.Duration
		for t := at; ; {
			t += time.Duration(m.source.rng.ExpFloat64() / (peak * p.Load) * float64(time.Second))
			if t >= end {
				break
			}
			list = append(list, m.source.sample(epoch.Add(t)))
		}
		at = end
	}
	m.scheduleArrivals(list)
	return at
}

// scheduleArrivals schedules the first request of the list, which schedules the rest.
func (m *model) scheduleArrivals(list []*Request) {
	if len(list) == 0 {
		return
	}
	m.at(list[0].Arrived, func() {
		m.scheduleArrivals(list[1:])
		m.arrive(list[0])
	})
}

func (m *model) every(t, step, last time.Duration, do func()) {
	if t >= last {
		return
	}
	m.at(epoch.Add(t), func() {
		m.every(t+step, step, last, do)
		do()
	})
}

func (m *model) arrive(r *Request) {
	m.result.arrived(r)
	m.at(r.Deadline(), func() { m.expire(r) })
	m.policy.HandleArrival(m.now, r, &m.actions)
}

// expire cancels a request at its caller's deadline. Rule 7.
func (m *model) expire(r *Request) {
	if r.state == closed {
		return
	}
	m.countWasted(r, &m.result.CancelledTokens)
	m.release(r)
	r.state = closed
	m.result.timedOut(r)
	m.policy.HandleEvent(m.now, Event{
		Kind:    Cancelled,
		Request: r,
		Engine:  r.engine,
	}, &m.actions)
}

// refuse refuses a request and schedules the caller's retry, if there is one. Rule 7.
func (m *model) refuse(r *Request, after time.Duration) {
	if r.state == closed {
		return
	}
	m.countWasted(r, &m.result.CancelledTokens)
	m.release(r)
	r.state = closed
	retry := r.Attempt+1 < m.run.Clients.Attempts
	m.result.refused(r, m.now, !retry)
	if !retry {
		return
	}
	if m.noise.Float64() >= m.run.Clients.RetryAfterShare {
		after = immediateRetryDelay
	}
	next := &Request{
		ID:           r.ID,
		Caller:       r.Caller,
		Class:        r.Class,
		Arrived:      m.now.Add(after),
		Prompt:       r.Prompt,
		Prefix:       r.Prefix,
		PrefixTokens: r.PrefixTokens,
		Attempt:      r.Attempt + 1,
		output:       r.output,
	}
	m.source.serial++
	next.ID.Sequence = m.source.serial
	m.at(next.Arrived, func() { m.arrive(next) })
}

func (m *model) countWasted(r *Request, counter *float64) {
	m.updatePrefillProgress(r)
	*counter += r.computed
	m.result.PrefillTokens += r.computed
	r.computed = 0
}

// release removes a request from the engine that holds it and invalidates its
// scheduled calls.
func (m *model) release(r *Request) {
	switch r.state {
	case prefilling:
		m.prefills[r.engine].remove(r)
		m.schedulePrefill(r.engine)
	case waitingSlot, preparing, decoding:
		m.releaseSlot(r)
	}
	r.version++
}

// executeActions executes the policy's actions, including those that it adds
// meanwhile.
func (m *model) executeActions() {
	for i := 0; i < len(m.actions.pending); i++ {
		a := m.actions.pending[i]
		if a.request.state == closed {
			continue
		}
		a.request.priority = a.priority
		switch a.kind {
		case refuse:
			m.refuse(a.request, a.after)
		case prefill:
			m.startPrefill(a.request, a.engine)
		case local, transfer:
			m.requestSlot(a.request, a.engine, a.kind == local)
		}
	}
	m.actions.pending = m.actions.pending[:0]
}

func (m *model) emit(e Event) {
	m.policy.HandleEvent(m.now, e, &m.actions)
}

func (m *model) setSpeed(e EngineID, factor float64) {
	if i := int(e) - len(m.prefills); i >= 0 {
		m.advance(m.decodes[i])
		m.slow[e] = factor
		m.scheduleNextFinish(e)
		return
	}
	if r := m.prefills[e].current; r != nil {
		m.updatePrefillProgress(r)
	}
	m.slow[e] = factor
	m.schedulePrefill(e)
}

// report measures the load of an engine and schedules its delivery. Rule 6.
func (m *model) report(e EngineID) {
	r := LoadReport{
		Engine:     e,
		MeasuredAt: m.now,
	}
	if i := int(e) - len(m.prefills); i >= 0 {
		d := m.decodes[i]
		r.Running, r.Queued = d.held, len(d.waiting)
		if len(d.running) > 0 {
			m.emit(Event{
				Kind:     TokenGap,
				Engine:   e,
				TokenGap: time.Duration(float64(time.Second) / m.tokenRate(e, d)),
			})
		}
	} else {
		r.Running, r.Queued, r.QueuedTokens = m.prefills[e].load()
	}
	m.at(m.now.Add(m.run.Cluster.ReportDelay), func() { m.policy.HandleReport(m.now, r, &m.actions) })
}

// timedCall is a scheduled call, at nanoseconds since epoch. Calls at the same
// time run in the order of serial.
type timedCall struct {
	at     int64
	serial uint64
	do     func()
}

// schedule is a heap of calls; it implements heap.Interface.
type schedule []timedCall

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].serial < s[j].serial
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is called by container/heap.
func (s *schedule) Push(x any) { *s = append(*s, x.(timedCall)) }

// Pop is called by container/heap.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func (m *model) at(t time.Time, do func()) {
	m.serial++
	heap.Push(&m.calls, timedCall{
		at:     int64(t.Sub(epoch)),
		serial: m.serial,
		do:     do,
	})
}
