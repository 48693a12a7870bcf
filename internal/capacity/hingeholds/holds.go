// Package hingeholds releases orphaned allocations of engines: requests in
// progress, reservations, exported KV cache and incomplete imports whose caller has
// disconnected or whose entry host has failed. State has the logic and does no I/O;
// Collector runs it.
//
//  1. An allocation is identified by its request ID, which contains the instance of
//     the entry host that owns the request. A host has an ID in its table from before
//     the first message with it is sent until no engine has an allocation for it, and
//     never adds it again.
//  2. The host that is responsible for an engine polls its allocations. Two hosts
//     may both consider themselves responsible, since a cancel is idempotent.
//  3. An allocation of an instance that is recorded as ended is cancelled without a
//     query.
//  4. For any other allocation its owner is queried after the engine has responded.
//     It is cancelled if the owner replies as the same instance without the ID in
//     its table, or as a newer instance.
//  5. If an owner doesn't reply its allocations stay: it may be slow or partitioned
//     while its caller still receives a response. Rule 3 applies once its instance
//     is recorded as ended.
//  6. A cancel is retried until the engine has confirmed it or has a new
//     incarnation, with which its allocations are lost. An allocation that a later
//     poll still lists is cancelled again.
//  7. An owner cancels the allocations of its abandoned requests in the same way,
//     and is notified when none is left.
package hingeholds

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
)

// Allocations of a disconnected caller or a failed host must be released within 5 s,
// of which recording the end of the instance can take 3 s.
const (
	pollInterval = 500 * time.Millisecond
	// A cancel is retried at a fixed interval at first, since a single lost response
	// is the usual failure, then with exponential backoff to limit the load on an
	// overloaded engine.
	firstRetryDelay = 100 * time.Millisecond
	fastAttempts    = 8
	maxRetryDelay   = 2 * time.Second
	// stuckAttempts is the number of attempts after which a cancel is reported as stuck.
	stuckAttempts = 20
	// engineRetention is how long the cancels of an unannounced engine are retained.
	engineRetention = 10 * time.Minute
)

// State decides what to cancel. It is not safe for concurrent use.
type State struct {
	record  hingemembers.Registry
	engines map[hingeids.ServerID]*engineState
	out     Output
}

type engineState struct {
	Engine
	announced    bool
	missingSince time.Time
	polledAt     time.Time
	cancels      map[hingeids.RequestID]*pendingCancel
	// queried has the requests whose owners were queried since the last poll result.
	queried map[hingeids.RequestID]bool
}

type pendingCancel struct {
	attempts int
	nextAt   time.Time
	// abandoned is whether Abandon requested the cancel.
	abandoned bool
}

// NewState returns a state without engines.
func NewState() *State {
	return &State{
		engines: make(map[hingeids.ServerID]*engineState),
	}
}

// SetRecord replaces the record of host instances from the configuration log.
func (s *State) SetRecord(r hingemembers.Registry) {
	s.record = r
}

// SetEngines replaces the list of announced engines. An engine with a new
// incarnation has lost its allocations (rule 6).
func (s *State) SetEngines(now time.Time, engines []Engine) {
	for _, e := range s.engines {
		if e.announced {
			e.announced, e.missingSince = false, now
		}
	}
	for _, e := range engines {
		old := s.engines[e.ID]
		if old == nil || old.Incarnation != e.Incarnation {
			s.releaseAll(old)
			old = &engineState{
				cancels: make(map[hingeids.RequestID]*pendingCancel),
				queried: make(map[hingeids.RequestID]bool),
			}
			s.engines[e.ID] = old
		}
		old.Engine, old.announced = e, true
	}
	for id, e := range s.engines {
		if !e.announced && now.Sub(e.missingSince) > engineRetention {
			s.releaseAll(e)
			delete(s.engines, id)
		}
	}
}

// releaseAll drops all cancels of an engine that has restarted or was removed.
func (s *State) releaseAll(e *engineState) {
	if e == nil {
		return
	}
	for _, id := range e.sortedCancels() {
		s.release(e, id)
	}
}

// release drops a cancel and reports an abandoned request as released.
func (s *State) release(e *engineState, id hingeids.RequestID) {
	if e.cancels[id].abandoned {
		s.out.Released = append(s.out.Released, Cancellation{
			Engine: e.ID,
			ID:     id,
		})
	}
	delete(e.cancels, id)
}

