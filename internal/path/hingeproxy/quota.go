package hingeproxy

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// chargeOf is what a request counts for its customer's quota.
func (p *Proxy) chargeOf(a admission, asked Asked) hingequota.Charge {
	if a.customer == nil || a.route.Public || !a.customer.Quota.Bounded() {
		return hingequota.Charge{}
	}
	tokens := asked.Prompt + asked.Longest
	return hingequota.Charge{
		ID:       hingequota.ChargeID(xxhash.Sum64String(p.nextID())),
		Customer: a.customer.Name,
		Cost:     a.customer.Quota.Cost(tokens, tokens > 0),
	}
}

// due is what a job's next placement counts: what went to one server counts no more at the next.
func (j *job) due() hingequota.Charge {
	if j.counted {
		return hingequota.Charge{}
	}
	return j.charge
}

// giveBack takes a job's charge back if it was placed and has not run.
func (p *Proxy) giveBack(j *job) {
	if j.counted && j.ran == hingeverdict.NotRun {
		j.counted = false
		p.owner.Return(j.charge)
	}
}

// codeOf is the code of a refusal by whoever places.
func codeOf(c hingeplacer.Cause, noRoom hingeverdict.Code) hingeverdict.Code {
	switch c {
	case hingeplacer.OverQuota:
		return hingeverdict.CodeOverQuota
	case hingeplacer.QuotaUnknown:
		return hingeverdict.CodeQuotaUnknown
	case hingeplacer.Poison:
		return hingeverdict.CodePoison
	}
	return noRoom
}

// overQuota records a request beyond its customer's quota.
func (p *Proxy) overQuota(j *job, err *hingeverdict.Error) {
	now := p.settings.Clock()
	if told, ok := p.excesses.take(now); ok {
		p.settings.Recorder.Record(now, hingeevents.RequestOverQuota, hingeevents.Fields{
			Asked:  string(j.asked.ID),
			Caller: j.caller(),
			Count:  told,
			Took:   err.RetryAfter,
			Route:  j.route.Name,
		})
	}
}

// priority is the rank of a job among others: its customer's, if that has one, or else its route's.
func (j *job) priority() int {
	if j.customer != nil && j.customer.Priority != nil {
		return *j.customer.Priority
	}
	return j.route.Priority
}

// caller is the name of a job's customer, empty if it has none.
func (j *job) caller() hingeids.CallerID {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}
