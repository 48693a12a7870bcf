package hingecontrol

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// settleMargin is how much longer than the issuers' pause a new leader gives no orders: the clocks of two hosts
// and the ways of their last orders differ by less.
const settleMargin = time.Second

// tenure is a host's time as the leader, in one term.
type tenure struct {
	term  hingeids.Fence
	since time.Time
}

// settled reports whether the leader of a term may give orders by now. The leader before it may have given its last at the
// end of its lease, which is before this one was elected, and may go on believing that it leads. Where engines
// don't check fencing numbers, the pause alone keeps them from hearing two issuers by turns,
// each of which undoes what the other ordered.
func (t *tenure) settled(now time.Time, term hingeids.Fence, pause time.Duration) bool {
	if t.since.IsZero() || t.term != term {
		t.since = now
		t.term = term
	}
	return now.Sub(t.since) >= pause+settleMargin
}
