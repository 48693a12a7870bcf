package hingeadmit

import (
	"container/heap"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Expired is a waiting request that was refused, with its refusal.
type Expired struct {
	Request Request
	Err     *hingeverdict.Error
}

// Expire removes and returns the waiting requests that can no longer meet
// their target or deadline. Rule 6. The caller must deliver the refusals.
func (q *Queue) Expire(now time.Time) []Expired {
	var out []Expired
	for len(q.expiring.list) > 0 && !q.expiring.list[0].expiry.After(now) {
		it := q.expiring.list[0]
		if it.request.CanWait && now.Before(it.request.Deadline) {
			q.postpone(now, it)
			continue
		}
		q.remove(it)
		code := hingeverdict.CodeTargetOutOfReach
		if it.request.CanWait || it.request.FirstToken == 0 {
			code = hingeverdict.CodeDeadline
		}
		out = append(out, Expired{
			Request: it.request,
			Err:     q.refuse(now, it.level, it.request, code, 0),
		})
	}
	return out
}

// postpone changes the order of a request that can wait. Rule 6. After it has
// missed its first-token target it goes behind requests that can still meet
// theirs, or it would make all behind it late. Close to its deadline it goes
// ahead of others, even if its caller is ahead of its share.
func (q *Queue) postpone(now time.Time, it *item) {
	r := &it.request
	urgentAt := r.Deadline.Add(-r.Work*3/2 - r.Deadline.Sub(r.Arrived)/8)
	if now.Before(urgentAt) {
		it.expiry = urgentAt
		it.level.setDue(it, urgentAt)
	} else {
		it.expiry = r.Deadline
		it.urgent = true
		it.flow.urgent++
		it.level.lowerTag(it.flow, it.level.virtual)
	}
	heap.Fix(&q.expiring, it.expiryIndex)
}

// NextExpiry returns the time at which Expire must next be called, or the zero
// time if no request waits.
func (q *Queue) NextExpiry() time.Time {
	if len(q.expiring.list) == 0 {
		return time.Time{}
	}
	return q.expiring.list[0].expiry
}
