package hingefollow

import (
	"context"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// versionQueryMaxAge is how long callers share a query, which limits a host to
	// ten queries per second. A configuration that was accepted within this time
	// before the call may be missed.
	versionQueryMaxAge = 100 * time.Millisecond
	// versionQueryHosts is the number of control hosts that are queried in turn, each
	// with versionQueryTimeout.
	versionQueryHosts   = 3
	versionQueryTimeout = 200 * time.Millisecond
)

// versionQuery is a query for the newest version. version and known are set before
// done is closed.
type versionQuery struct {
	started time.Time
	done    chan struct{}
	version hingeversion.Version
	known   bool
}

// NewestVersion returns the version of the newest configuration accepted before the
// call, to within versionQueryMaxAge. The follower holds that configuration when
// NewestVersion returns. It returns false if no control host confirmed one (rule 8).
func (f *Follower) NewestVersion(ctx context.Context) (hingeversion.Version, bool) {
	q := f.currentQuery(f.settings.Clock())
	select {
	case <-q.done:
		return q.version, q.known
	case <-ctx.Done():
		return 0, false
	}
}

func (f *Follower) currentQuery(now time.Time) *versionQuery {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q := f.newestQuery; q != nil && now.Sub(q.started) < versionQueryMaxAge {
		return q
	}
	q := &versionQuery{
		started: now,
		done:    make(chan struct{}),
	}
	f.newestQuery = q
	go f.runQuery(q)
	return q
}

// runQuery queries hosts in turn, for at most versionQueryHosts times
// versionQueryTimeout.
func (f *Follower) runQuery(q *versionQuery) {
	defer close(q.done)
	for _, id := range f.queryCandidates() {
		ctx, stop := context.WithTimeout(context.Background(), versionQueryTimeout)
		confirmed := f.confirmNewest(ctx, id)
		stop()
		if confirmed {
			q.version = f.state.Load().Document.Version
			q.known = true
			return
		}
	}
}

// The hosts that reported a leader in their last response come first, in order of
// rank.
func (f *Follower) queryCandidates() []hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.ranked(f.settings.Clock())
	slices.SortStableFunc(list, func(a, b hingeids.HostID) int {
		return f.hosts[b].leaderRank() - f.hosts[a].leaderRank()
	})
	return list[:min(len(list), versionQueryHosts)]
}

// leaderRank is 1 for a host that reported a leader in its last response and has not failed since, else 0.
func (h *host) leaderRank() int {
	if h.hasLeader && !h.unresponsive {
		return 1
	}
	return 0
}

// confirmNewest applies the host's response and reports whether the follower now
// holds the newest version, as confirmed by the leader.
func (f *Follower) confirmNewest(ctx context.Context, id hingeids.HostID) bool {
	f.mu.Lock()
	h := f.hosts[id]
	if h == nil {
		f.mu.Unlock()
		return false
	}
	q := followRequest{
		Incarnation:   h.incarnation,
		Change:        h.change,
		Version:       f.state.Load().Document.Version,
		ConfirmNewest: true,
		EntryHost:     f.settings.EntryHost,
		Single:        true,
		DigestsOnly:   true,
		Parts:         true,
	}
	f.mu.Unlock()
	resp, err := f.call(ctx, id, q)
	if err != nil {
		// The next control host is queried.
		return false
	}
	f.apply(f.settings.Clock(), id, h, resp)
	return resp.NewestConfirmed && f.state.Load().Document.Version >= resp.Version
}
