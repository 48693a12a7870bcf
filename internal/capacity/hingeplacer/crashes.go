package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

// RecordCrash records that a server crashed while it ran one of this host's requests.
func (o *Owner) RecordCrash(c hingepoison.Crash) {
	o.mu.Lock()
	o.crashes.AddCrash(o.clock(), c)
	o.mu.Unlock()
	o.triggerReport()
}

// RecordCompletion records that a suspected request was answered completely.
func (o *Owner) RecordCompletion(fingerprint hingeids.Fingerprint) {
	o.mu.Lock()
	o.crashes.AddCompletion(o.clock(), fingerprint)
	o.mu.Unlock()
	o.triggerReport()
}

// blockedFor reports whether a request or a part of its prompt is on the poison list, and the time until it may be probed. Such a
// request is refused without a message to the placer.
func (o *Owner) blockedFor(fingerprints ...hingeids.Fingerprint) (time.Duration, bool) {
	for _, fp := range fingerprints {
		if entry := o.view.PoisonEntry(fp); entry.Blocked && entry.Wait > 0 {
			return entry.Wait, true
		}
	}
	return 0, false
}

// recordAcknowledged records which crashes and complete answers the placer has received. A placer that needs a full
// report has received none.
func (o *Owner) recordAcknowledged(to hingeids.HostID, r report, reply reportReply, err error) {
	if err != nil {
		return
	}
	o.notices.recordReported(to, r.statementsUpTo, reply.NeedsUsage)
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply.NeedsUsage {
		o.crashes.ResetReported()
		return
	}
	o.crashes.MarkReported(to, len(r.Crashes), len(r.Completions))
}
