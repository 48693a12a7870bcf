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
	// hasLeader is set if it had a leader in its last response; leaderlessSince is the time of the first response without one.
	hasLeader       bool
	leaderlessSince time.Time
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
	// unresponsive is set from a poll that failed, or had no response in time, to the next response (rule 16).
	unresponsive bool
}

// refreshHosts implements rules 1, 3 and 16.
func (f *Follower) refreshHosts(ctx context.Context, now time.Time) {
	var known []hingeids.HostID
	if f.settings.Known != nil {
		known = f.settings.Known()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range slices.Concat(f.seeds, known) {
		f.markNamed(now, h)
	}
	f.removeHosts(now)
	followed := f.followed(now)
	for id, h := range f.hosts {
		if !slices.Contains(followed, id) {
			h.stopPolling()
		}
	}
	for i, id := range followed {
		h := f.hosts[id]
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

// removeHosts removes the hosts that other ones, which responded meanwhile, no longer name. While none responds, as on a host that
// was cut off or suspended, all are kept: the seeds may all be gone. The caller holds the lock.
func (f *Follower) removeHosts(now time.Time) {
	for id, h := range f.hosts {
		if f.namedAt.Sub(h.lastNamed) > removeAfter && now.Sub(h.lastSeen) > removeAfter {
			h.stopPolling()
			delete(f.hosts, id)
		}
	}
}

func (h *host) stopPolling() {
	if h.polling {
		h.stop()
		h.polling = false
	}
}

// setUnresponsive marks a host from which a poll has failed.
func (f *Follower) setUnresponsive(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.unresponsive = true
}

// isOverdue reports whether a polled host has not responded in time.
func (h *host) isOverdue(now time.Time) bool {
	return h.polling && now.Sub(hingeclock.Later(h.lastSeen, h.pollingSince)) > longPollTime+responseGrace
}

// isLeaderless reports whether a host has had no leader in its responses for some time: it is probably cut off from the majority.
func (h *host) isLeaderless(now time.Time) bool {
	return !h.leaderlessSince.IsZero() && now.Sub(h.leaderlessSince) > leaderlessTime
}

// followed returns the control hosts to poll, in order of preference (rules 1 and 16). The caller holds the lock.
func (f *Follower) followed(now time.Time) []hingeids.HostID {
	for _, h := range f.hosts {
		h.unresponsive = h.unresponsive || h.isOverdue(now)
	}
	list := f.ranked(now)
	if !f.settings.EntryHost {
		return list
	}
	leaderless := f.firstOfRank(now, list, rankLeaderless)
	unresponsive := f.firstOfRank(now, list, rankUnresponsive)
	out := slices.Clone(f.spread(list[:leaderless], maxFollowed))
	// Without enough hosts that have a leader, as in a zone that is cut off, those that respond are better than none.
	fill := min(maxFollowed-len(out), unresponsive-leaderless)
	out = append(out, list[leaderless:leaderless+fill]...)
	others := list[leaderless+fill:]
	f.sortForRetry(now, others)
	retried := maxFollowed - len(out) + maxRetried
	return append(out, others[:min(retried, len(others))]...)
}

// firstOfRank returns the index of the first host of a rank or a lower one in a list of ranked hosts.
func (f *Follower) firstOfRank(now time.Time, list []hingeids.HostID, r hostRank) int {
	i := slices.IndexFunc(list, func(id hingeids.HostID) bool {
		return f.rank(now, f.hosts[id]) >= r
	})
	if i < 0 {
		return len(list)
	}
	return i
}

// spread returns n hosts of a list in its order, those of further zones first after the most preferred one: the hosts of one zone
// may fail together. The caller holds the lock.
func (f *Follower) spread(list []hingeids.HostID, n int) []hingeids.HostID {
	var out, more []hingeids.HostID
	zones := make(map[hingeids.Zone]bool)
	for _, id := range list {
		zone := f.hosts[id].zone
		if zone != "" && zones[zone] {
			more = append(more, id)
			continue
		}
		zones[zone] = true
		out = append(out, id)
	}
	out = append(out, more...)
	return out[:min(n, len(out))]
}

// sortForRetry orders hosts that don't respond, or have no leader: those whose present poll may still be answered, then the one that
// was polled the longest time ago. The caller holds the lock.
func (f *Follower) sortForRetry(now time.Time, list []hingeids.HostID) {
	waits := func(h *host) int {
		if h.polling && now.Sub(h.pollingSince) <= retryTime {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b hingeids.HostID) int {
		x, y := f.hosts[a], f.hosts[b]
		return cmp.Or(cmp.Compare(waits(x), waits(y)), x.pollingSince.Compare(y.pollingSince))
	})
}

// hostRank is the class of a control host in the order of preference.
type hostRank int

const (
	rankSameZone hostRank = iota
	rankOtherZone
	rankLeaderless
	rankUnresponsive
)

func (f *Follower) rank(now time.Time, h *host) hostRank {
	switch {
	case h.unresponsive:
		return rankUnresponsive
	case h.isLeaderless(now):
		return rankLeaderless
	case h.zone == f.settings.Zone:
		return rankSameZone
	}
	return rankOtherZone
}

// ranked returns the control hosts in order of preference (rules 1 and 16). The caller holds the lock.
func (f *Follower) ranked(now time.Time) []hingeids.HostID {
	list := slices.Collect(maps.Keys(f.hosts))
	slices.SortFunc(list, func(a, b hingeids.HostID) int {
		return cmp.Or(cmp.Compare(f.rank(now, f.hosts[a]), f.rank(now, f.hosts[b])), cmp.Compare(f.hashRank(a), f.hashRank(b)))
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
