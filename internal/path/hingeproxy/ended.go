package hingeproxy

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// ended looks whether a server that broke off a request has ended, and tells. One that was to end anyway says nothing.
func (p *Proxy) ended(ctx context.Context, j *job, id hingeids.ServerID, address string, had time.Duration, err error) {
	if address == "" || !hingewire.BrokeOff(err) || p.world.Gone(id) || !hingewire.Ended(ctx, address) {
		return
	}
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.ServerEnded, hingeevents.Fields{
		Asked:  string(j.asked.ID),
		Print:  j.print,
		Caller: j.caller(),
		Server: id,
		Took:   had,
		Route:  j.route.Name,
	})
	p.meter.ends.Inc()
	e := hingepoison.Crash{
		Fingerprint: j.print,
		Server:      id,
		Service:     j.service,
		Caller:      j.caller(),
		Held:        had,
	}
	j.ends = append(j.ends, e)
	p.owner.Ended(e)
}

// poisonRefused records a request that ends servers.
func (p *Proxy) poisonRefused(j *job, err *hingeverdict.Error) {
	p.meter.poisons.Inc()
	now := p.settings.Clock()
	if told, ok := p.poisons.take(now); ok {
		p.settings.Recorder.Record(now, hingeevents.PoisonRefused, hingeevents.Fields{
			Asked:  string(j.asked.ID),
			Print:  j.print,
			Caller: j.caller(),
			Took:   err.RetryAfter,
			Count:  told,
			Route:  j.route.Name,
			World:  p.world.Version(),
			Detail: err.Error(),
		})
	}
}

// passed tells that a suspected request was answered whole by a server.
func (p *Proxy) passed(j *job) {
	if j.suspect {
		p.owner.Passed(j.print)
	}
}
