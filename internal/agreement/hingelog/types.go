package hingelog

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Term numbers the periods of which each has at most one leader.
type Term uint64

// Index numbers the entries of the log, from 1.
type Index uint64

// Member is a host with one incarnation of its disk.
type Member struct {
	Host hingeids.HostID      `cbor:"1,keyasint" json:"host"`
	Disk hingeids.Incarnation `cbor:"2,keyasint" json:"disk"`
}

// IsZero reports whether the member names nobody.
func (m Member) IsZero() bool {
	return m == Member{}
}

// Members are those who hold the log.
type Members struct {
	Voters   []Member `cbor:"1,keyasint" json:"voters"`
	Learners []Member `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
}

// Quorum is the number of voters that decides.
func (m Members) Quorum() int {
	return len(m.Voters)/2 + 1
}

// HasVoter reports whether the member votes.
func (m Members) HasVoter(x Member) bool {
	return slices.Contains(m.Voters, x)
}

// Has reports whether the member is a voter or a learner.
func (m Members) Has(x Member) bool {
	return m.HasVoter(x) || slices.Contains(m.Learners, x)
}

// All gives voters and learners.
func (m Members) All() []Member {
	return slices.Concat(m.Voters, m.Learners)
}

// EntryKind says what an entry holds.
type EntryKind uint8

// Data is a proposal; Opening is the empty entry that begins a leader's term;
// MembersChange holds the new Members.
const (
	Data EntryKind = iota
	Opening
	MembersChange
)

// Entry is one place of the log.
type Entry struct {
	Term    Term      `cbor:"1,keyasint"`
	Index   Index     `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Position is a place in the log with the term of its entry.
type Position struct {
	Term  Term  `cbor:"1,keyasint"`
	Index Index `cbor:"2,keyasint"`
}

// Before orders logs by how new they are.
func (p Position) Before(o Position) bool {
	if p.Term != o.Term {
		return p.Term < o.Term
	}
	return p.Index < o.Index
}

// HardState is what a member must not forget beside its entries.
type HardState struct {
	Term Term   `cbor:"1,keyasint"`
	Vote Member `cbor:"2,keyasint"`
}

// Snapshot stands for all entries up to At.
type Snapshot struct {
	At      Position `cbor:"1,keyasint"`
	Members Members  `cbor:"2,keyasint"`
	Data    []byte   `cbor:"3,keyasint"`
}

// Stored is what a member finds on its disk at start. Before is the place
// before the first of Entries; some entries under the snapshot are kept so that
// a member slightly behind needs no snapshot.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Before    Position
	Entries   []Entry
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	Install
	CheckIn
	CheckInAnswer
)

// Holding says that a member holds the committed entries up to Index durably.
type Holding struct {
	Member Member `cbor:"1,keyasint"`
	Index  Index  `cbor:"2,keyasint"`
}

// Message goes from one member to another. It may be lost, delayed or doubled.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From Member      `cbor:"2,keyasint"`
	To   Member      `cbor:"3,keyasint"`
	Term Term        `cbor:"4,keyasint"`
	// At is the sender's last place in votes and check-ins, the place before
	// Entries in an Append, and the last place held in an AppendAnswer.
	At      Position `cbor:"5,keyasint"`
	Entries []Entry  `cbor:"6,keyasint,omitempty"`
	Commit  Index    `cbor:"7,keyasint,omitempty"`
	// SentAt is the leader's own clock since its start, in nanoseconds; answers echo it.
	SentAt   int64     `cbor:"8,keyasint,omitempty"`
	Granted  bool      `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	Holdings []Holding `cbor:"11,keyasint,omitempty"`
	// Round ties an answer to one start's check-in.
	Round uint64 `cbor:"12,keyasint,omitempty"`
}

// EventKind says what happened inside the log.
type EventKind uint8

// The kinds of events.
const (
	ElectionStarted EventKind = iota + 1
	BecameLeader
	SteppedDown
	LeaderKnown
	SnapshotInstalled
	LearnerAdded
	Promoted
	Removed
	ForgetfulDisk
)

// Event is something that happened inside the log.
type Event struct {
	Kind   EventKind
	Term   Term
	Member Member
	Index  Index
}

// Output is what the user of a Log carries out, in the order of the fields.
type Output struct {
	// Install is stored and handed to the state machine, in place of all before.
	Install *Snapshot
	// HardState is stored when set.
	HardState *HardState
	// Entries are stored; they replace what stood at their places and after.
	Entries []Entry
	// Messages are sent once all of the above is durable, but for those that Early gives.
	Messages []Message
	// Committed are applied in order.
	Committed []Entry
	Events    []Event
}

// Empty reports whether there is nothing to carry out.
func (o Output) Empty() bool {
	return !o.MustSync() && len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Events) == 0
}

// MustSync reports whether something has to be made durable.
func (o Output) MustSync() bool {
	return o.Install != nil || o.HardState != nil || len(o.Entries) > 0
}

// Early gives the messages that may be sent before the sync, and the others. A
// leader's entries say nothing of its own disk: it counts itself only after
// Synced, and it can't lead the same term again after a crash. So its sync and
// the followers' run side by side, and a change waits for one and not for two.
func (o Output) Early() (early, late []Message) {
	if o.HardState != nil || o.Install != nil {
		return nil, o.Messages
	}
	for _, m := range o.Messages {
		if m.Kind == Append {
			early = append(early, m)
			continue
		}
		late = append(late, m)
	}
	return early, late
}

// Settings of one member.
type Settings struct {
	Self Member
	// Election is the election time of rules 3, 5, 6 and 7.
	Election time.Duration
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat time.Duration
	// Seed makes the random part of rule 3 and the round of rule 12. It differs from
	// start to start.
	Seed uint64
	// Voters is how many members are to vote, an odd number; zero is as many as join (rule 13).
	Voters int
	// Silence is how long a voter may be unheard before a learner takes its place (rule 13).
	Silence time.Duration
}

// DefaultElection and DefaultHeartbeat suit zones a few milliseconds apart and
// disks whose slowest sync stays under a quarter of a second. The first leader
// after a loss is there within two election times and some retries, under 2 s.
const (
	DefaultElection  = 600 * time.Millisecond
	DefaultHeartbeat = 120 * time.Millisecond
)

// DefaultSilence is longer than a process takes to restart, some three seconds
// with its check-in, and short beside the time between two losses.
const DefaultSilence = 5 * time.Second

// Lease is how long a lease lasts after the send time of its heartbeat.
func (s Settings) Lease() time.Duration {
	return s.Election * 9 / 10
}

const (
	// maxAppendBytes bounds the entries of one message: 500 missed changes of
	// a few hundred bytes fit in one, and a link is held up for some milliseconds.
	maxAppendBytes = 1 << 20
	// maxPending bounds entries that wait for a quorum. A leader that loses touch would
	// otherwise pile up proposals whose callers have long left.
	maxPending = 4096
)
