package hingelog

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The log is nil while the process isn't running.
type node struct {
	self Member
	log  *Log
	// disk is what a process reads, and synced the part of it that a power loss leaves.
	disk      DurableState
	synced    DurableState
	clockRate float64
	frozen    bool
	// crashInSync kills the process during its next sync.
	crashInSync bool
	// previousVersion means that the host doesn't know Members.Outgoing.
	previousVersion bool
	stateHash       uint64
	appliedIndex    Index
	appliedMembers  Members
}

type envelope struct {
	at time.Duration
	m  Message
}

// cluster records the history that the invariants need.
type cluster struct {
	random           *rand.Rand
	now              time.Duration
	nodes            []*node
	queue            []envelope
	arrived          []envelope
	cutLinks         map[[2]hingeids.HostID]bool
	loss             float64
	maxDelay         time.Duration
	leaderOfTerm     map[Term]Member
	votes            map[string]Member
	committedEntries map[Index]Entry
	committedInTerm  map[Index]Term
	stateHashes      map[Index]uint64
	commit           Index
	members          Members
	// membersIndex is the index of the newest committed membership change.
	membersIndex Index
	// voters and silence are the number of voters to keep and the silence after which one is replaced;
	// zero voters means that all members vote.
	voters              int
	silence             time.Duration
	zones               map[hingeids.HostID]hingeids.Zone
	lastIncarnation     uint64
	violation           string
	proposed            int
	sent                map[MessageKind]int
	messagesWithEntries int
	events              []Event
	// trustsReadBack models a journal that doesn't sync what it reads back.
	trustsReadBack bool
}

func newCluster(seed uint64, hosts ...hingeids.HostID) *cluster {
	c := &cluster{
		random:           rand.New(rand.NewPCG(seed, 1)),
		cutLinks:         make(map[[2]hingeids.HostID]bool),
		maxDelay:         5 * time.Millisecond,
		leaderOfTerm:     make(map[Term]Member),
		votes:            make(map[string]Member),
		committedEntries: make(map[Index]Entry),
		committedInTerm:  make(map[Index]Term),
		stateHashes:      map[Index]uint64{1: 0},
		commit:           1,
		lastIncarnation:  1,
		sent:             make(map[MessageKind]int),
	}
	for _, h := range hosts {
		c.members.Voters = append(c.members.Voters, Member{
			Host: h,
			Disk: 1,
		})
	}
	for _, m := range c.members.Voters {
		n := c.addNode(m)
		n.disk.HardState.Term = 1
		n.disk.Snapshot = Snapshot{
			At: Position{
				Term:  1,
				Index: 1,
			},
			Members: c.members,
			Data:    []byte("0"),
		}
		n.synced = n.disk.clone()
		c.start(n)
	}
	return c
}

func (d DurableState) clone() DurableState {
	d.Entries = slices.Clone(d.Entries)
	return d
}

func (c *cluster) addNode(m Member) *node {
	n := &node{
		self:      m,
		clockRate: 0.96 + 0.08*c.random.Float64(),
	}
	c.nodes = append(c.nodes, n)
	return n
}

func (c *cluster) clock(n *node) time.Time {
	return simStart.Add(time.Duration(float64(c.now) * n.clockRate))
}

func (c *cluster) start(n *node) {
	c.lastIncarnation++
	if !c.trustsReadBack {
		n.synced = n.disk.clone()
	}
	n.frozen = false
	n.appliedIndex = n.disk.Snapshot.At.Index
	n.stateHash = c.stateHashes[n.appliedIndex]
	n.appliedMembers = n.disk.Snapshot.Members
	n.log = New(c.clock(n), Settings{
		Self:              n.self,
		ElectionTimeout:   DefaultElectionTimeout,
		HeartbeatInterval: DefaultHeartbeatInterval,
		Seed:              c.lastIncarnation ^ c.random.Uint64(),
		Voters:            c.voters,
		SilenceTimeout:    c.silence,
		Zone: func(h hingeids.HostID) hingeids.Zone {
			return c.zones[h]
		},
	}, n.disk.clone())
}

// kill ends the process. What it has written is still read by the next one.
func (c *cluster) kill(n *node) {
	n.log = nil
	n.crashInSync = false
}

// losePower ends the process, and what isn't synced may be lost.
func (c *cluster) losePower(n *node) {
	c.kill(n)
	if c.random.IntN(2) == 0 {
		n.synced = n.disk.clone()
	}
	n.disk = n.synced.clone()
}

// The host restarts as a new member.
func (c *cluster) loseDisk(n *node) {
	c.lastIncarnation++
	n.self.Disk = hingeids.Incarnation(c.lastIncarnation)
	n.disk = DurableState{}
	n.synced = DurableState{}
	c.start(n)
}

