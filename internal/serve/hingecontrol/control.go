// Package hingecontrol assembles a control host: it replicates the configuration together with the
// other control hosts, receives the announcements of backend servers, serves both to followers, and
// places streams while it is the leader.
//
//  1. A change is accepted once a quorum of control hosts has it on disk.
//  2. A read returns nothing older than what was accepted before it, or fails. An operator's read is
//     served at each control host that finds the leader, with the leader's copy if its own is older.
//  3. The first start of the whole system bootstraps the group with the seeds; later a host joins the
//     group that it finds through its seeds, with whatever its disk contains.
//  4. An announcement of a server whose service isn't configured is held for a while, apart from the
//     directory, and handled once the service is.
package hingecontrol

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingeshared"
	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Options configures a control host.
type Options struct {
	Instance    hingeids.Instance
	Zone        hingeids.Zone
	LinkAddress string
	AddressOf   func(hingeids.HostID) (string, error)
	Seeds       []hingeids.HostID
	// FirstStart is set when the whole system starts for the first time; the host then bootstraps the
	// group.
	FirstStart bool
	// Voters is the target number of voting control hosts.
	Voters int
	// CatchUp is the time after which the loss of a replaced control host no longer counts; zero means
	// hingegroup.DefaultCatchUp.
	CatchUp time.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// DataFolder is the folder for the host's persistent state.
	DataFolder string
	Parse      func(body []byte) (*hingeroutes.Table, error)
	// NewEngines returns the client that sends orders to engines, at the addresses that the given
	// function returns.
	NewEngines func(address func(hingeids.ServerID) (string, bool)) hingeorders.Engines
	// ChecksFence says that engines reject orders with an old fencing number. IssuerPause is the
	// minimum time between the last order of one issuer and the first of another at an engine.
	ChecksFence bool
	IssuerPause time.Duration
	// QuotaParams are the parameters by which customers' quotas are enforced.
	QuotaParams hingequota.Params
	// HeartbeatInterval is the configured interval of the heartbeats of backend servers, zero if it isn't
	// known.
	HeartbeatInterval time.Duration
	// RetryBudget limits the retries of each service over all hosts.
	RetryBudget hingeretry.FleetLimits
	Recorder    *hingeevents.Recorder
}

// errStateReplaced is the error of a read while this host starts again from its disk.
var errStateReplaced = eris.New("the state was replaced by an older one from the disk")

const (
	// electionTimeout is how long a leader may send no heartbeat, and how long after its start a host
	// may not vote. It delays the first requests after a power failure of all hosts, but must exceed
	// a slow sync of the disk (0.3 s). Four heartbeats in a row must be lost.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 125 * time.Millisecond
	cleanupInterval   = 250 * time.Millisecond
	// maxOpenAttempts and openRetryDelay limit how long New waits for a disk that rejects writes.
	maxOpenAttempts = 100
	openRetryDelay  = 300 * time.Millisecond
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
	// unavailable are the engines that change their role; settled is the term in which this host has
	// been the leader for long enough to issue orders.
	unavailable hingeboard.Cell[map[hingeids.ServerID]bool]
	settled     hingeboard.Cell[hingeids.Fence]
	view        hingeboard.Cell[hingeworld.ClusterView]
	// entryHosts is the last counted number of entry hosts. It is atomic as the placer must not wait
	// for the lock of source, which serves hundreds of followers.
	entryHosts atomic.Int64
	// pendingRecords are changes of the list of poison requests that wait to be proposed.
	pendingRecords chan hingepoison.Record
	// refusals are refused announcements, contradicted the records of other hosts that lost against one of this host.
	refusals          occurrences
	refusalCounts     refusalCounts
	early             *earlyAnnouncements
	contradicted      occurrences
	contradictedCount atomic.Int64
	reads             readCounts
	// unreadableSince is since when the configuration can't be read; zero while it can.
	unreadableSince hingeboard.Cell[time.Time]
	done            chan struct{}
}

// New creates a control host. It waits while the journal can't be opened, up to maxOpenAttempts times
// openRetryDelay.
func New(ctx context.Context, o Options) (*Control, error) {
	c := &Control{
		options:        o,
		machine:        hingeshared.New(),
		pendingRecords: make(chan hingepoison.Record, recordQueueSize),
		early:          newEarlyAnnouncements(o.HeartbeatInterval),
		done:           make(chan struct{}),
	}
	c.view.Store(hingeworld.NewBuilder().View())
	var err error
	if c.link, err = hingelink.NewInsecure(o.Instance, o.LinkAddress, o.AddressOf, nil, o.Recorder); err != nil {
		return nil, err
	}
	if c.group, err = c.openGroup(ctx); err != nil {
		return nil, err
	}
	c.source = hingefollow.NewSource(o.Instance, c, c, hingeclock.BootTime, c.link)
	c.source.SetHeartbeatInterval(o.HeartbeatInterval)
	c.follower = hingefollow.New(hingefollow.Settings{
		Self:      o.Instance.Host,
		Zone:      o.Zone,
		Clock:     hingeclock.BootTime,
		OnRecords: c.mergeRecords,
		Holds:     c.source.Holds,
		Known: func() []hingeids.HostID {
			return c.GroupStatus().Members
		},
	}, c.link, o.Seeds)
	c.group.ServeState(c.exportDocument)
	c.group.SetContacts(c.contacts)
	c.placer = hingeplacer.New(c, c, c.isPlacer, hingeclock.BootTime, o.QuotaParams)
	c.placer.LimitRetries(o.RetryBudget)
	c.placer.RegisterHandlers(c.link, c.options.Recorder)
	c.roles = newRoles(c, o.NewEngines(c.Address))
	return c, nil
}

