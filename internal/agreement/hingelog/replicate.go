package hingelog

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Errors of rejected proposals. A rejected proposal adds nothing to the log.
var (
	ErrNotLeader          = eris.New("not the leader, or the leader's lease has expired")
	ErrTooManyUncommitted = eris.New("too many uncommitted proposals")
)

// Propose appends data to the log and returns its position. It fails with
// ErrNotLeader outside the lease (rule 6), so a partitioned leader rejects proposals
// at once, and with ErrTooManyUncommitted if too many entries are uncommitted.
func (l *Log) Propose(now time.Time, data []byte) (Position, error) {
	if !l.MayLead(now) {
		return Position{}, ErrNotLeader
	}
	if l.last().Index-l.commit >= maxUncommitted {
		return Position{}, ErrTooManyUncommitted
	}
	l.append(Entry{
		Kind: Data,
		Data: data,
	})
	return l.last(), nil
}

func (l *Log) append(e Entry) Index {
	e.Term = l.hardState.Term
	e.Index = l.last().Index + 1
	l.entries = append(l.entries, e)
	l.recordMembers(e)
	return e.Index
}

// Flush sends the entries proposed since the last message. The caller runs it once
// after a batch of proposals, so that the batch is sent and synced together.
func (l *Log) Flush(now time.Time) {
	if l.role == leader {
		l.replicate(now)
	}
}

func (l *Log) others() []Member {
	var out []Member
	for _, m := range l.currentMembers().All() {
		if m != l.settings.Self {
			out = append(out, m)
		}
	}
	return out
}

func (l *Log) progressOf(m Member) *progress {
	p := l.progress[m]
	if p == nil {
		p = &progress{
			next: l.last().Index + 1,
		}
		l.progress[m] = p
	}
	return p
}

func (l *Log) replicate(now time.Time) {
	for _, m := range l.others() {
		if p := l.progressOf(m); p.next <= l.last().Index && !p.waits(now) && !now.Before(p.snapshotRetryAt) {
			l.sendAppend(now, m, p)
		}
	}
	if len(l.others()) == 0 {
		l.advanceCommit(now)
	}
}

func (l *Log) heartbeat(now time.Time) {
	l.nextHeartbeatAt = now.Add(l.settings.HeartbeatInterval)
	l.recordMatches(now, l.statedMatches(now))
	for _, m := range l.others() {
		l.sendAppend(now, m, l.progressOf(m))
	}
}

func (l *Log) sendAppend(now time.Time, to Member, p *progress) {
	if p.firstSentAt.IsZero() {
		p.firstSentAt = now
	}
	t, known := l.termAt(p.next - 1)
	if !known || p.next <= l.base.Index {
		l.sendSnapshot(now, to, p)
		return
	}
	m := Message{
		Kind: Append,
		To:   to,
		Term: l.hardState.Term,
		At: Position{
			Term:  t,
			Index: p.next - 1,
		},
		Entries:      l.batch(now, p),
		Commit:       l.commit,
		SentAt:       int64(now.Sub(l.started)),
		MatchIndexes: l.statedMatches(now),
	}
	p.next += Index(len(m.Entries))
	l.send(m)
}

// maxTransfer bounds the time for which entries wait if the end of a transfer isn't reported.
const maxTransfer = time.Minute

func (p *progress) waits(now time.Time) bool {
	return now.Before(p.waitUntil)
}

// Unsent tells that the content of a message wasn't sent, as an earlier large message is still on its way to the member.
// Its entries wait until that has arrived or failed: each heartbeat overtakes it and is rejected, and to send the entries
// at each rejection would fill the memory and the link with copies of them (rule 16).
func (l *Log) Unsent(now time.Time, m Message) {
	if l.role != leader || m.Term != l.hardState.Term || m.Kind != Append {
		return
	}
	p := l.progressOf(m.To)
	p.next = max(min(p.next, m.At.Index+1), p.match+1)
	p.waitUntil = now.Add(maxTransfer)
}

// TransferStarted tells that a large message is to be sent to a member, and returns the message to send. Its time is a
// nanosecond earlier, as others of the same instant must not be taken for it by their answers; the lease only gets shorter.
func (l *Log) TransferStarted(m Message) Message {
	if l.role != leader || m.Term != l.hardState.Term || m.Kind != Append {
		return m
	}
	m.SentAt--
	p := l.progressOf(m.To)
	p.unanswered = true
	p.transferSentAt = m.SentAt
	return m
}

