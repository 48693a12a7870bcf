package hingecontrol

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// settleMargin is added to IssuerPause before a new leader issues orders. It is longer than the
// difference of two hosts' clocks and of the delivery times of their orders.
const settleMargin = time.Second

type tenure struct {
	term  hingeids.Fence
	since time.Time
}

// settled reports whether the leader of a term may issue orders at the time now. The previous leader
// may have issued orders until the end of its lease. Where engines don't check fencing numbers, only
// the pause prevents alternating orders of two issuers that undo each other.
func (t *tenure) settled(now time.Time, term hingeids.Fence, pause time.Duration) bool {
	if t.since.IsZero() || t.term != term {
		t.since = now
		t.term = term
	}
	return now.Sub(t.since) >= pause+settleMargin
}
