package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// admit decides whether a request fits into its customer's quota (rule 6). The owner is empty for local requests.
func (p *Placer) admit(now time.Time, owner hingeids.HostID, c hingequota.Charge, timeToDeadline time.Duration) hingequota.Decision {
	p.stepQuotas(now)
	if owner != "" {
		p.limiter.Observe(now, owner)
	}
	if c.Free() {
		return hingequota.Decision{
			Admitted: true,
		}
	}
	return p.limiter.Admit(now, c, p.servers.Quota(c.Customer), p.servers.EntryHosts(), timeToDeadline)
}

// stepQuotas restarts the counts when this host becomes the placer or the leader, and removes expired state.
func (p *Placer) stepQuotas(now time.Time) {
	if leader := p.servers.IsElectedLeader(); !p.limiter.Started(leader) {
		p.limiter.Start(now, leader)
	}
	if !now.Before(p.sweepAt) {
		p.sweepAt = now.Add(idleInterval)
		p.limiter.RemoveExpired(now)
		p.stepDetector(now)
	}
}

func (p *Placer) handleUsage(now time.Time, owner hingeids.HostID, r report) reportReply {
	if !p.leads() {
		return reportReply{}
	}
	p.stepQuotas(now)
	needsUsage := p.limiter.Observe(now, owner)
	if r.Complete {
		p.limiter.HandleReport(now, owner, r.Usages, r.CountedFor)
		needsUsage = false
	}
	for _, c := range r.Refunds {
		p.limiter.Return(c)
	}
	nearLimit, complete := p.limiter.NearLimit(now, p.servers.EntryHosts())
	return reportReply{
		NeedsUsage: needsUsage,
		NearLimit:  nearLimit,
		Complete:   complete,
	}
}
