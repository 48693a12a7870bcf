package hingespread

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

// refusingOrigin is the copy of a leader whose lease has lapsed: it hears a leader, itself, and refuses reads at once.
type refusingOrigin struct {
	views hingeboard.Cell[hingeconfig.View]
	reads atomic.Int64
}

func (r *refusingOrigin) Views() *hingeboard.Cell[hingeconfig.View] {
	return &r.views
}

func (r *refusingOrigin) Read(context.Context) error {
	r.reads.Add(1)
	return eris.New("the lease has lapsed")
}

func (r *refusingOrigin) HasLeader() bool {
	return true
}

// Guards against a host that isn't ready and polls itself without any wait, with a whole core and ever more memory, while reads
// are refused at once. It runs on the real clock: on a fake one such a loop keeps the time from passing.
func TestRefusedConfirmationIsNotRetriedInABusyLoop(t *testing.T) {
	o := &refusingOrigin{}
	o.views.Store(&hingeconfig.View{})
	peers := []Peer{
		{
			Host:    "cancale-1",
			Zone:    "cancale",
			HasDisk: true,
		},
	}
	r := New(Settings{
		Self: hingeids.Instance{
			Host:        "cancale-1",
			Incarnation: 1,
		},
		Zone:  "cancale",
		Peers: peers,
		Clock: time.Now,
	}, hingefake.NewNetwork().Link("cancale-1"), o)
	const duration = 500 * time.Millisecond
	ctx, stop := context.WithTimeout(t.Context(), duration)
	defer stop()
	if err := r.Run(ctx); err != nil {
		t.Fatal(err)
	}
	// One poll each confirmRetryDelay, and those at the start and at the end.
	if limit := int64(duration/confirmRetryDelay) + 2; o.reads.Load() > limit {
		t.Errorf("%d reads in %v, want at most %d", o.reads.Load(), duration, limit)
	}
}
