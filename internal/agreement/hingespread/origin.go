package hingespread

import (
	"context"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
)

// DiskOrigin is the Origin of a disk host, a member of the consensus group.
type DiskOrigin struct {
	Group   *hingegroup.Group
	Machine *hingeconfig.Machine
}

var _ Origin = DiskOrigin{}

// Views returns the cell in which the state machine publishes accepted revisions.
func (d DiskOrigin) Views() *hingeboard.Cell[hingeconfig.View] {
	return d.Machine.Views()
}

// Read reads the newest index from the leader and waits until the state machine has
// applied it.
func (d DiskOrigin) Read(ctx context.Context) error {
	_, err := d.Group.Read(ctx)
	return err
}

// HasLeader reports whether the group knows a leader.
func (d DiskOrigin) HasLeader() bool {
	return d.Group.Leader() != ""
}
