package hingeproxy

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
)

// budgetLimits returns this host's part of the retry budget.
func (p *Proxy) budgetLimits() hingeretry.Limits {
	return p.settings.RetryBudget.HostLimits(p.view.EntryHosts())
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

// serviceBudget is the budget from which a service's retries are paid: this host's own part, or that of all hosts,
// which the placer grants.
type serviceBudget struct {
	proxy   *Proxy
	service hingeids.Service
}

// Spend charges messages to the budget, and reports whether it allows them. It must not be called with p.mu held.
func (b serviceBudget) Spend(now time.Time, messages int) bool {
	b.proxy.mu.Lock()
	spent := b.proxy.budget(b.service).Spend(now, messages)
	b.proxy.mu.Unlock()
	if spent || !b.proxy.settings.RetryBudget.IsShared(b.proxy.view.EntryHosts()) {
		return spent
	}
	return b.proxy.owner.RequestRetry(b.service, messages)
}