// TransferEnded tells that a large message has been transferred to a host, or has failed. After a success the member's
// answer is due within an election time, unless it has come already. The message may have been for a member whose disk the
// host has lost since; entries for the one with the present disk waited for it too.
func (l *Log) TransferEnded(now time.Time, to hingeids.HostID, delivered bool) {
	for m, p := range l.progress {
		if m.Host != to {
			continue
		}
		isDue := delivered && p.unanswered
		p.unanswered = isDue
		if !p.waits(now) {
			continue
		}
		p.waitUntil = time.Time{}
		if isDue {
			p.waitUntil = now.Add(l.settings.ElectionTimeout)
		}
	}
}

// batch returns at least one entry if there is any that the member may receive: one that doesn't know
// Members.Outgoing would act by the new voters alone.
func (l *Log) batch(now time.Time, p *progress) []Entry {
	if p.waits(now) {
		return nil
	}
	out := l.entriesBetween(p.next, l.last().Index)
	size := 0
	for i, e := range out {
		size += len(e.Data)
		tooLarge := size > maxAppendBytes && i > 0
		if tooLarge || e.Members != nil && e.Members.IsReplacing() && !p.knowsReplacing {
			return out[:i]
		}
	}
	return out
}

// Followers need the committed index that each member holds durably for check-ins
// (rule 12).
func (l *Log) matches() []MatchIndex {
	var out []MatchIndex
	for _, m := range l.currentMembers().All() {
		match := l.synced
		if m != l.settings.Self {
			match = l.progressOf(m).match
		}
		out = append(out, MatchIndex{
			Member: m,
			// An uncommitted entry may still be replaced.
			Index: min(match, l.commit),
		})
	}
	return out
}

// statedMatches are the matches with the silence of members, so that the next leader doesn't count it anew
// (rule 13).
func (l *Log) statedMatches(now time.Time) []MatchIndex {
	out := l.matches()
	for i, x := range out {
		if silence := l.unansweredFor(now, x.Member); x.Member != l.settings.Self && silence > 2*l.settings.HeartbeatInterval {
			out[i].Unanswered = silence
		}
	}
	return out
}

func (l *Log) onLeaderMessage(now time.Time, m Message) {
	if m.Term < l.hardState.Term {
		// The rejection informs the old leader of the later term.
		l.answerAppend(m, false)
		return
	}
	if l.role == leader {
		return
	}
	l.role = follower
	if l.leader != m.From {
		l.leader = m.From
		l.addEvent(LeaderKnown, m.From)
	}
	l.leaderLastSeen = now
	l.previousLeader = m.From
	l.resetElection(now)
	l.recordMatches(now, m.MatchIndexes)
	if m.Kind == InstallSnapshot {
		l.onInstallSnapshot(m)
		return
	}
	l.onAppend(m)
}

func (l *Log) onAppend(m Message) {
	if !areConsecutive(m.At, m.Entries) {
		return
	}
	if m.At.Index < l.base.Index {
		// Entries up to the base are committed, so overlapping entries are equal.
		skip := min(int(l.base.Index-m.At.Index), len(m.Entries))
		m.Entries = m.Entries[skip:]
		m.At = l.base
		if len(m.Entries) == 0 {
			l.answerAppend(m, true)
			return
		}
	}
	t, known := l.termAt(m.At.Index)
	if !known || t != m.At.Term {
		l.answerAppend(m, false)
		return
	}
	if !l.storeEntries(m.Entries) {
		return
	}
	lastIndex := m.At.Index + Index(len(m.Entries))
	l.commit = max(l.commit, min(m.Commit, lastIndex))
	m.At.Index = lastIndex
	l.answerAppend(m, true)
}

// A faulty peer could otherwise make this member truncate committed entries.
func areConsecutive(at Position, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != at.Index+Index(i)+1 || e.Kind == MembersChange && e.Members == nil {
			return false
		}
	}
	return true
}