// openGroup retries, as the disk may be full when the process starts.
func (c *Control) openGroup(ctx context.Context) (*hingegroup.Group, error) {
	var last error
	for range maxOpenAttempts {
		files, err := hingefolder.Open(filepath.Join(c.options.DataFolder, "config"))
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
		case <-time.After(openRetryDelay):
		}
	}
	return nil, eris.Wrap(last, "open the configuration's journal")
}

func (c *Control) newGroup(files hingefolder.Directory) (*hingegroup.Group, error) {
	o := c.options
	return hingegroup.New(hingegroup.Settings{
		Name:  "config",
		Self:  o.Instance.Host,
		Hosts: o.Seeds,
		Open:  true,
		IsStarted: func() bool {
			return c.source.HasStarted()
		},
		JoinOnly:          !o.FirstStart,
		Voters:            o.Voters,
		CatchUp:           o.CatchUp,
		Zone:              c.ZoneOf,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: heartbeatInterval,
		Clock:             hingeclock.BootTime,
		WallClock:         time.Now,
		Seed:              uint64(o.Instance.Incarnation),
		Recorder:          o.Recorder,
	}, c.link, files, c.machine)
}

// Done returns a channel that is closed when Run has returned.
func (c *Control) Done() <-chan struct{} {
	return c.done
}

// Retire hands this host's vote to a control host that is ready to take it, before this host stops. It ends
// well within the grace period.
func (c *Control) Retire(ctx context.Context) {
	retireCtx, stop := context.WithTimeout(ctx, c.options.Grace*3/4)
	defer stop()
	c.group.Retire(retireCtx)
}

// Run serves until the context is canceled or a part fails.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.done)
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range []func(context.Context) error{
		c.link.Run, c.group.Run, c.follower.Run, c.placer.Run, c.step, c.watchLeader, c.watchView, c.watchReads, c.proposeRecords,
		c.roles.run, c.roles.orders.Run,
	} {
		group.Go(func() error {
			return part(ctx)
		})
	}
	return group.Wait()
}

// step removes the records of backend servers without heartbeats, and counts the entry hosts.
func (c *Control) step(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.source.RemoveExpired(hingeclock.BootTime())
			c.entryHosts.Store(int64(c.source.EntryHosts()))
		}
	}
}

// watchLeader wakes the followers when the leader changes, as they request placements from it.
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

// Address returns the address of a server, and false if the server is unknown.
func (c *Control) Address(id hingeids.ServerID) (string, bool) {
	return c.view.Load().Address(id)
}

// Quota returns the quota of a customer, which is unlimited for an unknown one.
func (c *Control) Quota(id hingeids.CallerID) hingecustomers.Quota {
	return c.view.Load().Table().Quota(id)
}

// EntryHosts returns the number of entry hosts, as counted in the last cleanupInterval.
func (c *Control) EntryHosts() int {
	return int(c.entryHosts.Load())
}

// IsElectedLeader reports whether this host is the elected leader, even if its lease has expired:
// placements are only advice, so an expiry for one heartbeat is no reason to discard the placer's
// state.
func (c *Control) IsElectedLeader() bool {
	return c.group.Status().IsLeader
}

// isPlacer reports whether this host places streams: it is the leader or knows none.
func (c *Control) isPlacer() bool {
	return c.IsElectedLeader() || c.group.Leader() == ""
}

// Documents returns the cell with the newest accepted configuration.
func (c *Control) Documents() *hingeboard.Cell[hingeversion.Document] {
	return c.machine.Documents()
}

// Read waits until Documents is at least as new as any document accepted before the call (rule 2). Unlike
// ReadDocument it fails at once on a host that knows no leader, so that followers choose another one.
func (c *Control) Read(ctx context.Context) (hingeversion.Version, error) {
	index, err := c.group.Read(ctx)
	if err != nil {
		return 0, err
	}
	version := hingeversion.Version(0)
	if !c.group.LoadAt(index, func() {
		version = c.Documents().Load().Version
	}) {
		return 0, errStateReplaced
	}
	return version, nil
}

// GroupStatus returns this host's view of the group.
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

// ZoneOf returns the zone of this host or of another control host, and an empty zone if the host is
// unknown.
func (c *Control) ZoneOf(h hingeids.HostID) hingeids.Zone {
	if h == c.options.Instance.Host {
		return c.options.Zone
	}
	for _, x := range c.follower.State().Load().ControlHosts {
		if x.Host == h {
			return x.Zone
		}
	}
	return ""
}

// peerTimeout is how long after its last response a control host still counts among those that have
// followers.
const peerTimeout = 5 * time.Second

// FollowerSets returns for each of the other control hosts the set of entry hosts that follow it.
func (c *Control) FollowerSets() []hingefollow.FollowerSet {
	var out []hingefollow.FollowerSet
	now := hingeclock.BootTime()
	for _, x := range c.follower.State().Load().ControlHosts {
		if now.Sub(x.LastSeen) < peerTimeout {
			out = append(out, x.FollowerSet)
		}
	}
	return out
}

// ProposeDocument proposes a configuration and waits until it is accepted (rule 1). One that isn't newer than an accepted
// one is accepted without effect, so that operators who repeat a large change don't fill the log with it. The error
// contains the verdict.
func (c *Control) ProposeDocument(ctx context.Context, d hingeversion.Document) error {
	if d.Version <= c.machine.Documents().Load().Version {
		return nil
	}
	body, err := d.Encode()
	if err != nil {
		return err
	}
	_, err = c.group.Propose(ctx, body)
	return err
}

// SetSeeds replaces the seeds.
func (c *Control) SetSeeds(seeds []hingeids.HostID) {
	c.follower.SetSeeds(seeds)
	c.group.SetExtraHosts(seeds)
}
