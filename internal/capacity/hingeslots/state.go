package hingeslots

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Times of loans and grants. A loan outlasts three lost renewals; it bounds how
// long a pool is idle when its granter dies, together with showWithin.
const (
	loanLease   = 1500 * time.Millisecond
	borrowEvery = 400 * time.Millisecond
	// clockMargin is one part in so many: each clock may be wrong by a twentieth.
	clockMargin = 10
	// startWithin is how long a holder has to start a granted request. The request
	// goes out at once; the time covers a busy holder.
	startWithin = time.Second
	// leastStart is the shortest such time worth a grant.
	leastStart = 100 * time.Millisecond
	// showWithin is how long a request that was sent may take to show in what the
	// engine says it holds.
	showWithin = 500 * time.Millisecond
	// quarantine outlasts every loan and life lease that an earlier life gave.
	quarantine = loanLease + loanLease/clockMargin
	// askEvery paces questions to an engine whose pools open, and to hosts that
	// have to yield; checkEvery those about grants that should have shown.
	askEvery   = 500 * time.Millisecond
	checkEvery = time.Second
	// acquireEvery paces a holder's question; waiters not asked for in
	// waiterLife are dropped, since their holder is gone.
	acquireEvery = 300 * time.Millisecond
	waiterLife   = 1200 * time.Millisecond
	stepEvery    = 100 * time.Millisecond
)

// forgetEngine is how long an engine is kept that is no longer announced.
const forgetEngine = 10 * time.Minute

// maxWaiters bounds the queue of one engine: at 20 slots and some seconds a
// request, those behind it would wait longer than a caller does.
const maxWaiters = 256

// View is what the members know, as far as slots need it.
type View struct {
	// Alive are the zone's hosts that look alive. Only a guess.
	Alive []hingeids.HostID
	// Recorded gives the zone's recorded lives that are not over.
	Recorded map[hingeids.HostID]hingeids.Incarnation
	// StandsUntil is when this host's standing ends.
	StandsUntil time.Time
}

// Result tells the holder how its request fares.
type Result struct {
	ID     hingeids.RequestID
	Engine hingeids.ServerID
	// Granted says that the request may go out, if it starts before StartBy;
	// else it was refused because the queue was full.
	Granted bool
	StartBy time.Time
}

// Output is what a step asks for.
type Output struct {
	Send    []Outgoing
	Results []Result
	// AskHeld are engines to ask what they hold; the answer goes to TakeHeld.
	AskHeld []Engine
}

// State is one host's part in the slots of its zone: owner of pools, granter of
// engines and holder of grants. It is not safe for concurrent use.
type State struct {
	life    hingeids.Instance
	hosts   []hingeids.HostID
	view    View
	engines map[hingeids.ServerID]*engineState
	// ordered are the engines by name.
	ordered []*engineState
	number  uint64
	sentAt  map[uint64]time.Time
	local   []Message
	out     Output
}

type engineState struct {
	Engine
	// announced is when the engine was last announced.
	announced time.Time
	pools     map[hingeids.HostID]*pool
	loans     map[hingeids.HostID]*loan
	seen      map[hingeids.HostID]seenLoan
	waiters   []*waiter
	requests  map[hingeids.RequestID]*request
	serial    uint64
	arrivals  uint64
	borrowAt  time.Time
	askedAt   time.Time
}

// NewState makes the state of a life of a host; hosts are its zone's entry
// hosts from the settings, this one among them.
func NewState(life hingeids.Instance, hosts []hingeids.HostID) *State {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	return &State{
		life: life,
		// An answer to an earlier life must not pass for one to this: the numbers of
		// lives are far apart.
		number:  lifeWeight(life, ""),
		hosts:   sorted,
		engines: make(map[hingeids.ServerID]*engineState),
		sentAt:  make(map[uint64]time.Time),
	}
}

