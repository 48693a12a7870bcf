package hingelog

import (
	"slices"
	"time"
)

// peerState is the highest term of a member's messages and the highest committed
// index that it is known to hold durably.
type peerState struct {
	term  Term
	index Index
	// heardAt is when the member's last message arrived.
	heardAt time.Time
	// silentSince is since when the member hasn't answered, as leaders have stated it;
	// zero if it has answered them, or was heard here since.
	silentSince time.Time
}

// startCheckIn implements rule 12.
func (l *Log) startCheckIn() {
	l.checkInRound = l.random.Uint64()
	l.checkInPassed[l.settings.Self] = true
	l.countCheckIns()
}

// The answers of all members count, because this member's list of voters may be
// outdated: an entry that it lacks may have promoted a member that is needed to elect
// the leader that sends the entry.
func (l *Log) countCheckIns() {
	if voters := l.currentMembers().Voters; len(voters) > 0 && len(l.checkInPassed) >= majority(voters) {
		l.checkedIn = true
		l.checkInPeers = nil
	}
}

func (l *Log) tickCheckIn(now time.Time) {
	if l.checkedIn || now.Before(l.nextCheckInAt) {
		return
	}
	l.nextCheckInAt = now.Add(l.settings.HeartbeatInterval)
	for _, m := range l.others() {
		l.addCheckInPeer(m)
	}
	for _, m := range l.checkInPeers {
		l.sendCheckIn(m)
	}
}

func (l *Log) addCheckInPeer(m Member) {
	if !slices.Contains(l.checkInPeers, m) {
		l.checkInPeers = append(l.checkInPeers, m)
	}
}

func (l *Log) sendCheckIn(to Member) {
	l.send(Message{
		Kind:  CheckIn,
		To:    to,
		Term:  l.hardState.Term,
		At:    l.last(),
		Round: l.checkInRound,
	})
}

// extendCheckIn includes the sender of a message in the check-in, since it may be a
// member that this one doesn't know. A member with an empty log knows no members and
// needs the answer of the leader only.
func (l *Log) extendCheckIn(m Message) {
	empty := len(l.currentMembers().Voters) == 0
	switch {
	case !empty:
		l.addCheckInPeer(m.From)
	case m.Kind == Append || m.Kind == InstallSnapshot:
		l.sendCheckIn(m.From)
	}
}

// onCheckIn answers even if this member's own check-in is incomplete: after a power
// failure all members check in with each other at once.
func (l *Log) onCheckIn(m Message) {
	peer := l.peerStates[m.From]
	l.send(Message{
		Kind:    CheckInResponse,
		To:      m.From,
		Term:    l.hardState.Term,
		Granted: peer.term <= m.Term && peer.index <= m.At.Index,
		Round:   m.Round,
		At: Position{
			Term:  peer.term,
			Index: peer.index,
		},
	})
}

func (l *Log) onCheckInResponse(m Message) {
	if l.checkedIn || m.Round != l.checkInRound || m.From.Host == l.settings.Self.Host {
		return
	}
	if !m.Granted {
		l.staleDisk = true
		l.events = append(l.events, Event{
			Kind:   StaleDisk,
			Term:   l.hardState.Term,
			Member: m.From,
			Index:  l.last().Index,
			Known:  m.At,
		})
		return
	}
	l.checkInPassed[m.From] = true
	l.countCheckIns()
	if len(l.currentMembers().Voters) == 0 {
		l.checkedIn = true
	}
}

// recordPeer records that a member was heard, and the highest term of its messages.
// Terms of check-ins don't count, as they are verified against it, nor do those of
// pre-votes, which the sender hasn't adopted.
func (l *Log) recordPeer(now time.Time, m Message) {
	peer := l.peerStates[m.From]
	peer.heardAt = now
	peer.silentSince = time.Time{}
	if m.Kind != PreVote && m.Kind != PreVoteResponse && m.Kind != CheckIn {
		peer.term = max(peer.term, m.Term)
	}
	l.peerStates[m.From] = peer
}

func (l *Log) recordMatches(now time.Time, list []MatchIndex) {
	for _, x := range list {
		peer := l.peerStates[x.Member]
		peer.index = max(peer.index, x.Index)
		peer.silentSince = time.Time{}
		if x.Unanswered > 0 {
			peer.silentSince = now.Add(-x.Unanswered)
		}
		l.peerStates[x.Member] = peer
	}
}

// HasStaleDisk reports whether the member has stopped because its disk is an older
// copy (rule 12).
func (l *Log) HasStaleDisk() bool {
	return l.staleDisk
}
