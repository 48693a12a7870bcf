package hingegroup

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// StateMachine is what the group agrees on. The group calls it from one goroutine.
type StateMachine interface {
	// Apply carries out a committed proposal. It depends on nothing but its arguments
	// and what was applied before.
	Apply(index uint64, data []byte) []byte
	Snapshot() []byte
	// Restore takes the place of everything; an empty snapshot is the state at the founding.
	Restore(snapshot []byte) error
}

// Settings of one host's part in a group.
type Settings struct {
	// Name is the group's, and the prefix of its methods: "config" or "ledger".
	Name string
	Self hingeids.HostID
	// Hosts are those with a disk, from the settings of the process.
	Hosts []hingeids.HostID
	// Open lets any host with a disk join. Hosts are then only where to ask first.
	Open bool
	// Joins keeps this host from founding the group: it was founded before.
	Joins bool
	// Voters is how many of the hosts are to vote; zero is all (hingelog rule 13).
	Voters int
	// Election and Heartbeat are those of hingelog; zero takes its defaults.
	Election  time.Duration
	Heartbeat time.Duration
	// CompactAfter is the number of entries between snapshots; zero is 4096.
	CompactAfter int
	// Clock is what leases are judged by. Where hosts can be suspended it counts that time.
	Clock func() time.Time
	// Today is the time of day, from which a new disk takes its incarnation; nil is Clock.
	Today func() time.Time
	// Seed differs from start to start.
	Seed     uint64
	Recorder *hingeevents.Recorder
}

const (
	defaultCompactAfter = 4096
	// keptEntries stay in the log under a snapshot, for members slightly behind.
	keptEntries = 1024
	// inboxSize bounds what waits for the loop. Messages beyond it are dropped
	// and repeated; proposals wait at their caller.
	inboxSize = 4096
)

func (s Settings) withDefaults() Settings {
	if s.Election == 0 {
		s.Election = hingelog.DefaultElection
	}
	if s.Heartbeat == 0 {
		s.Heartbeat = hingelog.DefaultHeartbeat
	}
	if s.Today == nil {
		s.Today = s.Clock
	}
	if s.CompactAfter == 0 {
		s.CompactAfter = defaultCompactAfter
	}
	return s
}

// Standing is what a host's part in the group is at one moment.
type Standing struct {
	hingelog.Standing
	// Applied is the newest index that the state machine has applied.
	Applied hingelog.Index
	// LeadsUntil is the end of the lease; zero unless it leads.
	LeadsUntil time.Time
	Journal    hingejournal.Counts
}

// Group is one host's part. On a host without a disk it only forwards.
type Group struct {
	settings Settings
	link     hingelink.Link
	machine  StateMachine
	member   *member
	inbox    chan func(now time.Time)
	standing hingeboard.Cell[Standing]
	hint     hingeboard.Cell[belief]
	senders  *senders
	// met are hosts to ask beside those of the settings.
	met  hingeboard.Cell[[]hingeids.HostID]
	done chan struct{}
}

// New opens a host's part and sets its handlers at the link. Without files the
// host has no disk, and no machine either.
func New(s Settings, link hingelink.Link, files hingejournal.Files, m StateMachine) (*Group, error) {
	g := &Group{
		settings: s.withDefaults(),
		link:     link,
		machine:  m,
		inbox:    make(chan func(now time.Time), inboxSize),
		done:     make(chan struct{}),
	}
	g.standing.Store(&Standing{})
	if files == nil {
		return g, nil
	}
	g.senders = newSenders(g)
	member, err := openMember(g, files)
	if err != nil {
		return nil, err
	}
	g.member = member
	g.handle()
	return g, nil
}

// Meet names hosts to ask for the group beside those of the settings, which may
// have become old while the process runs.
func (g *Group) Meet(hosts []hingeids.HostID) {
	list := slices.Clone(hosts)
	g.met.Store(&list)
}

// hosts gives all hosts that are known to have a part, or to know who has.
func (g *Group) hosts() []hingeids.HostID {
	list := slices.Clone(g.settings.Hosts)
	if met := g.met.Load(); met != nil {
		list = append(list, *met...)
	}
	for _, m := range g.Standing().Members.All() {
		list = append(list, m.Host)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Standing gives the host's part as it is now.
func (g *Group) Standing() Standing {
	return *g.standing.Load()
}

// Standings is where each change of the standing is published.
func (g *Group) Standings() *hingeboard.Cell[Standing] {
	return &g.standing
}

// Leader names the host that leads, as far as is known here; empty if nobody is known to.
func (g *Group) Leader() hingeids.HostID {
	if g.member != nil {
		return g.Standing().Leader.Host
	}
	if b := g.hint.Load(); b != nil {
		return b.host
	}
	return ""
}

// Leading reports whether this host may act as leader at now, and the fencing
// number of its acts: its term.
func (g *Group) Leading(now time.Time) (hingeids.Fence, bool) {
	s := g.standing.Load()
	return hingeids.Fence(s.Term), s.Leads && now.Before(s.LeadsUntil)
}

// Done closes when Run has ended.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// ErrForgetfulDisk ends Run on a host whose disk is an older copy.
var ErrForgetfulDisk = eris.New("the disk holds less than this host has confirmed: " +
	"move its folder away and start again, and the host is repaired as one with a new disk")

// Run runs the loop until the context ends or the disk fails.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	if g.member == nil {
		<-ctx.Done()
		return nil
	}
	inner, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		g.senders.wait()
		_ = g.member.journal.Close()
	}()
	g.senders.start(inner)
	g.senders.spawn(func() {
		g.bring(inner)
	})
	return g.member.loop(inner)
}

// post hands a function to the loop, and waits while the inbox is full.
func (g *Group) post(ctx context.Context, f func(now time.Time)) bool {
	select {
	case g.inbox <- f:
		return true
	case <-g.done:
		return false
	case <-ctx.Done():
		return false
	}
}
