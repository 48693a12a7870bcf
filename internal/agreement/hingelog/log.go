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

// Log is one member's part. It is not safe for use by several goroutines.
type Log struct {
	settings Settings
	random   *rand.Rand
	// started anchors send times, so that a wall clock that is set doesn't move a lease.
	started time.Time

	hard      HardState
	hardDirty bool
	snapshot  Snapshot
	install   *Snapshot
	before    Position
	entries   []Entry
	members   []membersAt
	unsynced  Index // First index not yet handed out by Take.
	synced    Index
	taken     Index // Last index handed out by the last Take.

	commit  Index
	applied Index

	role        role
	leader      Member
	heardLeader time.Time
	electionAt  time.Time
	votes       map[Member]bool

	progress    map[Member]*progress
	opening     Index
	ledSince    time.Time
	heartbeatAt time.Time

	checkedIn   bool
	forgetful   bool
	checkRound  uint64
	checkAt     time.Time
	checkPassed map[Member]bool
	checkWith   []Member
	seen        map[Member]holding

	messages []Message
	events   []Event
}

type membersAt struct {
	index   Index
	members Members
}

// progress is what a leader knows of another member.
type progress struct {
	match Index
	next  Index
	// since is when the member was first sent to, in this term.
	since time.Time
	// ackedSend is the send time, by the leader's clock, of the newest message answered.
	ackedSend   time.Time
	snapshotEnd time.Time
}

// New makes a member from what its disk holds.
func New(now time.Time, s Settings, d Stored) *Log {
	l := &Log{
		settings: s,
		started:  now,
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		hard:     d.HardState,
		snapshot: d.Snapshot,
		before:   d.Before,
		entries:  d.Entries,
		commit:   d.Snapshot.At.Index,
		applied:  d.Snapshot.At.Index,
		// Rule 5: a leader may have been heard just before the start.
		heardLeader: now,
		checkPassed: make(map[Member]bool),
		seen:        make(map[Member]holding),
	}
	if len(d.Entries) == 0 {
		l.before = d.Snapshot.At
	}
	l.members = []membersAt{
		{
			index:   d.Snapshot.At.Index,
			members: d.Snapshot.Members,
		},
	}
	for _, e := range l.entries {
		l.noteMembers(e)
	}
	l.synced = l.last().Index
	l.taken = l.synced
	l.unsynced = l.synced + 1
	l.resetElection(now)
	l.startCheckIn()
	return l
}

// Tick does what is due. It wants to be called several times a heartbeat.
func (l *Log) Tick(now time.Time) {
	if l.forgetful {
		return
	}
	l.tickCheckIn(now)
	if l.role == leader {
		l.tickLeader(now)
		return
	}
	l.tickElection(now)
}

// Step takes a message.
func (l *Log) Step(now time.Time, m Message) {
	// Rule 1.
	if l.forgetful || m.To != l.settings.Self {
		return
	}
	l.noteSeen(m)
	switch m.Kind {
	case CheckIn:
		l.onCheckIn(m)
		if !l.checkedIn {
			l.checkInWith(m)
		}
	case CheckInAnswer:
		l.onCheckInAnswer(m)
	default:
		if !l.checkedIn {
			// Rule 12. Neither term nor log moves before, or a check-in that
			// was delayed would look older than what was said after it.
			l.checkInWith(m)
			return
		}
		l.stepChecked(now, m)
	}
}

func (l *Log) stepChecked(now time.Time, m Message) {
	switch m.Kind {
	case PreVote:
		l.onPreVote(now, m)
	case Vote:
		l.onVote(now, m)
	default:
		l.stepInTerm(now, m)
	}
}

// stepInTerm takes the messages that move a member to a later term at once.
func (l *Log) stepInTerm(now time.Time, m Message) {
	if grant := m.Kind == PreVoteAnswer && m.Granted; m.Term > l.hard.Term && !grant {
		l.becomeFollower(now, m.Term)
	}
	switch m.Kind {
	case PreVoteAnswer:
		l.onPreVoteAnswer(now, m)
	case VoteAnswer:
		l.onVoteAnswer(now, m)
	case Append, Install:
		l.onLeaderMessage(now, m)
	case AppendAnswer:
		l.onAppendAnswer(now, m)
	}
}

// Take gives what is to be carried out. The user makes it durable, sends the messages, calls
// Synced and applies what is committed before it hands in anything else.
func (l *Log) Take() Output {
	o := Output{
		Install:   l.install,
		Messages:  l.messages,
		Events:    l.events,
		Committed: l.slice(l.applied+1, l.commit),
	}
	if l.hardDirty {
		h := l.hard
		o.HardState = &h
	}
	o.Entries = l.slice(l.unsynced, l.last().Index)
	l.taken = l.last().Index
	l.unsynced = l.taken + 1
	l.applied = l.commit
	l.install = nil
	l.hardDirty = false
	l.messages = nil
	l.events = nil
	return o
}

// Synced says that what Take gave last is durable.
func (l *Log) Synced(now time.Time) {
	l.synced = min(l.taken, l.last().Index)
	if l.role == leader {
		l.advanceCommit(now)
	}
}

func (l *Log) send(m Message) {
	m.From = l.settings.Self
	l.messages = append(l.messages, m)
}

func (l *Log) event(k EventKind, who Member) {
	l.events = append(l.events, Event{
		Kind:   k,
		Term:   l.hard.Term,
		Member: who,
		Index:  l.commit,
	})
}

func (l *Log) last() Position {
	if len(l.entries) == 0 {
		return l.before
	}
	e := l.entries[len(l.entries)-1]
	return Position{
		Term:  e.Term,
		Index: e.Index,
	}
}

// termAt gives the term of an entry, if it is still known.
func (l *Log) termAt(i Index) (Term, bool) {
	switch {
	case i == l.before.Index:
		return l.before.Term, true
	case i == l.snapshot.At.Index:
		return l.snapshot.At.Term, true
	case i < l.before.Index || i > l.last().Index:
		return 0, false
	}
	return l.entries[i-l.before.Index-1].Term, true
}

// slice copies the entries from one index to another, both included.
func (l *Log) slice(from, to Index) []Entry {
	if from > to || to <= l.before.Index {
		return nil
	}
	from = max(from, l.before.Index+1)
	return append([]Entry(nil), l.entries[from-l.before.Index-1:to-l.before.Index]...)
}

func (l *Log) setHard(h HardState) {
	if h != l.hard {
		l.hard = h
		l.hardDirty = true
	}
}
