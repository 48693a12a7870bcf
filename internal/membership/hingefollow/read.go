package hingefollow

import (
	"context"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
)

// readFromLeader returns a version that is at least as new as any accepted before the call, and zero if that can't be
// confirmed. The timeout covers a leader that has failed silently.
func (s *Source) readFromLeader(ctx context.Context) hingeversion.Version {
	newest, _ := s.reads.Do(ctx, func() hingeversion.Version {
		readCtx, stop := context.WithTimeout(context.Background(), leaderReadTimeout)
		defer stop()
		v, err := s.origin.Read(readCtx)
		if err != nil {
			// The follower asks again, or another host.
			return 0
		}
		return v
	})
	if newest == 0 {
		// Keeps the follower from polling in a busy loop.
		hingeclock.Sleep(ctx, retryDelay)
	}
	return newest
}
