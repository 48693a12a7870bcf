package hingepoison

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// EvaluatePart decides on requests with a part (rule 7), like Evaluate.
func (d *Detector) EvaluatePart(now time.Time, fp hingeids.Fingerprint, l Listed, servers func() int) Decision {
	if l.Blocked {
		return d.evaluateListed(now, fp, l)
	}
	if l.Lifted {
		d.parts.handleCompletion(d.liftedAt(now, fp, l), fp)
	}
	last, blamed := d.parts.blamed(now, fp, func(own map[hingeids.ServerID]*partCrash) float64 {
		return d.rate(now, d.parts.tracked[fp].service, servers(), func(id hingeids.ServerID) bool {
			return own[id] != nil
		})
	})
	if !blamed {
		return Decision{}
	}
	if late := d.parts.tracked[fp].lastLateReport; late.After(last) {
		last = late
	}
	return newlyRefused(now, last, doubtfulWait)
}

// HandleCrashParts records a crash for the parts of its request. It returns those for which the crash is new.
func (d *Detector) HandleCrashParts(now time.Time, c Crash) []hingeids.Fingerprint {
	return d.parts.handleCrash(now, c)
}

// HandlePartCompletions records that a request with these parts was completed (rule 7).
func (d *Detector) HandlePartCompletions(now time.Time, s hingeids.Service, parts []hingeids.Fingerprint) {
	if len(parts) == 0 {
		return
	}
	d.parts.countCompletion(now, s, parts)
	for _, fp := range parts {
		d.parts.handleCompletion(now, fp)
	}
}

// NewPartRecord returns the list record of a refused part, like NewRecord.
func (d *Detector) NewPartRecord(now, today time.Time, fp hingeids.Fingerprint) Record {
	x := d.parts.tracked[fp]
	r := Record{
		Fingerprint: fp,
		Service:     x.service,
		Since:       today.UnixMilli(),
		First:       today.UnixMilli(),
		Doubtful:    true,
		Part:        true,
	}
	for id, c := range x.crashes {
		r.addCrash(id, today.Add(c.at.Sub(now)))
	}
	r.finish()
	return r
}
