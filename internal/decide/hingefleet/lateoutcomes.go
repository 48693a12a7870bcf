package hingefleet

import "time"

// lateOutcomes is the share of late requests that were assigned after waiting behind new ones. In
// a short burst most are assigned within their callers' maximum wait. Under lasting overload none
// is, and waiting only uses up the time in which their callers could retry elsewhere.
type lateOutcomes struct {
	placedShare estimate
	updatedAt   time.Time
}

const (
	// lateOutcomeWeight is the weight of a new outcome. Half a dozen failures reduce the share
	// below minPlacedShare.
	lateOutcomeWeight = 0.1
	// minPlacedShare is the share of assigned late requests below which others don't wait.
	minPlacedShare = 0.5
	// lateOutcomeTTL is how long the share is kept without a new outcome. A later burst starts
	// afresh.
	lateOutcomeTTL = 10 * time.Second
)

// record adds whether a late request was assigned.
func (t *lateOutcomes) record(now time.Time, placed bool) {
	t.expire(now)
	t.updatedAt = now
	if t.placedShare.samples == 0 {
		t.placedShare.add(1, lateOutcomeWeight)
		// The first outcome must not replace the default alone.
		t.placedShare.samples = int(1 / lateOutcomeWeight)
	}
	outcome := 0.0
	if placed {
		outcome = 1
	}
	t.placedShare.add(outcome, lateOutcomeWeight)
}

// mayWait reports whether a late request may wait.
func (t *lateOutcomes) mayWait(now time.Time) bool {
	t.expire(now)
	return t.placedShare.valueOr(1) >= minPlacedShare
}

func (t *lateOutcomes) expire(now time.Time) {
	if now.Sub(t.updatedAt) > lateOutcomeTTL {
		t.placedShare = estimate{}
	}
}
