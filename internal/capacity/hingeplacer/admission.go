package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// newRequest is what the admission of a stream and of a plain request depend on.
type newRequest struct {
	Service        hingeids.Service
	Fingerprint    hingeids.Fingerprint
	Parts          []hingeids.Fingerprint
	Crashes        []hingepoison.Crash
	Charge         hingequota.Charge
	TimeToDeadline time.Duration
	// FirstAttempt is set unless the request has been sent to a server before.
	FirstAttempt bool
}

// admission is the decision whether a request may be queued. If Settling is set, there is none before
// retryLater has run.
type admission struct {
	Settling   bool
	Refused    bool
	RetryAfter time.Duration
	Cause      Cause
	// Suspect is set if the request may be one that crashes servers.
	Suspect bool
}

// checkNew decides whether a request may be queued, by what is known of requests that crash servers and
// by its customer's quota, and counts an admitted one for the retry budget.
func (p *Placer) checkNew(now time.Time, owner hingeids.HostID, r newRequest) admission {
	decision := p.evaluate(now, r.Service, r.Fingerprint, r.Crashes)
	if !decision.Refused && !decision.Settling {
		ofParts := p.evaluateParts(now, r.Service, r.Parts)
		ofParts.Suspect = decision.Suspect || ofParts.Suspect
		decision = ofParts
	}
	switch {
	case decision.Settling:
		return admission{
			Settling: true,
		}
	case decision.Refused:
		return admission{
			Refused:    true,
			RetryAfter: decision.RetryAfter,
			Cause:      Poison,
		}
	}
	if d := p.admit(now, owner, r.Charge, r.TimeToDeadline); !d.Admitted {
		return admission{
			Refused:    true,
			RetryAfter: d.RetryAfter,
			Cause:      causeOf(d),
		}
	}
	if r.FirstAttempt {
		p.retryBudget(now, r.Service).RecordRequest()
	}
	return admission{
		Suspect: decision.Suspect,
	}
}
