package hingeproxy

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
)

const (
	// ownShare is the part of the fleet's budget that hosts use, so that
	// a wrong count of hosts or an uneven load doesn't break it.
	ownShare = 0.5
	// leastBurst lets every host repeat one request, however many hosts there are. A stream's
	// repeat is a prefill and a run, so that two each of 74 hosts would be more than
	// the fleet may save up.
	leastBurst = 1.0
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
		b = hingeretry.NewBudgetOf(p.settings.Clock(), p.limits())
		p.budgets[s] = b
	}
	b.SetLimits(p.limits())
	return b
}

// request notes that a request came.
func (p *Proxy) request(s hingeids.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(s).Request()
}

// balance gives the balance of a service. The caller holds the lock.
func (p *Proxy) balance(s hingeids.Service) *hingebalance.Balance {
	b := p.balances[s]
	if b == nil {
		b = hingebalance.New(p.settings.Zone, uint64(p.settings.Self.Incarnation))
		p.balances[s] = b
	}
	return b
}
