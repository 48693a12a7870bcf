package hingeplacer

import (
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// maxRefunds is the maximum number of refunds kept for an unreachable placer. Charges whose refunds are dropped
// expire with the window.
const maxRefunds = 256

// quotaState is an owner's quota state (rule 6). The owner's lock guards it.
type quotaState struct {
	ledger  *hingequota.Ledger
	limiter *hingequota.LocalLimiter
	// needsFullReport is true if the placer doesn't know the whole ledger.
	needsFullReport bool
	// refunds are the charges of requests that didn't run, to be reported to the placer.
	refunds []hingequota.Charge
}

func newQuotaState(now time.Time, params hingequota.Params) quotaState {
	l := hingequota.NewLedger(now, params)
	return quotaState{
		ledger:          l,
		limiter:         hingequota.NewLocalLimiter(params, l),
		needsFullReport: true,
	}
}

func (q *quotaState) idle(now time.Time) bool {
	return q.ledger.Empty(now) && len(q.refunds) == 0
}

// fill adds the refunds to a report, and the whole ledger if the placer needs it.
func (q *quotaState) fill(now time.Time, r *report) {
	r.Refunds = q.refunds
	q.refunds = nil
	if !q.needsFullReport {
		return
	}
	q.needsFullReport = false
	r.Complete = true
	r.Usages, r.CountedFor = q.ledger.Usages(now)
}

// reportReply handles the answer to a report, or the error if there was none.
func (o *Owner) reportReply(r report, reply reportReply, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.quotas
	if err != nil {
		q.needsFullReport = q.needsFullReport || r.Complete
		q.refunds = append(r.Refunds, q.refunds...)
		q.refunds = q.refunds[:min(len(q.refunds), maxRefunds)]
		return
	}
	q.ledger.SetNearLimit(o.clock(), reply.NearLimit, reply.Complete)
	if reply.NeedsUsage {
		q.needsFullReport = true
		o.triggerReport()
	}
}

// recordAnswer records that a placer answered a request. A placer other than the last one doesn't have this host's
// reports.
func (o *Owner) recordAnswer(h hingeids.HostID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas.limiter.PlacerAnswered()
	if h != o.lastAnswered {
		o.lastAnswered = h
		o.quotas.needsFullReport = true
		o.triggerReport()
	}
}

// mayBeNearLimit reports whether a request's customer may be near its limit, by the placer's last answer.
func (o *Owner) mayBeNearLimit(c hingequota.Charge) bool {
	if c.Free() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quotas.ledger.MayBeNearLimit(o.clock(), c.Customer)
}

// addUsage adds a charge that the placer has counted to the ledger.
func (o *Owner) addUsage(c hingequota.Charge) {
	if c.Free() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas.ledger.Add(o.clock(), c)
}

// admitLocally decides by this host's share of the quota on a request that no placer counts.
func (o *Owner) admitLocally(c hingequota.Charge) hingequota.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.quotas.limiter.Admit(o.clock(), c, o.view.Quota(c.Customer), o.view.EntryHosts(), rand.Float64())
	if d.Admitted && !c.Free() {
		o.quotas.needsFullReport = true
	}
	return d
}

func (o *Owner) removeUsage(c hingequota.Charge) {
	if c.Free() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas.ledger.Remove(c.ID)
}

// Refund refunds the charge of a request that was placed and didn't run anywhere.
func (o *Owner) Refund(c hingequota.Charge) {
	if c.Free() {
		return
	}
	o.removeUsage(c)
	o.mu.Lock()
	o.quotas.refunds = append(o.quotas.refunds, c)
	o.mu.Unlock()
	o.triggerReport()
}
