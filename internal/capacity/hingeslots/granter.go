package hingeslots

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// loan is a pool that this host may grant from.
type loan struct {
	pool       hingeids.HostID
	owner      hingeids.Instance
	serial     uint64
	size       hingeids.Slots
	validUntil time.Time
	book       book
}

func (l *loan) free() int {
	return int(l.size) - len(l.book)
}

// waiter is a request that waits for a slot.
type waiter struct {
	id       hingeids.RequestID
	from     hingeids.Instance
	priority int
	arrival  uint64
	// number is the holder's newest question, heard at heard.
	number uint64
	heard  time.Time
}

// borrow asks for loans while this host looks like the granter, and gives them
// back when it no longer does. Rules 3 and 4.
func (s *State) borrow(now time.Time, e *engineState) {
	granter := s.granterOf(e) == s.life.Host
	for _, h := range s.hosts {
		l := e.loans[h]
		switch {
		case l == nil:
		case !now.Before(l.validUntil):
			delete(e.loans, h)
		case !granter:
			delete(e.loans, h)
			s.send(e, l.owner.Host, Message{
				Kind:   kindGiveBack,
				Pool:   h,
				Serial: l.serial,
				Book:   l.book.wire(now),
			})
		}
	}
	if !granter || now.Before(e.borrowAt) {
		return
	}
	e.borrowAt = now.Add(borrowEvery)
	number := s.ask(now)
	for _, h := range s.hosts {
		s.send(e, h, Message{
			Kind:   kindBorrow,
			Number: number,
			Seen:   e.seenLoans(),
		})
	}
}

func (e *engineState) seenLoans() []seenLoan {
	out := make([]seenLoan, 0, len(e.seen))
	for h, l := range e.seen {
		l.Live = e.loans[h] != nil
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b seenLoan) int {
		return cmp.Compare(a.Pool, b.Pool)
	})
	return out
}

// takeLend takes a loan, or its renewal. A loan seen before and dropped since
// is not taken again: its book is gone. Rule 4.
func (s *State) takeLend(now time.Time, e *engineState, m Message) {
	sent, known := s.sentAt[m.Number]
	until := sent.Add(m.For)
	if !known || !now.Before(until) {
		return
	}
	l := e.loans[m.Pool]
	if l != nil && l.owner == m.From && l.serial == m.Serial {
		if until.After(l.validUntil) {
			l.validUntil = until
		}
		return
	}
	if seen := e.seen[m.Pool]; seen.Owner == m.From && m.Serial <= seen.Serial {
		return
	}
	e.seen[m.Pool] = seenLoan{
		Pool:   m.Pool,
		Serial: m.Serial,
		Owner:  m.From,
	}
	e.loans[m.Pool] = &loan{
		pool:       m.Pool,
		owner:      m.From,
		serial:     m.Serial,
		size:       m.Size,
		validUntil: until,
		book:       readBook(now, m.Book),
	}
}

func (s *State) takeAcquire(now time.Time, e *engineState, m Message) {
	if m.Gone {
		e.waiters = slices.DeleteFunc(e.waiters, func(w *waiter) bool {
			return w.id == m.ID
		})
	}
	for _, one := range m.Waits {
		s.takeWait(now, e, m, one)
	}
}

// takeWait queues a request, or repeats a grant whose message was lost.
func (s *State) takeWait(now time.Time, e *engineState, m Message, one wait) {
	at := slices.IndexFunc(e.waiters, func(w *waiter) bool {
		return w.id == one.ID
	})
	if at >= 0 {
		e.waiters[at].number, e.waiters[at].heard = m.Number, now
		return
	}
	w := &waiter{
		id:       one.ID,
		from:     m.From,
		priority: one.Priority,
		number:   m.Number,
		heard:    now,
	}
	for _, h := range s.hosts {
		if l := e.loans[h]; l != nil && l.book[one.ID] != nil {
			s.grantFrom(now, e, l, w)
			return
		}
	}
	e.arrivals++
	w.arrival = e.arrivals
	s.enqueue(e, w)
}

// enqueue bounds the queue. Under a burst the lowest of those who wait is
// refused at once, while it can still go elsewhere, and not after a wait that
// could only end in nothing. Rule 9.
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
	s.send(e, last.from.Host, Message{
		Kind: kindRefuse,
		ID:   last.id,
	})
}

// grant gives what is free to those who wait, best first. Rule 5.
func (s *State) grant(now time.Time, e *engineState) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w *waiter) bool {
		return now.Sub(w.heard) > waiterLife
	})
	for len(e.waiters) > 0 {
		l := s.mostFree(now, e)
		if l == nil {
			return
		}
		s.grantFrom(now, e, l, e.waiters[0])
		e.waiters = e.waiters[1:]
	}
}

func (s *State) mostFree(now time.Time, e *engineState) *loan {
	var best *loan
	for _, h := range s.hosts {
		l := e.loans[h]
		if l == nil || l.free() <= 0 || l.starts(now) < leastStart {
			continue
		}
		if best == nil || l.free() > best.free() {
			best = l
		}
	}
	return best
}

// starts gives within what time a grant has to start. Rule 6.
func (l *loan) starts(now time.Time) time.Duration {
	return min(startWithin, shorter(l.validUntil.Sub(now)))
}

func (s *State) grantFrom(now time.Time, e *engineState, l *loan, w *waiter) {
	within := l.starts(now)
	if within < leastStart {
		return
	}
	e.serial++
	l.book[w.id] = &entry{
		serial:  e.serial,
		startBy: now.Add(longer(within)),
	}
	s.send(e, w.from.Host, Message{
		Kind:   kindGrant,
		Number: w.number,
		Pool:   l.pool,
		Serial: e.serial,
		For:    within,
		ID:     w.id,
	})
}

// takeRelease frees the slot of a grant. Rule 8.
func (s *State) takeRelease(e *engineState, m Message) {
	for _, l := range e.loans {
		if g := l.book[m.ID]; g != nil && g.serial == m.Serial {
			delete(l.book, m.ID)
		}
	}
	for _, p := range e.pools {
		if g := p.book[m.ID]; g != nil && g.serial == m.Serial && p.open && p.lentTo == (hingeids.Instance{}) {
			delete(p.book, m.ID)
		}
	}
}
