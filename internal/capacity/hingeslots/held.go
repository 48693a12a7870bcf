package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// queryHeld requests the engine's list of held requests if an occupancy or an
// opening needs it.
func (s *State) queryHeld(now time.Time, e *engineState) {
	interval := staleQueryInterval
	if e.opening(now) {
		interval = queryInterval
	} else if !e.stale(now) {
		return
	}
	if now.Sub(e.queriedAt) < interval {
		return
	}
	e.queriedAt = now
	s.out.QueryHeld = append(s.out.QueryHeld, e.Engine)
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
		if p.open && p.delegatedTo == (hingeids.Instance{}) && p.occupancy.stale(now) {
			return true
		}
	}
	for _, d := range e.delegations {
		if d.occupancy.stale(now) {
			return true
		}
	}
	return false
}

// stale reports whether an entry is past the time by which its request must be
// visible at the engine.
func (o occupancy) stale(now time.Time) bool {
	for _, e := range o {
		if now.After(e.startBy.Add(visibilityDelay)) {
			return true
		}
	}
	return false
}

// HandleHeld processes the list of held requests that an engine returned to a query
// sent at queriedAt.
func (s *State) HandleHeld(now, queriedAt time.Time, of Engine, ids []hingeids.RequestID) Output {
	e := s.engines[of.ID]
	if e == nil || e.Engine != of {
		return Output{}
	}
	held := make(map[hingeids.RequestID]bool, len(ids))
	for _, id := range ids {
		held[id] = true
	}
	for _, p := range e.pools {
		s.reconcile(e, p, queriedAt, held)
	}
	for _, d := range e.delegations {
		d.occupancy.removeUnheld(queriedAt, held)
	}
	return s.stepThese(now, e)
}
