// Package hingecontrol joins the parts of a control host: it agrees with the
// others on the configuration, hears the backend servers, tells everyone else, and
// places streams while it leads.
//
//  1. A change is accepted once a quorum of control hosts holds it on disk.
//  2. A read gives nothing older than what was accepted before it, or fails.
//  3. The first start of all founds the group with the seeds; later a host joins
//     the group it finds through its seeds, with whatever its disk holds.
package hingecontrol

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingeshared"
	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Options of a control host.
type Options struct {
	Life      hingeids.Instance
	Zone      hingeids.Zone
	Link      string
	AddressOf func(hingeids.HostID) (string, error)
	Seeds     []hingeids.HostID
	// Founds says that the whole system starts for the first time.
	Founds bool
	// Voters is how many control hosts are to vote.
	Voters int
	// Data is the folder of the host's disk.
	Data  string
	Parse func(body []byte) (*hingeroutes.Table, error)
	// Engines reaches engines for orders, at the addresses that it is given.
	Engines func(address func(hingeids.ServerID) (string, bool)) hingeorders.Engines
	// ChecksFence says that engines refuse orders with an old fencing number. IssuerPause is how long
	// after one issuer's last order they may hear another's.
	ChecksFence bool
	IssuerPause time.Duration
	// Quotas are what customers' quotas are judged by.
	Quotas   hingequota.Params
	Recorder *hingeevents.Recorder
}

const (
	// election is how long a leader may be silent, and how long after its start a host may not vote: nothing is served in the
	// meantime after all hosts have lost power, so each tenth of a second of it loses a tenth of a second's
	// callers. A disk that takes 30 times its 5 ms for a sync keeps a host silent for two or three tenths. Four
	// heartbeats in a row must be lost.
	election  = 500 * time.Millisecond
	heartbeat = 125 * time.Millisecond
	// stepEvery is how often silent backend servers are looked for.
	stepEvery = 250 * time.Millisecond
	// openTries and openPause bound how long a disk that refuses writes is waited for at the start.
	openTries = 100
	openPause = 300 * time.Millisecond
)

// Control is a control host.
type Control struct {
	options  Options
	link     *hingelink.QUIC
	machine  *hingeshared.Machine
	group    *hingegroup.Group
	source   *hingefollow.Source
	follower *hingefollow.Follower
	placer   *hingeplacer.Placer
	roles    *roles
	// away are the engines that change their role; settled is the term in which
	// this host has led for long enough to give orders.
	away    hingeboard.Cell[map[hingeids.ServerID]bool]
	settled hingeboard.Cell[hingeids.Fence]
	world   hingeboard.Cell[hingeworld.ClusterView]
	// entries is how many entry hosts there were when they were last counted: the placer asks for it with each report, and must not wait for
	// the lock of whoever answers hundreds of followers.
	entries atomic.Int64
	// changes are those of the list of requests that end servers which wait to be agreed on.
	changes chan hingepoison.Record
	// refusals are the announcements that weren't taken.
	refusals refusals
	done     chan struct{}
}

// New makes a control host.
func New(ctx context.Context, o Options) (*Control, error) {
	c := &Control{
		options: o,
		machine: hingeshared.New(),
		changes: make(chan hingepoison.Record, listQueue),
		done:    make(chan struct{}),
	}
	c.world.Store(hingeworld.Build(nil, nil))
	var err error
	if c.link, err = hingelink.NewInsecure(o.Life, o.Link, o.AddressOf, o.Recorder); err != nil {
		return nil, err
	}
	if c.group, err = c.openGroup(ctx); err != nil {
		return nil, err
	}
	c.source = hingefollow.NewSource(o.Life, c, c, hingeclock.BootTime, c.link)
	c.follower = hingefollow.New(hingefollow.Settings{
		Self:  o.Life.Host,
		Zone:  o.Zone,
		Clock: hingeclock.BootTime,
		OnRecords: func(now time.Time, records []hingeannounce.Record) {
			c.source.Merge(now, records)
		},
	}, c.link, o.Seeds)
	c.placer = hingeplacer.New(c, c, c.places, hingeclock.BootTime, o.Quotas)
	c.placer.RegisterHandlers(c.link, c.options.Recorder)
	c.roles = newRoles(c, o.Engines(c.Address))
	return c, nil
}

