package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// pool is a pool that this host owns. It is opening, open, or delegated.
type pool struct {
	size hingeids.Slots
	// host is the host whose share the pool is: this host, or one that it
	// succeeded.
	host      hingeids.HostID
	open      bool
	occupancy occupancy
	serial    uint64
	// Fields of an opening.
	notBefore        time.Time
	yields           map[hingeids.HostID]bool
	claims           map[hingeids.RequestID]hingeids.HostID
	nextYieldRequest time.Time
	// afterNumber is the last message number before this opening. Answers to
	// messages up to that number are ignored.
	afterNumber uint64
	// Fields of a delegation.
	delegatedTo    hingeids.Instance
	delegatedUntil time.Time
	// needsYields is set if another host may have owned the pool before, so that
	// all other hosts have to yield it.
	needsYields bool
}

// ownerOf returns the instance that owns a pool according to this host's copy of
// the record. Rule 1.
func (s *State) ownerOf(e *engineState, h hingeids.HostID) hingeids.Instance {
	if i, ok := s.view.Recorded[h]; ok {
		return hingeids.Instance{
			Host:        h,
			Incarnation: i,
		}
	}
	var recorded []hingeids.HostID
	for _, o := range s.hosts {
		if _, ok := s.view.Recorded[o]; ok {
			recorded = append(recorded, o)
		}
	}
	successor := rendezvous(recorded, string(e.ID), string(h))
	return hingeids.Instance{
		Host:        successor,
		Incarnation: s.view.Recorded[successor],
	}
}

// updatePools adds the pools that this host has come to own, drops those that it
// no longer owns, and continues openings.
func (s *State) updatePools(now time.Time, e *engineState) {
	for _, h := range s.hosts {
		p := e.pools[h]
		owned := s.ownerOf(e, h) == s.instance
		switch {
		case owned && p == nil:
			e.pools[h] = s.newPool(now, e, h)
		case !owned && p != nil && !p.isDelegated(now):
			delete(e.pools, h) // A delegated pool is kept until the delegation ends; it may not be yielded earlier.
		}
		if p = e.pools[h]; p != nil && owned {
			s.continueOpening(now, e, p)
		}
	}
}

// openEngines returns the engines of which this host has an open pool.
func (s *State) openEngines() map[Engine]bool {
	out := make(map[Engine]bool)
	for _, e := range s.engines {
		for _, p := range e.pools {
			if p.open {
				out[e.Engine] = true
			}
		}
	}
	return out
}

func (s *State) newPool(now time.Time, e *engineState, h hingeids.HostID) *pool {
	p := &pool{
		size:        poolSize(e.Engine, s.hosts, h),
		host:        h,
		occupancy:   make(occupancy),
		needsYields: true,
	}
	p.startOpening(now.Add(addClockMargin(openingDelay)), s.number)
	return p
}

// startOpening begins an opening, which can't complete before notBefore. Rule 7.
func (p *pool) startOpening(notBefore time.Time, afterNumber uint64) {
	p.open = false
	p.afterNumber = afterNumber
	p.notBefore = notBefore.Add(visibilityDelay)
	p.yields = make(map[hingeids.HostID]bool)
	p.claims = make(map[hingeids.RequestID]hingeids.HostID)
	p.delegatedTo = hingeids.Instance{}
}

func (p *pool) isDelegated(now time.Time) bool {
	return p.delegatedTo != hingeids.Instance{} && now.Before(p.delegatedUntil)
}

// continueOpening requests yields and claims from the other hosts. A delegation
// that expired without being returned starts an opening, since the pool's
// occupancy is out of date.
func (s *State) continueOpening(now time.Time, e *engineState, p *pool) {
	if p.open {
		if p.delegatedTo == (hingeids.Instance{}) || p.isDelegated(now) {
			return
		}
		p.startOpening(now, s.number)
	}
	if now.Before(p.nextYieldRequest) || s.allYielded(p) {
		return
	}
	p.nextYieldRequest = now.Add(queryInterval)
	number := s.nextNumber(now)
	for _, h := range s.hosts {
		if h == s.instance.Host || p.yields[h] {
			continue
		}
		s.send(e, h, Message{
			Kind:   kindRequestYield,
			Number: number,
			Pool:   p.host,
		})
	}
}

// allYielded reports whether every other recorded host has yielded the pool.
func (s *State) allYielded(p *pool) bool {
	for h := range s.view.Recorded {
		if h != s.instance.Host && !p.yields[h] {
			return false
		}
	}
	return true
}

