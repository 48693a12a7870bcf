// Package hingeorders sends engines orders to load models, versions and adapters
// and to change their role, as the operators' configuration requires. State is the
// pure part; Orders runs it.
//
//  1. Only the holder of the lease issues orders. Their fencing number is the term of
//     the lease. An engine that checks fencing numbers refuses an order with a lower
//     number than it has seen.
//  2. An order completes or expires within the order timeout: it is answered, or its
//     connection is closed and it can no longer reach the engine. No order is sent
//     that might outlast the lease.
//  3. A new holder sends nothing to an engine that doesn't check fencing numbers for
//     one order timeout, extended by the clock margin. By then the previous holder's
//     last order has expired.
//  4. The holder then queries the engine's state before its first order, and again
//     after each order. The effect of an unanswered order is never assumed.
//  5. An engine is sent one order at a time. The next order waits until the previous
//     one has completed or expired, so that an earlier order never takes effect after
//     a later one.
//  6. Loads of weights start one after the other, each when the store has had time to
//     serve the loads before it: loads that share the store's rate would all finish
//     late. A load that an engine reports is counted, whoever ordered it.
//  7. An engine that reports a stale fencing number has seen a newer holder. Nothing
//     more is sent under this lease.
//  8. An engine that refuses an order for another reason is sent no orders until a
//     backoff has passed.
package hingeorders

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Lease is the permission to issue orders.
type Lease struct {
	// Held is set if this host holds the lease, with Fence as its term, until
	// Until.
	Held  bool
	Fence hingeids.Fence
	Until time.Time
}

// Settings are the limits that apply to orders.
type Settings struct {
	// OrderTimeout is the time after its sending at which an order can no longer take
	// effect.
	OrderTimeout time.Duration
	// StoreRate is the rate of the weight store; zero means no limit.
	StoreRate hingeids.BytesPerSecond
}

const (
	queryInterval = time.Second
	// steadyQueryInterval is the query interval of an engine whose state is known
	// and that isn't loading.
	steadyQueryInterval = 15 * time.Second
	// refusalBackoff is the minimum time between a refusal and the next order.
	refusalBackoff = 5 * time.Second
	// clockMargin is a divisor: a duration is extended by a tenth, which allows
	// each clock an error of a twentieth.
	clockMargin = 10
)

func addClockMargin(d time.Duration) time.Duration {
	return d + d/clockMargin
}

// IssuedOrder is an order to be sent at once, with its fencing number.
type IssuedOrder struct {
	Engine Engine
	Fence  hingeids.Fence
	Number uint64
	Order  Order
}

// Output holds the queries and orders that result from a step.
type Output struct {
	// Query are engines to query for their state. The response is passed to
	// HandleState.
	Query []Engine
	Send  []IssuedOrder
}

// Outcome is the result of sending an order.
type Outcome uint8

// The outcomes. An unanswered order may or may not have taken effect.
const (
	Unanswered Outcome = iota
	Accepted
	Refused
	StaleFence
)

// State decides which orders to issue. It is not safe for concurrent use.
type State struct {
	settings Settings
	fence    hingeids.Fence
	// replaced is set if a newer holder of the lease is known to exist.
	replaced bool
	desired  []DesiredState
	engines  map[hingeids.ServerID]*engineState
	number   uint64
	// storeFreeAt is the time at which the store has served all loads started so
	// far.
	storeFreeAt time.Time
}

type engineState struct {
	Engine
	// blockedUntil is the time before which the engine is neither queried nor sent
	// orders.
	blockedUntil time.Time
	queriedAt    time.Time
	known        bool
	actual       ActualState
	inFlight     *inflightOrder
}

type inflightOrder struct {
	number    uint64
	expiresAt time.Time
}

// NewState returns a State without engines and desired states.
func NewState(s Settings) *State {
	return &State{
		settings: s,
		engines:  make(map[hingeids.ServerID]*engineState),
	}
}

// SetStoreRate sets the rate of the weight store; zero means no limit.
func (s *State) SetStoreRate(r hingeids.BytesPerSecond) {
	s.settings.StoreRate = r
}

// SetDesired sets the desired states of engines, in order of decreasing urgency.
func (s *State) SetDesired(desired []DesiredState) {
	s.desired = desired
}

// SetEngines sets the announced engines. The state of an engine with a new
// incarnation is reset.
func (s *State) SetEngines(now time.Time, engines []Engine) {
	announced := make(map[hingeids.ServerID]bool)
	for _, e := range engines {
		announced[e.ID] = true
		if old := s.engines[e.ID]; old == nil || old.Engine != e {
			s.engines[e.ID] = s.newEngineState(now, e, false)
		}
	}
	for id := range s.engines {
		if !announced[id] {
			delete(s.engines, id)
		}
	}
}