// Abandon has an engine release the allocations of an own request. Rule 7.
func (s *State) Abandon(now time.Time, engine hingeids.ServerID, id hingeids.RequestID) {
	e := s.engines[engine]
	if e == nil {
		s.out.Released = append(s.out.Released, Cancellation{
			Engine: engine,
			ID:     id,
		})
		return
	}
	s.scheduleCancel(now, e, id)
	e.cancels[id].abandoned = true
}

func (s *State) scheduleCancel(now time.Time, e *engineState, id hingeids.RequestID) {
	if e.cancels[id] == nil {
		e.cancels[id] = &pendingCancel{
			nextAt: now,
		}
	}
}

// Step returns the polls and cancels that are due together with the output of earlier
// calls, and the time of the next step.
func (s *State) Step(now time.Time) (Output, time.Time) {
	next := now.Add(pollInterval)
	for _, e := range s.sortedEngines() {
		if e.Responsible && e.announced && now.Sub(e.polledAt) >= pollInterval {
			e.polledAt = now
			s.out.Polls = append(s.out.Polls, e.Engine)
		}
		for _, id := range e.sortedCancels() {
			c := e.cancels[id]
			s.sendIfDue(now, e, id, c)
			if c.nextAt.Before(next) {
				next = c.nextAt
			}
		}
	}
	out := s.out
	s.out = Output{}
	return out, next
}

// sendIfDue adds a cancel to the output if its next attempt is due. Rule 6.
func (s *State) sendIfDue(now time.Time, e *engineState, id hingeids.RequestID, c *pendingCancel) {
	if now.Before(c.nextAt) {
		return
	}
	cancellation := Cancellation{
		Engine: e.ID,
		ID:     id,
	}
	s.out.Cancels = append(s.out.Cancels, cancellation)
	if c.attempts++; c.attempts == stuckAttempts {
		s.out.Stuck = append(s.out.Stuck, cancellation)
	}
	wait := firstRetryDelay
	if c.attempts > fastAttempts {
		wait = min(firstRetryDelay<<min(c.attempts-fastAttempts, 10), maxRetryDelay)
	}
	c.nextAt = now.Add(wait)
}

// HandleAllocations processes the result of a poll: it schedules cancels and queries the
// owners. Rules 3 and 4.
func (s *State) HandleAllocations(now time.Time, polled Engine, allocations []Allocation) {
	e := s.engines[polled.ID]
	if e == nil || e.Incarnation != polled.Incarnation {
		return
	}
	clear(e.queried)
	byHost := make(map[hingeids.HostID][]hingeids.RequestID)
	seen := make(map[hingeids.RequestID]bool)
	for _, allocation := range allocations {
		if seen[allocation.ID] {
			continue
		}
		seen[allocation.ID] = true
		if s.record.HasEnded(allocation.ID.Instance) {
			s.scheduleCancel(now, e, allocation.ID)
			continue
		}
		e.queried[allocation.ID] = true
		byHost[allocation.ID.Host] = append(byHost[allocation.ID.Host], allocation.ID)
	}
	for host, ids := range byHost {
		s.out.Queries = append(s.out.Queries, OwnershipQuery{
			Host: host,
			IDs:  ids,
		})
	}
	slices.SortFunc(s.out.Queries, func(a, b OwnershipQuery) int {
		return cmp.Compare(a.Host, b.Host)
	})
}

// HandleQueryReply processes an owner's reply to a query: the instance that replied and
// the queried requests that are in its table. Rule 4.
func (s *State) HandleQueryReply(now time.Time, owner hingeids.Instance, queried, known []hingeids.RequestID) {
	isKnown := make(map[hingeids.RequestID]bool, len(known))
	for _, id := range known {
		isKnown[id] = true
	}
	for _, id := range queried {
		if isKnown[id] || id.Host != owner.Host || id.Incarnation > owner.Incarnation {
			continue
		}
		for _, e := range s.sortedEngines() {
			if e.queried[id] {
				s.scheduleCancel(now, e, id)
			}
		}
	}
}

// HandleCancelled processes an engine's confirmation that it has no allocation left
// for a request. Rule 6.
func (s *State) HandleCancelled(cancellation Cancellation) {
	e := s.engines[cancellation.Engine]
	if e == nil || e.cancels[cancellation.ID] == nil {
		return
	}
	delete(e.queried, cancellation.ID)
	s.release(e, cancellation.ID)
}

func (e *engineState) sortedCancels() []hingeids.RequestID {
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

func (s *State) sortedEngines() []*engineState {
	out := make([]*engineState, 0, len(s.engines))
	for _, e := range s.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engineState) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}