// openGroup opens the journal; a disk that is full when the process starts is waited for.
func (c *Control) openGroup(ctx context.Context) (*hingegroup.Group, error) {
	var last error
	for range openTries {
		files, err := hingejournal.OpenDirectory(filepath.Join(c.options.Data, "config"))
		if err == nil {
			var g *hingegroup.Group
			if g, err = c.newGroup(files); err == nil {
				return g, nil
			}
		}
		last = err
		c.options.Recorder.Record(time.Now(), hingeevents.JournalFailed, hingeevents.Fields{
			Detail: err.Error(),
		})
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(openPause):
		}
	}
	return nil, eris.Wrap(last, "open the configuration's journal")
}

func (c *Control) newGroup(files hingejournal.Directory) (*hingegroup.Group, error) {
	o := c.options
	return hingegroup.New(hingegroup.Settings{
		Name:      "config",
		Self:      o.Life.Host,
		Hosts:     o.Seeds,
		Open:      true,
		JoinOnly:  !o.Founds,
		Voters:    o.Voters,
		Election:  election,
		Heartbeat: heartbeat,
		Clock:     hingeclock.BootTime,
		WallClock: time.Now,
		Seed:      uint64(o.Life.Incarnation),
		Recorder:  o.Recorder,
	}, c.link, files, c.machine)
}

// Done closes when Run has ended.
func (c *Control) Done() <-chan struct{} {
	return c.done
}

// Run serves until the context ends.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.done)
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range []func(context.Context) error{
		c.link.Run, c.group.Run, c.follower.Run, c.placer.Run, c.step, c.watchLeader, c.watchWorld, c.proposeList,
		c.roles.run, c.roles.orders.Run,
	} {
		group.Go(func() error {
			return part(ctx)
		})
	}
	return group.Wait()
}

// step looks for backend servers that have gone silent.
func (c *Control) step(ctx context.Context) error {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.source.RemoveExpired(hingeclock.BootTime())
			c.entries.Store(int64(c.source.EntryHosts()))
		}
	}
}