// newEngineState blocks the engine until all orders that may still reach it
// have expired. Under a new lease an engine that checks fencing numbers needs
// no wait (rule 1). One that is announced again under the same lease does,
// since all orders of a lease have the same number (rule 5).
func (s *State) newEngineState(now time.Time, e Engine, underNewLease bool) *engineState {
	until := now
	if !underNewLease || !e.ChecksFence {
		until = now.Add(addClockMargin(s.settings.OrderTimeout))
	}
	return &engineState{
		Engine:       e,
		blockedUntil: until,
	}
}

// Step returns the queries and orders that are possible under the lease.
func (s *State) Step(now time.Time, l Lease) Output {
	var out Output
	if !l.Held || !now.Before(l.Until) {
		return out
	}
	if l.Fence != s.fence {
		s.startTerm(now, l.Fence)
	}
	if s.replaced {
		return out
	}
	for _, e := range s.sortedEngines() {
		s.expireInflight(now, e)
		if s.needsQuery(now, e) {
			e.queriedAt = now
			out.Query = append(out.Query, e.Engine)
		}
	}
	for _, desired := range s.desired {
		if e := s.engines[desired.Engine]; e != nil && e.ready(now) {
			s.issueOrder(now, l, e, desired, &out)
		}
	}
	return out
}

func (s *State) startTerm(now time.Time, f hingeids.Fence) {
	s.fence, s.replaced, s.storeFreeAt = f, false, time.Time{}
	for id, e := range s.engines {
		s.engines[id] = s.newEngineState(now, e.Engine, true)
	}
}

// expireInflight removes an order that can no longer take effect. Rules 2 and 5.
func (s *State) expireInflight(now time.Time, e *engineState) {
	if e.inFlight != nil && !now.Before(e.inFlight.expiresAt) {
		e.inFlight, e.known = nil, false
	}
}

func (s *State) needsQuery(now time.Time, e *engineState) bool {
	if e.inFlight != nil || now.Before(e.blockedUntil) {
		return false
	}
	interval := queryInterval
	if e.known && !e.actual.Loading {
		interval = steadyQueryInterval
	}
	return now.Sub(e.queriedAt) >= interval
}

func (e *engineState) ready(now time.Time) bool {
	return e.known && e.inFlight == nil && !e.actual.Loading && !now.Before(e.blockedUntil)
}

func (s *State) issueOrder(now time.Time, l Lease, e *engineState, desired DesiredState, out *Output) {
	o, needed := nextOrder(desired, e.actual)
	if !needed {
		return
	}
	expiry := now.Add(addClockMargin(s.settings.OrderTimeout))
	if expiry.After(l.Until) {
		return // The order might outlast the lease: rule 2.
	}
	if !s.reserveStore(now, o.Bytes) {
		return
	}
	s.number++
	e.inFlight = &inflightOrder{
		number:    s.number,
		expiresAt: expiry,
	}
	out.Send = append(out.Send, IssuedOrder{
		Engine: e.Engine,
		Fence:  s.fence,
		Number: s.number,
		Order:  o,
	})
}

// reserveStore reserves the store for a load, and returns false if the store is
// busy. Rule 6.
func (s *State) reserveStore(now time.Time, b hingeids.Bytes) bool {
	if b == 0 || s.settings.StoreRate == 0 {
		return true
	}
	if now.Before(s.storeFreeAt) {
		return false
	}
	s.storeFreeAt = now.Add(s.fetchTime(b))
	return true
}

func (s *State) fetchTime(b hingeids.Bytes) time.Duration {
	if s.settings.StoreRate == 0 {
		return 0
	}
	return time.Duration(float64(b) / float64(s.settings.StoreRate) * float64(time.Second))
}

// HandleState processes the state that an engine returned to a query sent at
// queriedAt. A state read while an order was in flight is ignored, since it may
// predate the order.
func (s *State) HandleState(now, queriedAt time.Time, of Engine, actual ActualState) {
	e := s.engines[of.ID]
	if e == nil || e.Engine != of || e.inFlight != nil || queriedAt.Before(e.blockedUntil) || queriedAt.Before(e.queriedAt) {
		return
	}
	e.known, e.actual = true, actual
	if freeAt := now.Add(s.fetchTime(actual.BytesRemaining)); actual.Loading && freeAt.After(s.storeFreeAt) {
		s.storeFreeAt = freeAt
	}
}

// HandleOutcome processes the outcome of an order. An unanswered order stays in
// flight until it expires.
func (s *State) HandleOutcome(now time.Time, issued IssuedOrder, o Outcome) {
	if issued.Fence != s.fence {
		return
	}
	if o == StaleFence {
		s.replaced = true // Rule 7.
		return
	}
	e := s.engines[issued.Engine.ID]
	if e == nil || e.inFlight == nil || e.inFlight.number != issued.Number || o == Unanswered {
		return
	}
	e.inFlight, e.known = nil, false
	e.blockedUntil, e.queriedAt = now, time.Time{}
	if o == Refused {
		e.blockedUntil = now.Add(refusalBackoff) // Rule 8.
	}
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
