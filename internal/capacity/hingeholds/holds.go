// Package hingeholds gives up engine memory that nobody answers for: requests in
// progress, reservations, exported KV cache and half-finished imports whose
// caller, or whose entry host, is gone. State is the pure part; Holds drives it.
//
//  1. A hold is known by its request id, which names the life of the entry host
//     that answers for it. A host knows an id from before anything is sent under it
//     until nothing is held for it any more, and never knows it again after that.
//  2. The host that is responsible for an engine keeps asking it what it holds.
//     Two hosts that both think so do no harm: a cancel is idempotent.
//  3. A hold of a life that is recorded as over is cancelled without asking.
//  4. About others their owner is asked, after the engine has answered. An id that
//     the owner's same life doesn't know has been given up; an owner that answers
//     in a newer life has ended the older one. Both are cancelled.
//  5. An owner that doesn't answer is left alone: it may be slow or cut off, and
//     its caller may be reading. Once its life is over rule 3 applies.
//  6. A cancel is repeated until the engine has answered it, or has a new
//     incarnation and so has lost what it held. One that still shows in what the
//     engine holds is sent again.
//  7. An owner gives up what its caller has left in the same way, and is told when
//     nothing is held any more.
package hingeholds

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
)

// Times. A caller or host that is gone must leave nothing after 5 s, of which
// recording a life as over may take 3.
const (
	pollEvery = 500 * time.Millisecond
	// A cancel is repeated soon at first, since most failures are one lost answer,
	// then ever more slowly, so that an engine in trouble is not made busier.
	firstRetry = 100 * time.Millisecond
	quickTries = 8
	mostRetry  = 2 * time.Second
	// stuckTries is after how many cancels an operator is told.
	stuckTries = 20
	// forgetEngine is how long cancels are kept for an engine that is not announced.
	forgetEngine = 10 * time.Minute
)

// State decides what to cancel. It is not safe for concurrent use.
type State struct {
	record  hingemembers.Record
	engines map[hingeids.ServerID]*engineState
	out     Output
}

type engineState struct {
	Engine
	announced bool
	missing   time.Time
	polledAt  time.Time
	cancels   map[hingeids.RequestID]*cancel
	// asked are the ids whose owners were asked since the engine last answered.
	asked map[hingeids.RequestID]bool
}

type cancel struct {
	tries  int
	nextAt time.Time
	// own says that Abandon asked for it.
	own bool
}

// NewState makes an empty state.
func NewState() *State {
	return &State{
		engines: make(map[hingeids.ServerID]*engineState),
	}
}

// SetRecord takes what the configuration log says of lives.
func (s *State) SetRecord(r hingemembers.Record) {
	s.record = r
}

// SetEngines takes which engines are announced. Rule 6.
func (s *State) SetEngines(now time.Time, engines []Engine) {
	for _, e := range s.engines {
		if e.announced {
			e.announced, e.missing = false, now
		}
	}
	for _, e := range engines {
		old := s.engines[e.ID]
		if old == nil || old.Incarnation != e.Incarnation {
			s.lost(old)
			old = &engineState{
				cancels: make(map[hingeids.RequestID]*cancel),
				asked:   make(map[hingeids.RequestID]bool),
			}
			s.engines[e.ID] = old
		}
		old.Engine, old.announced = e, true
	}
	for id, e := range s.engines {
		if !e.announced && now.Sub(e.missing) > forgetEngine {
			s.lost(e)
			delete(s.engines, id)
		}
	}
}

// lost reports own requests as gone that an engine held before it restarted.
func (s *State) lost(e *engineState) {
	if e == nil {
		return
	}
	for _, id := range e.ordered() {
		s.gone(e, id)
	}
}

func (s *State) gone(e *engineState, id hingeids.RequestID) {
	if e.cancels[id].own {
		s.out.Gone = append(s.out.Gone, Cancellation{
			Engine: e.ID,
			ID:     id,
		})
	}
	delete(e.cancels, id)
}

// Abandon gives up what an engine holds for an own request. Rule 7.
func (s *State) Abandon(now time.Time, engine hingeids.ServerID, id hingeids.RequestID) {
	e := s.engines[engine]
	if e == nil {
		s.out.Gone = append(s.out.Gone, Cancellation{
			Engine: engine,
			ID:     id,
		})
		return
	}
	s.doom(now, e, id)
	e.cancels[id].own = true
}

