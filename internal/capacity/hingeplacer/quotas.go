package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// admit decides whether a request fits into its customer's quota (rule 6). The owner is empty for local requests.
func (p *Placer) admit(now time.Time, owner hingeids.HostID, c hingequota.Charge, left time.Duration) hingequota.Verdict {
	p.stepQuotas(now)
	if owner != "" {
		p.limiter.Hear(now, owner)
	}
	if c.Free() {
		return hingequota.Verdict{
			Admitted: true,
		}
	}
	return p.limiter.Admit(now, c, p.servers.Quota(c.Customer), p.servers.Entries(), left)
}

// stepQuotas restarts the counts when this host becomes the placer or the leader, and removes expired state.
func (p *Placer) stepQuotas(now time.Time) {
	if leader := p.servers.Leads(); !p.limiter.Begun(leader) {
		p.limiter.Begin(now, leader)
	}
	if !now.Before(p.sweepAt) {
		p.sweepAt = now.Add(idleInterval)
		p.limiter.Step(now)
		p.stepDetector(now)
	}
}

// handleUsage handles the quota usage of an owner's report and returns the answer.
func (p *Placer) handleUsage(now time.Time, owner hingeids.HostID, r report) reportReply {
	if !p.leads() {
		return reportReply{}
	}
	p.stepQuotas(now)
	needsUsage := p.limiter.Hear(now, owner)
	if r.All {
		p.limiter.Tell(now, owner, r.Uses, r.Knows)
		needsUsage = false
	}
	for _, c := range r.Returned {
		p.limiter.Return(c)
	}
	nearLimit, all := p.limiter.Tight(now, p.servers.Entries())
	return reportReply{
		Wants: needsUsage,
		Tight: nearLimit,
		All:   all,
	}
}
