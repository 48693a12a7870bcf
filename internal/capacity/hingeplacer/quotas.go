package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// admit decides whether a request fits into its customer's quota (rule 6).
func (p *Placer) admit(now time.Time, owner hingeids.HostID, c hingequota.Charge, left time.Duration) hingequota.Decision {
	p.stepQuotas(now)
	if owner != "" {
		p.book.Observe(now, owner)
	}
	if c.Free() {
		return hingequota.Decision{
			Admitted: true,
		}
	}
	return p.book.Admit(now, c, p.servers.Quota(c.Customer), p.servers.Entries(), left)
}

// stepQuotas begins to count anew when this host begins to place, or to lead, and forgets what is over.
func (p *Placer) stepQuotas(now time.Time) {
	if leads := p.servers.Leads(); !p.book.Started(leads) {
		p.book.Start(now, leads)
	}
	if !now.Before(p.sweepAt) {
		p.sweepAt = now.Add(idleEvery)
		p.book.RemoveExpired(now)
		p.stepPoisons(now)
	}
}

// takeUses takes what an owner says of quotas, and tells it what it has to know.
func (p *Placer) takeUses(now time.Time, owner hingeids.HostID, r report) reported {
	if !p.leads() {
		return reported{}
	}
	p.stepQuotas(now)
	wants := p.book.Observe(now, owner)
	if r.All {
		p.book.HandleReport(now, owner, r.Uses, r.Knows)
		wants = false
	}
	for _, c := range r.Returned {
		p.book.Return(c)
	}
	tight, all := p.book.NearLimit(now, p.servers.Entries())
	return reported{
		Wants: wants,
		Tight: tight,
		All:   all,
	}
}