func (n *node) store(o Output) {
	if o.InstallSnapshot != nil {
		n.disk.Snapshot = *o.InstallSnapshot
		n.disk.BasePosition = o.InstallSnapshot.At
		n.disk.Entries = nil
	}
	if o.HardState != nil {
		n.disk.HardState = *o.HardState
	}
	for _, e := range o.Entries {
		if len(n.disk.Entries) == 0 && n.disk.BasePosition.Index != e.Index-1 {
			n.disk.BasePosition = n.disk.Snapshot.At
		}
		n.disk.Entries = append(n.disk.Entries[:e.Index-n.disk.BasePosition.Index-1], e)
	}
}

// crashPoint is where the process dies while it processes its output.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeWrite
	betweenWriteAndSync
	afterSync
)

func (c *cluster) processOutput(n *node, point crashPoint) {
	for n.log != nil {
		o := n.log.DrainOutput()
		if o.Empty() {
			return
		}
		early, late := o.SplitMessages()
		for _, m := range early {
			c.sendMessage(m)
		}
		if point == beforeWrite {
			c.kill(n)
			return
		}
		n.store(o)
		if point == betweenWriteAndSync || n.crashInSync && o.NeedsSync() {
			c.kill(n)
			return
		}
		if o.NeedsSync() {
			n.synced = n.disk.clone()
		}
		if point == afterSync {
			c.kill(n)
			return
		}
		for _, m := range late {
			c.sendMessage(m)
		}
		n.log.MarkSynced(c.clock(n))
		c.apply(n, o)
	}
}

func (c *cluster) sendMessage(m Message) {
	c.sent[m.Kind]++
	if c.host(m.From.Host).previousVersion {
		m.KnowsReplacing = false
	}
	if c.host(m.To.Host).previousVersion {
		c.checkKnownEntries(m)
	}
	if len(m.Entries) > 0 {
		c.messagesWithEntries++
	}
	if m.Kind == VoteResponse && m.Granted {
		key := fmt.Sprint(m.From, m.Term)
		if to, voted := c.votes[key]; voted && to != m.To {
			c.fail("%v voted for %v and %v in term %d", m.From, to, m.To, m.Term)
		}
		c.votes[key] = m.To
	}
	copies := 1
	if c.random.Float64() < c.loss {
		copies = c.random.IntN(3)
	}
	for range copies {
		delay := 200*time.Microsecond + time.Duration(c.random.Int64N(int64(c.maxDelay)))
		c.queue = append(c.queue, envelope{
			at: c.now + delay,
			m:  m,
		})
	}
}

func (c *cluster) checkKnownEntries(m Message) {
	for _, e := range m.Entries {
		if e.Members != nil && e.Members.IsReplacing() {
			c.fail("%v, which doesn't know replacements, is sent one", m.To)
		}
	}
}

func (c *cluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

func (c *cluster) apply(n *node, o Output) {
	if o.InstallSnapshot != nil {
		n.appliedIndex = o.InstallSnapshot.At.Index
		n.appliedMembers = o.InstallSnapshot.Members
		n.stateHash = c.stateHashes[n.appliedIndex]
		if got := string(o.InstallSnapshot.Data); got != fmt.Sprint(n.stateHash) {
			c.fail("%v installed %q at %d, want %d", n.self, got, n.appliedIndex, n.stateHash)
		}
	}
	for _, e := range o.Committed {
		c.applyEntry(n, e)
	}
	for _, e := range o.Events {
		c.events = append(c.events, e)
		if e.Kind == BecameLeader {
			c.checkLeader(n, e)
		}
	}
}

func (c *cluster) applyEntry(n *node, e Entry) {
	if e.Index != n.appliedIndex+1 {
		c.fail("%v applied %d after %d", n.self, e.Index, n.appliedIndex)
	}
	if previous, there := c.committedEntries[e.Index]; there && (previous.Term != e.Term || string(previous.Data) != string(e.Data)) {
		c.fail("%v applied %d of term %d, another applied term %d", n.self, e.Index, e.Term, previous.Term)
	}
	if _, there := c.committedEntries[e.Index]; !there {
		c.committedInTerm[e.Index] = n.log.hardState.Term
	}
	c.committedEntries[e.Index] = e
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %d %s", n.stateHash, e.Term, e.Index, e.Data)
	n.stateHash = h.Sum64()
	n.appliedIndex = e.Index
	c.stateHashes[e.Index] = n.stateHash
	if e.Members == nil {
		return
	}
	if e.Index > c.membersIndex {
		c.membersIndex = e.Index
		c.members = *e.Members
	}
	for _, x := range MembersEvents(n.appliedMembers, *e.Members) {
		x.Index = e.Index
		c.events = append(c.events, x)
	}
	n.appliedMembers = *e.Members
}

func (c *cluster) checkLeader(n *node, e Event) {
	if other, there := c.leaderOfTerm[e.Term]; there && other != n.self {
		c.fail("%v and %v both lead term %d", other, n.self, e.Term)
	}
	c.leaderOfTerm[e.Term] = n.self
	for i, x := range c.committedEntries {
		if c.committedInTerm[i] >= e.Term {
			// Delayed votes elected this leader after one of a later term.
			continue
		}
		t, known := n.log.termAt(i)
		if (known && t != x.Term) || (!known && i > n.log.base.Index) {
			c.fail("%v leads term %d without committed entry %d", n.self, e.Term, i)
		}
	}
}

// At most one member may lead, and a read within a lease must see all entries that
// any member knows to be committed.
func (c *cluster) checkInvariants() {
	var leaders []Member
	for _, n := range c.nodes {
		if n.log == nil {
			continue
		}
		if n.log.commit > c.commit {
			c.commit = n.log.commit
		}
	}
	for _, n := range c.nodes {
		if n.log == nil || n.frozen {
			continue
		}
		if at, ok := n.log.ReadIndex(c.clock(n)); ok {
			leaders = append(leaders, n.self)
			if at < c.commit {
				c.fail("%v reads at index %d, but index %d is committed", n.self, at, c.commit)
			}
		}
	}
	if len(leaders) > 1 {
		c.fail("more than one member may lead: %v", leaders)
	}
}

const simStep = 20 * time.Millisecond

// Each step delivers the messages that are due, in a random order.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end && c.violation == ""; {
		c.now += simStep
		// A process may serve a read after it was frozen and before its next tick.
		c.checkInvariants()
		c.deliver()
		for _, n := range c.nodes {
			if n.log != nil && !n.frozen {
				n.log.Tick(c.clock(n))
				c.processOutput(n, noCrash)
			}
		}
		c.checkInvariants()
	}
}

