package hingeorders

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	diff "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	simOrderTimeout = 400 * time.Millisecond
	simLease        = time.Second
)

// simulation runs three issuers, of which one at a time holds the lease, against
// engines that check fencing numbers and engines that don't. Time advances in
// steps of 10 ms.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	loss    float64
	issuers []*simIssuer
	engines []*simEngine
	desired []DesiredState
	holder  int
	fence   hingeids.Fence
	// leaseEnd is the earliest time at which the lease may pass to another issuer.
	leaseEnd time.Duration
	events   []simEvent
	// unstable makes the desired state change ten times a second.
	unstable bool
	problems []string
}

type simIssuer struct {
	state    *State
	rate     float64
	lease    Lease
	isolated bool
}

type simEngine struct {
	Engine
	highestFence hingeids.Fence
	actual       ActualState
	// fence and number identify the newest order that took effect.
	fence  hingeids.Fence
	number uint64
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 4)),
	}
	for i := range 4 {
		s.engines = append(s.engines, &simEngine{
			Engine: Engine{
				ID:          hingeids.ServerID(fmt.Sprintf("engine-%d", i)),
				Incarnation: 1,
				ChecksFence: i%2 == 0,
			},
		})
	}
	for range 3 {
		s.issuers = append(s.issuers, &simIssuer{
			state: NewState(Settings{
				OrderTimeout: simOrderTimeout,
			}),
			rate: 0.96 + 0.08*s.random.Float64(),
		})
	}
	return s
}

func (s *simulation) clock(i *simIssuer) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * i.rate))
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, simEvent{
		at:  s.now + d,
		run: run,
	})
}

// delay returns a short delay in most cases, and otherwise one of up to maximum.
func (s *simulation) delay(maximum time.Duration) time.Duration {
	if s.random.IntN(3) > 0 {
		return time.Duration(s.random.IntN(10)) * time.Millisecond
	}
	return time.Duration(s.random.Int64N(int64(maximum)))
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		pending := slices.Clone(s.events)
		s.events = nil
		slices.SortStableFunc(pending, func(a, b simEvent) int {
			return cmp.Compare(a.at, b.at)
		})
		for _, e := range pending {
			if e.at <= s.now {
				e.run()
			} else {
				s.events = append(s.events, e)
			}
		}
		s.renew()
		if s.unstable && s.now%(100*time.Millisecond) == 0 {
			s.setDesired(s.random.IntN(9))
		}
		for _, i := range s.issuers {
			s.step(i)
		}
	}
}

// renew renews the lease of a holder that isn't isolated. Otherwise it passes the
// lease on once it has expired by any clock.
func (s *simulation) renew() {
	holder := s.issuers[s.holder]
	if holder.isolated && s.now >= s.leaseEnd {
		s.holder = s.random.IntN(len(s.issuers))
		holder = s.issuers[s.holder]
		s.fence++
	}
	if !holder.isolated {
		s.leaseEnd = s.now + simLease + simLease/10
		holder.lease = Lease{
			Held:  true,
			Fence: s.fence,
			Until: s.clock(holder).Add(simLease),
		}
	}
}

func (s *simulation) step(i *simIssuer) {
	now := s.clock(i)
	i.state.SetDesired(s.desired)
	var engines []Engine
	for _, e := range s.engines {
		engines = append(engines, e.Engine)
	}
	i.state.SetEngines(now, engines)
	out := i.state.Step(now, i.lease)
	for _, e := range out.Query {
		s.query(i, now, e)
	}
	for _, o := range out.Send {
		s.send(i, o)
	}
}

func (s *simulation) engine(id hingeids.ServerID) *simEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.ID == id })]
}

func (s *simulation) query(i *simIssuer, queriedAt time.Time, of Engine) {
	s.after(s.delay(50*time.Millisecond), func() {
		a := s.engine(of.ID).actual
		a.Adapters = slices.Clone(a.Adapters)
		s.after(s.delay(300*time.Millisecond), func() {
			i.state.HandleState(s.clock(i), queriedAt, of, a)
		})
	})
}

// send delivers an order to its engine before the order expires, or drops it.
func (s *simulation) send(i *simIssuer, o IssuedOrder) {
	if s.random.Float64() < s.loss {
		return
	}
	if s.random.Float64() < s.loss { // The connection breaks while the order is in flight.
		s.after(20*time.Millisecond, func() {
			i.state.HandleOutcome(s.clock(i), o, Unanswered)
		})
	}
	s.after(s.delay(simOrderTimeout*95/100), func() {
		e := s.engine(o.Engine.ID)
		if e.Incarnation != o.Engine.Incarnation {
			return
		}
		outcome := Accepted
		if e.ChecksFence && o.Fence < e.highestFence {
			outcome = StaleFence
		} else {
			s.apply(e, o)
		}
		if s.random.Float64() >= s.loss {
			s.after(5*time.Millisecond, func() {
				i.state.HandleOutcome(s.clock(i), o, outcome)
			})
		}
	})
}

