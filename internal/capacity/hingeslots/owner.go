package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// pool is a pool that this host owns. It is opening, open or lent.
type pool struct {
	size hingeids.Slots
	// host is whose pool it is, this host's own or an inherited one.
	host   hingeids.HostID
	open   bool
	book   book
	serial uint64
	// opening
	notBefore time.Time
	yields    map[hingeids.HostID]bool
	claims    map[hingeids.RequestID]hingeids.HostID
	askAt     time.Time
	// askedFrom is the number before the first question of this opening: answers
	// to earlier ones don't count.
	askedFrom uint64
	// lent
	lentTo    hingeids.Instance
	lentUntil time.Time
	// mustYield says that another may have owned it before: all others must yield.
	mustYield bool
}

// ownerOf gives the life that owns a pool by the record as known here. Rule 1.
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
	heir := rendezvous(recorded, string(e.ID), string(h))
	return hingeids.Instance{
		Host:        heir,
		Incarnation: s.view.Recorded[heir],
	}
}

// own takes up pools that became this host's, drops those that are no longer,
// and goes on with openings.
func (s *State) own(now time.Time, e *engineState) {
	for _, h := range s.hosts {
		p := e.pools[h]
		mine := s.ownerOf(e, h) == s.life
		switch {
		case mine && p == nil:
			e.pools[h] = s.begin(now, e, h)
		case !mine && p != nil && !p.isLent(now):
			delete(e.pools, h) // One that is lent stays until its loan is over: only then is it yielded.
		}
		if p = e.pools[h]; p != nil && mine {
			s.goOnOpening(now, e, p)
		}
	}
}

// openEngines are the engines of which this host has an open pool.
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

func (s *State) begin(now time.Time, e *engineState, h hingeids.HostID) *pool {
	p := &pool{
		size:      share(e.Engine, s.hosts, h),
		host:      h,
		book:      make(book),
		mustYield: true,
	}
	p.reopen(now.Add(longer(quarantine)), s.number)
	return p
}

// reopen begins an opening: nothing before the given time. Rule 7.
func (p *pool) reopen(notBefore time.Time, askedFrom uint64) {
	p.open = false
	p.askedFrom = askedFrom
	p.notBefore = notBefore.Add(showWithin)
	p.yields = make(map[hingeids.HostID]bool)
	p.claims = make(map[hingeids.RequestID]hingeids.HostID)
	p.lentTo = hingeids.Instance{}
}

func (p *pool) isLent(now time.Time) bool {
	return p.lentTo != hingeids.Instance{} && now.Before(p.lentUntil)
}

// goOnOpening asks others to yield and to claim. A loan that ended without being
// given back starts an opening: its book is out of date.
func (s *State) goOnOpening(now time.Time, e *engineState, p *pool) {
	if p.open {
		if p.lentTo == (hingeids.Instance{}) || p.isLent(now) {
			return
		}
		p.reopen(now, s.number)
	}
	if now.Before(p.askAt) || s.yielded(p) {
		return
	}
	p.askAt = now.Add(askEvery)
	number := s.ask(now)
	for _, h := range s.hosts {
		if h == s.life.Host || p.yields[h] {
			continue
		}
		s.send(e, h, Message{
			Kind:   kindAskYield,
			Number: number,
			Pool:   p.host,
		})
	}
}

// yielded reports that every other recorded host has answered.
func (s *State) yielded(p *pool) bool {
	for h := range s.view.Recorded {
		if h != s.life.Host && !p.yields[h] {
			return false
		}
	}
	return true
}

// takeAskYield gives up a pool to whom the record shows as its owner, once no
// loan of it is out, and claims what this host holds from other pools.
func (s *State) takeAskYield(now time.Time, e *engineState, m Message) {
	if s.ownerOf(e, m.Pool) != m.From {
		return // One of us has an older record; it asks again.
	}
	if p := e.pools[m.Pool]; p != nil {
		if p.isLent(now) {
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
			answer.Claim = append(answer.Claim, claim{
				ID:   id,
				Pool: r.pool,
			})
		}
	}
	s.send(e, m.From.Host, answer)
}

