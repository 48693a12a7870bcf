package hingelog

import (
	"slices"
	"time"
)

// quorumSendTime returns the newest send time that a quorum has answered, or the zero
// time if there is none. The leader counts itself with the current time.
func (l *Log) quorumSendTime(now time.Time) time.Time {
	var oldest time.Time
	for i, voters := range l.currentMembers().voterSets() {
		if t := l.majoritySendTime(now, voters); i == 0 || t.Before(oldest) {
			oldest = t
		}
	}
	return oldest
}

func (l *Log) majoritySendTime(now time.Time, voters []Member) time.Time {
	times := make([]time.Time, 0, 8)
	for _, m := range voters {
		switch p := l.progress[m]; {
		case m == l.settings.Self:
			times = append(times, now)
		case p != nil:
			times = append(times, p.ackedSendTime)
		default:
			times = append(times, time.Time{})
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int {
		return b.Compare(a)
	})
	return times[majority(voters)-1]
}

func (l *Log) leaseEnd(now time.Time) time.Time {
	sent := l.quorumSendTime(now)
	if sent.IsZero() {
		return sent
	}
	return sent.Add(l.settings.LeaseDuration())
}

// MayLead reports whether this member is the leader and holds a valid lease, so that
// no other can have been elected (rule 6), and has committed an entry of its term, so
// that it knows all committed entries (rule 8).
func (l *Log) MayLead(now time.Time) bool {
	return l.role == leader && l.commit >= l.termStartIndex && now.Before(l.leaseEnd(now))
}

// ReadIndex returns the index that must be applied before a read, so that the read
// sees every change committed before now. It returns false outside the lease.
func (l *Log) ReadIndex(now time.Time) (Index, bool) {
	return l.commit, l.MayLead(now)
}

// tickLeader implements rule 7.
func (l *Log) tickLeader(now time.Time) {
	lastContact := l.quorumSendTime(now)
	if lastContact.Before(l.leaderSince) {
		lastContact = l.leaderSince
	}
	if now.Sub(lastContact) >= l.settings.ElectionTimeout {
		l.becomeFollower(now, l.hardState.Term)
		return
	}
	if !now.Before(l.nextHeartbeatAt) {
		l.heartbeat(now)
	}
	l.repair(now)
}

// Status is a member's view of the log and its members. MatchIndexes is set only on a
// leader.
type Status struct {
	Self      Member
	Leader    Member
	IsLeader  bool
	Term      Term
	Commit    Index
	LastIndex Index
	Members   Members
	// MembersCommitted reports whether Members are committed.
	MembersCommitted bool
	MatchIndexes     []MatchIndex
}

// Status returns the member's current view.
func (l *Log) Status() Status {
	s := Status{
		Self:      l.settings.Self,
		Leader:    l.leader,
		IsLeader:  l.role == leader,
		Term:      l.hardState.Term,
		Commit:    l.commit,
		LastIndex: l.last().Index,
		Members:   l.currentMembers(),

		MembersCommitted: l.members[len(l.members)-1].index <= l.commit,
	}
	if s.IsLeader {
		s.MatchIndexes = l.matches()
	}
	return s
}

// LeaseEnd returns the end of the lease that MayLead checks.
func (l *Log) LeaseEnd(now time.Time) time.Time {
	return l.leaseEnd(now)
}

// HardState returns the state to store along with an installed snapshot.
func (l *Log) HardState() HardState {
	return l.hardState
}