// SetEngines takes which decode engines the zone has. An engine with a new
// incarnation has lost all it held, and is begun anew. One that is not announced
// for a while is kept with all that is known of it: what this host forgot of its
// own requests it would give back while they run.
func (s *State) SetEngines(now time.Time, engines []Engine) {
	for _, e := range engines {
		old := s.engines[e.ID]
		if old != nil && old.Incarnation == e.Incarnation {
			old.announced = now
			continue
		}
		s.refuseAll(old)
		s.engines[e.ID] = s.beginEngine(now, e)
	}
	for id, e := range s.engines {
		if now.Sub(e.announced) > forgetEngine && len(e.requests) == 0 {
			delete(s.engines, id)
		}
	}
	s.ordered = s.ordered[:0]
	for _, e := range s.engines {
		s.ordered = append(s.ordered, e)
	}
	slices.SortFunc(s.ordered, func(a, b *engineState) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

func (s *State) beginEngine(now time.Time, e Engine) *engineState {
	return &engineState{
		Engine:    e,
		announced: now,
		pools:     make(map[hingeids.HostID]*pool),
		loans:     make(map[hingeids.HostID]*loan),
		seen:      make(map[hingeids.HostID]seenLoan),
		requests:  make(map[hingeids.RequestID]*request),
		// Serials of different granters must differ, or a release meant for one
		// could free what another granted.
		serial: lifeWeight(s.life, string(e.ID)),
	}
}

// refuseAll tells those who wait at an engine that it has restarted. Their wait
// at other engines ends too, so that they are placed anew.
func (s *State) refuseAll(e *engineState) {
	if e == nil {
		return
	}
	for _, id := range e.waiting() {
		s.letOthersGo(e, id)
		s.out.Results = append(s.out.Results, Result{
			ID: id,
		})
	}
}

// SetView takes what the members know now.
func (s *State) SetView(v View) {
	s.view = v
}

// granterOf gives the granter as it looks from here. Rule 3.
func (s *State) granterOf(e *engineState) hingeids.HostID {
	return rendezvous(s.view.Alive, string(e.ID))
}

// Step does what is due. It should be called each stepEvery.
func (s *State) Step(now time.Time) Output {
	s.forgetNumbers(now)
	return s.stepThese(now, s.ordered...)
}

func (s *State) stepThese(now time.Time, engines ...*engineState) Output {
	for _, e := range engines {
		s.own(now, e)
		s.borrow(now, e)
		s.hold(now, e)
		s.askHeld(now, e)
	}
	s.deliverLocal(now)
	for _, e := range engines {
		s.grant(now, e)
	}
	s.deliverLocal(now)
	out := s.out
	s.out = Output{}
	return out
}

// Receive takes a datagram.
func (s *State) Receive(now time.Time, m Message) Output {
	e := s.engines[m.Engine]
	if e == nil {
		return Output{}
	}
	s.take(now, m)
	return s.stepThese(now, e)
}

func (s *State) take(now time.Time, m Message) {
	e := s.engines[m.Engine]
	if e == nil || e.Incarnation != m.Incarnation {
		return
	}
	switch m.Kind {
	case kindBorrow:
		s.takeBorrow(now, e, m)
	case kindLend:
		s.takeLend(now, e, m)
	case kindGiveBack:
		s.takeGiveBack(now, e, m)
	case kindAskYield:
		s.takeAskYield(now, e, m)
	case kindYield:
		s.takeYield(now, e, m)
	case kindAcquire:
		s.takeAcquire(now, e, m)
	case kindGrant:
		s.takeGrant(now, e, m)
	case kindRefuse:
		s.takeRefuse(e, m)
	case kindRelease:
		s.takeRelease(e, m)
	}
}

// send sends to another host, or to this one without the link.
func (s *State) send(e *engineState, to hingeids.HostID, m Message) {
	m.From = s.life
	m.Engine = e.ID
	m.Incarnation = e.Incarnation
	if to == s.life.Host {
		s.local = append(s.local, m)
		return
	}
	s.out.Send = append(s.out.Send, Outgoing{
		To:      to,
		Message: m,
	})
}

func (s *State) deliverLocal(now time.Time) {
	for len(s.local) > 0 {
		m := s.local[0]
		s.local = s.local[1:]
		s.take(now, m)
	}
}

// ask numbers a question, so that its answer can be counted from its sending.
func (s *State) ask(now time.Time) uint64 {
	s.number++
	s.sentAt[s.number] = now
	return s.number
}

// forgetNumbers drops questions whose answer would be too late to use.
func (s *State) forgetNumbers(now time.Time) {
	for n, at := range s.sentAt {
		if now.Sub(at) > 2*loanLease {
			delete(s.sentAt, n)
		}
	}
}
