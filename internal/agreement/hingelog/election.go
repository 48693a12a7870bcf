package hingelog

import (
	"slices"
	"time"
)

func (l *Log) resetElection(now time.Time) {
	e := l.settings.ElectionTimeout
	l.electionDeadline = now.Add(e + time.Duration(l.random.Int64N(int64(e))))
}

// formerVoterDelay lets the voters be elected first. A member whose newest list has it without a vote doesn't know
// after a restart whether the list is committed: elected, it would learn that and step down again.
func (l *Log) formerVoterDelay() time.Duration {
	if l.currentMembers().HasVoter(l.settings.Self) {
		return 0
	}
	return 2 * l.settings.ElectionTimeout
}

// The wait is shorter than the first one, since the others may have received the last
// heartbeat slightly later or have become candidates at the same time, and pre-votes
// don't disrupt them. Each voter adds a delay by its position, so that two voters
// don't split the votes repeatedly.
func (l *Log) retryElection(now time.Time) {
	e := l.settings.ElectionTimeout
	voterIndex := max(slices.Index(l.currentMembers().Voters, l.settings.Self), 0)
	wait := e/4 + time.Duration(voterIndex)*e/8 + time.Duration(l.random.Int64N(int64(e/16)))
	l.electionDeadline = now.Add(wait)
}

func (l *Log) becomeFollower(now time.Time, t Term) {
	if l.role == leader {
		l.addEvent(SteppedDown, l.settings.Self)
		l.resetElection(now)
	}
	l.role = follower
	l.leader = Member{}
	if t > l.hardState.Term {
		l.setHardState(HardState{
			Term: t,
		})
	}
}

func (l *Log) tickElection(now time.Time) {
	if now.Before(l.electionDeadline) || !l.checkedIn {
		return
	}
	if !l.mayCampaign() || now.Before(l.electionDeadline.Add(l.formerVoterDelay())) {
		l.leader = Member{}
		return
	}
	l.retryElection(now)
	l.role = preCandidate
	l.leader = Member{}
	l.addEvent(ElectionStarted, l.settings.Self)
	l.requestVotes(now, PreVote, l.hardState.Term+1)
}

// A member whose removal is in its log but not committed may campaign: if no other
// log is as up to date, no other member could be elected to complete the removal.
func (l *Log) mayCampaign() bool {
	if l.membersAt(l.commit).HasVoter(l.settings.Self) {
		return true
	}
	for _, a := range l.members {
		if a.index > l.commit && a.members.HasVoter(l.settings.Self) {
			return true
		}
	}
	return false
}

func (l *Log) requestVotes(now time.Time, k MessageKind, t Term) {
	l.votes = map[Member]bool{
		l.settings.Self: true,
	}
	for _, m := range l.others() {
		l.send(Message{
			Kind: k,
			To:   m,
			Term: t,
			At:   l.last(),
		})
	}
	l.countVotes(now)
}

func (l *Log) countVotes(now time.Time) {
	if !l.currentMembers().HasQuorum(func(m Member) bool {
		return l.votes[m]
	}) {
		return
	}
	switch l.role {
	case preCandidate:
		l.role = candidate
		l.setHardState(HardState{
			Term: l.hardState.Term + 1,
			Vote: l.settings.Self,
		})
		l.retryElection(now)
		l.requestVotes(now, Vote, l.hardState.Term)
	case candidate:
		l.becomeLeader(now)
	}
}

// leaseMayBeValid implements rule 5 for the lease of this leader, or of the leader
// last heard from.
func (l *Log) leaseMayBeValid(now time.Time) bool {
	if l.role == leader {
		return now.Before(l.leaseEnd(now))
	}
	return now.Sub(l.leaderLastSeen) < l.settings.ElectionTimeout
}

func (l *Log) isUpToDate(at Position) bool {
	return !at.LessUpToDate(l.last())
}

// onPreVote changes no state.
func (l *Log) onPreVote(now time.Time, m Message) {
	granted := m.Term > l.hardState.Term && !l.leaseMayBeValid(now) && l.isUpToDate(m.At)
	t := l.hardState.Term
	if granted {
		t = m.Term
	}
	l.send(Message{
		Kind:    PreVoteResponse,
		To:      m.From,
		Term:    t,
		Granted: granted,
	})
}

func (l *Log) onPreVoteResponse(now time.Time, m Message) {
	if l.role != preCandidate || !m.Granted || m.Term != l.hardState.Term+1 {
		return
	}
	l.votes[m.From] = true
	l.countVotes(now)
}

func (l *Log) onVote(now time.Time, m Message) {
	// Rule 5. The later term isn't adopted either, since a leader would step down for it.
	if l.leaseMayBeValid(now) {
		return
	}
	if m.Term > l.hardState.Term {
		l.becomeFollower(now, m.Term)
	}
	mayVote := l.hardState.Vote.IsZero() || l.hardState.Vote == m.From
	granted := m.Term == l.hardState.Term && mayVote && l.isUpToDate(m.At)
	if granted {
		// Rule 4.
		l.role = follower
		l.setHardState(HardState{
			Term: m.Term,
			Vote: m.From,
		})
		l.resetElection(now)
	}
	l.send(Message{
		Kind:    VoteResponse,
		To:      m.From,
		Term:    l.hardState.Term,
		Granted: granted,
	})
}

func (l *Log) onVoteResponse(now time.Time, m Message) {
	if l.role != candidate || !m.Granted || m.Term != l.hardState.Term {
		return
	}
	l.votes[m.From] = true
	l.countVotes(now)
}

func (l *Log) becomeLeader(now time.Time) {
	l.role = leader
	l.leader = l.settings.Self
	l.leaderSince = now
	l.nextHeartbeatAt = now
	l.progress = make(map[Member]*progress)
	l.addEvent(BecameLeader, l.settings.Self)
	l.termStartIndex = l.append(Entry{
		Kind: NoOp,
	})
	l.replicate(now)
	l.continueSilences()
}

// continueSilences counts the silence of members from before this term. A leader that was lost is silent since
// its last message.
func (l *Log) continueSilences() {
	for _, m := range l.others() {
		peer := l.peerStates[m]
		since := peer.silentSince
		if m == l.previousLeader {
			since = peer.heardAt
		}
		if !since.IsZero() {
			l.progressOf(m).firstSentAt = since
		}
	}
}
