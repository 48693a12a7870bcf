package hingegroup

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeflight"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// StateMachine is the state that the group replicates. The group calls it from one
// goroutine.
type StateMachine interface {
	// Apply applies a committed proposal and returns its result. It must be deterministic:
	// only its arguments and earlier calls may influence it.
	Apply(index uint64, data []byte) []byte
	Snapshot() []byte
	// Restore replaces the whole state; an empty snapshot is the initial state.
	Restore(snapshot []byte) error
}

// Settings configures one host's part in a group.
type Settings struct {
	// Name is the name of the group and the prefix of its methods: "config" or "ledger".
	Name string
	Self hingeids.HostID
	// Hosts are the configured hosts with a disk.
	Hosts []hingeids.HostID
	// Open lets any host with a disk join (rule 7). Hosts are then only the first contacts.
	Open bool
	// JoinOnly reports that the group was bootstrapped before, so this host may only join.
	JoinOnly bool
	// IsStarted reports that other hosts have state of the group, so that it must not be bootstrapped again
	// (rule 11). It may be nil, and must be safe for concurrent use.
	IsStarted func() bool
	// Voters is the number of voters to keep; zero means all members (hingelog rule 13).
	Voters int
	// CatchUp is the time after the start of a replacement within which it must have the vote of the lost
	// host, as the next loss is tolerated from then on; zero means DefaultCatchUp. It matters only if Voters is set.
	CatchUp time.Duration
	// Zone returns the zone of a host, or an empty one if it isn't known. It may be nil.
	Zone func(hingeids.HostID) hingeids.Zone
	// ElectionTimeout and HeartbeatInterval are those of hingelog.Settings; zero means
	// the defaults of that package.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// CompactAfter is the number of entries between snapshots; zero means 4096. Their size is bounded too (compactBytes).
	CompactAfter int
	// Clock is the clock of the leases. It must include the time for which a host is
	// suspended.
	Clock func() time.Time
	// WallClock returns the time of day, the incarnation of a new disk; nil means Clock.
	WallClock func() time.Time
	// Seed seeds the random election times and must differ at each start.
	Seed     uint64
	Recorder *hingeevents.Recorder
}

const (
	defaultCompactAfter = 4096
	// compactBytes is the size of the entries between snapshots. An entry may be a whole
	// configuration of a megabyte, and the smallest disks have 128 MB.
	compactBytes = 8 << 20
	// retainedEntries is the number of entries kept in the log before a snapshot, for
	// members that are slightly behind, and retainedBytes their size.
	retainedEntries = 1024
	retainedBytes   = 2 << 20
	// inboxSize is the capacity of the loop's inbox. When it is full, messages are dropped
	// and repeated by the log, while proposals block their caller.
	inboxSize = 4096
	// maxSharedDelay is how long a query of other hosts waits for the one before it, which may wait for a
	// silent host.
	maxSharedDelay = 25 * time.Millisecond
)

// DefaultCatchUp is the default of Settings.CatchUp.
const DefaultCatchUp = 4 * time.Second

// silenceTimeout is how long a voter may be silent before a ready learner gets its vote. A quarter of
// CatchUp leaves the rest for the election of a leader, which counts the silence anew, and for slow disks.
// It is two election times at least, so that an election alone doesn't make a voter look silent.
// A returning voter is a learner with all entries at once, so that moving a vote too early costs little.
func (s Settings) silenceTimeout() time.Duration {
	return max(s.CatchUp/4, 2*s.ElectionTimeout)
}

// founders returns the hosts that found the group, or none if this host only joins (rule 7).
func (s Settings) founders() []hingeids.HostID {
	if !s.Open || s.JoinOnly || !slices.Contains(s.Hosts, s.Self) {
		return nil
	}
	return sorted(s.Hosts)
}

func (s Settings) withDefaults() Settings {
	if s.ElectionTimeout == 0 {
		s.ElectionTimeout = hingelog.DefaultElectionTimeout
	}
	if s.HeartbeatInterval == 0 {
		s.HeartbeatInterval = hingelog.DefaultHeartbeatInterval
	}
	if s.CatchUp == 0 {
		s.CatchUp = DefaultCatchUp
	}
	if s.WallClock == nil {
		s.WallClock = s.Clock
	}
	if s.CompactAfter == 0 {
		s.CompactAfter = defaultCompactAfter
	}
	return s
}

// Status is the status of a host in the group at one moment.
type Status struct {
	hingelog.Status
	// Applied is the newest index that the local state machine has applied.
	Applied hingelog.Index
	// LeaseUntil is the end of the leader lease; zero unless this host leads.
	LeaseUntil time.Time
	// LeaderSince is since when Leader is what it is, also for no leader.
	LeaderSince time.Time
	// StaleDisk reports that the disk holds less than this host has confirmed (rule 10).
	StaleDisk bool
	// LateBootstrap reports that the disk holds the first state of a late bootstrap and nothing else (rule 11).
	LateBootstrap bool
	Journal       hingejournal.Totals
}

