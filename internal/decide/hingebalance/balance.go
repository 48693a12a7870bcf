// Package hingebalance chooses the replica of a plain service for each request.
// It has no clock, no sockets and no goroutines.
//
// The load it is made for: short requests whose callers wait a tenth of a second, on a
// few replicas of which one may be slow, fail a part of what it is sent, or be
// dark, while its heartbeats say that it is well.
//
//  1. A request goes where it is predicted to be answered first: the pace of
//     late answers, times the requests that are there for each slot. A replica that turns slow
//     drains itself of new work within some answers, one that has gone silent before any comes.
//  2. A replica of the own zone is preferred while it is about as good: the
//     way to another zone costs two milliseconds.
//  3. A replica that fails a part of its requests is avoided by as much, as if each failure took
//     the time that its caller loses by it: it still gets what the others couldn't answer in time. One that
//     fails most is left alone for a while, and then tried with one request at a time.
//  4. If all are left alone, the one whose time is over first is taken: a refusal
//     helps nobody who could have been served. But one that can't be reached is tried only
//     when its time is over: each try takes as long as callers of the quay wait. Whether a replica can be reached is
//     known for each zone that asks, since a cut parts it from some only.
//  5. One request in some is sent to a replica that wasn't used lately, so that one that
//     has recovered is noticed.
//  6. A replica has no more requests than it works on at once, and as many beside as keep its slots busy while
//     the next are on their way (limit.go). More would wait in its queue, where they can't be told from lost.
package hingebalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Replica is a replica that may be used now.
type Replica struct {
	Server  hingeids.ServerID
	Address string
	Zone    hingeids.Zone
	// Slots is how many requests it works on at once, zero if it isn't known.
	Slots hingeids.Slots
	// Most is how many connections it takes, zero for any number.
	Most int
}

// Ask is what a request asks of a replica.
type Ask struct {
	// Zone is the availability zone of the host that will send it.
	Zone hingeids.Zone
	// Avoid are replicas that have failed it.
	Avoid []hingeids.ServerID
	// Within is the time in which its answer is of full worth: slower replicas aren't taken. Zero takes any.
	Within time.Duration
}

// Outcome is how a request at a replica ended.
type Outcome uint8

// Answered is an answer of the replica, whatever its status; Full a refusal for
// want of room; Failed no whole answer; Unreached no connection; Gone says that another
// server has the address; Unknown that nothing is to be learned: the caller left.
const (
	Answered Outcome = iota
	Full
	Failed
	Unreached
	Gone
	Unknown
)

// Found is whether there is a replica for a request.
type Found uint8

// Chosen is a replica; Busy says that those that may be used have no room now, None that none may be used.
const (
	Chosen Found = iota
	Busy
	None
)

const (
	// startTook is the time an answer is expected to take before any has come.
	startTook = 25 * time.Millisecond
	// tookWeight is the weight of a new answer's time: ten answers move the
	// expectation by two thirds, which a busy replica gives in an eighth of a second.
	tookWeight = 0.1
	// failWeight is the weight of a new outcome in the share of failures.
	failWeight = 0.1
	// failFree is the share of failures that is nobody's fault in particular: a single one
	// moves nothing.
	failFree = 0.1
	// failLimit is the share of failures from which a replica is left alone: less is served
	// there than would be lost by the load on the others.
	failLimit = 0.6
	// failCost is what a failure costs its caller: a repeat, or the answer. With 0.3 of
	// its requests failed, a replica is used once others take 70 ms longer, which is
	// when they begin to be late.
	failCost = 350 * time.Millisecond
	// fadeTime is how long a failure is remembered where nothing more is seen of the replica.
	fadeTime = time.Second
	// comingBack is the share of failures that a replica comes back with after it was
	// left alone: two or three more in a row and it is left again.
	comingBack = 0.45
	// nearBy is how much worse a replica of the own zone may be (rule 2).
	nearBy = 3 * time.Millisecond
	// crowding is how much longer than an empty replica a full one is taken to need: some slow down when nearly
	// full. With answers of 30 ms another zone is used once the own replica is some two fifths fuller.
	crowding = 0.25
	// firstAway and longestAway bound how long a replica is left alone.
	firstAway   = 700 * time.Millisecond
	longestAway = 6 * time.Second
	// fullAway is the same after a refusal for want of room: its queue is some requests long.
	fullAway = 60 * time.Millisecond
	// staleAfter is how long a replica may go unused before it gets a request (rule 5).
	staleAfter = 3 * time.Second
	// unreachedLimit is how many connections in a row must fail: single packets are lost too.
	unreachedLimit = 2
)