func (c *cluster) deliver() {
	// One step covers several network round trips, so answers are delivered within it.
	for range 4 {
		arrived := c.arrived[:0]
		later := c.queue[:0]
		for _, e := range c.queue {
			if e.at <= c.now {
				arrived = append(arrived, e)
			} else {
				later = append(later, e)
			}
		}
		c.arrived = arrived
		c.queue = later
		if len(arrived) == 0 {
			return
		}
		c.random.Shuffle(len(arrived), func(i, j int) {
			arrived[i], arrived[j] = arrived[j], arrived[i]
		})
		for _, e := range arrived {
			c.deliverOne(e)
		}
	}
}

func (c *cluster) deliverOne(e envelope) {
	if c.cutLinks[[2]hingeids.HostID{e.m.From.Host, e.m.To.Host}] {
		return
	}
	n := c.host(e.m.To.Host)
	if n == nil || n.log == nil {
		return
	}
	if n.frozen {
		e.at = c.now + simStep
		c.queue = append(c.queue, e)
		return
	}
	n.log.Step(c.clock(n), e.m)
	c.processOutput(n, noCrash)
}

func (c *cluster) host(h hingeids.HostID) *node {
	for _, n := range c.nodes {
		if n.self.Host == h {
			return n
		}
	}
	return nil
}

func (c *cluster) activeLeader() *node {
	for _, n := range c.nodes {
		if n.log != nil && !n.frozen && n.log.MayLead(c.clock(n)) {
			return n
		}
	}
	return nil
}

// join proposes to the leader each running host whose disk isn't a member yet.
func (c *cluster) join() {
	l := c.activeLeader()
	if l == nil {
		return
	}
	for _, n := range c.nodes {
		if n.log != nil && !l.log.currentMembers().Has(n.self) {
			_ = l.log.ChangeMembers(c.clock(l), Change{
				Kind:   AddLearner,
				Member: n.self,
			})
		}
	}
	c.processOutput(l, noCrash)
}

func (c *cluster) propose(n *node, data string) bool {
	if n == nil || n.log == nil || n.frozen {
		return false
	}
	_, err := n.log.Propose(c.clock(n), []byte(data))
	n.log.Flush(c.clock(n))
	c.proposed++
	return err == nil
}

func (c *cluster) compact(n *node, keep int) {
	if n.log == nil {
		return
	}
	if d, ok := n.log.Compact(n.appliedIndex, []byte(fmt.Sprint(n.stateHash)), keep); ok {
		n.disk = d.clone()
		n.synced = d.clone()
	}
}

// The cluster is repaired once the current disks of all hosts are members, and as many as are to vote are
// voters, so that one may be lost.
func (c *cluster) fullyRepaired() bool {
	for _, m := range c.members.Voters {
		n := c.host(m.Host)
		if n == nil || n.self != m {
			return false
		}
	}
	for _, n := range c.nodes {
		if !c.members.Has(n.self) || c.voters == 0 && !c.members.HasVoter(n.self) {
			return false
		}
	}
	if c.voters > 0 {
		return len(c.members.Voters) == c.voters && !c.members.IsReplacing()
	}
	return len(c.members.Voters) >= 3
}