// storeEntries adds entries to the log. It truncates the log only from the first
// entry whose term differs, since a delayed message must not remove newer entries. It
// returns false if an entry conflicts with a committed one.
func (l *Log) storeEntries(entries []Entry) bool {
	for i, e := range entries {
		if t, known := l.termAt(e.Index); known && t == e.Term {
			continue
		}
		if e.Index <= l.commit {
			// Only a faulty peer can contradict a committed entry.
			return false
		}
		l.truncateFrom(e.Index)
		for _, e := range entries[i:] {
			l.entries = append(l.entries, e)
			l.recordMembers(e)
		}
		return true
	}
	return true
}

func (l *Log) truncateFrom(i Index) {
	if i > l.last().Index {
		return
	}
	l.entries = slices.Clip(l.entries[:i-l.base.Index-1])
	l.nextOutputIndex = min(l.nextOutputIndex, i)
	l.synced = min(l.synced, i-1)
	l.truncateMembers(i)
}

func (l *Log) answerAppend(m Message, granted bool) {
	at := l.last()
	if granted {
		at = m.At
	} else if m.At.Index <= at.Index && m.At.Index > 0 {
		// The terms differ. Committed entries are equal on all members, so the leader
		// resumes after them instead of probing one entry at a time.
		at.Index = l.commit
	}
	l.respond(m, at, granted)
}

func (l *Log) respond(m Message, at Position, granted bool) {
	l.send(Message{
		Kind:           AppendResponse,
		To:             m.From,
		Term:           l.hardState.Term,
		At:             at,
		Granted:        granted,
		SentAt:         m.SentAt,
		Retiring:       !l.retiringSince.IsZero(),
		KnowsReplacing: true,
	})
}

func (l *Log) onAppendResponse(now time.Time, m Message) {
	if l.role != leader || m.Term != l.hardState.Term || !l.currentMembers().Has(m.From) {
		return
	}
	p := l.progressOf(m.From)
	p.knowsReplacing = m.KnowsReplacing
	switch {
	case !m.Retiring:
		p.retiringSince = time.Time{}
	case p.retiringSince.IsZero():
		p.retiringSince = now
	}
	if sent := l.started.Add(time.Duration(m.SentAt)); sent.After(p.ackedSendTime) {
		p.ackedSendTime = sent
	}
	if !m.Granted && now.Before(p.snapshotRetryAt) {
		// A snapshot is in transit. Reacting to each rejection would cause needless
		// messages back and forth.
		return
	}
	if p.unanswered && m.SentAt == p.transferSentAt {
		// A rejection of the large message itself says that the member lacks what comes before it.
		p.unanswered = false
		p.waitUntil = time.Time{}
	}
	if !m.Granted && p.waits(now) {
		// What the member lacks is on its way.
		return
	}
	if !m.Granted {
		p.next = max(min(p.next, m.At.Index+1), p.match+1)
		l.sendAppend(now, m.From, p)
		return
	}
	p.snapshotRetryAt = time.Time{}
	if m.At.Index > p.match {
		p.waitUntil = time.Time{}
	}
	p.match = max(p.match, m.At.Index)
	p.next = max(p.next, p.match+1)
	l.advanceCommit(now)
	if p.next <= l.last().Index && !p.waits(now) {
		l.sendAppend(now, m.From, p)
	}
}

// quorumMatch returns the newest index that a quorum holds durably.
func (l *Log) quorumMatch() Index {
	var lowest Index
	for i, voters := range l.currentMembers().voterSets() {
		if match := l.majorityMatch(voters); i == 0 || match < lowest {
			lowest = match
		}
	}
	return lowest
}

func (l *Log) majorityMatch(voters []Member) Index {
	if len(voters) == 0 {
		return 0
	}
	var matched []Index
	for _, m := range voters {
		if m == l.settings.Self {
			matched = append(matched, l.synced)
			continue
		}
		matched = append(matched, l.progressOf(m).match)
	}
	slices.Sort(matched)
	return matched[len(matched)-majority(voters)]
}

// advanceCommit implements rule 8.
func (l *Log) advanceCommit(now time.Time) {
	i := l.quorumMatch()
	if t, known := l.termAt(i); !known || i <= l.commit || t != l.hardState.Term {
		return
	}
	l.commit = i
	// Followers learn the commit index from the next message. Sending it early saves
	// them most of a heartbeat interval.
	if earliest := now.Add(l.settings.HeartbeatInterval / 8); earliest.Before(l.nextHeartbeatAt) {
		l.nextHeartbeatAt = earliest
	}
	l.stepDownIfRemoved(now)
}
