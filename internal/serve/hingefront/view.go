package hingefront

import (
	"context"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/path/hingeproxy"
)

var (
	_ hingeproxy.ClusterView  = (*Front)(nil)
	_ hingeplacer.ClusterView = (*Front)(nil)
)

// Table returns the routes in force, nil before a configuration is known.
func (f *Front) Table() *hingeroutes.Table {
	return f.view.Load().Table()
}

// ConfirmNewest waits until the routes in force are at least as new as any accepted before the call. It
// returns false if this can't be confirmed before the context ends.
func (f *Front) ConfirmNewest(ctx context.Context) bool {
	version, known := f.follower.NewestVersion(ctx)
	if !known {
		return false
	}
	for {
		changed := f.Changed()
		if t := f.Table(); t != nil && t.Version >= uint64(version) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Changed returns a channel that is closed at the next change of the cluster view.
func (f *Front) Changed() <-chan struct{} {
	return f.view.Changed()
}

// Replicas returns the usable replicas of a service.
func (f *Front) Replicas(s hingeids.Service) []hingebalance.Replica {
	return f.view.Load().Replicas(s)
}

// ServerCount returns the number of usable servers of a service.
func (f *Front) ServerCount(s hingeids.Service) int {
	return f.view.Load().ServerCount(s)
}

// Version returns the version of the cluster view, as events contain it.
func (f *Front) Version() string {
	return f.view.Load().Version()
}

// Address returns a server's address, and false if the server is unknown.
func (f *Front) Address(id hingeids.ServerID) (string, bool) {
	return f.view.Load().Address(id)
}

// Removed reports whether a server is known to accept no more work.
func (f *Front) Removed(id hingeids.ServerID) bool {
	return f.view.Load().Removed(id)
}

// EngineFeed returns a feed of the usable engines of a service.
func (f *Front) EngineFeed(s hingeids.Service) hingeplacer.EngineFeed {
	return &engineFeed{
		front:   f,
		service: s,
	}
}

type engineFeed struct {
	front   *Front
	service hingeids.Service
	// revision is that of the last view; started is set once there was one.
	revision hingeworld.Revision
	started  bool
}

// Next returns the changes since the last call.
func (f *engineFeed) Next() hingefleet.EngineChanges {
	view := f.front.view.Load()
	since := f.revision
	f.revision = view.Revision()
	if !f.started {
		f.started = true
		return view.AllEngines(f.service)
	}
	return view.EngineChanges(f.service, since)
}

// EntryHosts returns the number of entry hosts, at least 1.
func (f *Front) EntryHosts() int {
	return max(f.follower.State().Load().EntryHosts, 1)
}

// Quota returns the quota of a customer, which is unlimited for an unknown one.
func (f *Front) Quota(c hingeids.CallerID) hingecustomers.Quota {
	return f.Table().Quota(c)
}

// PoisonEntry returns the entry for a fingerprint on the list of poison requests, as last received
// from a control host.
func (f *Front) PoisonEntry(fingerprint hingeids.Fingerprint) hingepoison.Listed {
	return f.follower.State().Load().PoisonRequests.At(time.Now(), fingerprint)
}

// IsElectedLeader returns false, as entry hosts take no part in elections.
func (*Front) IsElectedLeader() bool {
	return false
}

// controlTimeout is how long after its last response a control host is still used as a placer. It
// exceeds the two seconds for which a control host may hold a long poll.
const controlTimeout = 3 * time.Second

// Placers returns the hosts from which placements are requested, in order of preference: the leader,
// then control hosts that know no leader, first those of this host's zone.
func (f *Front) Placers() []hingeids.HostID {
	return placersOf(hingeclock.BootTime(), f.follower.State().Load(), f.options.Zone)
}

// placersOf leaves the leader out once all control hosts that respond have lost it: in a zone that is
// cut off, each request to it would wait for a timeout.
func placersOf(now time.Time, s *hingefollow.State, zone hingeids.Zone) []hingeids.HostID {
	var leader, sameZone, otherZones []hingeids.HostID
	for _, c := range s.ControlHosts {
		switch {
		case now.Sub(c.LastSeen) > controlTimeout:
		case c.HasLeader:
			leader = []hingeids.HostID{s.Leader}
		case c.Zone == zone:
			sameZone = append(sameZone, c.Host)
		default:
			otherZones = append(otherZones, c.Host)
		}
	}
	if s.Leader == "" {
		leader = nil
	}
	return slices.Concat(leader, sameZone, otherZones)
}
