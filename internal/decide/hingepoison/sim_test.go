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

// way is how it is decided whether a request may run.
type way int

// The ways: nobody counts over attempts; each host counts what it has seen; the placer counts ends and nothing else; the book, which leaves
// out those that another request or chance explains.
const (
	nobody way = iota
	eachHost
	plainCount
	book
)

var wayNames = []string{"nobody", "each host", "count", "book"}

// day is what a model is played with. Decode engines hold slots streams that last for life; what is sent to an engine
// begins there within a round trip.
type day struct {
	way     way
	seed    uint64
	hosts   int
	engines int
	load    float64
	// poisons are requests that end engines, each sent by callers again and again.
	poisons int
	callers int
	// crashes ends an engine by itself every so often, racks a tenth of all at once.
	crashes time.Duration
	racks   time.Duration
	// lost forgets all that the placer knows, at these times: all lose power. Told says that hosts then tell it what they have seen.
	lost []time.Duration
	told bool
}

const (
	slots     = 16
	life      = 4 * time.Second
	endAfter  = 100 * time.Millisecond
	backAfter = 2500 * time.Millisecond
	toldAfter = 20 * time.Millisecond
	playFor   = 40 * time.Second
	tick      = 5 * time.Millisecond
	// attempts is how many engines one attempt of a caller may run at; half of the callers whose stream failed send it again.
	attempts = 2
)

// result is what a day shows.
type result struct {
	// ended counts the engines that ended under poison requests, late those more than three for each.
	ended, late int
	// wrong counts the requests refused that ended nothing, served those that were whole, failed those that weren't.
	wrong, served, failed int
	asked                 int
	// knownAt is when the last poison request was refused first.
	knownAt time.Duration
}

type simStream struct {
	print   hingeids.Print
	host    int
	poison  bool
	engine  int
	begun   time.Duration
	ends    time.Duration
	runs    int
	retries int
}

type simEngine struct {
	lives   int
	downTil time.Duration
	streams []*simStream
}

func (e *simEngine) id(i int) hingeids.ServerID {
	return hingeids.ServerID(fmt.Sprintf("engine-%d.%d", i, e.lives))
}

type simFact struct {
	at   time.Duration
	host int
	end  End
	pass Pass
}

type sim struct {
	day
	random  *rand.Rand
	now     time.Duration
	engine  []*simEngine
	books   []*Book
	ledgers []*Ledger
	facts   []simFact
	later   map[time.Duration][]*simStream
	refused map[hingeids.Print]bool
	endsOf  map[hingeids.Print]int
	result  result
	prints  uint64
}

func play(d day) result {
	s := &sim{
		day:     d,
		random:  rand.New(rand.NewPCG(d.seed, 3)),
		later:   make(map[time.Duration][]*simStream),
		refused: make(map[hingeids.Print]bool),
		endsOf:  make(map[hingeids.Print]int),
	}
	for range d.engines {
		s.engine = append(s.engine, &simEngine{})
	}
	for range d.hosts {
		b := NewBook()
		b.Step(s.time())
		s.books = append(s.books, b)
		s.ledgers = append(s.ledgers, &Ledger{})
	}
	for p := range d.poisons {
		for range d.callers {
			s.again(&simStream{
				print:  hingeids.Print(1_000_000_000 + p),
				poison: true,
			}, time.Second)
		}
	}
	for s.now = 0; s.now < playFor; s.now += tick {
		s.step()
	}
	for _, n := range s.endsOf {
		s.result.ended += n
		s.result.late += max(n-enoughEnds, 0)
	}
	return s.result
}

func (s *sim) time() time.Time {
	return time.Unix(1000, 0).Add(s.now)
}

// count counts the engines.
func (s *sim) count() int {
	return s.engines
}

// again has a stream come after some time.
func (s *sim) again(x *simStream, mean time.Duration) {
	at := s.now + tick + time.Duration(s.random.ExpFloat64()*float64(mean))
	at = at.Truncate(tick)
	x.host = s.random.IntN(s.hosts)
	x.runs = 0
	s.later[at] = append(s.later[at], x)
}

// book is where a host's request is judged.
func (s *sim) book(host int) *Book {
	if s.way == eachHost {
		return s.books[host]
	}
	return s.books[0]
}

