package hingelog

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Proposals that weren't taken: nothing of them is in the log.
var (
	ErrNotLeader = eris.New("not the leader, or its lease is over")
	ErrTooMany   = eris.New("too many proposals wait for a quorum")
)

// Propose appends data and gives its place. It is refused outside the lease
// (rule 6), so a leader that was cut off says no at once.
func (l *Log) Propose(now time.Time, data []byte) (Position, error) {
	if !l.MayLead(now) {
		return Position{}, ErrNotLeader
	}
	if l.last().Index-l.commit >= maxPending {
		return Position{}, ErrTooMany
	}
	l.append(Entry{
		Kind: Data,
		Data: data,
	})
	return l.last(), nil
}

func (l *Log) append(e Entry) Index {
	e.Term = l.hard.Term
	e.Index = l.last().Index + 1
	l.entries = append(l.entries, e)
	l.noteMembers(e)
	return e.Index
}

// Flush sends what was proposed since the last message. The user calls it once
// after a batch of proposals, so that they travel and are synced together.
func (l *Log) Flush(now time.Time) {
	if l.role == leader {
		l.replicate(now)
	}
}

func (l *Log) others() []Member {
	var out []Member
	for _, m := range l.current().All() {
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

// replicate sends new entries to whoever lacks them.
func (l *Log) replicate(now time.Time) {
	for _, m := range l.others() {
		if p := l.progressOf(m); p.next <= l.last().Index {
			l.sendAppend(now, m, p)
		}
	}
	if len(l.others()) == 0 {
		l.advanceCommit(now)
	}
}

func (l *Log) heartbeat(now time.Time) {
	l.heartbeatAt = now.Add(l.settings.Heartbeat)
	l.noteHoldings(l.holdings())
	for _, m := range l.others() {
		l.sendAppend(now, m, l.progressOf(m))
	}
}

func (l *Log) sendAppend(now time.Time, to Member, p *progress) {
	if p.since.IsZero() {
		p.since = now
	}
	t, known := l.termAt(p.next - 1)
	if !known || p.next <= l.before.Index {
		l.sendSnapshot(now, to, p)
		return
	}
	m := Message{
		Kind: Append,
		To:   to,
		Term: l.hard.Term,
		At: Position{
			Term:  t,
			Index: p.next - 1,
		},
		Entries:  l.batch(p.next),
		Commit:   l.commit,
		SentAt:   int64(now.Sub(l.started)),
		Holdings: l.holdings(),
	}
	p.next += Index(len(m.Entries))
	l.send(m)
}

// batch gives entries from an index on, at least one if there is any.
func (l *Log) batch(from Index) []Entry {
	out := l.slice(from, l.last().Index)
	size := 0
	for i, e := range out {
		size += len(e.Data)
		if size > maxAppendBytes && i > 0 {
			return out[:i]
		}
	}
	return out
}

// holdings tells all members what each holds for sure, for rule 12.
func (l *Log) holdings() []Holding {
	var out []Holding
	for _, m := range l.current().All() {
		held := l.synced
		if m != l.settings.Self {
			held = l.progressOf(m).match
		}
		out = append(out, Holding{
			Member: m,
			// An uncommitted entry may be replaced; a committed one stays.
			Index: min(held, l.commit),
		})
	}
	return out
}

func (l *Log) onLeaderMessage(now time.Time, m Message) {
	if m.Term < l.hard.Term {
		// The old leader learns of the later term from the answer.
		l.answerAppend(m, false)
		return
	}
	if l.role == leader {
		return
	}
	l.role = follower
	if l.leader != m.From {
		l.leader = m.From
		l.event(LeaderKnown, m.From)
	}
	l.heardLeader = now
	l.resetElection(now)
	l.noteHoldings(m.Holdings)
	if m.Kind == Install {
		l.onInstall(m)
		return
	}
	l.onAppend(m)
}

func (l *Log) onAppend(m Message) {
	if !follow(m.At, m.Entries) {
		return
	}
	if m.At.Index < l.before.Index {
		// Everything up to the base is committed, so what overlaps it is the same.
		skip := min(int(l.before.Index-m.At.Index), len(m.Entries))
		m.Entries = m.Entries[skip:]
		m.At = l.before
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
	if !l.store(m.Entries) {
		return
	}
	held := m.At.Index + Index(len(m.Entries))
	l.commit = max(l.commit, min(m.Commit, held))
	m.At.Index = held
	l.answerAppend(m, true)
}

// follow reports whether entries stand one after another behind a place. A
// peer with a fault could otherwise have committed entries cut off.
func follow(at Position, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != at.Index+Index(i)+1 || e.Kind == MembersChange && e.Members == nil {
			return false
		}
	}
	return true
}

// store puts entries in their places. It cuts the log only where an entry
// differs: a late message must not undo what a newer one has added.
func (l *Log) store(entries []Entry) bool {
	for i, e := range entries {
		if t, known := l.termAt(e.Index); known && t == e.Term {
			continue
		}
		if e.Index <= l.commit {
			// Only a fault can contradict what is committed.
			return false
		}
		l.cutFrom(e.Index)
		for _, e := range entries[i:] {
			l.entries = append(l.entries, e)
			l.noteMembers(e)
		}
		return true
	}
	return true
}

func (l *Log) cutFrom(i Index) {
	if i > l.last().Index {
		return
	}
	l.entries = slices.Clip(l.entries[:i-l.before.Index-1])
	l.unsynced = min(l.unsynced, i)
	l.synced = min(l.synced, i-1)
	l.dropMembersFrom(i)
}

func (l *Log) answerAppend(m Message, granted bool) {
	at := l.last()
	if granted {
		at = m.At
	} else if m.At.Index <= at.Index && m.At.Index > 0 {
		// The places differ. What is committed is the same everywhere, so the
		// leader starts from there and not entry by entry.
		at.Index = l.commit
	}
	l.send(Message{
		Kind:    AppendAnswer,
		To:      m.From,
		Term:    l.hard.Term,
		At:      at,
		Granted: granted,
		SentAt:  m.SentAt,
	})
}

func (l *Log) onAppendAnswer(now time.Time, m Message) {
	if l.role != leader || m.Term != l.hard.Term || !l.current().Has(m.From) {
		return
	}
	p := l.progressOf(m.From)
	if sent := l.started.Add(time.Duration(m.SentAt)); sent.After(p.ackedSend) {
		p.ackedSend = sent
	}
	if !m.Granted && now.Before(p.snapshotEnd) {
		// A snapshot is under way; an answer to each refusal would go back and forth.
		return
	}
	if !m.Granted {
		p.next = max(min(p.next, m.At.Index+1), p.match+1)
		l.sendAppend(now, m.From, p)
		return
	}
	p.snapshotEnd = time.Time{}
	p.match = max(p.match, m.At.Index)
	p.next = max(p.next, p.match+1)
	l.advanceCommit(now)
	if p.next <= l.last().Index {
		l.sendAppend(now, m.From, p)
	}
}

// advanceCommit commits what a quorum holds durably (rule 8).
func (l *Log) advanceCommit(now time.Time) {
	var held []Index
	for _, m := range l.current().Voters {
		if m == l.settings.Self {
			held = append(held, l.synced)
			continue
		}
		held = append(held, l.progressOf(m).match)
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	i := held[len(held)-l.current().Quorum()]
	if t, known := l.termAt(i); !known || i <= l.commit || t != l.hard.Term {
		return
	}
	l.commit = i
	// Followers learn of it with the next message; a change would otherwise
	// wait most of a heartbeat on its way to them.
	if soon := now.Add(l.settings.Heartbeat / 8); soon.Before(l.heartbeatAt) {
		l.heartbeatAt = soon
	}
	l.afterCommit(now)
}
