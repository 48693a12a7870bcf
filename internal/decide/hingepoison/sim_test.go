package hingepoison

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// strategy is how it is decided whether a request may run.
type strategy int

// The strategies: no counting over attempts; each host counts the crashes it observed; the placer counts all crashes; the detector, which
// leaves out crashes that another request or chance explains.
const (
	noCounting strategy = iota
	perHost
	crashCount
	detector
)

var strategyNames = []string{"none", "each host", "count", "detector"}

// scenario is the input of a simulation. Each decode engine has slots for streams, which start without delay and last streamTime on average.
type scenario struct {
	strategy strategy
	seed     uint64
	hosts    int
	engines  int
	load     float64
	// poisons is the number of poison requests, callers the number of callers that resend each.
	poisons int
	callers int
	// crashEvery is the mean time between crashes of single engines for other reasons, rackEvery that between crashes of a tenth of all.
	crashEvery time.Duration
	rackEvery  time.Duration
	// stateLost are the times at which the placer loses its state. reportAgain says that hosts then report their facts again.
	stateLost   []time.Duration
	reportAgain bool
}

const (
	slots       = 16
	streamTime  = 4 * time.Second
	crashAfter  = 100 * time.Millisecond
	restartTime = 2500 * time.Millisecond
	reportDelay = 20 * time.Millisecond
	simTime     = 40 * time.Second
	tick        = 5 * time.Millisecond
	// attempts is the number of engines that one attempt of a caller may run on. Half of the callers resend a failed stream once.
	attempts = 2
)

type result struct {
	// crashed counts the crashes under poison requests, excess those beyond minCrashes for each.
	crashed, excess int
	// wrong counts refusals of harmless requests, served completed requests, and failed those that weren't completed.
	wrong, served, failed int
	requests              int
	// detectedAt is the time by which every poison request that was refused had been refused once.
	detectedAt time.Duration
}

type simStream struct {
	fingerprint hingeids.Fingerprint
	host        int
	poison      bool
	engine      int
	startedAt   time.Duration
	finishesAt  time.Duration
	runs        int
	retries     int
}

type simEngine struct {
	incarnation int
	downUntil   time.Duration
	streams     []*simStream
}

func (e *simEngine) id(i int) hingeids.ServerID {
	return hingeids.ServerID(fmt.Sprintf("engine-%d.%d", i, e.incarnation))
}

type simFact struct {
	at         time.Duration
	host       int
	crash      Crash
	completion Completion
}

type sim struct {
	scenario
	random       *rand.Rand
	now          time.Duration
	engine       []*simEngine
	detectors    []*Detector
	ledgers      []*Ledger
	facts        []simFact
	arrivals     map[time.Duration][]*simStream
	refused      map[hingeids.Fingerprint]bool
	crashesOf    map[hingeids.Fingerprint]int
	result       result
	fingerprints uint64
}

func simulate(sc scenario) result {
	s := &sim{
		scenario:  sc,
		random:    rand.New(rand.NewPCG(sc.seed, 3)),
		arrivals:  make(map[time.Duration][]*simStream),
		refused:   make(map[hingeids.Fingerprint]bool),
		crashesOf: make(map[hingeids.Fingerprint]int),
	}
	for range sc.engines {
		s.engine = append(s.engine, &simEngine{})
	}
	for range sc.hosts {
		b := NewDetector()
		b.RemoveExpired(s.time())
		s.detectors = append(s.detectors, b)
		s.ledgers = append(s.ledgers, &Ledger{})
	}
	for p := range sc.poisons {
		for range sc.callers {
			s.resend(&simStream{
				fingerprint: hingeids.Fingerprint(1_000_000_000 + p),
				poison:      true,
			}, time.Second)
		}
	}
	for s.now = 0; s.now < simTime; s.now += tick {
		s.step()
	}
	for _, n := range s.crashesOf {
		s.result.crashed += n
		s.result.excess += max(n-minCrashes, 0)
	}
	return s.result
}

func (s *sim) time() time.Time {
	return time.Unix(1000, 0).Add(s.now)
}

func (s *sim) count() int {
	return s.engines
}

func (s *sim) resend(x *simStream, mean time.Duration) {
	at := s.now + tick + time.Duration(s.random.ExpFloat64()*float64(mean))
	at = at.Truncate(tick)
	x.host = s.random.IntN(s.hosts)
	x.runs = 0
	s.arrivals[at] = append(s.arrivals[at], x)
}

func (s *sim) detector(host int) *Detector {
	if s.strategy == perHost {
		return s.detectors[host]
	}
	return s.detectors[0]
}

