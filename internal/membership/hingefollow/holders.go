package hingefollow

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// ErrHeldHereOnly is returned while no other control host has a change.
var ErrHeldHereOnly = eris.New("no other control host has received the change yet")

// maxHoldWait bounds the wait for another control host. A server waits a second for its acknowledgement.
const maxHoldWait = 500 * time.Millisecond

// holders are the other control hosts, with the last change of this host's directory that each has merged.
type holders struct {
	upTo map[hingeids.HostID]uint64
	// changed is closed at the next change of upTo.
	changed chan struct{}
}

func newHolders() holders {
	return holders{
		upTo:    make(map[hingeids.HostID]uint64),
		changed: make(chan struct{}),
	}
}

// note notes what a control host has merged when it polls. One that was restarted has nothing.
func (h *holders) note(from hingeids.HostID, upTo uint64) {
	if h.upTo[from] == upTo {
		return
	}
	h.upTo[from] = upTo
	renew(&h.changed)
}

// have reports whether another control host has a change.
func (h *holders) have(revision uint64) bool {
	for _, upTo := range h.upTo {
		if upTo >= revision {
			return true
		}
	}
	return false
}

// AwaitLeaving waits until another control host knows that a server leaves (rule 15). It returns ErrHeldHereOnly if none
// does in time. Only the one member of a group needs no other; a host that knows no members yet isn't one.
func (s *Source) AwaitLeaving(ctx context.Context, id hingeids.ServerID) error {
	if slices.Equal(s.origin.GroupStatus().Members, []hingeids.HostID{s.host}) {
		return nil
	}
	waitCtx, stop := context.WithTimeout(ctx, maxHoldWait)
	defer stop()
	for {
		s.mu.Lock()
		revision, local := s.directory.LocalLeaving(id)
		held := !local || s.holders.have(revision)
		changed := s.holders.changed
		s.mu.Unlock()
		if held {
			return nil
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
			return ErrHeldHereOnly
		}
	}
}