func (s *simulation) apply(e *simEngine, o IssuedOrder) {
	if cmp.Or(cmp.Compare(o.Fence, e.fence), cmp.Compare(o.Number, e.number)) <= 0 {
		s.problems = append(s.problems, fmt.Sprintf("at %v engine %s executed order %d.%d after %d.%d",
			s.now, e.ID, o.Fence, o.Number, e.fence, e.number))
	}
	e.highestFence, e.fence, e.number = max(e.highestFence, o.Fence), o.Fence, o.Number
	switch o.Order.Kind {
	case LoadModel:
		e.actual.Model, e.actual.Version, e.actual.Adapters = o.Order.Model, o.Order.Version, nil
	case LoadAdapter:
		e.actual.Adapters = append(e.actual.Adapters, o.Order.Adapter)
	case ChangeRole:
		e.actual.Role = o.Order.Role
	}
}

func (s *simulation) setDesired(version int) {
	s.desired = nil
	for _, e := range s.engines {
		s.desired = append(s.desired, DesiredState{
			Engine:   e.ID,
			Model:    "redacteur",
			Version:  fmt.Sprint(version),
			Adapters: []string{fmt.Sprintf("adapter-%d", version%3)},
			Role:     Role([]string{"prefill", "decode"}[version%2]),
		})
	}
}

// Guards against orders that take effect out of sequence and engines that never
// reach their desired state, under isolated issuers, lost and delayed messages,
// changing configuration, and engine restarts.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		s.unstable = rapid.Bool().Draw(t, "fickle")
		version := 0
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			i := rapid.SampledFrom(s.issuers).Draw(t, "issuer")
			e := rapid.SampledFrom(s.engines).Draw(t, "engine")
			switch rapid.SampledFrom([]string{"want", "want", "cut", "cut", "heal", "loss", "engine", "flap"}).Draw(t, "fault") {
			case "want":
				version++
				s.setDesired(version)
			case "cut":
				i = s.issuers[s.holder]
				i.isolated = true
			case "heal":
				i.isolated = false
			case "loss":
				s.loss = 0.3
			case "flap": // The engine's announcements are late.
				i.state.SetEngines(s.clock(i), nil)
			case "engine":
				*e = simEngine{
					Engine: e.Engine,
				}
				e.Incarnation++
			}
			s.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		s.loss, s.unstable = 0, false
		for _, i := range s.issuers {
			i.isolated = false
		}
		s.setDesired(version)
		s.run(40 * time.Second)
		if len(s.problems) > 0 {
			t.Fatal(s.problems[0])
		}
		for k, e := range s.engines {
			if o, needed := nextOrder(s.desired[k], e.actual); needed {
				t.Fatalf("engine %s has state %+v and still needs order %+v", e.ID, e.actual, o)
			}
		}
	})
}

// Guards against loads that share the store's rate: started together, six loads
// would all finish after a minute.
func TestLoadsAreStaggered(t *testing.T) {
	s := NewState(Settings{
		OrderTimeout: time.Second,
		StoreRate:    1 << 30,
	})
	var engines []Engine
	var desired []DesiredState
	for i := range 6 {
		id := hingeids.ServerID(fmt.Sprintf("engine-%d", i))
		engines = append(engines, Engine{
			ID:          id,
			Incarnation: 1,
			ChecksFence: true,
		})
		desired = append(desired, DesiredState{
			Engine:     id,
			Model:      "redacteur",
			ModelBytes: 10 << 30,
		})
	}
	s.SetDesired(desired)
	s.SetEngines(epoch, engines)
	var sent []int
	for second := range 70 {
		now := epoch.Add(time.Duration(second) * time.Second)
		out := s.Step(now, Lease{
			Held:  true,
			Fence: 1,
			Until: now.Add(time.Minute),
		})
		for _, e := range out.Query {
			s.HandleState(now, now, e, ActualState{})
		}
		for _, o := range out.Send {
			sent = append(sent, second)
			s.HandleOutcome(now, o, Accepted)
			s.engines[o.Engine.ID].actual.Loading = true
			s.engines[o.Engine.ID].blockedUntil = now.Add(time.Hour)
		}
	}
	if d := diff.Diff([]int{1, 11, 21, 31, 41, 51}, sent); d != "" {
		t.Error(d)
	}
}

type staleFenceEngine struct {
	mu    sync.Mutex
	sends int
}

func (*staleFenceEngine) State(context.Context, hingeids.ServerID) (ActualState, error) {
	return ActualState{}, nil
}

func (r *staleFenceEngine) Send(context.Context, hingeids.ServerID, hingeids.Fence, Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends++
	return ErrStaleFence
}

type fixedLease struct{}

func (fixedLease) Holder(now time.Time) (hingeids.Fence, time.Time, bool) {
	return 1, now.Add(time.Minute), true
}

// Guards against an issuer that continues to send orders after an engine has
// reported a newer issuer.
func TestDriverStopsOnceReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &staleFenceEngine{}
		o := New(Config{
			Settings: Settings{
				OrderTimeout: time.Second,
			},
			Engines: engine,
			Lease:   fixedLease{},
		})
		o.SetDesired([]DesiredState{{
			Engine: "engine-0",
			Role:   "decode",
		}})
		o.SetEngines([]Engine{{
			ID:          "engine-0",
			Incarnation: 1,
			ChecksFence: true,
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_ = o.Run(ctx)
		}()
		time.Sleep(time.Minute)
		cancel()
		<-o.Done()
		if d := diff.Diff(1, engine.sends); d != "" {
			t.Error(d)
		}
	})
}
