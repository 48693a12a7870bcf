package hingeproxy

import (
	"net/http"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
)

// mayRetry reports whether a server's error response may be retried on another replica.
func (p *Proxy) mayRetry(j *job, a *serverAnswer) bool {
	return a.response.StatusCode >= http.StatusInternalServerError && j.route.MayRetry() &&
		j.runs < j.route.Attempts
}

// allowRetry reports whether a request is sent again, and charges the retry to the budget.
func (p *Proxy) allowRetry(j *job, err *hingeverdict.Error) bool {
	if p.useReservation(j) {
		return true
	}
	if j.verdict != hingeverdict.NotRun && (!j.route.MayRetry() || j.runs >= j.route.Attempts) {
		return false
	}
	messages := j.unpaidMessages()
	if messages == 0 && j.freeRetries >= maxConnectFailures {
		return false
	}
	d := hingeretry.Decide(p.settings.Clock(), hingeretry.Failure{
		Err:            err,
		EarlierVerdict: j.verdict,
		Attempts:       j.attempts,
		ExtraMessages:  messages,
		NeverRepeat:    !j.route.MayRetry(),
		Deadline:       j.deadline,
	}, serviceBudget{
		proxy:   p,
		service: j.service,
	})
	if d.Action != hingeretry.Retry {
		return false
	}
	p.recordPaid(j, messages)
	return true
}

// useReservation uses a retry that was charged in advance (reserveRetry), and reports whether there was one.
func (p *Proxy) useReservation(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reserved := j.reserved
	j.reserved = false
	return reserved
}

// unpaidMessages returns the messages to charge for the next attempt. Each request has one regular prefill and one
// regular decode message. A retry is assumed to send as many extra ones as were sent so far, so a request that reached
// no server costs nothing.
func (j *job) unpaidMessages() int {
	return max(j.messages-j.paidMessages, 0)
}

// spend charges messages to the retry budget, and reports whether the budget allows them.
func (p *Proxy) spend(j *job, messages int) bool {
	budget := serviceBudget{
		proxy:   p,
		service: j.service,
	}
	if !budget.Spend(p.settings.Clock(), messages) {
		return false
	}
	p.recordPaid(j, messages)
	return true
}

func (p *Proxy) recordPaid(j *job, messages int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.paidMessages += messages
	if messages == 0 {
		j.freeRetries++
	}
}