func (s *sim) step() {
	for len(s.facts) > 0 && s.facts[0].at <= s.now {
		s.deliver(s.facts[0])
		s.facts = s.facts[1:]
	}
	if slices.Contains(s.stateLost, s.now) {
		s.loseState()
	}
	rate := s.load * float64(s.engines*slots) / streamTime.Seconds()
	for n := s.poisson(rate * tick.Seconds()); n > 0; n-- {
		s.fingerprints++
		s.arrivals[s.now] = append(s.arrivals[s.now], &simStream{
			fingerprint: hingeids.Fingerprint(s.fingerprints),
			host:        s.random.IntN(s.hosts),
		})
	}
	for _, x := range s.arrivals[s.now] {
		s.result.requests++
		s.place(x)
	}
	delete(s.arrivals, s.now)
	for i, e := range s.engine {
		s.run(i, e)
	}
	if s.crashEvery > 0 && s.random.Float64() < tick.Seconds()/s.crashEvery.Seconds() {
		s.crash(s.random.IntN(s.engines), "")
	}
	if s.rackEvery > 0 && s.random.Float64() < tick.Seconds()/s.rackEvery.Seconds() {
		from := s.random.IntN(s.engines)
		for i := range max(s.engines/10, 1) {
			s.crash((from+i)%s.engines, "")
		}
	}
}

func (s *sim) poisson(mean float64) int {
	n := 0
	for t := s.random.ExpFloat64(); t < mean; t += s.random.ExpFloat64() {
		n++
	}
	return n
}

func (s *sim) loseState() {
	s.detectors[0] = NewDetector()
	s.detectors[0].RemoveExpired(s.time())
	if !s.reportAgain {
		return
	}
	for h, l := range s.ledgers {
		l.ResetReported()
		crashes, completions := l.Unreported(s.time(), "placer")
		for _, c := range crashes {
			s.facts = append(s.facts, simFact{
				at:    s.now + reportDelay,
				host:  h,
				crash: c,
			})
		}
		for _, completed := range completions {
			s.facts = append(s.facts, simFact{
				at:         s.now + reportDelay,
				host:       h,
				completion: completed,
			})
		}
	}
}

func (s *sim) deliver(f simFact) {
	d := s.detector(f.host)
	if f.crash.Fingerprint != 0 {
		d.HandleCrash(s.time(), f.crash)
	}
	if f.completion.Fingerprint != 0 {
		d.HandleCompletion(s.time(), f.completion)
	}
}

func (s *sim) evaluate(x *simStream) Decision {
	d := s.detector(x.host)
	switch s.strategy {
	case noCounting:
		return Decision{}
	case crashCount, perHost:
		if known := d.suspects[x.fingerprint]; known != nil && len(known.crashes) >= minCrashes {
			return Decision{
				Refused: true,
			}
		}
		return Decision{}
	}
	return d.Evaluate(s.time(), x.fingerprint, Listed{}, s.count)
}

func (s *sim) place(x *simStream) {
	decision := s.evaluate(x)
	if decision.Refused {
		if x.poison {
			if !s.refused[x.fingerprint] {
				s.refused[x.fingerprint] = true
				s.result.detectedAt = max(s.result.detectedAt, s.now)
			}
			s.resend(x, 500*time.Millisecond)
			return
		}
		s.result.wrong++
		return
	}
	best := -1
	// A sample of the engines is enough to find a lightly loaded one.
	from, sample := s.random.IntN(s.engines), min(s.engines, 30)
	for k := range sample {
		i := (from + k) % s.engines
		e := s.engine[i]
		if e.downUntil > s.now || len(e.streams) >= slots {
			continue
		}
		if best < 0 || len(e.streams) < len(s.engine[best].streams) {
			best = i
		}
	}
	if best < 0 {
		s.failed(x)
		return
	}
	e := s.engine[best]
	x.engine = best
	x.runs++
	x.startedAt = s.now
	x.finishesAt = s.now + time.Duration((0.5+s.random.Float64())*float64(streamTime))
	if x.poison {
		x.finishesAt = s.now + crashAfter/2 + time.Duration(s.random.Float64()*float64(crashAfter))
	}
	e.streams = append(e.streams, x)
}

func (s *sim) failed(x *simStream) {
	if x.poison {
		s.resend(x, 500*time.Millisecond)
		return
	}
	if x.retries == 0 && s.random.IntN(2) == 0 {
		x.retries++
		s.resend(x, 500*time.Millisecond)
		return
	}
	s.result.failed++
}

func (s *sim) run(i int, e *simEngine) {
	for k := 0; k < len(e.streams); k++ {
		x := e.streams[k]
		if x.finishesAt > s.now {
			continue
		}
		if x.poison {
			s.crash(i, x.fingerprint)
			return
		}
		e.streams = slices.Delete(e.streams, k, k+1)
		k--
		s.result.served++
		if s.detector(x.host).Evaluate(s.time(), x.fingerprint, Listed{}, s.count).Suspect {
			s.ledgers[x.host].AddCompletion(s.time(), x.fingerprint)
			s.facts = append(s.facts, simFact{
				at:   s.now + reportDelay,
				host: x.host,
				completion: Completion{
					Fingerprint: x.fingerprint,
				},
			})
		}
	}
}

