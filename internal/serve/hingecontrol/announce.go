package hingecontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Announce handles the announcement of a backend server. If the server leaves, it returns once another control host knows
// of it, or hingefollow.ErrHeldHereOnly. An announcement of a service that isn't configured is accepted if the server is
// known with that service, which was dropped, or else held until the service is configured (earlyAnnouncements).
func (c *Control) Announce(ctx context.Context, now time.Time, a hingeannounce.Announcement) error {
	held, err := c.early.hold(now, a, c.accepts)
	if held || err != nil {
		return err
	}
	if err := c.source.HandleAnnouncement(now, a); err != nil || !a.Leaving {
		return err
	}
	return c.source.AwaitLeaving(ctx, a.Server)
}

// accepts reports whether an announcement is for the directory: its service is configured, or the server is known with it.
func (c *Control) accepts(a hingeannounce.Announcement) bool {
	if c.view.Load().Table().HasService(a.Service) {
		return true
	}
	known, found := c.source.ServiceOf(a.Server)
	return found && known == a.Service
}

// handleEarly handles the announcements that were held for services that are configured now. It leaves out those of a server of
// which only its leaving is known: it may have left at another host, without the time of its start. It also leaves out those
// whose address a known server has: that may have got it since. A server that runs announces itself again.
func (c *Control) handleEarly(now time.Time, isClaimed func(address string) bool) {
	for _, x := range c.early.take(now, c.accepts) {
		if s, found := c.source.ServiceOf(x.Server); found && s == "" || isClaimed(x.Address) {
			continue
		}
		if err := c.source.HandleAnnouncement(x.receivedAt, x.Announcement); err != nil {
			c.RecordRefusal(now, x.Server, err)
		}
	}
}

func (c *Control) mergeRecords(now time.Time, records []hingeannounce.Record) {
	c.source.Merge(now, records)
	if x := c.source.TakeContradicted(); x.Count > 0 {
		c.recordContradicted(now, x)
	}
	if c.source.TakeDirectoryFull() {
		c.options.Recorder.Record(time.Now(), hingeevents.DirectoryFull, hingeevents.Fields{
			Count:  hingeannounce.MaxServers,
			Detail: hingeannounce.ErrFull.Error(),
		})
	}
}

// HandleLeave handles the message by which a backend server announces that it leaves. The incarnation
// is zero if the message doesn't contain it. It returns as Announce does.
func (c *Control) HandleLeave(ctx context.Context, now time.Time, id hingeids.ServerID, i hingeids.Incarnation) error {
	c.early.forget(id)
	c.source.HandleLeave(now, id, i)
	return c.source.AwaitLeaving(ctx, id)
}

// recordContradicted records that reports of servers were late at other hosts.
func (c *Control) recordContradicted(now time.Time, x hingeannounce.Contradicted) {
	c.contradictedCount.Add(x.Count)
	count, ok := c.contradicted.add(now, x.Count)
	if !ok {
		return
	}
	c.options.Recorder.Record(time.Now(), hingeevents.RecordContradicted, hingeevents.Fields{
		Server: x.Server,
		Host:   x.Owner,
		Count:  count,
	})
}

// RecordRefusal records a rejected announcement. It writes at most one event per reportInterval, as
// an unrelated sender may send any number.
func (c *Control) RecordRefusal(now time.Time, id hingeids.ServerID, cause error) {
	c.refusalCounts.add(refusalOf(cause))
	count, ok := c.refusals.add(now, 1)
	if !ok {
		return
	}
	c.options.Recorder.Record(time.Now(), hingeevents.AnnouncementRefused, hingeevents.Fields{
		Server: id,
		Count:  count,
		Detail: cause.Error(),
	})
}

// refusal is why an announcement was refused, as the label of a metric.
type refusal string

const (
	refusedUnknownService refusal = "unknownService"
	refusedFull           refusal = "directoryFull"
	refusedInvalid        refusal = "invalid"
)

func refusalOf(cause error) refusal {
	switch {
	case errors.Is(cause, errUnknownService):
		return refusedUnknownService
	case errors.Is(cause, hingeannounce.ErrFull):
		return refusedFull
	}
	return refusedInvalid
}

// refusalCounts counts refused announcements by cause. It is safe for concurrent use.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[refusal]uint64
}

func (r *refusalCounts) add(x refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusal]uint64)
	}
	r.counts[x]++
}

// write writes the counts in the Prometheus text format.
func (r *refusalCounts) write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range []refusal{refusedUnknownService, refusedFull, refusedInvalid} {
		_, _ = fmt.Fprintf(w, "swifthinge_announcements_refused_total{reason=%q} %d\n", x, r.counts[x])
	}
}

// reportInterval is the least time between two events of one kind that other hosts or senders cause: thousands per
// second must not fill the log.
const reportInterval = time.Second

// occurrences counts what is recorded once in reportInterval.
type occurrences struct {
	mu           sync.Mutex
	count        int64
	lastRecorded time.Time
}

// add adds n occurrences and returns their number since the last event, and true if an event is to be recorded now.
func (o *occurrences) add(now time.Time, n int64) (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count += n
	if !o.lastRecorded.IsZero() && now.Sub(o.lastRecorded) < reportInterval {
		return 0, false
	}
	count := o.count
	o.count = 0
	o.lastRecorded = now
	return count, true
}