func (s *sim) step() {
	for len(s.facts) > 0 && s.facts[0].at <= s.now {
		s.take(s.facts[0])
		s.facts = s.facts[1:]
	}
	if slices.Contains(s.lost, s.now) {
		s.forget()
	}
	rate := s.load * float64(s.engines*slots) / life.Seconds()
	for n := s.poisson(rate * tick.Seconds()); n > 0; n-- {
		s.prints++
		s.later[s.now] = append(s.later[s.now], &simStream{
			print: hingeids.Print(s.prints),
			host:  s.random.IntN(s.hosts),
		})
	}
	for _, x := range s.later[s.now] {
		s.result.asked++
		s.place(x)
	}
	delete(s.later, s.now)
	for i, e := range s.engine {
		s.run(i, e)
	}
	if s.crashes > 0 && s.random.Float64() < tick.Seconds()/s.crashes.Seconds() {
		s.end(s.random.IntN(s.engines), "")
	}
	if s.racks > 0 && s.random.Float64() < tick.Seconds()/s.racks.Seconds() {
		from := s.random.IntN(s.engines)
		for i := range max(s.engines/10, 1) {
			s.end((from+i)%s.engines, "")
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

func (s *sim) forget() {
	s.books[0] = NewBook()
	s.books[0].Step(s.time())
	if !s.told {
		return
	}
	for h, l := range s.ledgers {
		l.Forgotten()
		ends, passes := l.Untold(s.time(), "placer")
		for _, e := range ends {
			s.facts = append(s.facts, simFact{
				at:   s.now + toldAfter,
				host: h,
				end:  e,
			})
		}
		for _, p := range passes {
			s.facts = append(s.facts, simFact{
				at:   s.now + toldAfter,
				host: h,
				pass: p,
			})
		}
	}
}

func (s *sim) take(f simFact) {
	b := s.book(f.host)
	if f.end.Print != 0 {
		b.Tell(s.time(), f.end)
	}
	if f.pass.Print != 0 {
		b.Pass(s.time(), f.pass)
	}
}

// judge asks the way whether a stream may run.
func (s *sim) judge(x *simStream) Judgement {
	b := s.book(x.host)
	switch s.way {
	case nobody:
		return Judgement{}
	case plainCount, eachHost:
		if known := b.suspects[x.print]; known != nil && len(known.ends) >= enoughEnds {
			return Judgement{
				Refused: true,
			}
		}
		return Judgement{}
	}
	return b.Judge(s.time(), x.print, Listed{}, s.count)
}

func (s *sim) place(x *simStream) {
	j := s.judge(x)
	if j.Refused {
		if x.poison {
			if !s.refused[x.print] {
				s.refused[x.print] = true
				s.result.knownAt = max(s.result.knownAt, s.now)
			}
			s.again(x, 500*time.Millisecond)
			return
		}
		s.result.wrong++
		return
	}
	best := -1
	// Of hundreds some are looked at, as good as all of them here.
	from, look := s.random.IntN(s.engines), min(s.engines, 30)
	for k := range look {
		i := (from + k) % s.engines
		e := s.engine[i]
		if e.downTil > s.now || len(e.streams) >= slots {
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
	x.begun = s.now
	x.ends = s.now + time.Duration((0.5+s.random.Float64())*float64(life))
	if x.poison {
		x.ends = s.now + endAfter/2 + time.Duration(s.random.Float64()*float64(endAfter))
	}
	e.streams = append(e.streams, x)
}

func (s *sim) failed(x *simStream) {
	if x.poison {
		s.again(x, 500*time.Millisecond)
		return
	}
	if x.retries == 0 && s.random.IntN(2) == 0 {
		x.retries++
		s.again(x, 500*time.Millisecond)
		return
	}
	s.result.failed++
}

func (s *sim) run(i int, e *simEngine) {
	for k := 0; k < len(e.streams); k++ {
		x := e.streams[k]
		if x.ends > s.now {
			continue
		}
		if x.poison {
			s.end(i, x.print)
			return
		}
		e.streams = slices.Delete(e.streams, k, k+1)
		k--
		s.result.served++
		if s.book(x.host).Judge(s.time(), x.print, Listed{}, s.count).Suspect {
			s.ledgers[x.host].Pass(s.time(), x.print)
			s.facts = append(s.facts, simFact{
				at:   s.now + toldAfter,
				host: x.host,
				pass: Pass{
					Print: x.print,
				},
			})
		}
	}
}

// end ends an engine, under a request or by itself.
func (s *sim) end(i int, under any) {
	e := s.engine[i]
	if e.downTil > s.now {
		return
	}
	if p, ok := under.(hingeids.Print); ok {
		s.endsOf[p]++
	}
	there := e.streams
	e.streams = nil
	for _, x := range there {
		f := End{
			Print:  x.print,
			Server: e.id(i),
			Had:    s.now - x.begun,
		}
		s.ledgers[x.host].End(s.time(), f)
		s.facts = append(s.facts, simFact{
			at:   s.now + toldAfter,
			host: x.host,
			end:  f,
		})
	}
	e.lives++
	e.downTil = s.now + backAfter
	for _, x := range there {
		if x.runs < attempts && !x.poison {
			// It goes on elsewhere after a round trip, by when the placer has its fact.
			at := (s.now + toldAfter + tick).Truncate(tick)
			s.later[at] = append(s.later[at], x)
			s.result.asked--
			continue
		}
		s.failed(x)
	}
}

// sizes are deployments: hosts and the decode engines of one service.
var sizes = []struct{ hosts, engines int }{
	{6, 5},
	{69, 30},
	{300, 130},
	{560, 700},
}

// One request ends engines and comes again, from several callers at the same time, at hosts of any number: three engines end, those that
// were on their way besides, and none after that. Nobody else's request is refused, however often it was there.
func TestThreeEnginesEndAndNoOtherRequestIsRefused(t *testing.T) {
	for _, size := range sizes {
		var sum result
		for seed := range uint64(20) {
			r := play(day{
				way:     book,
				seed:    seed,
				hosts:   size.hosts,
				engines: size.engines,
				load:    0.6,
				poisons: 1,
				callers: 3,
			})
			if r.ended < enoughEnds || r.late > 2 {
				t.Errorf("%d hosts, seed %d: %d engines ended", size.hosts, seed, r.ended)
			}
			sum.ended += r.ended
			sum.wrong += r.wrong
		}
		if sum.wrong > 0 {
			t.Errorf("%d hosts: %d requests were refused that ended nothing", size.hosts, sum.wrong)
		}
		t.Logf("%d hosts: %.2f engines ended for a request", size.hosts, float64(sum.ended)/20)
	}
}

// Engines and racks end by themselves, all day long. None of the requests that were there is the cause.
func TestNoRequestIsRefusedForEnginesThatEndByThemselves(t *testing.T) {
	for _, size := range sizes {
		wrong, asked := 0, 0
		for seed := range uint64(10) {
			r := play(day{
				way:     book,
				seed:    seed,
				hosts:   size.hosts,
				engines: size.engines,
				load:    0.6,
				crashes: 2 * time.Second,
				racks:   8 * time.Second,
			})
			wrong += r.wrong
			asked += r.asked
		}
		if wrong > 0 {
			t.Errorf("%d hosts: %d of %d requests were refused that ended nothing", size.hosts, wrong, asked)
		}
	}
}

// The placer changes while a request goes round. Hosts tell the next one what they have seen, so that it needs no more engines to
// find out.
func TestNextPlacerKnowsWhatHostsHaveSeen(t *testing.T) {
	for _, told := range []bool{true, false} {
		ended := 0
		for seed := range uint64(20) {
			r := play(day{
				way:     book,
				seed:    seed,
				hosts:   69,
				engines: 30,
				load:    0.6,
				poisons: 1,
				callers: 3,
				lost:    []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second},
				told:    told,
			})
			ended += r.ended
			if told && r.ended > enoughEnds+2 {
				t.Errorf("seed %d: %d engines ended", seed, r.ended)
			}
		}
		t.Logf("told %v: %.2f engines ended for a request", told, float64(ended)/20)
	}
}

// BenchmarkWays prints what each way does, with WAYS=1.
func BenchmarkWays(b *testing.B) {
	if os.Getenv("WAYS") == "" {
		return
	}
	for _, size := range sizes {
		for _, poisons := range []int{0, 1, 5} {
			for w, name := range wayNames {
				var sum result
				worst := 0
				const draws = 20
				for seed := range uint64(draws) {
					d := day{
						way:     way(w),
						seed:    seed,
						hosts:   size.hosts,
						engines: size.engines,
						load:    0.6,
						poisons: poisons,
						callers: 3,
						crashes: 2 * time.Second,
						racks:   8 * time.Second,
					}
					if poisons > 0 {
						d.racks = 0
					}
					r := play(d)
					sum.ended += r.ended
					worst = max(worst, r.ended)
					sum.late += r.late
					sum.wrong += r.wrong
					sum.served += r.served
					sum.failed += r.failed
					sum.asked += r.asked
				}
				fmt.Printf("%d hosts, %d engines, %d poison, %-17s: ended %.2f a draw (most %d), more than three %.2f, refused wrongly %d of %d, failed %.4f\n",
					size.hosts, size.engines, poisons, name, float64(sum.ended)/draws, worst, float64(sum.late)/draws, sum.wrong, sum.asked,
					float64(sum.failed)/float64(max(sum.served+sum.failed, 1)))
			}
		}
	}
}
