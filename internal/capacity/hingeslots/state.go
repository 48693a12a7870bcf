package hingeslots

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Timing of delegations and grants. A delegation survives the loss of three
// renewals; together with visibilityDelay it bounds how long a pool is unused
// after its allocator has crashed.
const (
	delegationLease    = 1500 * time.Millisecond
	delegationInterval = 400 * time.Millisecond
	// clockMargin is a divisor: a duration is corrected by a tenth, which allows
	// each clock an error of a twentieth.
	clockMargin = 10
	// maxStartTimeout is the longest time that a holder has to start a granted
	// request. Requests are sent at once; the time allows for a busy holder.
	maxStartTimeout = time.Second
	// minStartTimeout is the shortest start timeout with which a slot is granted.
	minStartTimeout = 100 * time.Millisecond
	// visibilityDelay is how long a request that was sent may take to appear in
	// the engine's list of held requests.
	visibilityDelay = 500 * time.Millisecond
	// openingDelay exceeds every delegation and lease that was issued for an
	// earlier instance.
	openingDelay = delegationLease + delegationLease/clockMargin
	// queryInterval is the interval of queries to an engine with opening pools,
	// and of yield requests. staleQueryInterval is that of queries about grants
	// that should be visible at the engine.
	queryInterval      = 500 * time.Millisecond
	staleQueryInterval = time.Second
	// acquireInterval is how often a holder repeats a waiting request. A waiter
	// that was not repeated within waiterTimeout is removed.
	acquireInterval = 300 * time.Millisecond
	waiterTimeout   = 1200 * time.Millisecond
	stepInterval    = 100 * time.Millisecond
)

// engineRetention is how long the state of an engine that is no longer announced
// is kept.
const engineRetention = 10 * time.Minute

// maxWaiters bounds the queue of one engine. With 20 slots and requests of a few
// seconds, requests further back would wait longer than callers do.
const maxWaiters = 256

// View is the part of the membership view that slot allocation needs.
type View struct {
	// Alive are the zone's hosts that appear alive. It may be wrong or outdated.
	Alive []hingeids.HostID
	// Recorded holds the zone's recorded instances that have not ended.
	Recorded map[hingeids.HostID]hingeids.Incarnation
	// LeaseUntil is the time at which this host's lease expires.
	LeaseUntil time.Time
}

// Result is the outcome of a request for a slot.
type Result struct {
	ID     hingeids.RequestID
	Engine hingeids.ServerID
	// Granted is set if the request may be sent, provided that it starts before
	// StartBy. Otherwise the request was refused, because the queues are full or,
	// if Engine is empty, because an engine restarted.
	Granted bool
	StartBy time.Time
}

// Output holds the messages, results and queries that result from a call.
type Output struct {
	Send    []Outgoing
	Results []Result
	// QueryHeld are engines to query for the requests they hold. The response is
	// passed to HandleHeld.
	QueryHeld []Engine
}

// State is one host's part in the slot allocation of its zone: owner of pools,
// allocator of engines, and holder of grants. It is not safe for concurrent use.
type State struct {
	instance hingeids.Instance
	hosts    []hingeids.HostID
	view     View
	engines  map[hingeids.ServerID]*engineState
	// ordered holds the engines sorted by ID.
	ordered []*engineState
	number  uint64
	sentAt  map[uint64]time.Time
	local   []Message
	out     Output
}

type engineState struct {
	Engine
	// announced is the time at which the engine was last announced.
	announced             time.Time
	pools                 map[hingeids.HostID]*pool
	delegations           map[hingeids.HostID]*delegation
	seen                  map[hingeids.HostID]seenDelegation
	waiters               []*waiter
	requests              map[hingeids.RequestID]*request
	serial                uint64
	arrivals              uint64
	nextDelegationRequest time.Time
	queriedAt             time.Time
}

// NewState returns the state of a host instance. The hosts are all entry hosts of
// its zone from the settings, including this one.
func NewState(instance hingeids.Instance, hosts []hingeids.HostID) *State {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	return &State{
		instance: instance,
		// An answer to an earlier instance must not match a number of this one, so
		// each instance starts at a different number.
		number:  instanceSeed(instance, ""),
		hosts:   sorted,
		engines: make(map[hingeids.ServerID]*engineState),
		sentAt:  make(map[uint64]time.Time),
	}
}

