package hingeproxy

import (
	"context"
	"fmt"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// crashConfirmTimeout limits the check whether a server has crashed. A refused connection is confirmed by other hosts, of which one that is
// down or busy is waited for (hingetunnel).
const crashConfirmTimeout = 500 * time.Millisecond

// reportCrash reports a crash if a server broke off a request and its address now refuses connections. Servers that
// are already known to be removed are not reported. The request waits no longer than hingewire.CrashProbeTimeout; a crash that is confirmed
// later is reported then.
func (p *Proxy) reportCrash(ctx context.Context, j *job, id hingeids.ServerID, address string, held time.Duration, err error) {
	if address == "" || !hingewire.IsDisconnect(err) || p.view.Removed(id) {
		return
	}
	crash := hingepoison.Crash{
		Fingerprint: j.fingerprint,
		Server:      id,
		Service:     j.service,
		Caller:      j.caller(),
		Held:        held,
		Parts:       j.parts,
	}
	fields := hingeevents.Fields{
		CallerRequestID: string(j.info.ID),
		Fingerprint:     j.fingerprint,
		Caller:          j.caller(),
		Server:          id,
		Elapsed:         held,
		Route:           j.route.Name,
		Detail:          describeParts(j.parts),
	}
	confirmed := make(chan bool, 1)
	go func() {
		refuses := hingewire.RefusesConnections(context.WithoutCancel(ctx), p.settings.Dialer, address, crashConfirmTimeout)
		if refuses {
			p.recordCrash(crash, fields)
		}
		confirmed <- refuses
	}()
	timer := time.NewTimer(hingewire.CrashProbeTimeout)
	defer timer.Stop()
	select {
	case refuses := <-confirmed:
		if refuses {
			j.crashes = append(j.crashes, crash)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (p *Proxy) recordCrash(crash hingepoison.Crash, fields hingeevents.Fields) {
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.ServerEnded, fields)
	p.meter.crashes.Inc()
	p.owner.RecordCrash(crash)
}

// describeParts returns the digests of a prompt's parts as a log line has them.
func describeParts(parts []hingeids.Fingerprint) string {
	if len(parts) == 0 {
		return ""
	}
	return fmt.Sprint("parts ", parts)
}

func (p *Proxy) recordPoisonRefusal(j *job, err *hingeverdict.Error) {
	p.meter.poisonRefusals.Inc()
	now := p.settings.Clock()
	if count, ok := p.poisonRefusals.allow(now); ok {
		p.settings.Recorder.Record(now, hingeevents.PoisonRefused, hingeevents.Fields{
			CallerRequestID: string(j.info.ID),
			Fingerprint:     j.fingerprint,
			Caller:          j.caller(),
			Elapsed:         err.RetryAfter,
			Count:           count,
			Route:           j.route.Name,
			ViewVersion:     p.view.Version(),
			Detail:          err.Error(),
		})
	}
}

// reportCompletion reports that a server has answered a suspected request in full.
func (p *Proxy) reportCompletion(j *job) {
	if j.suspect {
		p.owner.RecordCompletion(j.fingerprint)
	}
}
