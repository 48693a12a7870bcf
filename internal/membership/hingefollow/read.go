package hingefollow

import (
	"context"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
)

// readFromLeader confirms that the configuration of this host is the newest. The timeout covers a leader
// that has failed silently.
func (s *Source) readFromLeader(ctx context.Context) bool {
	ok, _ := s.reads.Do(ctx, func() bool {
		readCtx, stop := context.WithTimeout(context.Background(), leaderReadTimeout)
		defer stop()
		return s.origin.Read(readCtx) == nil
	})
	if !ok {
		// Keeps the follower from polling in a busy loop.
		hingeclock.Sleep(ctx, retryDelay)
	}
	return ok
}
