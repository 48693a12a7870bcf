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
	// listQueue is how many changes of the list may wait; those beyond are found again.
	listQueue = 64
	// listTime bounds one change, which takes a sync at two disks and a round trip.
	listTime = 2 * time.Second
)

// PoisonRequests is where the list of the requests that end servers is published.
func (c *Control) PoisonRequests() *hingeboard.Cell[hingepoison.List] {
	return c.machine.PoisonRequests()
}

// PoisonEntry gives what the list says of a request.
func (c *Control) PoisonEntry(p hingeids.Fingerprint) hingepoison.Listed {
	return c.PoisonRequests().Load().At(time.Now(), p)
}

// Propose hands a record to whoever proposes it, who waits for disks. The placer mustn't.
func (c *Control) Propose(r hingepoison.Record) {
	select {
	case c.changes <- r:
	default:
		c.notAgreed(r, eris.New("too many changes wait"))
	}
}

// WriteMetrics writes the control host's metrics as text.
func (c *Control) WriteMetrics(w io.Writer) {
	// A reader that left needs no answer.
	_, _ = fmt.Fprintf(w, "swifthinge_poison_requests %d\n", len(c.PoisonRequests().Load().Refused()))
}

// proposeList has changes of the list agreed on.
func (c *Control) proposeList(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.changes:
			if err := c.proposeRecord(ctx, r); err != nil {
				c.notAgreed(r, err)
			}
		}
	}
}

// notAgreed records a change that came to nothing. The placer, or the next leader's, asks for a request that was found again; one that was
// tried stays due, and is tried again.
func (c *Control) notAgreed(r hingepoison.Record, err error) {
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
	one, stop := context.WithTimeout(ctx, listTime)
	defer stop()
	_, err = c.group.Propose(one, body)
	return err
}
