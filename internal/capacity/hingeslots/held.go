package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// askHeld asks the engine what it holds, if a book or an opening waits for that.
func (s *State) askHeld(now time.Time, e *engineState) {
	every := checkEvery
	if e.opening(now) {
		every = askEvery
	} else if !e.stale(now) {
		return
	}
	if now.Sub(e.askedAt) < every {
		return
	}
	e.askedAt = now
	s.out.AskHeld = append(s.out.AskHeld, e.Engine)
}

func (e *engineState) opening(now time.Time) bool {
	for _, p := range e.pools {
		if !p.open && now.After(p.notBefore) {
			return true
		}
	}
	return false
}

func (e *engineState) stale(now time.Time) bool {
	for _, p := range e.pools {
		if p.open && p.lentTo == (hingeids.Instance{}) && p.book.stale(now) {
			return true
		}
	}
	for _, l := range e.loans {
		if l.book.stale(now) {
			return true
		}
	}
	return false
}

// stale reports an entry that the engine should show by now.
func (b book) stale(now time.Time) bool {
	for _, e := range b {
		if now.After(e.startBy.Add(showWithin)) {
			return true
		}
	}
	return false
}

// TakeHeld takes what an engine, asked at the given time, said it holds.
func (s *State) TakeHeld(now, asked time.Time, of Engine, ids []hingeids.RequestID) Output {
	e := s.engines[of.ID]
	if e == nil || e.Engine != of {
		return Output{}
	}
	held := make(map[hingeids.RequestID]bool, len(ids))
	for _, id := range ids {
		held[id] = true
	}
	for _, p := range e.pools {
		s.takeHeldFor(e, p, asked, held)
	}
	for _, l := range e.loans {
		l.book.settle(asked, held)
	}
	return s.stepThese(now, e)
}