// absence is a time for which a replica is left alone.
type absence struct {
	lasts time.Duration
	till  time.Time
}

// begin leaves a replica alone, for longer each time in a row.
func (a *absence) begin(now time.Time) bool {
	if now.Before(a.till) {
		return false
	}
	a.lasts = min(max(2*a.lasts, firstAway), longestAway)
	a.till = now.Add(a.lasts)
	return true
}

// end forgets an absence that is over.
func (a *absence) end(now time.Time) {
	if now.After(a.till) {
		a.lasts = 0
	}
}

// reach is how a replica is reached from one zone.
type reach struct {
	unreached int
	away      absence
}

func (r *reach) dark() bool {
	return r.unreached >= unreachedLimit
}

// state is what was learned of a replica.
type state struct {
	open int
	// waitsSince is since when something was sent there and nothing has come back, zero if nothing is waited for.
	waitsSince time.Time
	took       time.Duration
	// measured says that an answer has come; until then took is a guess.
	measured bool
	// cut is how many requests fewer than rule 6 allows it takes, by its own refusals.
	cut      float64
	failures float64
	fadedAt  time.Time
	away     absence
	fullTill time.Time
	zones    map[hingeids.Zone]*reach
	usedAt   time.Time
	gone     bool
}

// reach gives how the replica is reached from a zone.
func (s *state) reach(z hingeids.Zone) *reach {
	r := s.zones[z]
	if r == nil {
		r = &reach{}
		s.zones[z] = r
	}
	return r
}

// Balance chooses among the replicas of one service. It is not safe for
// concurrent use.
type Balance struct {
	random *rand.Rand
	states map[hingeids.ServerID]*state
	// handOver is what a slot would be idle for between two requests (rule 6).
	handOver time.Duration
	// free and away are the choices of one call, kept for the next.
	free []choice
	away []choice
}

// New makes a balance that has seen nothing.
func New(seed uint64) *Balance {
	return &Balance{
		random: rand.New(rand.NewPCG(seed, seed+1)),
		states: make(map[hingeids.ServerID]*state),
	}
}

func (b *Balance) state(id hingeids.ServerID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{
			took:  startTook,
			zones: make(map[hingeids.Zone]*reach),
		}
		b.states[id] = s
	}
	return s
}

// choice is a replica with what speaks for it.
type choice struct {
	replica Replica
	state   *state
	cost    time.Duration
	till    time.Time
}

// Choose takes a replica for a request. Each one that is chosen is followed by one Done or Expire.
func (b *Balance) Choose(now time.Time, list []Replica, a Ask) (Replica, Found) {
	b.free, b.away = b.free[:0], b.away[:0]
	found := None
	for _, r := range list {
		s := b.state(r.Server)
		if s.gone || slices.Contains(a.Avoid, r.Server) {
			continue
		}
		near := s.reach(a.Zone)
		if near.dark() && now.Before(near.away.till) {
			continue
		}
		found = Busy
		if s.open >= s.limit(r, b.handOver) || a.Within > 0 && s.expected(now) > a.Within && !s.stale(now) {
			continue
		}
		c := choice{
			replica: r,
			state:   s,
			cost:    s.cost(now, r, a.Zone),
			till:    hingeclock.Later(s.away.till, s.fullTill),
		}
		switch {
		case near.away.lasts > 0 && s.open > 0:
		case now.Before(c.till) || s.away.lasts > 0 && s.open > 0:
			b.away = append(b.away, c)
		default:
			b.free = append(b.free, c)
		}
	}
	best, ok := b.best()
	if !ok {
		return Replica{}, found
	}
	best.state.begin(now)
	return best.replica, Chosen
}

// begin notes that a request is sent there.
func (s *state) begin(now time.Time) {
	if s.waitsSince.IsZero() {
		s.waitsSince = now
	}
	s.open++
	s.usedAt = now
}

