package hingefollow

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

type host struct {
	lastNamed   time.Time
	lastSeen    time.Time
	incarnation hingeids.Incarnation
	change      uint64
	zone        hingeids.Zone
	hasLeader   bool
	// followers and members are the last lists that it sent, with their digests.
	followers       FollowerSet
	followersDigest uint64
	members         []memberInfo
	membersDigest   uint64
	// backup is the number of hosts that are preferred to this one. The first sends new
	// configurations (rule 6), and to an entry host the records of servers (rule 10).
	// documentLate is set if the host reported the version of a configuration that hasn't
	// arrived.
	backup       int
	documentLate bool
	// sending is set while it has further changes (rule 11). synced is set once it had none,
	// and resync if the next poll has to request all changes.
	sending bool
	synced  bool
	resync  bool
	// named are the digests that it sent since its restart, nil once the records that it lacks were returned to it, which
	// is due at returnAt (rule 14).
	named        map[hingeannounce.Digest]bool
	returnAt     time.Time
	pollingSince time.Time
	stop         context.CancelFunc
	polling      bool
}

// refreshHosts implements rules 1 and 3.
func (f *Follower) refreshHosts(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.seeds {
		f.markNamed(now, h)
	}
	for id, h := range f.hosts {
		if now.Sub(h.lastNamed) > removeAfter && now.Sub(h.lastSeen) > removeAfter {
			h.stopPolling()
			delete(f.hosts, id)
		}
	}
	for i, id := range f.ranked(now) {
		h := f.hosts[id]
		if f.settings.EntryHost && i >= maxFollowed {
			h.stopPolling()
			continue
		}
		h.backup = i
		if h.polling {
			continue
		}
		h.polling = true
		h.pollingSince = now
		var pollCtx context.Context
		pollCtx, h.stop = context.WithCancel(ctx)
		f.pollers.Go(func() {
			f.poll(pollCtx, id, h)
		})
	}
}

func (h *host) stopPolling() {
	if h.polling {
		h.stop()
		h.polling = false
	}
}

// ranked returns the control hosts in order of preference (rule 1). A polled host whose
// response is overdue comes last. The caller holds the lock.
func (f *Follower) ranked(now time.Time) []hingeids.HostID {
	rank := func(id hingeids.HostID) int {
		h := f.hosts[id]
		switch {
		case h.polling && now.Sub(hingeclock.Later(h.lastSeen, h.pollingSince)) > longPollTime+responseGrace:
			return 2
		case h.zone == f.settings.Zone:
			return 0
		}
		return 1
	}
	list := slices.Collect(maps.Keys(f.hosts))
	slices.SortFunc(list, func(a, b hingeids.HostID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(f.hashRank(a), f.hashRank(b)))
	})
	return list
}

// The order differs for each follower, which spreads the followers over the control
// hosts.
func (f *Follower) hashRank(id hingeids.HostID) uint64 {
	return xxhash.Sum64String(string(f.settings.Self) + "/" + string(id))
}

// The caller holds the lock.
func (f *Follower) markNamed(now time.Time, id hingeids.HostID) {
	if id == f.settings.Self {
		return
	}
	h := f.hosts[id]
	if h == nil {
		h = &host{}
		f.hosts[id] = h
	}
	h.lastNamed = now
}

// The hosts are ordered by name. The caller holds the lock.
func (f *Follower) controlHosts() []ControlHost {
	out := make([]ControlHost, 0, len(f.hosts))
	for id, h := range f.hosts {
		out = append(out, ControlHost{
			Host:        id,
			Zone:        h.zone,
			HasLeader:   h.hasLeader,
			LastSeen:    h.lastSeen,
			FollowerSet: h.followers,
		})
	}
	slices.SortFunc(out, func(a, b ControlHost) int {
		return cmp.Compare(a.Host, b.Host)
	})
	return out
}
