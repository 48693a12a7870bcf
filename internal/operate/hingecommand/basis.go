package hingecommand

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

// baseConfiguration is the configuration that the files are compared with.
type baseConfiguration struct {
	hingeadmin.Snapshot
	// accepted is set if the change is a resend that was accepted before.
	accepted *hingeadmin.AcceptedChange
}

// baseConfiguration returns the configuration at the expected revision (Rule 3),
// or the newest one if hosts no longer retain the expected one: newer revisions
// may only record the instances of hosts, and requiring the newest would
// invalidate the operators' files whenever a host restarts. The log rejects the
// change if an operator's change lies between the two revisions.
func (p *program) baseConfiguration(ctx context.Context, c *cli.Command, entries []string) (baseConfiguration, error) {
	var b baseConfiguration
	expected := c.Uint64("expect")
	if expected == 0 {
		return b, nil
	}
	_, err := p.client.getAny(ctx, entries, fmt.Sprintf("/v1/configuration?revision=%d", expected), &b.Snapshot)
	if err == nil || !isRevisionNotRetained(err) {
		return b, err
	}
	if b.accepted, err = p.findAccepted(ctx, c.String("change-id"), entries); err != nil || b.accepted != nil {
		return b, err
	}
	_, err = p.client.getAny(ctx, entries, "/v1/configuration", &b.Snapshot)
	return b, err
}

// findAccepted looks up a resent change in the history. The puts and deletes of
// the change can't be recomputed after a newer revision, and the log would reject
// the resend as a change with other content.
func (p *program) findAccepted(ctx context.Context, id string, entries []string) (*hingeadmin.AcceptedChange, error) {
	if id == "" {
		return nil, nil
	}
	var h hingeadmin.History
	if _, err := p.client.getAny(ctx, entries, "/v1/history", &h); err != nil {
		return nil, err
	}
	for _, x := range h.Changes {
		if string(x.ChangeID) == id {
			x.Repeated = true
			return &x, nil
		}
	}
	return nil, nil
}

func makeChange(c *cli.Command, base map[string]string, items hingeinventory.Items) hingeadmin.Change {
	puts, deletes := hingeinventory.Difference(hingeadmin.ToItems(base), items)
	id := hingeadmin.ChangeID(c.String("change-id"))
	if id == "" {
		id = hingeadmin.ChangeID(rand.Text())
	}
	return hingeadmin.Change{
		ChangeID:         id,
		ExpectedRevision: hingeids.Revision(c.Uint64("expect")),
		Operator:         c.String("operator"),
		Puts:             hingeadmin.FromItems(puts),
		Deletes:          deletes,
	}
}
