package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// usable reports whether the engine may be assigned a stream.
func (e *engine) usable(now time.Time) bool {
	return e.health.usable(now) && !now.Before(e.restriction.HeldUntil(now))
}

// unusableUntil returns the end of the engine's ejection, or the time before which its statements
// allow no stream if that is later.
func (e *engine) unusableUntil(now time.Time) time.Time {
	return hingeclock.Later(e.health.unusableUntil, e.restriction.HeldUntil(now))
}

// RecordNotice records what an engine stated in an answer, as a host reports it.
func (f *Fleet) RecordNotice(now time.Time, id hingeids.ServerID, n hingenotice.Notice) {
	f.recordNotice(now, time.Time{}, id, n)
}

func (f *Fleet) recordNotice(now, sentAt time.Time, id hingeids.ServerID, n hingenotice.Notice) {
	if !f.restrictions.Update(now, sentAt, id, n) {
		return
	}
	if e := f.engines[id]; e != nil {
		e.restriction = f.restrictions.Get(id)
		f.markChanged(e)
	}
}

// SetPart sets the part of the engines' rate limits that may be used.
func (f *Fleet) SetPart(p hingenotice.Part) {
	for _, id := range f.restrictions.SetPart(p) {
		f.markChanged(f.engines[id])
	}
}

// recordOutcomeNotice records the notice of an outcome. Without a notice, the outcome of a request that
// this fleet placed shows that the engine states nothing.
func (f *Fleet) recordOutcomeNotice(now time.Time, e *engine, r OutcomeReport) {
	answered := r.Outcome == Full || r.Outcome == HostRefused || r.Outcome == Started && e.Role == Decode || r.Outcome == Succeeded && e.Role == Prefill
	if r.Notice == (hingenotice.Notice{}) && !answered {
		return
	}
	sentAt := time.Time{}
	if s := f.streams[r.Stream]; s != nil && r.Outcome != NotSent {
		sentAt = s.placedAt
	}
	f.recordNotice(now, sentAt, e.Server, r.Notice)
}
