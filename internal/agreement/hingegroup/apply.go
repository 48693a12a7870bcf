package hingegroup

import (
	"fmt"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

func (m *member) apply(o hingelog.Output) error {
	if o.InstallSnapshot != nil {
		if err := m.group.machine.Restore(o.InstallSnapshot.Data); err != nil {
			return err
		}
		m.applied = o.InstallSnapshot.At.Index
		m.snapshotIndex = m.applied
		m.appliedBytes = 0
		m.members = o.InstallSnapshot.Members
	}
	for _, e := range o.Committed {
		m.applyEntry(e)
	}
	m.recordEvents(o.Events)
	return nil
}

func (m *member) applyEntry(e hingelog.Entry) {
	m.applied = e.Index
	m.appliedBytes += len(e.Data)
	var result []byte
	switch e.Kind {
	case hingelog.Data:
		result = m.group.machine.Apply(uint64(e.Index), e.Data)
	case hingelog.MembersChange:
		m.recordMembersChange(e)
	}
	w, found := m.waiters[e.Index]
	if !found {
		return
	}
	delete(m.waiters, e.Index)
	if w.term != e.Term {
		// Rule 5: another entry was committed at this index, so the proposal never runs.
		w.answer <- outcome{
			Refused: true,
		}
		return
	}
	w.answer <- outcome{
		Result: result,
	}
}

func (m *member) recordMembersChange(e hingelog.Entry) {
	events := hingelog.MembersEvents(m.members, *e.Members)
	for i := range events {
		events[i].Term = e.Term
		events[i].Index = e.Index
	}
	m.members = *e.Members
	m.recordEvents(events)
}

// compact writes a snapshot every CompactAfter entries or compactBytes. This limits the size of journal
// and memory, and the time to read the journal at a start.
func (m *member) compact() error {
	if m.applied < m.snapshotIndex+hingelog.Index(m.group.settings.CompactAfter) && m.appliedBytes < compactBytes {
		return nil
	}
	keep := m.log.CountNewest(m.applied, min(retainedEntries, m.group.settings.CompactAfter), retainedBytes)
	d, ok := m.log.Compact(m.applied, m.group.machine.Snapshot(), keep)
	if !ok {
		return nil
	}
	m.snapshotIndex = m.applied
	m.appliedBytes = 0
	base := d.BasePosition
	return m.journal.Compact(encode(d.Snapshot), encode(journalRecord{
		HardState: &d.HardState,
		Entries:   d.Entries,
		Base:      &base,
	}))
}

var eventNumbers = map[hingelog.EventKind]hingeevents.Number{
	hingelog.ElectionStarted:   hingeevents.ElectionStarted,
	hingelog.BecameLeader:      hingeevents.LeaderElected,
	hingelog.SteppedDown:       hingeevents.LeaderSteppedDown,
	hingelog.SnapshotInstalled: hingeevents.SnapshotInstalled,
	hingelog.LearnerAdded:      hingeevents.LearnerAdded,
	hingelog.Promoted:          hingeevents.MemberPromoted,
	hingelog.Removed:           hingeevents.MemberRemoved,
	hingelog.StaleDisk:         hingeevents.DiskForgetful,
}

func (m *member) recordEvents(events []hingelog.Event) {
	for _, e := range events {
		if e.Kind == hingelog.SteppedDown {
			m.failWaiters()
		}
		n, found := eventNumbers[e.Kind]
		if !found {
			continue
		}
		m.group.settings.Recorder.Record(m.group.settings.Clock(), n, hingeevents.Fields{
			Host:   e.Member.Host,
			Fence:  fence(e.Term),
			Count:  int64(e.Index),
			Detail: m.eventDetail(e),
		})
	}
}

func (m *member) eventDetail(e hingelog.Event) string {
	if e.Kind != hingelog.StaleDisk {
		return m.group.settings.Name
	}
	return fmt.Sprintf("%s: %s knows that this disk held entry %d and term %d; it ends at entry %d, term %d",
		m.group.settings.Name, e.Member.Host, e.Known.Index, e.Known.Term, e.Index, e.Term)
}

// failWaiters answers all waiting proposals with Uncertain, since their entries may still
// be committed. A resend with the same ID gets the result from the state machine.
func (m *member) failWaiters() {
	for i, w := range m.waiters {
		delete(m.waiters, i)
		w.answer <- outcome{
			Uncertain: true,
		}
	}
}