// SetEngines sets the decode engines of the zone. A new incarnation resets an
// engine's state. The state of an unannounced engine is kept for
// engineRetention and while it has requests, or this host would return grants
// whose requests still run.
func (s *State) SetEngines(now time.Time, engines []Engine) {
	for _, e := range engines {
		old := s.engines[e.ID]
		if old != nil && old.Incarnation == e.Incarnation {
			old.announced = now
			continue
		}
		s.failWaiting(old)
		s.engines[e.ID] = s.newEngineState(now, e)
	}
	for id, e := range s.engines {
		if now.Sub(e.announced) > engineRetention && len(e.requests) == 0 {
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

func (s *State) newEngineState(now time.Time, e Engine) *engineState {
	return &engineState{
		Engine:      e,
		announced:   now,
		pools:       make(map[hingeids.HostID]*pool),
		delegations: make(map[hingeids.HostID]*delegation),
		seen:        make(map[hingeids.HostID]seenDelegation),
		requests:    make(map[hingeids.RequestID]*request),
		// Serials of different allocators must differ. Otherwise a release meant
		// for one allocator could free a slot granted by another.
		serial: instanceSeed(s.instance, string(e.ID)),
	}
}

// failWaiting fails the requests that wait at an engine that has restarted, and
// withdraws them at other engines, so that they are placed again.
func (s *State) failWaiting(e *engineState) {
	if e == nil {
		return
	}
	for _, id := range e.waiting() {
		s.releaseOthers(e, id)
		s.out.Results = append(s.out.Results, Result{
			ID: id,
		})
	}
}

// SetView sets the current membership view.
func (s *State) SetView(v View) {
	s.view = v
}

// allocatorOf chooses by this host's view. Rule 3.
func (s *State) allocatorOf(e *engineState) hingeids.HostID {
	return rendezvous(s.view.Alive, string(e.ID))
}

// Step performs all periodic work. It should be called every stepInterval.
func (s *State) Step(now time.Time) Output {
	s.removeExpiredNumbers(now)
	return s.stepThese(now, s.ordered...)
}

func (s *State) stepThese(now time.Time, engines ...*engineState) Output {
	for _, e := range engines {
		s.updatePools(now, e)
		s.requestDelegations(now, e)
		s.requestSlots(now, e)
		s.queryHeld(now, e)
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

// Receive handles a message from another host.
func (s *State) Receive(now time.Time, m Message) Output {
	e := s.engines[m.Engine]
	if e == nil {
		return Output{}
	}
	s.handle(now, m)
	return s.stepThese(now, e)
}

func (s *State) handle(now time.Time, m Message) {
	e := s.engines[m.Engine]
	if e == nil || e.Incarnation != m.Incarnation {
		return
	}
	switch m.Kind {
	case kindRequestDelegation:
		s.handleDelegationRequest(now, e, m)
	case kindDelegate:
		s.handleDelegation(now, e, m)
	case kindReturn:
		s.handleReturn(now, e, m)
	case kindRequestYield:
		s.handleYieldRequest(now, e, m)
	case kindYield:
		s.handleYield(now, e, m)
	case kindAcquire:
		s.handleAcquire(now, e, m)
	case kindGrant:
		s.handleGrant(now, e, m)
	case kindRefuse:
		s.handleRefusal(e, m)
	case kindRelease:
		s.handleRelease(e, m)
	}
}

// send queues a message to another host, or to this host without using the link.
func (s *State) send(e *engineState, to hingeids.HostID, m Message) {
	m.From = s.instance
	m.Engine = e.ID
	m.Incarnation = e.Incarnation
	if to == s.instance.Host {
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
		s.handle(now, m)
	}
}

// nextNumber returns a new message number and records its time, so that a lease in
// the answer can be counted from the sending of the message.
func (s *State) nextNumber(now time.Time) uint64 {
	s.number++
	s.sentAt[s.number] = now
	return s.number
}

// removeExpiredNumbers removes the numbers of messages whose answers would arrive
// too late to be used.
func (s *State) removeExpiredNumbers(now time.Time) {
	for n, at := range s.sentAt {
		if now.Sub(at) > 2*delegationLease {
			delete(s.sentAt, n)
		}
	}
}
