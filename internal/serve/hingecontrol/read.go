package hingecontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// ErrNoConfiguration is returned by ReadDocument while no configuration has been accepted.
var ErrNoConfiguration = eris.New("no configuration yet")

// noConfiguration is the reason of ErrNoConfiguration, besides those of hingegroup.
const noConfiguration hingegroup.Reason = "noConfiguration"

// ReadDocument returns a configuration that is at least as new as any that was accepted before the call
// (rule 2). If this host's own copy is older, it is the leader's. The error says why there is none.
func (c *Control) ReadDocument(ctx context.Context) (*hingeversion.Document, error) {
	d, err := c.readDocument(ctx)
	now := hingeclock.BootTime()
	c.reads.add(now, err)
	if summary, due := c.reads.takeSummary(now); due {
		c.options.Recorder.Record(time.Now(), hingeevents.ConfigReadFailed, hingeevents.Fields{
			Count:  summary.count,
			Detail: summary.last.Error(),
		})
	}
	return d, err
}

func (c *Control) readDocument(ctx context.Context) (*hingeversion.Document, error) {
	state, err := c.group.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	m := hingeversion.New()
	if err := m.Restore(state); err != nil {
		return nil, err
	}
	d := m.Documents().Load()
	if d.Version == 0 {
		return nil, ErrNoConfiguration
	}
	return d, nil
}

// exportDocument returns the published configuration for readers on other hosts.
func (c *Control) exportDocument() []byte {
	b, err := c.machine.Documents().Load().Encode()
	if err != nil {
		// A number and a byte string can always be encoded.
		panic(err)
	}
	return b
}

// contacts returns the control hosts that the follower knows.
func (c *Control) contacts() []hingeids.HostID {
	var out []hingeids.HostID
	for _, x := range c.follower.State().Load().ControlHosts {
		out = append(out, x.Host)
	}
	return out
}

// reasonOf returns the reason of a failed read.
func reasonOf(err error) hingegroup.Reason {
	if errors.Is(err, ErrNoConfiguration) {
		return noConfiguration
	}
	if u := (*hingegroup.Unavailable)(nil); errors.As(err, &u) {
		return u.Reason
	}
	return "other"
}

const (
	// watchInterval is how often a control host checks whether it knows of a fault, and probeInterval how
	// often it reads meanwhile.
	watchInterval = 125 * time.Millisecond
	probeInterval = 500 * time.Millisecond
)

// watchReads records when the configuration can't be read here, also when nobody requests it. A host
// that suspects no fault sends nothing.
func (c *Control) watchReads(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var o outage
	var s probeSchedule
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		started := hingeclock.BootTime()
		if !s.due(started, c.group.Diagnose(started).Suspect, c.reads.failing()) {
			continue
		}
		failure := c.probe(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.reads.setResult(failure)
		now := hingeclock.BootTime()
		if e, due := o.step(started, now, failure, c.group.Diagnose(now)); due {
			c.options.Recorder.Record(time.Now(), e.number, e.fields)
		}
		since := o.since
		c.unreadableSince.Store(&since)
	}
}

// probe reads as an operator does. A group without a configuration can be read.
func (c *Control) probe(ctx context.Context) error {
	probeCtx, stop := context.WithTimeout(ctx, 2*electionTimeout)
	defer stop()
	_, err := c.group.ReadState(probeCtx)
	return err
}

// writeMetrics writes the metrics of reads and of records of servers in the Prometheus text format.
func (c *Control) writeMetrics(w io.Writer) {
	c.view.Load().WriteMetrics(w)
	// A failed write means that the client has disconnected.
	c.refusalCounts.write(w)
	_, _ = fmt.Fprintf(w, "swifthinge_announcements_held %d\n", c.early.count())
	c.reads.write(w)
	unreadable := time.Duration(0)
	if since := c.unreadableSince.Load(); since != nil && !since.IsZero() {
		unreadable = hingeclock.BootTime().Sub(*since)
	}
	_, _ = fmt.Fprintf(w, "swifthinge_config_unreadable_seconds %g\n", unreadable.Seconds())
	_, _ = fmt.Fprintf(w, "swifthinge_records_contradicted_total %d\n", c.contradictedCount.Load())
}
