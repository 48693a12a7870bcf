package hingecontrol

import (
	"context"
	"fmt"
	"io"
	"time"

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

// Poisons is where the list of the requests that end servers is published.
func (c *Control) Poisons() *hingeboard.Cell[hingepoison.List] {
	return c.machine.Poisons()
}

// Poison gives what the list says of a request.
func (c *Control) Poison(p hingeids.Print) hingepoison.Listed {
	return c.Poisons().Load().At(time.Now(), p)
}

// Agree has a record put on the list.
func (c *Control) Agree(r hingepoison.Record) {
	c.list(hingeshared.Change{
		Record: r,
	})
}

// WriteMetrics writes the control host's metrics as text.
func (c *Control) WriteMetrics(w io.Writer) {
	// A reader that left needs no answer.
	_, _ = fmt.Fprintf(w, "swifthinge_poison_requests %d\n", len(c.Poisons().Load().Refused()))
}

// list hands a change to whoever proposes them, who waits for disks. The placer mustn't.
func (c *Control) list(x hingeshared.Change) {
	select {
	case c.changes <- x:
	default:
	}
}

// proposeList has changes of the list agreed on.
func (c *Control) proposeList(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case x := <-c.changes:
			if err := c.proposeChange(ctx, x); err != nil {
				// The placer, or the next leader's, asks for it again.
				c.options.Recorder.Record(time.Now(), hingeevents.PoisonNotAgreed, hingeevents.Fields{
					Print:  x.Record.Print,
					Detail: err.Error(),
				})
			}
		}
	}
}

func (c *Control) proposeChange(ctx context.Context, x hingeshared.Change) error {
	body, err := x.Encode()
	if err != nil {
		return err
	}
	one, stop := context.WithTimeout(ctx, listTime)
	defer stop()
	_, err = c.group.Propose(one, body)
	return err
}