// takeYield takes that a host does not own a pool, and what it claims. The
// engine is asked only after that and the time that a request takes to show.
func (s *State) takeYield(now time.Time, e *engineState, m Message) {
	p := e.pools[m.Pool]
	if p == nil || p.open || m.Number <= p.askedFrom || p.yields[m.From.Host] {
		return
	}
	if s.view.Recorded[m.From.Host] != m.From.Incarnation {
		return
	}
	p.yields[m.From.Host] = true
	for _, c := range m.Claim {
		p.claims[c.ID] = c.Pool
	}
	if after := now.Add(showWithin); p.mustYield && after.After(p.notBefore) {
		p.notBefore = after
	}
}

// takeHeldFor opens a pool, or frees what is gone. Rules 6 and 7.
func (s *State) takeHeldFor(
	e *engineState, p *pool, asked time.Time, held map[hingeids.RequestID]bool,
) {
	if p.open {
		if p.lentTo == (hingeids.Instance{}) {
			p.book.settle(asked, held)
		}
		return
	}
	if !asked.After(p.notBefore) || p.mustYield && !s.yielded(p) {
		return
	}
	for id, r := range e.requests {
		if r.granted {
			p.claims[id] = r.pool
		}
	}
	p.book = make(book)
	for id := range held {
		if pool, claimed := p.claims[id]; !claimed || pool == p.host {
			// An answer to an earlier question may still come, and would not show it.
			p.book[id] = &entry{
				startBy: asked,
			}
		}
	}
	p.open = true
	p.mustYield = false
}

// takeBorrow lends every open pool to who asks, or renews its loans. Rule 4.
func (s *State) takeBorrow(now time.Time, e *engineState, m Message) {
	seen := make(map[hingeids.HostID]seenLoan, len(m.Seen))
	for _, l := range m.Seen {
		if l.Owner == s.life {
			seen[l.Pool] = l
		}
	}
	lasts := min(loanLease, shorter(s.view.StandsUntil.Sub(now)))
	if lasts <= 0 {
		return // Rule 2.
	}
	for _, h := range s.hosts {
		p := e.pools[h]
		if p == nil || !p.open || s.ownerOf(e, h) != s.life {
			continue
		}
		if p.lentTo != (hingeids.Instance{}) && p.lentTo != m.From {
			continue
		}
		s.lend(now, e, p, m, seen[h], lasts)
	}
}

func (s *State) lend(
	now time.Time, e *engineState, p *pool, m Message, seen seenLoan, lasts time.Duration,
) {
	answer := Message{
		Kind:   kindLend,
		Number: m.Number,
		Pool:   p.host,
		For:    lasts,
		Size:   p.size,
	}
	if p.lentTo == (hingeids.Instance{}) {
		e.serial++
		p.serial = e.serial
		p.lentTo = m.From
		p.lentUntil = now
	} else if !p.isLent(now) || seen.Serial == p.serial && !seen.Live {
		return // The borrower's book is gone: the loan has to end, and the pool to be opened.
	}
	answer.Serial = p.serial
	if seen.Serial != p.serial {
		answer.Book = p.book.wire(now) // The borrower never got this loan.
	}
	if until := now.Add(longer(lasts)); until.After(p.lentUntil) {
		p.lentUntil = until
	}
	s.send(e, m.From.Host, answer)
}

// takeGiveBack takes a pool back with its book.
func (s *State) takeGiveBack(now time.Time, e *engineState, m Message) {
	p := e.pools[m.Pool]
	if p == nil || !p.open || p.lentTo != m.From || p.serial != m.Serial || !p.isLent(now) {
		return
	}
	p.book = readBook(now, m.Book)
	p.lentTo = hingeids.Instance{}
}