// watchLeader tells followers when another host leads: they place streams there.
func (c *Control) watchLeader(ctx context.Context) error {
	known := hingeids.HostID("")
	for {
		changed := c.group.StatusCell().Changed()
		if l := c.group.Leader(); l != known {
			known = l
			c.source.WakePolls()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// watchWorld keeps the world that streams are placed in.
func (c *Control) watchWorld(ctx context.Context) error {
	var table *hingeroutes.Table
	for {
		documents := c.machine.Documents().Changed()
		servers := c.source.Changed()
		if d := c.machine.Documents().Load(); d.Version > 0 && (table == nil || table.Version < uint64(d.Version)) {
			t, err := c.options.Parse(d.Body)
			if err != nil {
				c.options.Recorder.Record(time.Now(), hingeevents.RevisionUnread, hingeevents.Fields{
					Revision: hingeids.Revision(d.Version),
					Detail:   err.Error(),
				})
			} else {
				table = t
				c.options.Recorder.Record(time.Now(), hingeevents.RevisionApplied, hingeevents.Fields{
					Revision: hingeids.Revision(d.Version),
				})
			}
		}
		earlier := c.world.Load()
		c.world.Store(hingeworld.Build(table, c.source.Records()))
		c.tellChanges(earlier, c.world.Load())
		select {
		case <-documents:
		case <-servers:
		case <-ctx.Done():
			return nil
		}
	}
}

// tellChanges records which servers may be used now and which no longer, with the version of the world that lines on
// requests name. Entry hosts write no lines of their own on it: hundreds would say the same.
func (c *Control) tellChanges(earlier, now *hingeworld.ClusterView) {
	usable, gone := now.Since(earlier)
	for _, id := range usable {
		c.tellServer(hingeevents.ServerUsable, id, now)
	}
	for _, id := range gone {
		c.tellServer(hingeevents.ServerGone, id, now)
	}
}

func (c *Control) tellServer(n hingeevents.Number, id hingeids.ServerID, w *hingeworld.ClusterView) {
	c.options.Recorder.Record(time.Now(), n, hingeevents.Fields{
		Server:      id,
		ViewVersion: w.Version(),
	})
}

// Engines gives the engines that streams may be placed on: all of them for the leader, those
// of the own zone for a host that hears no leader (hingeplacer rule 1), and
// none that changes its role.
func (c *Control) Engines() map[hingeids.Service][]hingefleet.Engine {
	all := c.world.Load().Engines()
	leads := c.IsElectedLeader()
	away := map[hingeids.ServerID]bool{}
	if a := c.away.Load(); a != nil {
		away = *a
	}
	out := make(map[hingeids.Service][]hingefleet.Engine, len(all))
	for s, list := range all {
		for _, e := range list {
			if !away[e.Server] && (leads || e.Zone == c.options.Zone) {
				out[s] = append(out[s], e)
			}
		}
	}
	return out
}

// Address gives the address of a server, if it is known.
func (c *Control) Address(id hingeids.ServerID) (string, bool) {
	return c.world.Load().Address(id)
}

// Replicas gives the replicas that requests may be sent to: all of them for the leader, those of the own zone for a
// host that hears no leader.
func (c *Control) Replicas() map[hingeids.Service][]hingebalance.Replica {
	all := c.world.Load().Replicas()
	if c.IsElectedLeader() {
		return all
	}
	out := make(map[hingeids.Service][]hingebalance.Replica, len(all))
	for s, list := range all {
		for _, r := range list {
			if r.Zone == c.options.Zone {
				out[s] = append(out[s], r)
			}
		}
	}
	return out
}

// Quota gives a customer's quota.
func (c *Control) Quota(id hingeids.CallerID) hingecustomers.Quota {
	return c.world.Load().Table().Quota(id)
}

// EntryHosts is how many entry hosts there are.
func (c *Control) EntryHosts() int {
	return int(c.entries.Load())
}

// IsElectedLeader reports whether this host was elected, whether or not its lease holds at the
// moment: placing is advice, and a lease that lapses for a heartbeat is no reason to forget the fleet.
func (c *Control) IsElectedLeader() bool {
	return c.group.Status().IsLeader
}

// places reports whether streams are placed here.
func (c *Control) places() bool {
	return c.IsElectedLeader() || c.group.Leader() == ""
}

// Documents is where each accepted configuration is published.
func (c *Control) Documents() *hingeboard.Cell[hingeversion.Document] {
	return c.machine.Documents()
}

// Read waits until the newest document is no older than any accepted before the call (rule 2).
func (c *Control) Read(ctx context.Context) error {
	_, err := c.group.Read(ctx)
	return err
}

// GroupStatus is what this host knows of the group.
func (c *Control) GroupStatus() hingefollow.GroupStatus {
	s := c.group.Status()
	out := hingefollow.GroupStatus{
		Leader:    s.Leader.Host,
		Term:      uint64(s.Term),
		HasLeader: !s.Leader.IsZero(),
		Zone:      c.options.Zone,
	}
	for _, m := range s.Members.All() {
		out.Members = append(out.Members, m.Host)
	}
	return out
}

// ZoneOf gives the zone of a control host that this one follows, or its own.
func (c *Control) ZoneOf(h hingeids.HostID) hingeids.Zone {
	if h == c.options.Life.Host {
		return c.options.Zone
	}
	for _, x := range c.follower.State().Load().ControlHosts {
		if x.Host == h {
			return x.Zone
		}
	}
	return ""
}

// peerSilence is how long a control host that isn't heard any more still counts
// among those that are asked.
const peerSilence = 5 * time.Second

// FollowerSets gives the entry hosts that ask each of the other control hosts.
func (c *Control) FollowerSets() []hingefollow.FollowerSet {
	var out []hingefollow.FollowerSet
	now := hingeclock.BootTime()
	for _, x := range c.follower.State().Load().ControlHosts {
		if now.Sub(x.LastSeen) < peerSilence {
			out = append(out, x.FollowerSet)
		}
	}
	return out
}

// Change has a configuration accepted (rule 1). The error carries the verdict.
func (c *Control) Change(ctx context.Context, d hingeversion.Document) error {
	body, err := d.Encode()
	if err != nil {
		return err
	}
	_, err = c.group.Propose(ctx, body)
	return err
}

// Reseed takes other seeds.
func (c *Control) Reseed(seeds []hingeids.HostID) {
	c.follower.SetSeeds(seeds)
	c.group.SetExtraHosts(seeds)
}