func (s *sim) crash(i int, cause any) {
	e := s.engine[i]
	if e.downUntil > s.now {
		return
	}
	if fp, ok := cause.(hingeids.Fingerprint); ok {
		s.crashesOf[fp]++
	}
	streams := e.streams
	e.streams = nil
	for _, x := range streams {
		c := Crash{
			Fingerprint: x.fingerprint,
			Server:      e.id(i),
			Held:        s.now - x.startedAt,
		}
		s.ledgers[x.host].AddCrash(s.time(), c)
		s.facts = append(s.facts, simFact{
			at:    s.now + reportDelay,
			host:  x.host,
			crash: c,
		})
	}
	e.incarnation++
	e.downUntil = s.now + restartTime
	for _, x := range streams {
		if x.runs < attempts && !x.poison {
			// The stream is retried after a round trip, when the placer has received the report.
			at := (s.now + reportDelay + tick).Truncate(tick)
			s.arrivals[at] = append(s.arrivals[at], x)
			s.result.requests--
			continue
		}
		s.failed(x)
	}
}

// sizes are deployments: the hosts, and the decode engines of one service.
var sizes = []struct{ hosts, engines int }{
	{6, 5},
	{69, 30},
	{300, 130},
	{560, 700},
}

// A poison request that several callers resend must be refused after minCrashes crashes, plus those of attempts in flight. No other request
// on the crashed engines may be refused.
func TestPoisonRequestIsRefusedAfterThreeCrashesAndNoOther(t *testing.T) {
	for _, size := range sizes {
		var sum result
		for seed := range uint64(20) {
			r := simulate(scenario{
				strategy: detector,
				seed:     seed,
				hosts:    size.hosts,
				engines:  size.engines,
				load:     0.6,
				poisons:  1,
				callers:  3,
			})
			if r.crashed < minCrashes || r.excess > 2 {
				t.Errorf("%d hosts, seed %d: %d engines crashed", size.hosts, seed, r.crashed)
			}
			sum.crashed += r.crashed
			sum.wrong += r.wrong
		}
		if sum.wrong > 0 {
			t.Errorf("%d hosts: %d harmless requests were refused", size.hosts, sum.wrong)
		}
		t.Logf("%d hosts: %.2f engines crashed for each poison request", size.hosts, float64(sum.crashed)/20)
	}
}

// Requests must not be refused for crashes of engines and racks that have other reasons.
func TestNoRequestIsRefusedForUnrelatedCrashes(t *testing.T) {
	for _, size := range sizes {
		wrong, requests := 0, 0
		for seed := range uint64(10) {
			r := simulate(scenario{
				strategy:   detector,
				seed:       seed,
				hosts:      size.hosts,
				engines:    size.engines,
				load:       0.6,
				crashEvery: 2 * time.Second,
				rackEvery:  8 * time.Second,
			})
			wrong += r.wrong
			requests += r.requests
		}
		if wrong > 0 {
			t.Errorf("%d hosts: %d of %d harmless requests were refused", size.hosts, wrong, requests)
		}
	}
}

// If the placer changes while a poison request is resent, hosts must report their facts to the next one, so that no further engines crash
// before it is detected.
func TestNextPlacerReceivesReportedCrashes(t *testing.T) {
	for _, reportAgain := range []bool{true, false} {
		crashed := 0
		for seed := range uint64(20) {
			r := simulate(scenario{
				strategy:    detector,
				seed:        seed,
				hosts:       69,
				engines:     30,
				load:        0.6,
				poisons:     1,
				callers:     3,
				stateLost:   []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second},
				reportAgain: reportAgain,
			})
			crashed += r.crashed
			if reportAgain && r.crashed > minCrashes+2 {
				t.Errorf("seed %d: %d engines crashed", seed, r.crashed)
			}
		}
		t.Logf("facts reported again %v: %.2f engines crashed for each poison request", reportAgain, float64(crashed)/20)
	}
}

// BenchmarkWays prints the results of each strategy. It runs only if WAYS is set.
func BenchmarkWays(b *testing.B) {
	if os.Getenv("WAYS") == "" {
		return
	}
	for _, size := range sizes {
		for _, poisons := range []int{0, 1, 5} {
			for w, name := range strategyNames {
				var sum result
				worst := 0
				const runs = 20
				for seed := range uint64(runs) {
					sc := scenario{
						strategy:   strategy(w),
						seed:       seed,
						hosts:      size.hosts,
						engines:    size.engines,
						load:       0.6,
						poisons:    poisons,
						callers:    3,
						crashEvery: 2 * time.Second,
						rackEvery:  8 * time.Second,
					}
					if poisons > 0 {
						sc.rackEvery = 0
					}
					r := simulate(sc)
					sum.crashed += r.crashed
					worst = max(worst, r.crashed)
					sum.excess += r.excess
					sum.wrong += r.wrong
					sum.served += r.served
					sum.failed += r.failed
					sum.requests += r.requests
				}
				fmt.Printf("%d hosts, %d engines, %d poison, %-17s: %.2f crashes a run (most %d), %.2f beyond three, %d of %d refused wrongly, %.4f failed\n",
					size.hosts, size.engines, poisons, name, float64(sum.crashed)/runs, worst, float64(sum.excess)/runs, sum.wrong, sum.requests,
					float64(sum.failed)/float64(max(sum.served+sum.failed, 1)))
			}
		}
	}
}
