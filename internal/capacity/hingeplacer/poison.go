package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// agreeEvery is how often a request that was found is to be agreed on while it isn't: there may be no leader.
const agreeEvery = time.Second

// judge tells whether a request may run (rule 7). What has ended under this very attempt is told with the question: its host's
// report may come after it.
func (p *Placer) judge(now time.Time, s hingeids.Service, print hingeids.Print, ends []hingepoison.End) hingepoison.Judgement {
	if print == 0 {
		return hingepoison.Judgement{}
	}
	for _, e := range ends {
		p.tell(now, e)
	}
	if r, wait, listed := p.servers.Poison(print); listed {
		return p.judgeListed(now, r, wait)
	}
	if !p.poisons.Knows(print) {
		return hingepoison.Judgement{}
	}
	j := p.poisons.Judge(now, print, p.serversOf(s))
	if j.Refused && !j.Settles {
		p.found(now, print)
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
	p.poisons.Step(now)
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
	print   hingeids.Print
}

// judgeListed tells whether a request that is on the list may be tried.
func (p *Placer) judgeListed(now time.Time, r hingepoison.Record, wait time.Duration) hingepoison.Judgement {
	delete(p.agreedAt, r.Print)
	if wait > 0 {
		return hingepoison.Judgement{
			Refused:    true,
			RetryAfter: wait,
		}
	}
	j, tries := p.poisons.Try(now, r.Print)
	if tries {
		p.record(hingeevents.PoisonTried, r)
	}
	return j
}

// found has a request agreed on that the own book refuses.
func (p *Placer) found(now time.Time, print hingeids.Print) {
	at, again := p.agreedAt[print]
	if again && now.Sub(at) < agreeEvery {
		return
	}
	p.agreedAt[print] = now
	r := p.poisons.Found(now, p.today(), print)
	if !again {
		p.record(hingeevents.PoisonFound, r)
	}
	if p.agreement != nil {
		p.agreement.Agree(r)
	}
}

// tell takes an end. One under a trial is another reason to refuse the request.
func (p *Placer) tell(now time.Time, e hingepoison.End) {
	if !p.poisons.Tell(now, e) {
		return
	}
	r, _, listed := p.servers.Poison(e.Print)
	if !listed {
		p.told = append(p.told, toldEnd{
			at:      now,
			service: e.Service,
			print:   e.Print,
		})
	}
	if listed && p.agreement != nil && p.poisons.Tried(now, e) {
		p.agreement.Agree(r.Again(p.today(), e.Server))
	}
}

// takeEnds takes what an owner has seen of servers that ended.
func (p *Placer) takeEnds(now time.Time, r report) {
	for _, e := range r.Ends {
		p.tell(now, e)
	}
	for _, x := range r.Passes {
		p.poisons.Pass(now, x)
		if record, _, listed := p.servers.Poison(x.Print); listed && p.agreement != nil {
			p.record(hingeevents.PoisonAcquitted, record)
			p.agreement.Acquit(x.Print)
		}
	}
}

// serversOf counts the servers of a service.
func (p *Placer) serversOf(s hingeids.Service) int {
	return len(p.servers.Engines()[s]) + len(p.servers.Replicas()[s])
}

func (p *Placer) record(n hingeevents.Number, r hingepoison.Record) {
	p.recorder.Record(time.Now(), n, hingeevents.Fields{
		Print:  r.Print,
		Caller: r.Caller,
		Count:  int64(r.Ended),
		Detail: r.String(),
	})
}
