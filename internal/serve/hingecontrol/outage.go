package hingecontrol

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// minOutage is how long the configuration must be unreadable before an event is recorded. An
	// ordinary change of the leader is shorter.
	minOutage = time.Second
	// outageInterval is the time between the events of one outage, and of failed reads.
	outageInterval = 5 * time.Second
)

// outage decides which events are recorded about a time in which the configuration can't be read: one
// after minOutage, one every outageInterval, and one at the end.
type outage struct {
	// since is the time of the first failure in a row, zero if the last check succeeded.
	since      time.Time
	recordedAt time.Time
	recorded   bool
}

type outageEvent struct {
	number hingeevents.Number
	fields hingeevents.Fields
}

// step handles the result of a check that ran from started to now, and returns the event to record, if
// any.
func (o *outage) step(started, now time.Time, failure error, d hingegroup.Diagnosis) (outageEvent, bool) {
	if failure == nil {
		ended := *o
		*o = outage{}
		return outageEvent{
			number: hingeevents.ConfigReadable,
			fields: hingeevents.Fields{
				Host:    d.Leader.Host,
				Elapsed: now.Sub(ended.since),
			},
		}, ended.recorded
	}
	if o.since.IsZero() {
		o.since = started
	}
	if now.Sub(o.since) < minOutage || o.recorded && now.Sub(o.recordedAt) < outageInterval {
		return outageEvent{}, false
	}
	o.recorded = true
	o.recordedAt = now
	return outageEvent{
		number: hingeevents.ConfigUnreadable,
		fields: hingeevents.Fields{
			Host:    d.Leader.Host,
			Elapsed: now.Sub(o.since),
			Detail:  fmt.Sprintf("%s: %v; %v", reasonOf(failure), failure, d),
		},
	}, true
}

// probeSchedule decides when a control host checks by a read.
type probeSchedule struct {
	suspect  hingegroup.Reason
	checking bool
	probedAt time.Time
}

// due reports whether to check now: at once when a fault is suspected or a suspicion changes, and every
// probeInterval while one lasts. A suspicion that ends is followed by one check, so that the end of an
// outage is noticed.
func (p *probeSchedule) due(now time.Time, suspect hingegroup.Reason, failing bool) bool {
	suspected := suspect != "" || failing
	changed := suspect != p.suspect || suspected != p.checking
	if !suspected && !changed || !changed && now.Sub(p.probedAt) < probeInterval {
		return false
	}
	p.suspect = suspect
	p.checking = suspected
	p.probedAt = now
	return true
}

// readCounts counts the operators' reads by their result. It is safe for concurrent use.
type readCounts struct {
	mu         sync.Mutex
	answered   uint64
	failed     map[hingegroup.Reason]uint64
	lastFailed bool
	// unrecorded are the failures since the last event on failed reads, which was recorded at recordedAt.
	unrecorded int64
	last       error
	recordedAt time.Time
}

type failedReads struct {
	count int64
	last  error
}

func (r *readCounts) add(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.answered++
		r.lastFailed = false
		return
	}
	if r.failed == nil {
		r.failed = make(map[hingegroup.Reason]uint64)
	}
	reason := reasonOf(err)
	r.failed[reason]++
	r.lastFailed = reason != noConfiguration
	r.unrecorded++
	r.last = err
	if r.recordedAt.IsZero() {
		r.recordedAt = now.Add(-outageInterval)
	}
}

// takeSummary returns the failures to record now, at most once every outageInterval.
func (r *readCounts) takeSummary(now time.Time) (failedReads, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unrecorded == 0 || now.Sub(r.recordedAt) < outageInterval {
		return failedReads{}, false
	}
	s := failedReads{
		count: r.unrecorded,
		last:  r.last,
	}
	r.unrecorded = 0
	r.recordedAt = now
	return s, true
}

// failing reports whether the last read failed, by an operator or by a check.
func (r *readCounts) failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFailed
}

// setResult sets the result of a check.
func (r *readCounts) setResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailed = err != nil
}

// write writes the counts in the Prometheus text format.
func (r *readCounts) write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, "swifthinge_config_reads_total %d\n", r.answered)
	for _, reason := range slices.Sorted(maps.Keys(r.failed)) {
		_, _ = fmt.Fprintf(w, "swifthinge_config_reads_failed_total{reason=%q} %d\n", reason, r.failed[reason])
	}
}
