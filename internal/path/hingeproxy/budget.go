package hingeproxy

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
)

const (
	// hostBudgetShare is the fraction of the fleet's budget that all hosts together use. The rest covers a wrong host
	// count, restarted processes and concurrent updates.
	hostBudgetShare = 0.75
	// minBurst allows every host to move one stream, which costs a prefill message and a decode message, however many
	// hosts there are.
	minBurst = 2.0
)

// budgetLimits returns this host's part of the retry budget. Hosts share the burst evenly and earn retries by their
// own requests, so that they need no coordination.
func (p *Proxy) budgetLimits() hingeretry.Limits {
	hosts := float64(max(p.view.EntryHosts(), 1))
	return hingeretry.Limits{
		PerRequest: hostBudgetShare * p.settings.RetryBudget.PerRequest,
		Burst:      max(hostBudgetShare*p.settings.RetryBudget.Burst/hosts, minBurst),
	}
}

// budget returns the retry budget of a service. The caller holds p.mu.
func (p *Proxy) budget(s hingeids.Service) *hingeretry.Budget {
	b := p.budgets[s]
	if b == nil {
		b = hingeretry.NewBudgetWithLimits(p.settings.Clock(), p.budgetLimits())
		p.budgets[s] = b
	}
	b.SetLimits(p.budgetLimits())
	return b
}

// recordRequest adds a new request to the budget of its service.
func (p *Proxy) recordRequest(s hingeids.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(s).RecordRequest()
}
