package hingelog

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Term is a Raft term. Each term has at most one leader.
type Term uint64

// Index is the index of a log entry, starting at 1.
type Index uint64

// Member is a host with an incarnation of its disk.
type Member struct {
	Host hingeids.HostID      `cbor:"1,keyasint" json:"host"`
	Disk hingeids.Incarnation `cbor:"2,keyasint" json:"disk"`
}

// IsZero reports whether the member is unset.
func (m Member) IsZero() bool {
	return m == Member{}
}

// Members are the members of a group.
type Members struct {
	Voters   []Member `cbor:"1,keyasint" json:"voters"`
	Learners []Member `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
	// Outgoing are the voters before a replacement that isn't complete (rule 10). A quorum
	// needs a majority of them as well.
	Outgoing []Member `cbor:"3,keyasint,omitempty" json:"outgoing,omitempty"`
}

// IsReplacing reports whether a replacement isn't complete.
func (m Members) IsReplacing() bool {
	return len(m.Outgoing) > 0
}

// voterSets returns the sets of voters of which a quorum needs a majority each.
func (m Members) voterSets() [][]Member {
	if m.IsReplacing() {
		return [][]Member{m.Voters, m.Outgoing}
	}
	return [][]Member{m.Voters}
}

func majority(voters []Member) int {
	return len(voters)/2 + 1
}

// HasQuorum reports whether the members for which has returns true form a quorum.
func (m Members) HasQuorum(has func(Member) bool) bool {
	for _, voters := range m.voterSets() {
		count := 0
		for _, v := range voters {
			if has(v) {
				count++
			}
		}
		if count < majority(voters) {
			return false
		}
	}
	return true
}

// HasVoter reports whether the member is a voter, also one that is being replaced.
func (m Members) HasVoter(x Member) bool {
	return slices.Contains(m.Voters, x) || slices.Contains(m.Outgoing, x)
}

// Has reports whether the member is a voter or a learner.
func (m Members) Has(x Member) bool {
	return m.HasVoter(x) || slices.Contains(m.Learners, x)
}

// All returns the voters, followed by the learners and the voters that are being replaced.
func (m Members) All() []Member {
	all := slices.Concat(m.Voters, m.Learners)
	for _, x := range m.Outgoing {
		if !slices.Contains(all, x) {
			all = append(all, x)
		}
	}
	return all
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Data is a proposal, NoOp the empty entry at the start of a leader's term, and
// MembersChange holds the new Members.
const (
	Data EntryKind = iota
	NoOp
	MembersChange
)

// Entry is a log entry.
type Entry struct {
	Term    Term      `cbor:"1,keyasint"`
	Index   Index     `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Position is the index and the term of a log entry.
type Position struct {
	Term  Term  `cbor:"1,keyasint"`
	Index Index `cbor:"2,keyasint"`
}

// LessUpToDate reports whether a log that ends at p is less up to date than one that
// ends at o.
func (p Position) LessUpToDate(o Position) bool {
	if p.Term != o.Term {
		return p.Term < o.Term
	}
	return p.Index < o.Index
}

// HardState is the state that a member must store durably besides its entries.
type HardState struct {
	Term Term   `cbor:"1,keyasint"`
	Vote Member `cbor:"2,keyasint"`
}

// Snapshot replaces all entries up to At.
type Snapshot struct {
	At      Position `cbor:"1,keyasint"`
	Members Members  `cbor:"2,keyasint"`
	Data    []byte   `cbor:"3,keyasint"`
}

// DurableState is the durable state of a member. BasePosition is the position before
// the first of Entries. Entries may start before the end of the snapshot, so that a
// member that lags slightly needs no snapshot.
type DurableState struct {
	HardState    HardState
	Snapshot     Snapshot
	BasePosition Position
	Entries      []Entry
}

// Last returns the position of the last entry.
func (d DurableState) Last() Position {
	if len(d.Entries) == 0 {
		return d.BasePosition
	}
	e := d.Entries[len(d.Entries)-1]
	return Position{
		Term:  e.Term,
		Index: e.Index,
	}
}

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteResponse
	Vote
	VoteResponse
	Append
	AppendResponse
	InstallSnapshot
	CheckIn
	CheckInResponse
)

// MatchIndex means that a member holds the committed entries up to Index durably.
type MatchIndex struct {
	Member Member `cbor:"1,keyasint"`
	Index  Index  `cbor:"2,keyasint"`
	// Unanswered is how long the member has left the leader's messages unanswered.
	Unanswered time.Duration `cbor:"3,keyasint,omitempty"`
}