// expected is how long an answer is expected to take: as those before, or as long as nothing has come back.
func (s *state) expected(now time.Time) time.Duration {
	if s.waitsSince.IsZero() {
		return s.took
	}
	return max(s.took, now.Sub(s.waitsSince))
}

// stale is rule 5. One that has gone silent is tried as soon as one that is left alone.
func (s *state) stale(now time.Time) bool {
	unused := now.Sub(s.usedAt)
	return s.open == 0 && (unused > staleAfter || !s.waitsSince.IsZero() && unused > firstAway)
}

// fade forgets failures with time: a replica that is used less for them shows
// no more of how it does.
func (s *state) fade(now time.Time) {
	if passed := now.Sub(s.fadedAt); passed > 0 && !s.fadedAt.IsZero() {
		s.failures *= math.Exp(-passed.Seconds() / fadeTime.Seconds())
	}
	s.fadedAt = now
}

// cost is rule 1, with rules 2, 3 and 5.
func (s *state) cost(now time.Time, r Replica, zone hingeids.Zone) time.Duration {
	s.fade(now)
	if s.stale(now) {
		return 0
	}
	slots := float64(max(r.Slots, 1))
	load := max(float64(s.open+1)/slots, 1) + crowding*float64(s.open)/slots
	cost := time.Duration(load*float64(s.expected(now))) +
		time.Duration(max(s.failures-failFree, 0)*float64(failCost))
	if r.Zone != zone {
		cost += nearBy
	}
	return cost
}

func (b *Balance) best() (choice, bool) {
	if len(b.free) == 0 {
		if len(b.away) == 0 {
			return choice{}, false
		}
		// Rule 4.
		return slices.MinFunc(b.away, func(x, y choice) int {
			return x.till.Compare(y.till)
		}), true
	}
	// Equal choices are drawn by lot, or hosts would all take the same one.
	best := b.free[0]
	equal := 1
	for _, c := range b.free[1:] {
		switch {
		case c.cost < best.cost:
			best = c
			equal = 1
		case c.cost == best.cost:
			equal++
			if b.random.IntN(equal) == 0 {
				best = c
			}
		}
	}
	return best, true
}

// Expire notes that nothing has come of a request at a replica, and that it is waited for no more.
func (b *Balance) Expire(id hingeids.ServerID) {
	s := b.state(id)
	s.open = max(s.open-1, 0)
}

// Done takes how a request from a zone ended and how long it took, after Choose.
func (b *Balance) Done(now time.Time, id hingeids.ServerID, zone hingeids.Zone, o Outcome, took time.Duration) {
	b.Expire(id)
	b.Learn(now, id, zone, o, took)
}

// Learn takes how a request ended that this balance hasn't chosen the replica of.
func (b *Balance) Learn(now time.Time, id hingeids.ServerID, zone hingeids.Zone, o Outcome, took time.Duration) {
	s := b.state(id)
	if o != Unreached && o != Unknown {
		s.heard(now)
		near := s.reach(zone)
		near.unreached = 0
		near.away.lasts = 0
	}
	switch o {
	case Answered:
		s.answered(now, took)
	case Full:
		s.fullTill = now.Add(fullAway)
		s.refused()
	case Gone:
		s.gone = true
	case Unreached:
		near := s.reach(zone)
		near.unreached++
		if near.dark() {
			near.away.begin(now)
		}
	case Failed:
		s.failures += failWeight * (1 - s.failures)
		if s.failures > failLimit && s.away.begin(now) {
			s.failures = min(s.failures, comingBack)
		}
	}
}

// heard notes that something has come back.
func (s *state) heard(now time.Time) {
	s.waitsSince = time.Time{}
	if s.open > 0 {
		s.waitsSince = now
	}
}

func (s *state) answered(now time.Time, took time.Duration) {
	if !s.measured {
		s.took = took
		s.measured = true
	}
	s.took += time.Duration(tookWeight * float64(took-s.took))
	s.failures -= failWeight * s.failures
	s.away.end(now)
	s.grow()
}

// Keep forgets all replicas but those named.
func (b *Balance) Keep(list []Replica) {
	named := make(map[hingeids.ServerID]bool, len(list))
	for _, r := range list {
		named[r.Server] = true
	}
	for id := range b.states {
		if !named[id] {
			delete(b.states, id)
		}
	}
}
