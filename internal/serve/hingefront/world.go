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
	"github.com/swifthinge/swifthinge/internal/path/hingeproxy"
)

var (
	_ hingeproxy.ClusterView  = (*Front)(nil)
	_ hingeplacer.ClusterView = (*Front)(nil)
)

// Table gives the routes in force, nil before any are known.
func (f *Front) Table() *hingeroutes.Table {
	return f.world.Load().Table()
}

// ConfirmNewest reports whether the routes in force are the newest that were accepted before the call.
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

// Changed closes at the next change of what is known of the fleet.
func (f *Front) Changed() <-chan struct{} {
	return f.world.Changed()
}

// Replicas gives the replicas of every service that may be used.
func (f *Front) Replicas() map[hingeids.Service][]hingebalance.Replica {
	return f.world.Load().Replicas()
}

// Version names what is known of the fleet.
func (f *Front) Version() string {
	return f.world.Load().Version()
}

// Address gives a server's address.
func (f *Front) Address(id hingeids.ServerID) (string, bool) {
	return f.world.Load().Address(id)
}

// Removed reports whether a server is known to take no more work.
func (f *Front) Removed(id hingeids.ServerID) bool {
	return f.world.Load().Removed(id)
}

// Engines gives the engines that may be used.
func (f *Front) Engines() map[hingeids.Service][]hingefleet.Engine {
	return f.world.Load().Engines()
}

// EntryHosts is how many entry hosts there are.
func (f *Front) EntryHosts() int {
	return max(f.follower.State().Load().EntryHosts, 1)
}

// Quota gives a customer's quota.
func (f *Front) Quota(c hingeids.CallerID) hingecustomers.Quota {
	return f.Table().Quota(c)
}

// PoisonEntry gives what the list says of a request, as a control host told it.
func (f *Front) PoisonEntry(p hingeids.Fingerprint) hingepoison.Listed {
	return f.follower.State().Load().PoisonRequests.At(time.Now(), p)
}

// IsElectedLeader is false: an entry host is elected by nobody.
func (*Front) IsElectedLeader() bool {
	return false
}

// controlSilence is how long after its last word a control host is still asked: a
// question waits for two seconds there.
const controlSilence = 3 * time.Second

// Placers names the hosts that place streams: the leader, and where none is
// heard the control hosts of the own zone, then others.
func (f *Front) Placers() []hingeids.HostID {
	s := f.follower.State().Load()
	now := hingeclock.BootTime()
	var leader, near, far []hingeids.HostID
	if s.Leader != "" && now.Sub(s.LastSeen) < controlSilence {
		leader = []hingeids.HostID{s.Leader}
	}
	for _, c := range s.ControlHosts {
		switch {
		case c.HasLeader || now.Sub(c.LastSeen) > controlSilence:
		case c.Zone == f.options.Zone:
			near = append(near, c.Host)
		default:
			far = append(far, c.Host)
		}
	}
	return slices.Concat(leader, near, far)
}
