package hingeplacer

import (
	"maps"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// agreeEvery is how often a request that was found is to be agreed on while it isn't.
const agreeEvery = time.Second

// judge tells whether a request may run (rule 7). What has ended under this very attempt is told with the question: its host's
// report may come after it.
func (p *Placer) judge(now time.Time, s hingeids.Service, print hingeids.Fingerprint, ends []hingepoison.Crash) hingepoison.Decision {
	if print == 0 {
		return hingepoison.Decision{}
	}
	for _, e := range ends {
		p.tell(now, e)
	}
	l := p.servers.Poison(print)
	j := p.poisons.Evaluate(now, print, l, func() int {
		return p.serversOf(s)
	})
	if j.Probe {
		p.record(hingeevents.PoisonTried, l.Record)
	}
	if j.Detected {
		p.found(now, s, print)
	}
	return j
}

// settle asks again a little later what can't be told yet.
func (p *Placer) settle(ask func(now time.Time)) {
	time.AfterFunc(hingepoison.SettleTime, func() {
		p.postOrLose(ask)
	})
}

// stepPoisons has those agreed on that were found, whether or not they come again: by the time they do, this host may be gone.
func (p *Placer) stepPoisons(now time.Time) {
	p.poisons.RemoveExpired(now)
	maps.DeleteFunc(p.unagreed, func(print hingeids.Fingerprint, _ unagreed) bool {
		return p.servers.Poison(print).Blocked
	})
	for print, u := range p.unagreed {
		if now.Sub(u.at) >= agreeEvery {
			p.judge(now, u.service, print, nil)
		}
	}
	told := p.told
	p.told = nil
	for _, e := range told {
		if now.Sub(e.at) < hingepoison.SettleTime {
			p.told = append(p.told, e)
			continue
		}
		p.judge(now, e.service, e.print, nil)
	}
}

// toldEnd is an end that was told of late.
type toldEnd struct {
	at      time.Time
	service hingeids.Service
	print   hingeids.Fingerprint
}

// unagreed is a request that was found and isn't on the list yet: there may be no leader, or a disk that takes no writes.
type unagreed struct {
	// at is when it was last to be agreed on.
	at      time.Time
	service hingeids.Service
}

// found has a request agreed on that the own book refuses.
func (p *Placer) found(now time.Time, s hingeids.Service, print hingeids.Fingerprint) {
	u, again := p.unagreed[print]
	if again && now.Sub(u.at) < agreeEvery {
		return
	}
	p.unagreed[print] = unagreed{
		at:      now,
		service: s,
	}
	r := p.poisons.NewRecord(now, p.today(), print)
	if !again {
		p.record(hingeevents.PoisonFound, r)
	}
	if p.agreement != nil {
		p.agreement.Agree(r)
	}
}

// tell takes an end. One under a trial is another reason to refuse the request.
func (p *Placer) tell(now time.Time, e hingepoison.Crash) {
	if !p.poisons.HandleCrash(now, e) {
		return
	}
	l := p.servers.Poison(e.Fingerprint)
	if !l.Blocked {
		p.told = append(p.told, toldEnd{
			at:      now,
			service: e.Service,
			print:   e.Fingerprint,
		})
		return
	}
	if r, inVain := p.poisons.FailedProbe(now, p.today(), e, l); inVain && p.agreement != nil {
		p.agreement.Agree(r)
	}
}

// takeEnds takes what an owner has seen of servers that ended.
func (p *Placer) takeEnds(now time.Time, r report) {
	for _, e := range r.Ends {
		p.tell(now, e)
	}
	for _, x := range r.Passes {
		p.poisons.HandleCompletion(now, x)
		p.acquit(x)
	}
}

// acquit has a request let through again that was answered whole since it is refused. Hosts tell a new placer of older answers too.
func (p *Placer) acquit(x hingepoison.Completion) {
	l := p.servers.Poison(x.Fingerprint)
	at := p.today().Add(-x.Ago)
	if p.agreement == nil || !l.Blocked || at.UnixMilli() <= l.Record.Since {
		return
	}
	p.record(hingeevents.PoisonAcquitted, l.Record)
	p.agreement.Agree(hingepoison.Lift(at, x.Fingerprint))
}

// serversOf counts the servers of a service.
func (p *Placer) serversOf(s hingeids.Service) int {
	return len(p.servers.Engines()[s]) + len(p.servers.Replicas()[s])
}

func (p *Placer) record(n hingeevents.Number, r hingepoison.Record) {
	p.recorder.Record(time.Now(), n, hingeevents.Fields{
		Print:  r.Fingerprint,
		Caller: r.Caller,
		Count:  int64(r.Crashes),
		Detail: r.String(),
	})
}
