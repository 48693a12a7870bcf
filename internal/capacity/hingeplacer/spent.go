package hingeplacer

import (
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// mostReturned bounds what is kept for a placer that can't be reached: what isn't told leaves the window by itself.
const mostReturned = 256

// ownQuotas is what an owner knows of quotas (rule 6). The owner's lock guards it.
type ownQuotas struct {
	ledger *hingequota.Ledger
	lone   *hingequota.LocalLimiter
	// owes says that the placer doesn't know all of the ledger.
	owes bool
	// returned are requests that have not run, of which the placer isn't told yet.
	returned []hingequota.Charge
}

func newOwnQuotas(now time.Time, t hingequota.Params) ownQuotas {
	l := hingequota.NewLedger(now, t)
	return ownQuotas{
		ledger: l,
		lone:   hingequota.NewLocalLimiter(t, l),
		owes:   true,
	}
}

func (q *ownQuotas) idle(now time.Time) bool {
	return q.ledger.Empty(now) && len(q.returned) == 0
}

// fill puts what the placer has to know into a report.
func (q *ownQuotas) fill(now time.Time, r *report) {
	r.Returned = q.returned
	q.returned = nil
	if !q.owes {
		return
	}
	q.owes = false
	r.All = true
	r.Uses, r.Knows = q.ledger.Usages(now)
}

// reported takes the answer to a report, or that there was none.
func (o *Owner) reported(r report, a reported, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.quotas
	if err != nil {
		q.owes = q.owes || r.All
		q.returned = append(r.Returned, q.returned...)
		q.returned = q.returned[:min(len(q.returned), mostReturned)]
		return
	}
	q.ledger.SetNearLimit(o.clock(), a.Tight, a.All)
	if a.Wants {
		q.owes = true
		o.changed()
	}
}

// heard notes that a placer answered a question. One that didn't answer the last question hasn't this host's reports.
func (o *Owner) heard(h hingeids.HostID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas.lone.PlacerAnswered()
	if h != o.answered {
		o.answered = h
		o.quotas.owes = true
		o.changed()
	}
}

// doubts reports whether a request's customer may have little left, by what the placer told last.
func (o *Owner) doubts(c hingequota.Charge) bool {
	if c.Free() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quotas.ledger.MayBeNearLimit(o.clock(), c.Customer)
}

// counted notes a request that the placer has counted.
func (o *Owner) counted(c hingequota.Charge) {
	if c.Free() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas.ledger.Add(o.clock(), c)
}

// admitAlone decides on a request that no placer counts.
func (o *Owner) admitAlone(c hingequota.Charge) hingequota.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.quotas.lone.Admit(o.clock(), c, o.fleets.Quota(c.Customer), o.fleets.Entries(), rand.Float64())
	if v.Admitted && !c.Free() {
		o.quotas.owes = true
	}
	return v
}

// discount takes a request back that the own host has counted.
func (o *Owner) discount(c hingequota.Charge) {
	if c.Free() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas.ledger.Remove(c.ID)
}

// Return takes a request back that was placed, and has not run anywhere.
func (o *Owner) Return(c hingequota.Charge) {
	if c.Free() {
		return
	}
	o.discount(c)
	o.mu.Lock()
	o.quotas.returned = append(o.quotas.returned, c)
	o.mu.Unlock()
	o.changed()
}
