package hingeplacer

import (
	"maps"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// proposalInterval is the interval at which the record of a poison request is proposed until it is on the list.
const proposalInterval = time.Second

// evaluate evaluates whether a request may run (rule 7). The crashes of the current attempt are passed separately,
// since the owner's report may arrive after the request.
func (p *Placer) evaluate(
	now time.Time, s hingeids.Service, fingerprint hingeids.Fingerprint, crashes []hingepoison.Crash,
) hingepoison.Decision {
	if fingerprint == 0 {
		return hingepoison.Decision{}
	}
	for _, c := range crashes {
		p.recordCrash(now, c)
	}
	return p.evaluateOne(now, s, fingerprint, p.detector.Evaluate, p.detector.NewRecord)
}

// evaluateParts evaluates whether requests with any of the parts may run. It returns the first decision that isn't to run
// them, or else whether the request is a probe of a part. Parts that it may probe come last, so that a request that is refused for another
// part uses up no probe.
func (p *Placer) evaluateParts(now time.Time, s hingeids.Service, parts []hingeids.Fingerprint) hingepoison.Decision {
	var probed []hingeids.Fingerprint
	for _, part := range parts {
		if entry := p.servers.PoisonEntry(part); entry.Blocked && entry.Wait <= 0 {
			probed = append(probed, part)
			continue
		}
		if d := p.evaluatePart(now, s, part); d.Refused || d.Settling {
			return d
		}
	}
	var probe hingepoison.Decision
	for _, part := range probed {
		d := p.evaluatePart(now, s, part)
		if d.Refused || d.Settling {
			return d
		}
		if d.Probe {
			probe = d
		}
	}
	return probe
}

func (p *Placer) evaluatePart(now time.Time, s hingeids.Service, part hingeids.Fingerprint) hingepoison.Decision {
	return p.evaluateOne(now, s, part, p.detector.EvaluatePart, p.detector.NewPartRecord)
}

// evaluateOne evaluates a request or a part, and proposes its record if it was detected.
func (p *Placer) evaluateOne(
	now time.Time, s hingeids.Service, fingerprint hingeids.Fingerprint,
	evaluate func(time.Time, hingeids.Fingerprint, hingepoison.Listed, func() int) hingepoison.Decision, newRecord newRecordFunc,
) hingepoison.Decision {
	entry := p.servers.PoisonEntry(fingerprint)
	decision := evaluate(now, fingerprint, entry, func() int {
		return p.servers.ServerCount(s)
	})
	if decision.Probe {
		p.recordPoisonEvent(hingeevents.PoisonTried, entry.Record)
	}
	if decision.Detected {
		p.proposeRecord(now, s, fingerprint, newRecord)
	}
	return decision
}

// newRecordFunc returns the record of a detected request or part.
type newRecordFunc func(now, today time.Time, fingerprint hingeids.Fingerprint) hingepoison.Record

// retryLater calls retry in the loop after hingepoison.SettleTime, when the other hosts have reported their crashes.
func (p *Placer) retryLater(retry func(now time.Time)) {
	time.AfterFunc(hingepoison.SettleTime, func() {
		p.tryPost(retry)
	})
}

// stepDetector proposes the records of detected poison requests without waiting for their next attempts, since this
// host may have lost its leadership by then.
func (p *Placer) stepDetector(now time.Time) {
	p.detector.RemoveExpired(now)
	maps.DeleteFunc(p.unconfirmed, func(fingerprint hingeids.Fingerprint, _ unconfirmed) bool {
		return p.servers.PoisonEntry(fingerprint).Blocked
	})
	for fingerprint, u := range p.unconfirmed {
		if now.Sub(u.at) >= proposalInterval {
			p.evaluate(now, u.service, fingerprint, nil)
			p.evaluatePart(now, u.service, fingerprint)
		}
	}
	recentCrashes := p.recentCrashes
	p.recentCrashes = nil
	for _, c := range recentCrashes {
		if now.Sub(c.at) < hingepoison.SettleTime {
			p.recentCrashes = append(p.recentCrashes, c)
			continue
		}
		p.evaluate(now, c.service, c.fingerprint, nil)
		for _, part := range c.parts {
			// A refused part whose wait is over is probed by a request only.
			if !p.servers.PoisonEntry(part).Blocked {
				p.evaluatePart(now, c.service, part)
			}
		}
	}
}

// recentCrash is a recently reported crash, to be evaluated after hingepoison.SettleTime.
type recentCrash struct {
	at          time.Time
	service     hingeids.Service
	fingerprint hingeids.Fingerprint
	parts       []hingeids.Fingerprint
}

// unconfirmed is a detected poison request that isn't on the list yet. The proposal fails while there is no leader or
// a disk rejects writes.
type unconfirmed struct {
	// at is the time of the last proposal.
	at      time.Time
	service hingeids.Service
}

// proposeRecord proposes the record of a request that this host's detector refuses, at most once per interval.
func (p *Placer) proposeRecord(now time.Time, s hingeids.Service, fingerprint hingeids.Fingerprint, newRecord newRecordFunc) {
	u, proposed := p.unconfirmed[fingerprint]
	if proposed && now.Sub(u.at) < proposalInterval {
		return
	}
	p.unconfirmed[fingerprint] = unconfirmed{
		at:      now,
		service: s,
	}
	r := newRecord(now, p.wallTime(), fingerprint)
	if !proposed {
		p.recordPoisonEvent(hingeevents.PoisonFound, r)
	}
	if p.proposer != nil {
		p.proposer.Propose(r)
	}
}

// recordCrash records a crash for its request and the parts of its prompt. If one of these was being probed, it proposes the
// record of a failed probe.
func (p *Placer) recordCrash(now time.Time, c hingepoison.Crash) {
	added := p.detector.HandleCrashParts(now, c)
	if p.detector.HandleCrash(now, c) {
		added = append(added, c.Fingerprint)
	}
	if len(added) == 0 {
		return
	}
	listed := false
	for _, fp := range added {
		entry := p.servers.PoisonEntry(fp)
		listed = listed || entry.Blocked
		if r, failed := p.detector.FailedProbe(now, p.wallTime(), fp, c, entry); failed && p.proposer != nil {
			p.proposer.Propose(r)
		}
	}
	if !listed {
		p.recentCrashes = append(p.recentCrashes, recentCrash{
			at:          now,
			service:     c.Service,
			fingerprint: c.Fingerprint,
			parts:       c.Parts,
		})
	}
}

// handlePartCompletions records that a request with these parts was completed (hingepoison rule 7).
func (p *Placer) handlePartCompletions(now time.Time, s hingeids.Service, parts []hingeids.Fingerprint) {
	p.detector.HandlePartCompletions(now, s, parts)
	for _, part := range parts {
		p.liftBlock(hingepoison.Completion{
			Fingerprint: part,
		})
	}
}

// handleCrashes records the crashes and the complete answers of an owner's report.
func (p *Placer) handleCrashes(now time.Time, r report) {
	for _, c := range r.Crashes {
		p.recordCrash(now, c)
	}
	for _, completion := range r.Completions {
		p.detector.HandleCompletion(now, completion)
		p.liftBlock(completion)
	}
}

// liftBlock lifts the block of a request that was answered completely after it was listed. Answers from before are
// ignored; hosts report these to a new placer too.
func (p *Placer) liftBlock(c hingepoison.Completion) {
	entry := p.servers.PoisonEntry(c.Fingerprint)
	at := p.wallTime().Add(-c.Ago)
	if p.proposer == nil || !entry.Blocked || at.UnixMilli() <= entry.Record.Since {
		return
	}
	p.recordPoisonEvent(hingeevents.PoisonAcquitted, entry.Record)
	p.proposer.Propose(hingepoison.Lift(at, c.Fingerprint))
}

func (p *Placer) recordPoisonEvent(n hingeevents.Number, r hingepoison.Record) {
	p.recorder.Record(time.Now(), n, hingeevents.Fields{
		Fingerprint: r.Fingerprint,
		Caller:      r.Caller,
		Count:       int64(r.Crashes),
		Detail:      r.String(),
	})
}
