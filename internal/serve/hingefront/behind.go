package hingefront

import (
	"context"
	"fmt"
	"io"
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

// silence returns for how long no control host has responded, at a host that was started at a time. What such a host
// serves by may be old, though it knows of nothing newer.
func silence(now, startedAt time.Time, s *hingefollow.State) time.Duration {
	last := startedAt
	for _, c := range s.ControlHosts {
		last = hingeclock.Later(last, c.LastSeen)
	}
	return now.Sub(last)
}

func (f *Front) inForce() uint64 {
	if t := f.Table(); t != nil {
		return t.Version
	}
	return 0
}

// watchBehind records that an older configuration stays in force here, and that no control host responds.
func (f *Front) watchBehind(ctx context.Context) error {
	ticker := time.NewTicker(behindCheckInterval)
	defer ticker.Stop()
	var oldConfig, silent repeated
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := hingeclock.BootTime()
		s := f.follower.State().Load()
		if lag := behind(now, f.inForce(), s); oldConfig.due(now, lag >= maxBehind) {
			f.record(hingeevents.RevisionBehind, hingeevents.Fields{
				Revision: hingeids.Revision(s.Newest),
				Elapsed:  lag,
			})
		}
		if quiet := silence(now, f.startedAt, s); silent.due(now, quiet >= controlTimeout) {
			f.record(hingeevents.ControlSilent, hingeevents.Fields{
				Revision: hingeids.Revision(f.inForce()),
				Count:    int64(len(s.ControlHosts)),
				Elapsed:  quiet,
			})
		}
	}
}

// repeated decides when a condition is recorded: when it begins, and every behindInterval while it lasts.
type repeated struct {
	recordedAt time.Time
}

func (r *repeated) due(now time.Time, holds bool) bool {
	if !holds {
		r.recordedAt = time.Time{}
		return false
	}
	if !r.recordedAt.IsZero() && now.Sub(r.recordedAt) < behindInterval {
		return false
	}
	r.recordedAt = now
	return true
}

// writeConfigMetrics writes what the host serves by, and how old that may be.
func (f *Front) writeConfigMetrics(now time.Time, w io.Writer) {
	s := f.follower.State().Load()
	f.view.Load().WriteMetrics(w)
	// A failed write means that the client has disconnected.
	_, _ = fmt.Fprintf(w, "swifthinge_config_version_known %d\n", max(uint64(s.Newest), f.inForce()))
	_, _ = fmt.Fprintf(w, "swifthinge_config_behind_seconds %g\n", behind(now, f.inForce(), s).Seconds())
	_, _ = fmt.Fprintf(w, "swifthinge_control_silent_seconds %g\n", silence(now, f.startedAt, s).Seconds())
}
