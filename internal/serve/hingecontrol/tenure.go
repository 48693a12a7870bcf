package hingecontrol

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// settleMargin is added to IssuerPause before a new leader issues orders. It is longer than the
// difference of two hosts' clocks and of the delivery times of their orders.
const settleMargin = time.Second

// tenure is the time for which a host has been the leader in one term.
type tenure struct {
	term  hingeids.Fence
	since time.Time
}

// settled reports whether the leader of a term may issue orders at the time now. The previous leader
// may have issued its last order at the end of its lease, and may still believe that it leads. Where
// engines don't check fencing numbers, only the pause prevents an engine from receiving alternating
// orders of two issuers that undo each other.
func (t *tenure) settled(now time.Time, term hingeids.Fence, pause time.Duration) bool {
	if t.since.IsZero() || t.term != term {
		t.since = now
		t.term = term
	}
	return now.Sub(t.since) >= pause+settleMargin
}
