package hingelog

import "time"

// Compact replaces the entries up to an applied index by a snapshot at that index,
// but keeps the newest of them for members that lag slightly. It returns the state to
// store, or false if the index can't be compacted.
func (l *Log) Compact(at Index, data []byte, keep int) (DurableState, bool) {
	t, known := l.termAt(at)
	if !known || at > l.applied || at <= l.snapshot.At.Index {
		return DurableState{}, false
	}
	l.snapshot = Snapshot{
		At: Position{
			Term:  t,
			Index: at,
		},
		Members: l.membersAt(at),
		Data:    data,
	}
	if at > Index(keep) && at-Index(keep) > l.base.Index {
		newBase := at - Index(keep)
		t, _ := l.termAt(newBase)
		l.entries = append([]Entry(nil), l.entries[newBase-l.base.Index:]...)
		l.base = Position{
			Term:  t,
			Index: newBase,
		}
	}
	l.compactMembers(at)
	return l.stored(), true
}

// CountNewest returns how many of the entries up to an index are within both limits, counted from the newest.
func (l *Log) CountNewest(upTo Index, maxEntries, maxBytes int) int {
	entries := l.entriesBetween(l.base.Index+1, upTo)
	n, size := 0, 0
	for i := len(entries) - 1; i >= 0 && n < maxEntries; i-- {
		size += len(entries[i].Data)
		if size > maxBytes {
			break
		}
		n++
	}
	return n
}

func (l *Log) stored() DurableState {
	return DurableState{
		HardState:    l.hardState,
		Snapshot:     l.snapshot,
		BasePosition: l.base,
		Entries:      l.entriesBetween(l.base.Index+1, l.last().Index),
	}
}

// The snapshot is repeated only after an election time.
func (l *Log) sendSnapshot(now time.Time, to Member, p *progress) {
	m := Message{
		Kind:   InstallSnapshot,
		To:     to,
		Term:   l.hardState.Term,
		SentAt: int64(now.Sub(l.started)),
	}
	mayReceive := p.knowsReplacing || !l.snapshot.Members.IsReplacing()
	if !now.Before(p.snapshotRetryAt) && mayReceive {
		s := l.snapshot
		m.Snapshot = &s
		m.MatchIndexes = l.statedMatches(now)
		p.snapshotRetryAt = now.Add(l.settings.ElectionTimeout)
	}
	// Without a snapshot the message is a heartbeat that confirms no entries.
	l.send(m)
}

func (l *Log) onInstallSnapshot(m Message) {
	if m.Snapshot == nil {
		l.answerHeartbeat(m)
		return
	}
	s := *m.Snapshot
	m.At = s.At
	if t, known := l.termAt(s.At.Index); s.At.Index <= l.commit || (known && t == s.At.Term) {
		// This member holds all entries of the snapshot already.
		l.commit = max(l.commit, s.At.Index)
		m.At.Index = l.commit
		l.answerAppend(m, true)
		return
	}
	l.snapshot = s
	l.pendingSnapshot = &s
	l.base = s.At
	l.entries = nil
	l.commit = s.At.Index
	l.applied = s.At.Index
	l.synced = s.At.Index
	l.nextOutputIndex = s.At.Index + 1
	l.members = []indexedMembers{
		{
			index:   s.At.Index,
			members: s.Members,
		},
	}
	l.addEvent(SnapshotInstalled, m.From)
	l.answerAppend(m, true)
}

// The answer confirms no entries.
func (l *Log) answerHeartbeat(m Message) {
	l.respond(m, l.last(), false)
}
