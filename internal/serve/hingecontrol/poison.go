package hingecontrol

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeshared"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// recordQueueSize limits how many changes of the list wait. Those beyond are dropped: the placer
	// detects the request again.
	recordQueueSize = 64
	// proposeTimeout limits the time of one proposal, which normally takes a sync on two disks and a
	// round trip.
	proposeTimeout = 2 * time.Second
)

// PoisonRequests returns the cell with the list of poison requests.
func (c *Control) PoisonRequests() *hingeboard.Cell[hingepoison.List] {
	return c.machine.PoisonRequests()
}

// PoisonEntry returns the list's entry for a fingerprint.
func (c *Control) PoisonEntry(fingerprint hingeids.Fingerprint) hingepoison.Listed {
	return c.PoisonRequests().Load().At(time.Now(), fingerprint)
}

// Propose queues a record to be proposed. It doesn't block, as the placer must not wait for disks.
func (c *Control) Propose(r hingepoison.Record) {
	select {
	case c.pendingRecords <- r:
	default:
		c.recordProposalFailure(r, eris.New("the queue of changes to the list is full"))
	}
}

// WriteMetrics writes the control host's metrics in the Prometheus text format.
func (c *Control) WriteMetrics(w io.Writer) {
	// A failed write means that the client has disconnected.
	_, _ = fmt.Fprintf(w, "swifthinge_poison_requests %d\n", len(c.PoisonRequests().Load().Refused()))
	c.writeMetrics(w)
}

func (c *Control) proposeRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.pendingRecords:
			if err := c.proposeRecord(ctx, r); err != nil {
				c.recordProposalFailure(r, err)
			}
		}
	}
}

// recordProposalFailure records a change that wasn't accepted. A newly detected request is proposed
// again by this placer or the next leader's; after a failed probe the next probe remains due.
func (c *Control) recordProposalFailure(r hingepoison.Record, err error) {
	c.options.Recorder.Record(time.Now(), hingeevents.PoisonNotAgreed, hingeevents.Fields{
		Fingerprint: r.Fingerprint,
		Detail:      err.Error(),
	})
}

func (c *Control) proposeRecord(ctx context.Context, r hingepoison.Record) error {
	body, err := hingeshared.Change{
		Record: r,
	}.Encode()
	if err != nil {
		return err
	}
	proposeCtx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	_, err = c.group.Propose(proposeCtx, body)
	return err
}