// Message is sent from one member to another. It may be lost, delayed or duplicated.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From Member      `cbor:"2,keyasint"`
	To   Member      `cbor:"3,keyasint"`
	Term Term        `cbor:"4,keyasint"`
	// At is the sender's last position in votes and check-ins, the position before
	// Entries in an Append, and the last confirmed position in an AppendResponse. In a
	// CheckInResponse it is the term and the committed index that the sender knows of the receiver.
	At      Position `cbor:"5,keyasint"`
	Entries []Entry  `cbor:"6,keyasint,omitempty"`
	Commit  Index    `cbor:"7,keyasint,omitempty"`
	// SentAt is the time since the leader's start by its own clock, in nanoseconds.
	// Answers echo it.
	SentAt       int64        `cbor:"8,keyasint,omitempty"`
	Granted      bool         `cbor:"9,keyasint,omitempty"`
	Snapshot     *Snapshot    `cbor:"10,keyasint,omitempty"`
	MatchIndexes []MatchIndex `cbor:"11,keyasint,omitempty"`
	// Round identifies the start that a check-in belongs to. Answers echo it.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Retiring is set in an AppendResponse if the sender is about to stop (rule 14).
	Retiring bool `cbor:"13,keyasint,omitempty"`
	// KnowsReplacing is set in an AppendResponse if the sender acts by Members.Outgoing (rule 10).
	KnowsReplacing bool `cbor:"14,keyasint,omitempty"`
}

// EventKind is the kind of an event.
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
	StaleDisk
)

// Event is a state change of a member or of the group.
type Event struct {
	Kind   EventKind
	Term   Term
	Member Member
	Index  Index
	// Known is set in StaleDisk: the term and the committed entry that Member knows this disk to have held.
	// Term and Index are those that the disk holds.
	Known Position
}

// Output is what the caller processes, in the order of the fields.
type Output struct {
	// InstallSnapshot is stored and restored into the state machine, and replaces all
	// earlier state.
	InstallSnapshot *Snapshot
	// HardState is stored if it isn't nil.
	HardState *HardState
	// Entries are stored. They replace all stored entries from the first one's index on.
	Entries []Entry
	// Messages are sent once all of the above is durable, except the early ones of
	// SplitMessages.
	Messages []Message
	// Committed entries are applied in order.
	Committed []Entry
	Events    []Event
}

// Empty reports whether there is nothing to process.
func (o Output) Empty() bool {
	return !o.NeedsSync() && len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Events) == 0
}

// NeedsSync reports whether the output has state to store durably.
func (o Output) NeedsSync() bool {
	return o.InstallSnapshot != nil || o.HardState != nil || len(o.Entries) > 0
}

// SplitMessages splits the messages into those that may be sent before the sync and
// the others. A leader's entries may be, since it counts itself only after MarkSynced
// and can't lead the same term again after a crash. Its sync thus runs in parallel
// with those of the followers.
func (o Output) SplitMessages() (early, late []Message) {
	if o.HardState != nil || o.InstallSnapshot != nil {
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

// Settings are the settings of one member.
type Settings struct {
	Self Member
	// ElectionTimeout is the election time of rules 3, 5, 6 and 7.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// Seed is the random seed of election timeouts (rule 3) and of the check-in round
	// (rule 12). It must differ from start to start.
	Seed uint64
	// Voters is the intended number of voters, an odd number. With zero, all learners
	// are promoted (rule 13).
	Voters int
	// SilenceTimeout is how long a voter may leave the leader's messages unanswered
	// before a learner replaces it (rule 13).
	SilenceTimeout time.Duration
	// Zone returns the zone of a host, or an empty one if it isn't known (rule 15). It may be nil.
	Zone func(hingeids.HostID) hingeids.Zone
}

// DefaultElectionTimeout and DefaultHeartbeatInterval suit zones a few milliseconds
// apart and disks that sync within a quarter of a second. A lost leader is replaced
// within two election times and some retries.
const (
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultHeartbeatInterval = 120 * time.Millisecond
)

// LeaseDuration returns the duration of a lease, counted from the send time of its
// heartbeat.
func (s Settings) LeaseDuration() time.Duration {
	return s.ElectionTimeout * 9 / 10
}

const (
	// maxAppendBytes limits the entries of one message, so that it blocks a link only
	// briefly. 500 missed changes of a few hundred bytes fit into one.
	maxAppendBytes = 1 << 20
	// maxUncommitted limits the entries that wait for a quorum. A partitioned leader would
	// otherwise accumulate proposals whose callers have timed out.
	maxUncommitted = 4096
)
