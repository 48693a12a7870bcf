package hingeproxy

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// chargeOf returns the charge of a request to its customer's quota, zero if the customer has none or the route is
// public.
func (p *Proxy) chargeOf(a admission, info RequestInfo) hingequota.Charge {
	if a.customer == nil || a.route.Public || !a.customer.Quota.Limited() {
		return hingequota.Charge{}
	}
	tokens := info.PromptTokens + info.MaxTokens
	return hingequota.Charge{
		ID:       hingequota.ChargeID(xxhash.Sum64String(p.nextID())),
		Customer: a.customer.Name,
		Cost:     a.customer.Quota.Cost(tokens, tokens > 0),
	}
}

// pendingCharge returns the charge of a job's next placement. A job is charged for its first placement only.
func (j *job) pendingCharge() hingequota.Charge {
	if j.charged {
		return hingequota.Charge{}
	}
	return j.charge
}

// refundCharge refunds the quota charge of a job that was placed but did not run.
func (p *Proxy) refundCharge(j *job) {
	if j.charged && j.verdict == hingeverdict.NotRun {
		j.charged = false
		p.owner.Refund(j.charge)
	}
}

// refusalCode returns the code of a refusal by the placer, or fallback if the cause has no code of its own.
func refusalCode(c hingeplacer.Cause, fallback hingeverdict.Code) hingeverdict.Code {
	switch c {
	case hingeplacer.OverQuota:
		return hingeverdict.CodeOverQuota
	case hingeplacer.QuotaUnknown:
		return hingeverdict.CodeQuotaUnknown
	case hingeplacer.Poison:
		return hingeverdict.CodePoison
	}
	return fallback
}

func (p *Proxy) recordOverQuota(j *job, err *hingeverdict.Error) {
	now := p.settings.Clock()
	if count, ok := p.quotaRefusals.allow(now); ok {
		p.settings.Recorder.Record(now, hingeevents.RequestOverQuota, hingeevents.Fields{
			CallerRequestID: string(j.info.ID),
			Caller:          j.caller(),
			Count:           count,
			Elapsed:         err.RetryAfter,
			Route:           j.route.Name,
		})
	}
}

// priority returns the customer's priority if it is set, or else the route's.
func (j *job) priority() int {
	if j.customer != nil && j.customer.Priority != nil {
		return *j.customer.Priority
	}
	return j.route.Priority
}

// caller returns the name of a job's customer, empty if the job has none.
func (j *job) caller() hingeids.CallerID {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}
