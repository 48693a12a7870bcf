package hingeproxy

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
)

const (
	// ownShare is the part of the fleet's budget that hosts use: what is left covers a wrong count of
	// hosts, processes that begin anew, and messages that cross.
	ownShare = 0.75
	// leastBurst lets every host repeat one stream, however many hosts there are: its
	// prompt and its run arrive once more.
	leastBurst = 2.0
)

// limits is this host's part of the budget. Hosts share the burst evenly and
// each adds by its own requests, so that no host has to ask another.
func (p *Proxy) limits() hingeretry.Limits {
	hosts := float64(max(p.world.Entries(), 1))
	return hingeretry.Limits{
		PerRequest: ownShare * p.settings.Budget.PerRequest,
		Burst:      max(ownShare*p.settings.Budget.Burst/hosts, leastBurst),
	}
}

// budget gives the budget of a service. The caller holds the lock.
func (p *Proxy) budget(s hingeids.Service) *hingeretry.Budget {
	b := p.budgets[s]
	if b == nil {
		b = hingeretry.NewBudgetWithLimits(p.settings.Clock(), p.limits())
		p.budgets[s] = b
	}
	b.SetLimits(p.limits())
	return b
}

// request notes that a request came.
func (p *Proxy) request(s hingeids.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(s).RecordRequest()
}
