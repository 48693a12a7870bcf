package hingelog

import (
	"math/rand/v2"
	"time"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Log is the state of one member. It is not safe for concurrent use.
type Log struct {
	settings Settings
	random   *rand.Rand
	// started is the base of send times, so that setting the wall clock doesn't move
	// a lease.
	started time.Time

	hardState       HardState
	hardStateDirty  bool
	snapshot        Snapshot
	pendingSnapshot *Snapshot
	base            Position
	entries         []Entry
	members         []indexedMembers
	nextOutputIndex Index // First index that DrainOutput hasn't returned yet.
	synced          Index
	lastOutputIndex Index // Last index that DrainOutput has returned.

	commit  Index
	applied Index

	role           role
	leader         Member
	leaderLastSeen time.Time
	// previousLeader is the member from which the last message of a leader arrived.
	previousLeader   Member
	electionDeadline time.Time
	votes            map[Member]bool

	progress        map[Member]*progress
	termStartIndex  Index
	leaderSince     time.Time
	nextHeartbeatAt time.Time

	// retiringSince is zero unless this member is about to stop.
	retiringSince time.Time

	checkedIn     bool
	staleDisk     bool
	checkInRound  uint64
	nextCheckInAt time.Time
	checkInPassed map[Member]bool
	checkInPeers  []Member
	peerStates    map[Member]peerState

	messages []Message
	events   []Event
}

type indexedMembers struct {
	index   Index
	members Members
}

// progress is kept by the leader for each other member.
type progress struct {
	match Index
	next  Index
	// firstSentAt is the time of the first message to the member in this term.
	firstSentAt time.Time
	// ackedSendTime is the send time, by the leader's clock, of the newest message
	// that the member answered.
	ackedSendTime   time.Time
	snapshotRetryAt time.Time
	// retiringSince is when the member's answer said that it is about to stop; zero if it doesn't say so.
	retiringSince time.Time
	// knowsReplacing means that the member acts by Members.Outgoing.
	knowsReplacing bool
	// waitUntil is until when entries wait for an earlier large message on its way to the member (rule 16); zero if they don't.
	waitUntil time.Time
	// unanswered is set from the start of the transfer of a large message that was sent at transferSentAt, as SentAt, to its
	// answer.
	unanswered     bool
	transferSentAt int64
}

// New creates a member from the state on its disk.
func New(now time.Time, s Settings, d DurableState) *Log {
	l := &Log{
		settings:  s,
		started:   now,
		random:    rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		hardState: d.HardState,
		snapshot:  d.Snapshot,
		base:      d.BasePosition,
		entries:   d.Entries,
		commit:    d.Snapshot.At.Index,
		applied:   d.Snapshot.At.Index,
		// Rule 5: a heartbeat may have arrived just before the start.
		leaderLastSeen: now,
		checkInPassed:  make(map[Member]bool),
		peerStates:     make(map[Member]peerState),
	}
	if len(d.Entries) == 0 {
		l.base = d.Snapshot.At
	}
	l.members = []indexedMembers{
		{
			index:   d.Snapshot.At.Index,
			members: d.Snapshot.Members,
		},
	}
	for _, e := range l.entries {
		l.recordMembers(e)
	}
	l.synced = l.last().Index
	l.lastOutputIndex = l.synced
	l.nextOutputIndex = l.synced + 1
	l.resetElection(now)
	l.startCheckIn()
	return l
}

// Tick runs timed work: check-ins, elections, heartbeats and repairs. The caller runs
// it several times per heartbeat interval.
func (l *Log) Tick(now time.Time) {
	if l.staleDisk {
		return
	}
	l.tickCheckIn(now)
	if l.role == leader {
		l.tickLeader(now)
		return
	}
	l.tickElection(now)
}

// Step processes a received message.
func (l *Log) Step(now time.Time, m Message) {
	// Rule 1.
	if l.staleDisk || m.To != l.settings.Self {
		return
	}
	l.recordPeer(now, m)
	switch m.Kind {
	case CheckIn:
		l.onCheckIn(m)
		if !l.checkedIn {
			l.extendCheckIn(m)
		}
	case CheckInResponse:
		l.onCheckInResponse(m)
	default:
		if !l.checkedIn {
			// Rule 12. Term and log don't change before the check-in completes.
			// Otherwise a delayed check-in would look older than messages sent after
			// it.
			l.extendCheckIn(m)
			return
		}
		l.stepAfterCheckIn(now, m)
	}
}

func (l *Log) stepAfterCheckIn(now time.Time, m Message) {
	switch m.Kind {
	case PreVote:
		l.onPreVote(now, m)
	case Vote:
		l.onVote(now, m)
	default:
		l.stepInTerm(now, m)
	}
}

// Members adopt the later term of these messages at once.
func (l *Log) stepInTerm(now time.Time, m Message) {
	if preVoteGranted := m.Kind == PreVoteResponse && m.Granted; m.Term > l.hardState.Term && !preVoteGranted {
		l.becomeFollower(now, m.Term)
	}
	switch m.Kind {
	case PreVoteResponse:
		l.onPreVoteResponse(now, m)
	case VoteResponse:
		l.onVoteResponse(now, m)
	case Append, InstallSnapshot:
		l.onLeaderMessage(now, m)
	case AppendResponse:
		l.onAppendResponse(now, m)
	}
}

// DrainOutput returns the output to process and clears it. Before any other call the
// caller makes the output durable, sends its messages, calls MarkSynced and applies
// the committed entries.
func (l *Log) DrainOutput() Output {
	o := Output{
		InstallSnapshot: l.pendingSnapshot,
		Messages:        l.messages,
		Events:          l.events,
		Committed:       l.entriesBetween(l.applied+1, l.commit),
	}
	if l.hardStateDirty {
		h := l.hardState
		o.HardState = &h
	}
	o.Entries = l.entriesBetween(l.nextOutputIndex, l.last().Index)
	l.lastOutputIndex = l.last().Index
	l.nextOutputIndex = l.lastOutputIndex + 1
	l.applied = l.commit
	l.pendingSnapshot = nil
	l.hardStateDirty = false
	l.messages = nil
	l.events = nil
	return o
}

// MarkSynced records that the output of the last DrainOutput is durable.
func (l *Log) MarkSynced(now time.Time) {
	l.synced = min(l.lastOutputIndex, l.last().Index)
	if l.role == leader {
		l.advanceCommit(now)
	}
}

func (l *Log) send(m Message) {
	m.From = l.settings.Self
	l.messages = append(l.messages, m)
}

func (l *Log) addEvent(k EventKind, member Member) {
	l.events = append(l.events, Event{
		Kind:   k,
		Term:   l.hardState.Term,
		Member: member,
		Index:  l.commit,
	})
}

func (l *Log) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return Position{
		Term:  e.Term,
		Index: e.Index,
	}
}

// termAt returns false if the entry is compacted or doesn't exist.
func (l *Log) termAt(i Index) (Term, bool) {
	switch {
	case i == l.base.Index:
		return l.base.Term, true
	case i == l.snapshot.At.Index:
		return l.snapshot.At.Term, true
	case i < l.base.Index || i > l.last().Index:
		return 0, false
	}
	return l.entries[i-l.base.Index-1].Term, true
}

// Both ends are included.
func (l *Log) entriesBetween(from, to Index) []Entry {
	if from > to || to <= l.base.Index {
		return nil
	}
	from = max(from, l.base.Index+1)
	return append([]Entry(nil), l.entries[from-l.base.Index-1:to-l.base.Index]...)
}

func (l *Log) setHardState(h HardState) {
	if h != l.hardState {
		l.hardState = h
		l.hardStateDirty = true
	}
}
