package hingefront

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// behindCheckInterval is how often the host compares what is in force with what it knows of.
	behindCheckInterval = 500 * time.Millisecond
	// maxBehind is how long an older configuration may stay in force before that is recorded, and behindInterval how often
	// it is then recorded again.
	maxBehind      = 2 * time.Second
	behindInterval = 5 * time.Second
)

// behind returns for how long the host has known of a newer configuration than the one in force, zero if there is none.
func behind(now time.Time, inForce uint64, s *hingefollow.State) time.Duration {
	if uint64(s.Newest) <= inForce {
		return 0
	}
	return now.Sub(s.NewestSince)
}

func (f *Front) behind(now time.Time) time.Duration {
	inForce := uint64(0)
	if t := f.Table(); t != nil {
		inForce = t.Version
	}
	return behind(now, inForce, f.follower.State().Load())
}

// watchBehind records that an older configuration stays in force here.
func (f *Front) watchBehind(ctx context.Context) error {
	ticker := time.NewTicker(behindCheckInterval)
	defer ticker.Stop()
	var recordedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := hingeclock.BootTime()
		lag := f.behind(now)
		if lag < maxBehind || now.Sub(recordedAt) < behindInterval {
			continue
		}
		recordedAt = now
		f.record(hingeevents.RevisionBehind, hingeevents.Fields{
			Revision: hingeids.Revision(f.follower.State().Load().Newest),
			Elapsed:  lag,
		})
	}
}