// handleYieldRequest yields a pool to its recorded owner, unless the pool is still
// delegated, and claims the slots that this host holds from any pool.
func (s *State) handleYieldRequest(now time.Time, e *engineState, m Message) {
	if s.ownerOf(e, m.Pool) != m.From {
		return // One of the two hosts has an outdated record; the sender repeats the request.
	}
	if p := e.pools[m.Pool]; p != nil {
		if p.isDelegated(now) {
			return
		}
		delete(e.pools, m.Pool)
	}
	answer := Message{
		Kind:   kindYield,
		Number: m.Number,
		Pool:   m.Pool,
	}
	for id, r := range e.requests {
		if r.granted {
			answer.Claims = append(answer.Claims, claim{
				ID:   id,
				Pool: r.pool,
			})
		}
	}
	s.send(e, m.From.Host, answer)
}

// handleYield records that a host does not own a pool, and its claims. Only an
// engine query sent after that and the visibility delay can complete the opening.
func (s *State) handleYield(now time.Time, e *engineState, m Message) {
	p := e.pools[m.Pool]
	if p == nil || p.open || m.Number <= p.afterNumber || p.yields[m.From.Host] {
		return
	}
	if s.view.Recorded[m.From.Host] != m.From.Incarnation {
		return
	}
	p.yields[m.From.Host] = true
	for _, c := range m.Claims {
		p.claims[c.ID] = c.Pool
	}
	if after := now.Add(visibilityDelay); p.needsYields && after.After(p.notBefore) {
		p.notBefore = after
	}
}

// reconcile opens a pool or frees the slots of completed requests, by the list of
// requests that the engine held at queriedAt. Rules 6 and 7.
func (s *State) reconcile(
	e *engineState, p *pool, queriedAt time.Time, held map[hingeids.RequestID]bool,
) {
	if p.open {
		if p.delegatedTo == (hingeids.Instance{}) {
			p.occupancy.removeUnheld(queriedAt, held)
		}
		return
	}
	if !queriedAt.After(p.notBefore) || p.needsYields && !s.allYielded(p) {
		return
	}
	for id, r := range e.requests {
		if r.granted {
			p.claims[id] = r.pool
		}
	}
	p.occupancy = make(occupancy)
	for id := range held {
		if pool, claimed := p.claims[id]; !claimed || pool == p.host {
			// A response to an earlier query may still arrive; it would lack this
			// request.
			p.occupancy[id] = &reservation{
				startBy: queriedAt,
			}
		}
	}
	p.open = true
	p.needsYields = false
}

// handleDelegationRequest delegates every open pool to the sender, or renews its
// delegations. Rule 4.
func (s *State) handleDelegationRequest(now time.Time, e *engineState, m Message) {
	seen := make(map[hingeids.HostID]seenDelegation, len(m.Seen))
	for _, d := range m.Seen {
		if d.Owner == s.instance {
			seen[d.Pool] = d
		}
	}
	duration := min(delegationLease, subtractClockMargin(s.view.LeaseUntil.Sub(now)))
	if duration <= 0 {
		return // The lease has expired: rule 2.
	}
	for _, h := range s.hosts {
		p := e.pools[h]
		if p == nil || !p.open || s.ownerOf(e, h) != s.instance {
			continue
		}
		if p.delegatedTo != (hingeids.Instance{}) && p.delegatedTo != m.From {
			continue
		}
		s.delegate(now, e, p, m, seen[h], duration)
	}
}

func (s *State) delegate(
	now time.Time, e *engineState, p *pool, m Message, seen seenDelegation, duration time.Duration,
) {
	answer := Message{
		Kind:     kindDelegate,
		Number:   m.Number,
		Pool:     p.host,
		Duration: duration,
		Size:     p.size,
	}
	if p.delegatedTo == (hingeids.Instance{}) {
		e.serial++
		p.serial = e.serial
		p.delegatedTo = m.From
		p.delegatedUntil = now
	} else if !p.isDelegated(now) || seen.Serial == p.serial && !seen.Active {
		return // The delegate has lost the occupancy: the delegation has to expire and the pool to be reopened.
	}
	answer.Serial = p.serial
	if seen.Serial != p.serial {
		answer.Occupancy = p.occupancy.toWire(now) // The delegate has not received this delegation.
	}
	if until := now.Add(addClockMargin(duration)); until.After(p.delegatedUntil) {
		p.delegatedUntil = until
	}
	s.send(e, m.From.Host, answer)
}

// handleReturn takes a delegated pool back, with its occupancy.
func (s *State) handleReturn(now time.Time, e *engineState, m Message) {
	p := e.pools[m.Pool]
	if p == nil || !p.open || p.delegatedTo != m.From || p.serial != m.Serial || !p.isDelegated(now) {
		return
	}
	p.occupancy = occupancyFromWire(now, m.Occupancy)
	p.delegatedTo = hingeids.Instance{}
}
