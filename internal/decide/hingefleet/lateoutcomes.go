package hingefleet

import "time"

// lateOutcomes is the share of late requests that were assigned after waiting behind new ones: most
// in a short burst, none under lasting overload, where waiting only uses up the time in which their
// callers could retry elsewhere.
type lateOutcomes struct {
	assignedShare estimate
	updatedAt     time.Time
}

const (
	// lateOutcomeWeight is the weight of a new outcome. Half a dozen failures reduce the share
	// below minAssignedShare.
	lateOutcomeWeight = 0.1
	// minAssignedShare is the share of assigned late requests below which further ones don't wait.
	minAssignedShare = 0.5
	// lateOutcomeTTL is how long the share is kept without a new outcome. A later burst starts
	// afresh.
	lateOutcomeTTL = 10 * time.Second
)

func (o *lateOutcomes) record(now time.Time, assigned bool) {
	o.expire(now)
	o.updatedAt = now
	if o.assignedShare.samples == 0 {
		o.assignedShare.add(1, lateOutcomeWeight)
		// The first outcome must not replace the default alone.
		o.assignedShare.samples = int(1 / lateOutcomeWeight)
	}
	outcome := 0.0
	if assigned {
		outcome = 1
	}
	o.assignedShare.add(outcome, lateOutcomeWeight)
}

func (o *lateOutcomes) mayWait(now time.Time) bool {
	o.expire(now)
	return o.assignedShare.valueOr(1) >= minAssignedShare
}

func (o *lateOutcomes) expire(now time.Time) {
	if now.Sub(o.updatedAt) > lateOutcomeTTL {
		o.assignedShare = estimate{}
	}
}
