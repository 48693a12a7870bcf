package hingespread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// maxDifferenceRevisions is the largest number of revisions for which a
	// difference is sent. Beyond that, sending all documents is cheaper (rule 2).
	maxDifferenceRevisions = 64
	// minPollTime and maxPollTime bound how long a source holds a request. A follower
	// detects a failed source after the poll time and responseGrace, so a change is
	// in force within three seconds. The poll time grows with the number of
	// followers, which limits the request rate.
	minPollTime   = 500 * time.Millisecond
	maxPollTime   = 2 * time.Second
	responseGrace = 500 * time.Millisecond
	// batchDelay is the delay between a change and the response. A disk host that
	// catches up applies hundreds of changes in a burst, which followers should get
	// in one response.
	batchDelay        = 5 * time.Millisecond
	leaderReadTimeout = time.Second
	// confirmRetryDelay is how long a follower that isn't ready waits for its response if the leader's confirmation was
	// refused, which may take no time at all. It would poll in a busy loop otherwise.
	confirmRetryDelay = 50 * time.Millisecond
	// maxPollTimeFollowers is the number of followers at which the poll time reaches
	// maxPollTime.
	maxPollTimeFollowers = 200
)

// Origin provides a disk host's own copy of the configuration.
type Origin interface {
	// Views returns the cell in which accepted revisions are published.
	Views() *hingeboard.Cell[hingeconfig.View]
	// Read waits until the published view includes all changes accepted before the call.
	Read(ctx context.Context) error
	// HasLeader reports whether the host hears a leader.
	HasLeader() bool
}

type source struct {
	origin    Origin
	clock     func() time.Time
	mu        sync.Mutex
	followers map[hingeids.HostID]followerState
}

// lagSince is zero while the follower isn't behind.
type followerState struct {
	applied  hingeids.Revision
	lastSeen time.Time
	lagSince time.Time
}

func newSource(o Origin, clock func() time.Time) *source {
	return &source{
		origin:    o,
		clock:     clock,
		followers: make(map[hingeids.HostID]followerState),
	}
}

func (s *source) handleFollow(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	q, err := decode[request](body)
	if err != nil {
		return nil, err
	}
	pollTime := s.recordFollower(s.clock(), from, q.Applied)
	newestConfirmed := q.ConfirmNewest && s.readFromLeader(ctx)
	switch {
	case !q.ConfirmNewest:
		s.waitForChange(ctx, q.Applied, pollTime)
	case !newestConfirmed:
		s.waitForChange(ctx, q.Applied, confirmRetryDelay)
	}
	v := s.origin.Views().Load()
	resp := response{
		Revision:        v.Revision,
		HasLeader:       s.origin.HasLeader(),
		NewestConfirmed: newestConfirmed,
		PollTime:        pollTime,
	}
	if v.Revision > q.Applied {
		d := difference(v, q.Applied)
		resp.Difference = &d
	}
	return encode(resp), nil
}

// The timeout covers a leader that has failed silently.
func (s *source) readFromLeader(ctx context.Context) bool {
	readCtx, stop := context.WithTimeout(ctx, leaderReadTimeout)
	defer stop()
	return s.origin.Read(readCtx) == nil
}

func difference(v *hingeconfig.View, applied hingeids.Revision) hingeconfig.Difference {
	if v.Revision-applied > maxDifferenceRevisions {
		return v.FullDifference()
	}
	d, ok := v.Diff(applied, v.Revision)
	if !ok || d.Bytes() > hingeconfig.MaxTotalBytes {
		return v.FullDifference()
	}
	return d
}

// waitForChange returns batchDelay after there is a newer revision, or after the poll
// time.
func (s *source) waitForChange(ctx context.Context, applied hingeids.Revision, pollTime time.Duration) {
	timer := time.NewTimer(pollTime)
	defer timer.Stop()
	for {
		changed := s.origin.Views().Changed()
		if s.origin.Views().Load().Revision > applied {
			timer.Reset(batchDelay)
			changed = nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// The result is the follower's poll time.
func (s *source) recordFollower(now time.Time, from hingeids.HostID, applied hingeids.Revision) time.Duration {
	newest := s.origin.Views().Load().Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.followers[from]
	switch {
	case applied >= newest:
		f.lagSince = time.Time{}
	case f.lagSince.IsZero():
		f.lagSince = now
	}
	f.applied = applied
	f.lastSeen = now
	s.followers[from] = f
	pollTime := maxPollTime * time.Duration(len(s.followers)) / maxPollTimeFollowers
	return min(max(pollTime, minPollTime), maxPollTime)
}

// lags returns the lag of all followers, the furthest behind first. A follower that
// was current and has sent no request since a change lags since its last request.
func (s *source) lags() []Lag {
	newest := s.origin.Views().Load().Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Lag
	for h, f := range s.followers {
		l := Lag{
			Host:     h,
			Applied:  f.applied,
			Newest:   newest,
			LastSeen: f.lastSeen.UnixNano(),
		}
		if f.applied < newest {
			l.LagSince = f.lastSeen.UnixNano()
		}
		if !f.lagSince.IsZero() {
			l.LagSince = f.lagSince.UnixNano()
		}
		out = append(out, l)
	}
	sortLags(out)
	return out
}

func sortLags(list []Lag) {
	slices.SortFunc(list, func(a, b Lag) int {
		if a.Applied != b.Applied {
			return int(int64(a.Applied) - int64(b.Applied))
		}
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
}