func (s *State) doom(now time.Time, e *engineState, id hingeids.RequestID) {
	if e.cancels[id] == nil {
		e.cancels[id] = &cancel{
			nextAt: now,
		}
	}
}

// Step does what is due and says when it wants to be called next.
func (s *State) Step(now time.Time) (Output, time.Time) {
	next := now.Add(pollEvery)
	for _, e := range s.orderedEngines() {
		if e.Mine && e.announced && now.Sub(e.polledAt) >= pollEvery {
			e.polledAt = now
			s.out.Poll = append(s.out.Poll, e.Engine)
		}
		for _, id := range e.ordered() {
			c := e.cancels[id]
			s.repeat(now, e, id, c)
			if c.nextAt.Before(next) {
				next = c.nextAt
			}
		}
	}
	out := s.out
	s.out = Output{}
	return out, next
}

// repeat sends a cancel if it is due. Rule 6.
func (s *State) repeat(now time.Time, e *engineState, id hingeids.RequestID, c *cancel) {
	if now.Before(c.nextAt) {
		return
	}
	sent := Cancellation{
		Engine: e.ID,
		ID:     id,
	}
	s.out.Cancel = append(s.out.Cancel, sent)
	if c.tries++; c.tries == stuckTries {
		s.out.Stuck = append(s.out.Stuck, sent)
	}
	wait := firstRetry
	if c.tries > quickTries {
		wait = min(firstRetry<<min(c.tries-quickTries, 10), mostRetry)
	}
	c.nextAt = now.Add(wait)
}

// TakeHeld takes what an engine holds, and asks the owners. Rules 3 and 4.
func (s *State) TakeHeld(now time.Time, of Engine, holds []Hold) {
	e := s.engines[of.ID]
	if e == nil || e.Incarnation != of.Incarnation {
		return
	}
	clear(e.asked)
	byHost := make(map[hingeids.HostID][]hingeids.RequestID)
	seen := make(map[hingeids.RequestID]bool)
	for _, h := range holds {
		if seen[h.ID] {
			continue
		}
		seen[h.ID] = true
		if s.record.IsOver(h.ID.Instance) {
			s.doom(now, e, h.ID)
			continue
		}
		e.asked[h.ID] = true
		byHost[h.ID.Host] = append(byHost[h.ID.Host], h.ID)
	}
	for host, ids := range byHost {
		s.out.Ask = append(s.out.Ask, Question{
			Host: host,
			IDs:  ids,
		})
	}
	slices.SortFunc(s.out.Ask, func(a, b Question) int {
		return cmp.Compare(a.Host, b.Host)
	})
}

// TakeAnswer takes which of the ids asked about their host, in the given life,
// knows. Rule 4.
func (s *State) TakeAnswer(now time.Time, by hingeids.Instance, asked, known []hingeids.RequestID) {
	knows := make(map[hingeids.RequestID]bool, len(known))
	for _, id := range known {
		knows[id] = true
	}
	for _, id := range asked {
		if knows[id] || id.Host != by.Host || id.Incarnation > by.Incarnation {
			continue
		}
		for _, e := range s.orderedEngines() {
			if e.asked[id] {
				s.doom(now, e, id)
			}
		}
	}
}

// TakeCancelled takes that an engine answered a cancel: it holds nothing for the
// request any more. Rule 6.
func (s *State) TakeCancelled(of Cancellation) {
	e := s.engines[of.Engine]
	if e == nil || e.cancels[of.ID] == nil {
		return
	}
	delete(e.asked, of.ID)
	s.gone(e, of.ID)
}

func (e *engineState) ordered() []hingeids.RequestID {
	out := make([]hingeids.RequestID, 0, len(e.cancels))
	for id := range e.cancels {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b hingeids.RequestID) int {
		return cmp.Or(
			cmp.Compare(a.Host, b.Host),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Sequence, b.Sequence),
		)
	})
	return out
}

func (s *State) orderedEngines() []*engineState {
	out := make([]*engineState, 0, len(s.engines))
	for _, e := range s.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engineState) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}
