package hingeproxy

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// endedTime bounds the look whether a server has ended. A host whose process is gone refuses within a round trip.
const endedTime = 100 * time.Millisecond

// ended looks whether a server that broke off a request has ended, and tells. It is dialled anew: a connection that was cut on
// its way breaks in the same manner, and to take that for an end would blame a request for the network. One that was to
// end anyway says nothing.
func (p *Proxy) ended(ctx context.Context, j *job, id hingeids.ServerID, address string, had time.Duration, err error) {
	if address == "" || !brokeOff(err) || p.world.Gone(id) {
		return
	}
	one, stop := context.WithTimeout(ctx, endedTime)
	defer stop()
	x, dialled := hingewire.Dial(one, address)
	if dialled == nil {
		x.Close()
		return
	}
	if !errors.Is(dialled, syscall.ECONNREFUSED) {
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
	e := hingepoison.End{
		Print:   j.print,
		Server:  id,
		Service: j.service,
		Caller:  j.caller(),
		Had:     had,
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

// brokeOff reports whether the other end closed or reset a connection in the middle of an exchange.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
