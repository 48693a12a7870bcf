// Package hingebalance chooses the replica of a plain service for each request.
// It has no clock, no sockets and no goroutines.
//
// The load it is made for: short requests whose callers wait a tenth of a second, on a
// few replicas of which one may be slow, fail a part of what it is sent, or be
// dark, while its heartbeats say that it is well.
//
//  1. A request goes where it is predicted to be answered first: the pace of
//     late answers times the requests that this host has there. A replica that turns slow
//     drains itself of new work within some answers.
//  2. A replica of the own zone is preferred while it is about as good: the
//     way to another zone costs two milliseconds.
//  3. A replica that fails a part of its requests is avoided by as much, as if each failure took
//     the time that its caller loses by it: it still gets what the others couldn't answer in time. One that
//     fails most is left alone for a while, and then tried with one request at a time.
//  4. If all are left alone, the one whose time is over first is taken: a refusal
//     helps nobody who could have been served. But one that can't be reached is tried only
//     when its time is over: each try takes as long as callers of the quay wait.
//  5. One request in some is sent to a replica that wasn't used lately, so that one that
//     has recovered is noticed.
//  6. A host has no more than its part of a replica's connections open. A replica that takes requests and
//     answers none would otherwise fill up with those of one host, and reset the others'.
package hingebalance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Replica is a replica that may be used now.
type Replica struct {
	Server  hingeids.ServerID
	Address string
	Zone    hingeids.Zone
}

// Outcome is how a request at a replica ended.
type Outcome uint8

// Answered is an answer of the replica, whatever its status; Full a refusal for
// want of room; Failed no whole answer; Unreached no connection; Gone says that another
// server has the address.
const (
	Answered Outcome = iota
	Full
	Failed
	Unreached
	Gone
)

const (
	// startTook is the time an answer is expected to take before any has come.
	startTook = 25 * time.Millisecond
	// tookWeight is the weight of a new answer's time: ten answers move the
	// expectation by two thirds, which a busy host sees in half a second.
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

// state is what was learned of a replica.
type state struct {
	open int
	took time.Duration
	// measured says that an answer has come; until then took is a guess.
	measured  bool
	failures  float64
	fadedAt   time.Time
	unreached int
	away      time.Duration
	awayTill  time.Time
	usedAt    time.Time
	gone      bool
	// dark says that it couldn't be reached when it was tried last.
	dark bool
}

// Balance chooses among the replicas of one service. It is not safe for
// concurrent use.
type Balance struct {
	zone   hingeids.Zone
	random *rand.Rand
	states map[hingeids.ServerID]*state
}

// New makes the balance of a host in a zone.
func New(zone hingeids.Zone, seed uint64) *Balance {
	return &Balance{
		zone:   zone,
		random: rand.New(rand.NewPCG(seed, seed+1)),
		states: make(map[hingeids.ServerID]*state),
	}
}

func (b *Balance) state(id hingeids.ServerID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{
			took: startTook,
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
}

// Choose takes a replica for a request, or none; most is how many requests this host may have at
// one (rule 6), zero for any number. Each choice is followed by one Done.
func (b *Balance) Choose(now time.Time, list []Replica, avoid []hingeids.ServerID, most int) (Replica, bool) {
	var free, away []choice
	for _, r := range list {
		s := b.state(r.Server)
		if s.gone || slices.Contains(avoid, r.Server) || most > 0 && s.open >= most {
			continue
		}
		c := choice{
			replica: r,
			state:   s,
			cost:    b.cost(now, r, s),
		}
		if now.Before(s.awayTill) || s.away > 0 && s.open > 0 {
			if !s.dark {
				away = append(away, c)
			}
			continue
		}
		free = append(free, c)
	}
	best, ok := b.best(now, free, away)
	if !ok {
		return Replica{}, false
	}
	best.state.open++
	best.state.usedAt = now
	return best.replica, true
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
func (b *Balance) cost(now time.Time, r Replica, s *state) time.Duration {
	s.fade(now)
	if now.Sub(s.usedAt) > staleAfter && s.open == 0 {
		return 0
	}
	cost := s.took*time.Duration(s.open+1) + time.Duration(max(s.failures-failFree, 0)*float64(failCost))
	if r.Zone != b.zone {
		cost += nearBy
	}
	return cost
}

func (b *Balance) best(now time.Time, free, away []choice) (choice, bool) {
	if len(free) == 0 {
		if len(away) == 0 {
			return choice{}, false
		}
		// Rule 4.
		return slices.MinFunc(away, func(x, y choice) int {
			return x.state.awayTill.Compare(y.state.awayTill)
		}), true
	}
	// Equal choices are drawn by lot, or hosts would all take the same one.
	b.random.Shuffle(len(free), func(i, j int) {
		free[i], free[j] = free[j], free[i]
	})
	return slices.MinFunc(free, func(x, y choice) int {
		return cmp.Compare(x.cost, y.cost)
	}), true
}

// Done takes how a request ended and how long it took.
func (b *Balance) Done(now time.Time, id hingeids.ServerID, o Outcome, took time.Duration) {
	s := b.state(id)
	s.open = max(s.open-1, 0)
	s.dark = o == Unreached && (s.dark || s.unreached+1 >= unreachedLimit)
	switch o {
	case Answered:
		if !s.measured {
			s.took = took
			s.measured = true
		}
		s.took += time.Duration(tookWeight * float64(took-s.took))
		s.failures -= failWeight * s.failures
		s.unreached = 0
		if now.After(s.awayTill) {
			s.away = 0
		}
	case Full:
		s.awayTill = now.Add(fullAway)
	case Gone:
		s.gone = true
	case Unreached:
		s.unreached++
		if s.unreached >= unreachedLimit {
			s.leave(now)
		}
	case Failed:
		s.failures += failWeight * (1 - s.failures)
		if s.failures > failLimit {
			s.leave(now)
		}
	}
}

// leave is rule 3.
func (s *state) leave(now time.Time) {
	if now.Before(s.awayTill) {
		return
	}
	s.away = min(max(2*s.away, firstAway), longestAway)
	s.awayTill = now.Add(s.away)
	s.failures = min(s.failures, comingBack)
}

// Keep forgets all replicas but those named.
func (b *Balance) Keep(list []Replica) {
	for id := range b.states {
		if !slices.ContainsFunc(list, func(r Replica) bool {
			return r.Server == id
		}) {
			delete(b.states, id)
		}
	}
}
