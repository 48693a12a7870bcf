package hingecontrol

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// viewDelay is how long changes of servers are batched into one view. A control host that starts or
// reconnects receives thousands of them within seconds.
const viewDelay = 5 * time.Millisecond

// watchView updates the cluster view after changes of the configuration or of backend servers.
func (c *Control) watchView(ctx context.Context) error {
	builder := hingeworld.NewBuilder()
	table := uint64(0)
	revision := uint64(0)
	// handled is the last configuration for whose services held announcements were handled.
	var handled *hingeroutes.Table
	for {
		documents := c.machine.Documents().Changed()
		servers := c.source.Changed()
		changed := false
		if d := c.machine.Documents().Load(); uint64(d.Version) > table {
			if t := c.parse(d); t != nil {
				table = uint64(d.Version)
				builder.SetTable(t)
				changed = true
			}
		}
		records, expired, now := c.source.ChangesSince(revision)
		revision = now
		builder.Expire(expired)
		changed = builder.Apply(records) || changed
		if changed {
			c.publish(builder)
		}
		if t := c.view.Load().Table(); t != handled {
			handled = t
			c.handleEarly(hingeclock.BootTime(), builder.IsClaimed)
		}
		select {
		case <-documents:
		case <-servers:
			hingeclock.Sleep(ctx, viewDelay)
		case <-ctx.Done():
			return nil
		}
	}
}

// parse decodes a configuration and records that it is in force, or that it can't be decoded.
func (c *Control) parse(d *hingeversion.Document) *hingeroutes.Table {
	t, err := c.options.Parse(d.Body)
	if err != nil {
		c.options.Recorder.Record(time.Now(), hingeevents.RevisionUnread, hingeevents.Fields{
			Revision: hingeids.Revision(d.Version),
			Detail:   err.Error(),
		})
		return nil
	}
	c.options.Recorder.Record(time.Now(), hingeevents.RevisionApplied, hingeevents.Fields{
		Revision: hingeids.Revision(d.Version),
	})
	return t
}

// publish publishes a view. It records which servers became usable and which were removed, with the
// version of the cluster view that events on requests contain. Only control hosts record it: hundreds of
// entry hosts would write the same.
func (c *Control) publish(b *hingeworld.Builder) {
	added, removed := b.Servers()
	view := b.View()
	c.view.Store(view)
	for _, id := range added {
		c.recordServer(hingeevents.ServerUsable, id, view)
	}
	for _, id := range removed {
		c.recordServer(hingeevents.ServerGone, id, view)
	}
}

func (c *Control) recordServer(n hingeevents.Number, id hingeids.ServerID, view *hingeworld.ClusterView) {
	c.options.Recorder.Record(time.Now(), n, hingeevents.Fields{
		Server:      id,
		ViewVersion: view.Version(),
	})
}

// EngineFeed returns a feed of the engines on which streams may be placed: all of them on the leader,
// those of the host's own zone on a host that knows no leader (hingeplacer rule 1), and none that is
// changing its role.
func (c *Control) EngineFeed(s hingeids.Service) hingeplacer.EngineFeed {
	return &engineFeed{
		control: c,
		service: s,
	}
}

type engineFeed struct {
	control *Control
	service hingeids.Service
	// The others are what the last changes were for; started is set once there were any.
	started     bool
	leads       bool
	revision    hingeworld.Revision
	unavailable map[hingeids.ServerID]bool
}

// Next returns the changes since the last call.
func (f *engineFeed) Next() hingefleet.EngineChanges {
	view := f.control.view.Load()
	leads := f.control.IsElectedLeader()
	var unavailable map[hingeids.ServerID]bool
	if a := f.control.unavailable.Load(); a != nil {
		unavailable = *a
	}
	changes := view.EngineChanges(f.service, f.revision)
	if !f.started || leads != f.leads {
		changes = view.AllEngines(f.service)
	}
	if !changes.Complete {
		f.addAvailability(view, unavailable, &changes)
	}
	f.started = true
	f.leads = leads
	f.revision = view.Revision()
	f.unavailable = unavailable
	return f.filter(changes)
}

// addAvailability adds the engines that have begun or ended a change of their role.
func (f *engineFeed) addAvailability(view *hingeworld.ClusterView, unavailable map[hingeids.ServerID]bool, changes *hingefleet.EngineChanges) {
	add := func(id hingeids.ServerID) {
		if e, found := view.Engine(f.service, id); found {
			changes.Changed = append(changes.Changed, e)
		}
	}
	for id := range unavailable {
		if !f.unavailable[id] {
			add(id)
		}
	}
	for id := range f.unavailable {
		if !unavailable[id] {
			add(id)
		}
	}
}

// filter turns changed engines that may not be used into removed ones.
func (f *engineFeed) filter(c hingefleet.EngineChanges) hingefleet.EngineChanges {
	kept := c.Changed[:0]
	for _, e := range c.Changed {
		if f.unavailable[e.Server] || !f.leads && e.Zone != f.control.options.Zone {
			c.Removed = append(c.Removed, e.Server)
			continue
		}
		kept = append(kept, e)
	}
	c.Changed = kept
	return c
}

// Replicas returns the replicas of a service to which requests may be sent: all of them on the leader,
// those of the host's own zone on a host that knows no leader.
func (c *Control) Replicas(s hingeids.Service) []hingebalance.Replica {
	all := c.view.Load().Replicas(s)
	if c.IsElectedLeader() {
		return all
	}
	var out []hingebalance.Replica
	for _, r := range all {
		if r.Zone == c.options.Zone {
			out = append(out, r)
		}
	}
	return out
}

// ServerCount returns the number of usable servers of a service.
func (c *Control) ServerCount(s hingeids.Service) int {
	return c.view.Load().ServerCount(s)
}