// Group is one host's part in a group. On a host without a disk it only forwards
// proposals and reads to the leader. Its methods may be called from any goroutine.
type Group struct {
	settings    Settings
	link        hingelink.Link
	machine     StateMachine
	member      *member
	inbox       chan func(now time.Time)
	status      hingeboard.Cell[Status]
	hint        hingeboard.Cell[leaderHint]
	senders     *senders
	peers       peers
	failures    failures
	extraHosts  hingeboard.Cell[[]hingeids.HostID]
	export      func() []byte
	contacts    func() []hingeids.HostID
	stateReads  hingeflight.Shared[stateRead]
	discoveries hingeflight.Shared[discovery]
	// sendingParts holds an item while a proposal is sent in parts; one at a time bounds the memory. staged are those of
	// other hosts.
	sendingParts chan struct{}
	lastPartsID  atomic.Uint64
	staged       staged
	// reopens counts the restarts of the member from its disk (rule 8).
	reopens atomic.Uint64
	done    chan struct{}
}

// New opens a host's part and registers its handlers at the link. A host without a
// disk passes nil for directory and m.
func New(s Settings, link hingelink.Link, directory hingefolder.Directory, m StateMachine) (*Group, error) {
	g := &Group{
		settings: s.withDefaults(),
		link:     link,
		machine:  m,
		inbox:    make(chan func(now time.Time), inboxSize),
		done:     make(chan struct{}),

		sendingParts: make(chan struct{}, 1),
		staged: staged{
			proposals: make(map[hingeids.HostID]*stagedProposal),
		},
	}
	g.stateReads.MaxDelay = maxSharedDelay
	g.discoveries.MaxDelay = maxSharedDelay
	g.status.Store(&Status{})
	if directory == nil {
		return g, nil
	}
	g.senders = newSenders(g)
	member, err := openMember(g, directory)
	if err != nil {
		return nil, err
	}
	g.member = member
	g.registerHandlers()
	return g, nil
}

// SetExtraHosts sets the hosts to contact besides those of the settings, which may be
// outdated. It replaces the hosts of the previous call.
func (g *Group) SetExtraHosts(hosts []hingeids.HostID) {
	list := slices.Clone(hosts)
	g.extraHosts.Store(&list)
}

// knownHosts returns the hosts of the settings, of SetExtraHosts and of SetContacts, all members, and the
// hosts from which messages of the group have arrived.
func (g *Group) knownHosts() []hingeids.HostID {
	list := slices.Clone(g.settings.Hosts)
	if extra := g.extraHosts.Load(); extra != nil {
		list = append(list, *extra...)
	}
	if g.contacts != nil {
		list = append(list, g.contacts()...)
	}
	for _, m := range g.Status().Members.All() {
		list = append(list, m.Host)
	}
	for _, p := range g.peers.all() {
		list = append(list, p.Member.Host)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Status returns the present status of this host.
func (g *Group) Status() Status {
	return *g.status.Load()
}

// StatusCell returns the cell that holds the newest status.
func (g *Group) StatusCell() *hingeboard.Cell[Status] {
	return &g.status
}

// Leader returns the last known leader, or "" if none is known.
func (g *Group) Leader() hingeids.HostID {
	if g.member != nil {
		return g.Status().Leader.Host
	}
	if b := g.hint.Load(); b != nil {
		return b.host
	}
	return ""
}

// Leading reports whether this host holds the leader lease at now, and returns its term
// as the fencing number.
func (g *Group) Leading(now time.Time) (hingeids.Fence, bool) {
	s := g.status.Load()
	return hingeids.Fence(s.Term), s.IsLeader && now.Before(s.LeaseUntil)
}

// Done returns a channel that is closed when Run returns.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// Run runs the loop until the context is done. It returns an error if what the disk holds
// can't be restored after a failed write.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	if g.member == nil {
		<-ctx.Done()
		return nil
	}
	runCtx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		g.senders.wait()
		_ = g.member.journal.Close()
	}()
	g.senders.start(runCtx)
	g.senders.spawn(func() {
		g.maintainMembership(runCtx)
	})
	return g.member.loop(runCtx)
}

// enqueue passes a function to the loop and blocks while the inbox is full. It reports
// false if the loop or the context ended first.
func (g *Group) enqueue(ctx context.Context, f func(now time.Time)) bool {
	select {
	case g.inbox <- f:
		return true
	case <-g.done:
		return false
	case <-ctx.Done():
		return false
	}
}
