package hingeslots

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// delegation is a pool from which this host may grant slots.
type delegation struct {
	pool       hingeids.HostID
	owner      hingeids.Instance
	serial     uint64
	size       hingeids.Slots
	validUntil time.Time
	occupancy  occupancy
}

func (d *delegation) free() int {
	return int(d.size) - len(d.occupancy)
}

type waiter struct {
	id       hingeids.RequestID
	holder   hingeids.Instance
	priority int
	arrival  uint64
	// number is the number of the holder's latest acquire message, received at
	// lastSeen.
	number   uint64
	lastSeen time.Time
}

// requestDelegations requests delegations while this host considers itself the
// allocator, and returns them once it no longer does. Rules 3 and 4.
func (s *State) requestDelegations(now time.Time, e *engineState) {
	isAllocator := s.allocatorOf(e) == s.instance.Host
	for _, h := range s.hosts {
		d := e.delegations[h]
		switch {
		case d == nil:
		case !now.Before(d.validUntil):
			delete(e.delegations, h)
		case !isAllocator:
			delete(e.delegations, h)
			s.send(e, d.owner.Host, Message{
				Kind:      kindReturn,
				Pool:      h,
				Serial:    d.serial,
				Occupancy: d.occupancy.toWire(now),
			})
		}
	}
	if !isAllocator || now.Before(e.nextDelegationRequest) {
		return
	}
	e.nextDelegationRequest = now.Add(delegationInterval)
	number := s.nextNumber(now)
	for _, h := range s.hosts {
		s.send(e, h, Message{
			Kind:   kindRequestDelegation,
			Number: number,
			Seen:   e.seenDelegations(),
		})
	}
}

func (e *engineState) seenDelegations() []seenDelegation {
	out := make([]seenDelegation, 0, len(e.seen))
	for h, d := range e.seen {
		d.Active = e.delegations[h] != nil
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b seenDelegation) int {
		return cmp.Compare(a.Pool, b.Pool)
	})
	return out
}

// handleDelegation accepts a delegation or its renewal. A delegation that was
// received before and has been dropped is not accepted again, since its occupancy
// is lost. Rule 4.
func (s *State) handleDelegation(now time.Time, e *engineState, m Message) {
	sentAt, known := s.sentAt[m.Number]
	until := sentAt.Add(m.Duration)
	if !known || !now.Before(until) {
		return
	}
	d := e.delegations[m.Pool]
	if d != nil && d.owner == m.From && d.serial == m.Serial {
		if until.After(d.validUntil) {
			d.validUntil = until
		}
		return
	}
	if seen := e.seen[m.Pool]; seen.Owner == m.From && m.Serial <= seen.Serial {
		return
	}
	e.seen[m.Pool] = seenDelegation{
		Pool:   m.Pool,
		Serial: m.Serial,
		Owner:  m.From,
	}
	e.delegations[m.Pool] = &delegation{
		pool:       m.Pool,
		owner:      m.From,
		serial:     m.Serial,
		size:       m.Size,
		validUntil: until,
		occupancy:  occupancyFromWire(now, m.Occupancy),
	}
}

func (s *State) handleAcquire(now time.Time, e *engineState, m Message) {
	if m.Withdrawn {
		e.waiters = slices.DeleteFunc(e.waiters, func(w *waiter) bool {
			return w.id == m.ID
		})
	}
	for _, pending := range m.Waiting {
		s.handleWait(now, e, m, pending)
	}
}

// handleWait queues a request, or repeats a grant whose message was lost.
func (s *State) handleWait(now time.Time, e *engineState, m Message, pending waitingRequest) {
	index := slices.IndexFunc(e.waiters, func(w *waiter) bool {
		return w.id == pending.ID
	})
	if index >= 0 {
		e.waiters[index].number, e.waiters[index].lastSeen = m.Number, now
		return
	}
	w := &waiter{
		id:       pending.ID,
		holder:   m.From,
		priority: pending.Priority,
		number:   m.Number,
		lastSeen: now,
	}
	for _, h := range s.hosts {
		if d := e.delegations[h]; d != nil && d.occupancy[pending.ID] != nil {
			s.grantFrom(now, e, d, w)
			return
		}
	}
	e.arrivals++
	w.arrival = e.arrivals
	s.enqueue(e, w)
}

// enqueue adds a waiter and keeps the queue bounded. If the queue is full, the
// waiter of lowest priority is refused at once, while it can still be placed
// elsewhere. Rule 9.
func (s *State) enqueue(e *engineState, w *waiter) {
	at, _ := slices.BinarySearchFunc(e.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	e.waiters = slices.Insert(e.waiters, at, w)
	if len(e.waiters) <= maxWaiters {
		return
	}
	last := e.waiters[maxWaiters]
	e.waiters = e.waiters[:maxWaiters]
	s.send(e, last.holder.Host, Message{
		Kind: kindRefuse,
		ID:   last.id,
	})
}

// grant assigns the free slots to the waiters in queue order. Rule 5.
func (s *State) grant(now time.Time, e *engineState) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w *waiter) bool {
		return now.Sub(w.lastSeen) > waiterTimeout
	})
	for len(e.waiters) > 0 {
		d := s.mostFree(now, e)
		if d == nil {
			return
		}
		s.grantFrom(now, e, d, e.waiters[0])
		e.waiters = e.waiters[1:]
	}
}

func (s *State) mostFree(now time.Time, e *engineState) *delegation {
	var best *delegation
	for _, h := range s.hosts {
		d := e.delegations[h]
		if d == nil || d.free() <= 0 || d.startTimeout(now) < minStartTimeout {
			continue
		}
		if best == nil || d.free() > best.free() {
			best = d
		}
	}
	return best
}

// startTimeout returns the time within which a new grant must start. Rule 6.
func (d *delegation) startTimeout(now time.Time) time.Duration {
	return min(maxStartTimeout, subtractClockMargin(d.validUntil.Sub(now)))
}

func (s *State) grantFrom(now time.Time, e *engineState, d *delegation, w *waiter) {
	timeout := d.startTimeout(now)
	if timeout < minStartTimeout {
		return
	}
	e.serial++
	d.occupancy[w.id] = &reservation{
		serial:  e.serial,
		startBy: now.Add(addClockMargin(timeout)),
	}
	s.send(e, w.holder.Host, Message{
		Kind:     kindGrant,
		Number:   w.number,
		Pool:     d.pool,
		Serial:   e.serial,
		Duration: timeout,
		ID:       w.id,
	})
}

// handleRelease frees the slot of a grant. Rule 8.
func (s *State) handleRelease(e *engineState, m Message) {
	for _, d := range e.delegations {
		if g := d.occupancy[m.ID]; g != nil && g.serial == m.Serial {
			delete(d.occupancy, m.ID)
		}
	}
	for _, p := range e.pools {
		if g := p.occupancy[m.ID]; g != nil && g.serial == m.Serial && p.open && p.delegatedTo == (hingeids.Instance{}) {
			delete(p.occupancy, m.ID)
		}
	}
}
