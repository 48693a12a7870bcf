package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

// Ended notes a server that ended while it had one of this host's requests.
func (o *Owner) Ended(e hingepoison.Crash) {
	o.mu.Lock()
	o.ends.AddCrash(o.clock(), e)
	o.mu.Unlock()
	o.changed()
}

// Passed notes that a suspected request was answered whole.
func (o *Owner) Passed(p hingeids.Fingerprint) {
	o.mu.Lock()
	o.ends.AddCompletion(o.clock(), p)
	o.mu.Unlock()
	o.changed()
}

// refuses reports whether a request is known to end servers, and for how long it still isn't tried. It saves the question, which
// whoever sends such a request asks at any rate.
func (o *Owner) refuses(p hingeids.Fingerprint) (time.Duration, bool) {
	l := o.fleets.Poison(p)
	return l.Wait, l.Blocked && l.Wait > 0
}

// toldEnds notes what the placer has taken, or that it knows nothing of this host.
func (o *Owner) toldEnds(to hingeids.HostID, r report, a reported, err error) {
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Wants {
		o.ends.ResetReported()
		return
	}
	o.ends.MarkReported(to, len(r.Ends), len(r.Passes))
}
