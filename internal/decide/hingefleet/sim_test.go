package hingefleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// The simulation runs the engines of one service in steps of ten milliseconds. Prompts, answers
// and hints have log-normal distributions.
const (
	simStep       = 10 * time.Millisecond
	simMemory     = 107196
	simDecodeRate = 1500.0
	simTarget     = 900 * time.Millisecond
	simMaxWait    = 3600 * time.Millisecond
	simDeadline   = 14 * time.Second
	simPrompt     = 5200.0
	simAnswer     = 5040.0
	simSpread     = 0.5
	// simPrefillFactor is the ratio of an engine's prefill rate to its decode rate.
	simPrefillFactor = 55000 / simDecodeRate
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simStream is a stream with its actual length, which the placer doesn't know.
type simStream struct {
	id          StreamID
	arrived     time.Time
	prompt      float64
	hint        float64
	length      float64
	generated   float64
	decode      hingeids.ServerID
	prefill     hingeids.ServerID
	prefilledAt time.Time
	startsAt    time.Time
	firstEvent  time.Time
	// started is the order of assignment; the newest stream is preempted first.
	started   int
	preempted bool
}

type simEngine struct {
	id         hingeids.ServerID
	role       Role
	decodeRate float64
	freeAt     time.Time
	streams    []*simStream
	// failing is the share of streams that fail at their first event.
	failing float64
}

type outcome struct {
	Requested, OnTime, Late, Refused, Failed, Preempted int
	// RefusedLate counts refusals after more than an eighth of the target.
	RefusedLate     int
	DecodePrefilled int
}

type placer interface {
	offer(now time.Time, req StreamRequest)
	step(now time.Time) []Decision
	report(now time.Time, list []Progress)
	record(now time.Time, r OutcomeReport)
}

type fleetPlacer struct {
	*Fleet
}

func (o fleetPlacer) offer(now time.Time, req StreamRequest) { o.Enqueue(now, req) }
func (o fleetPlacer) step(now time.Time) []Decision          { return o.Step(now) }
func (o fleetPlacer) report(now time.Time, list []Progress)  { o.HandleReport(now, "entry", list) }
func (o fleetPlacer) record(now time.Time, r OutcomeReport)  { o.RecordOutcome(now, r) }

// leastStreams is the policy to compare with: it assigns a request at once to the engine with the
// fewest streams, up to its slots, regardless of memory.
type leastStreams struct {
	engines       []Engine
	counts        map[hingeids.ServerID]int
	waiting       []StreamRequest
	nextPrefiller int
}

func (l *leastStreams) offer(_ time.Time, req StreamRequest) { l.waiting = append(l.waiting, req) }

func (l *leastStreams) step(time.Time) []Decision {
	var out []Decision
	var prefillers []hingeids.ServerID
	for _, e := range l.engines {
		if e.Role == Prefill {
			prefillers = append(prefillers, e.Server)
		}
	}
	for _, req := range l.waiting {
		best := hingeids.ServerID("")
		for _, e := range l.engines {
			if e.Role == Decode && l.counts[e.Server] < int(e.Slots) &&
				(best == "" || l.counts[e.Server] < l.counts[best]) {
				best = e.Server
			}
		}
		l.nextPrefiller++
		d := Decision{
			ID:      req.ID,
			Refused: best == "",
			Assignment: Assignment{
				Prefill: prefillers[l.nextPrefiller%len(prefillers)],
				Decode:  best,
			},
		}
		if best != "" {
			l.counts[best]++
		}
		out = append(out, d)
	}
	l.waiting = nil
	return out
}

func (l *leastStreams) report(_ time.Time, list []Progress) {
	clear(l.counts)
	for _, p := range list {
		l.counts[p.Decode]++
	}
}

func (l *leastStreams) record(time.Time, OutcomeReport) {}

type loadPattern struct {
	duration          time.Duration
	requestsPerSecond func(t time.Duration) float64
	prefillers        int
	decoders          int
	// slow is the number of decode engines at a fifth of the usual rate, slowPrefillers that of
	// prefill engines.
	slow           int
	slowPrefillers int
	failing        float64
	// spread is the standard deviation of the logarithm of hint over length.
	spread float64
	// kind is referenceKind if it is zero.
	kind simKind
}

type simKind struct {
	slots  hingeids.Slots
	memory float64
	// Both rates are in tokens per second; decodeRate is that of one stream.
	decodeRate  float64
	prefillRate float64
	// event is the tokens of an event, maxEventGap the longest permitted time between two.
	event       hingeids.Tokens
	maxEventGap time.Duration
	prompt      float64
	answer      float64
	deadline    time.Duration
}

func referenceKind() simKind {
	return simKind{
		slots:       48,
		memory:      simMemory,
		decodeRate:  simDecodeRate,
		prefillRate: simPrefillFactor * simDecodeRate,
		prompt:      simPrompt,
		answer:      simAnswer,
		deadline:    simDeadline,
	}
}

// longestPrompt and longestAnswer truncate the random lengths.
func (k simKind) longestPrompt() float64 { return 2.1 * k.prompt }
func (k simKind) longestAnswer() float64 { return 1.86 * k.answer }

type sim struct {
	pattern   loadPattern
	random    *rand.Rand
	policy    placer
	engines   map[hingeids.ServerID]*simEngine
	engineIDs []hingeids.ServerID
	active    map[StreamID]*simStream
	result    outcome
	started   int
}

func engineList(p loadPattern) []Engine {
	if p.kind == (simKind{}) {
		p.kind = referenceKind()
	}
	var out []Engine
	for i := range p.prefillers + p.decoders {
		e := Engine{
			Server:      hingeids.ServerID(fmt.Sprintf("engine-%02d", i)),
			Zone:        hingeids.Zone(fmt.Sprint(i % 3)),
			Role:        Decode,
			Slots:       p.kind.slots,
			Memory:      hingeids.Tokens(p.kind.memory),
			EventTokens: p.kind.event,
		}
		if i < p.prefillers {
			e.Role = Prefill
		}
		out = append(out, e)
	}
	return out
}

func newSim(p loadPattern, seed uint64, policy func([]Engine) placer) *sim {
	if p.kind == (simKind{}) {
		p.kind = referenceKind()
	}
	list := engineList(p)
	s := &sim{
		pattern: p,
		random:  rand.New(rand.NewPCG(seed, 1)),
		policy:  policy(list),
		engines: make(map[hingeids.ServerID]*simEngine),
		active:  make(map[StreamID]*simStream),
	}
	slow, slowPrefillers := p.slow, p.slowPrefillers
	for _, e := range list {
		x := &simEngine{
			id:         e.Server,
			role:       e.Role,
			decodeRate: p.kind.decodeRate,
		}
		if e.Role == Prefill && slowPrefillers > 0 {
			x.decodeRate /= 5
			slowPrefillers--
		}
		if e.Role == Decode {
			x.failing = p.failing
			if slow > 0 {
				x.decodeRate /= 5
				slow--
			}
		}
		s.engines[e.Server] = x
		s.engineIDs = append(s.engineIDs, e.Server)
	}
	return s
}

func newFleetPlacer(list []Engine) placer {
	f := New()
	f.SetEngines(list)
	return fleetPlacer{f}
}

func newLeastStreams(list []Engine) placer {
	return &leastStreams{
		engines: list,
		counts:  make(map[hingeids.ServerID]int),
	}
}

// spreadBy returns a log-normal factor with mean 1.
func (s *sim) spreadBy(sigma float64) float64 {
	return math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
}

func (s *sim) run() outcome {
	for t := time.Duration(0); t < s.pattern.duration+s.pattern.kind.deadline; t += simStep {
		now := simStart.Add(t)
		if t < s.pattern.duration {
			s.generateRequests(now, t)
		}
		for _, d := range s.policy.step(now) {
			s.apply(now, d)
		}
		s.recordPrefills(now)
		for _, id := range s.engineIDs {
			s.runEngine(now, s.engines[id])
		}
		if t%(100*time.Millisecond) == 0 {
			s.policy.report(now, s.progress())
		}
	}
	s.result.Failed += len(s.active)
	return s.result
}

func (s *sim) generateRequests(now time.Time, t time.Duration) {
	for expected := s.pattern.requestsPerSecond(t) * simStep.Seconds(); expected > 0; expected-- {
		if s.random.Float64() < expected {
			s.addRequest(now)
		}
	}
}

func (s *sim) addRequest(now time.Time) {
	k := s.pattern.kind
	s.result.Requested++
	x := &simStream{
		id:      StreamID(fmt.Sprint(s.result.Requested)),
		arrived: now,
		prompt:  min(k.prompt*s.spreadBy(simSpread), k.longestPrompt()),
		length:  min(k.answer*s.spreadBy(simSpread), k.longestAnswer()),
	}
	// The hint is correct at the median, with errors symmetric on a logarithmic scale.
	x.hint = min(x.length*math.Exp(s.pattern.spread*s.random.NormFloat64()), k.longestAnswer())
	s.active[x.id] = x
	s.policy.offer(now, StreamRequest{
		ID:             x.id,
		Owner:          "entry",
		Zone:           hingeids.Zone(fmt.Sprint(s.result.Requested % 3)),
		PromptTokens:   hingeids.Tokens(x.prompt),
		ExpectedTokens: hingeids.Tokens(x.hint),
		Arrived:        now,
		Target:         simTarget,
		MaxEventGap:    k.maxEventGap,
		MaxWait:        simMaxWait,
		Deadline:       now.Add(k.deadline),
	})
}

func (s *sim) apply(now time.Time, d Decision) {
	x := s.active[d.ID]
	if d.Refused {
		s.result.Refused++
		if now.Sub(x.arrived) > simTarget/8 {
			s.result.RefusedLate++
		}
		delete(s.active, d.ID)
		return
	}
	x.decode = d.Assignment.Decode
	s.started++
	x.started = s.started
	e := s.engines[x.decode]
	e.streams = append(e.streams, x)
	begin := now.Add(10 * time.Millisecond)
	if d.Assignment.Prefill == "" {
		// A decode engine prefills at half the rate and generates almost nothing meanwhile.
		s.result.DecodePrefilled++
		e.freeAt = hingeclock.Later(begin, e.freeAt).Add(durationOf(2 * x.prompt / s.prefillRate(e)))
		x.startsAt = e.freeAt
		return
	}
	p := s.engines[d.Assignment.Prefill]
	p.freeAt = hingeclock.Later(begin, p.freeAt).Add(durationOf(x.prompt / s.prefillRate(p)))
	x.prefill = p.id
	x.prefilledAt = p.freeAt
	x.startsAt = p.freeAt.Add(20 * time.Millisecond)
}

// prefillRate returns the prompt tokens per second of an engine. A slow engine is slow at prefill
// and decode alike.
func (s *sim) prefillRate(e *simEngine) float64 {
	return s.pattern.kind.prefillRate * e.decodeRate / s.pattern.kind.decodeRate
}

func (s *sim) recordPrefills(now time.Time) {
	for _, id := range s.engineIDs {
		for _, x := range s.engines[id].streams {
			if !x.prefilledAt.IsZero() && !now.Before(x.prefilledAt) {
				x.prefilledAt = time.Time{}
				s.policy.record(now, OutcomeReport{
					Server:  x.prefill,
					Outcome: Succeeded,
					Stream:  x.id,
				})
			}
		}
	}
}

func (s *sim) runEngine(now time.Time, e *simEngine) {
	held := 0.0
	running := 0
	kept := e.streams[:0]
	for _, x := range e.streams {
		if now.Before(x.startsAt) || running >= int(s.pattern.kind.slots) {
			// The stream is being prefilled, or waits for a slot.
			kept = append(kept, x)
			continue
		}
		running++
		if x.firstEvent.IsZero() {
			if e.failing > 0 && s.random.Float64() < e.failing {
				s.policy.record(now, OutcomeReport{
					Server:  e.id,
					Outcome: Failed,
					Stream:  x.id,
				})
				s.result.Failed++
				delete(s.active, x.id)
				continue
			}
			x.firstEvent = now
		}
		if now.After(e.freeAt) {
			x.generated += e.decodeRate * simStep.Seconds()
		}
		if x.generated >= x.length {
			s.complete(now, e, x)
			continue
		}
		held += x.prompt + x.generated
		kept = append(kept, x)
	}
	clear(e.streams[len(kept):])
	e.streams = kept
	for held > s.pattern.kind.memory {
		held -= s.preempt(now, e)
	}
}

// preempt preempts the newest stream, which has to be prefilled again, and returns its memory.
func (s *sim) preempt(now time.Time, e *simEngine) float64 {
	newest := slices.MaxFunc(e.streams, func(a, b *simStream) int {
		return a.started - b.started
	})
	s.result.Preempted++
	newest.startsAt = now.Add(time.Second)
	newest.preempted = true
	s.started++
	return newest.prompt + newest.generated
}

func (s *sim) complete(now time.Time, e *simEngine, x *simStream) {
	delete(s.active, x.id)
	s.policy.record(now, OutcomeReport{
		Server:    e.id,
		Outcome:   Succeeded,
		Stream:    x.id,
		Generated: hingeids.Tokens(x.length),
	})
	switch {
	case now.Sub(x.arrived) > s.pattern.kind.deadline || x.firstEvent.Sub(x.arrived) > simMaxWait:
		s.result.Failed++
	case x.firstEvent.Sub(x.arrived) <= simTarget && !x.preempted:
		s.result.OnTime++
	default:
		s.result.Late++
	}
}

func (s *sim) progress() []Progress {
	var out []Progress
	for _, id := range s.engineIDs {
		for _, x := range s.engines[id].streams {
			out = append(out, Progress{
				ID:        x.id,
				Decode:    x.decode,
				Prompt:    hingeids.Tokens(x.prompt),
				Expected:  hingeids.Tokens(x.hint),
				Generated: hingeids.Tokens(x.generated),
			})
		}
	}
	return out
}
