package hingegroup

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// member is the part of a host with a disk. The loop alone uses it.
type member struct {
	group   *Group
	self    hingelog.Member
	files   hingejournal.Files
	journal *hingejournal.Journal
	log     *hingelog.Log
	stored  hingelog.Stored
	applied hingelog.Index
	// snapshotAt is the index of the newest snapshot.
	snapshotAt hingelog.Index
	members    hingelog.Members
	waiters    map[hingelog.Index]waiter
	admitted   map[string]bool
	batch      []submission
}

// waiter is a proposal that waits for its entry to be committed.
type waiter struct {
	term   hingelog.Term
	answer chan<- outcome
}

// record is what one Append keeps.
type record struct {
	HardState *hingelog.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []hingelog.Entry    `cbor:"2,keyasint,omitempty"`
	// Base, when set, begins the entries anew after this place.
	Base *hingelog.Position `cbor:"3,keyasint,omitempty"`
}

func openMember(g *Group, files hingejournal.Files) (*member, error) {
	now := g.settings.Clock()
	m := &member{
		group:    g,
		files:    files,
		waiters:  make(map[hingelog.Index]waiter),
		admitted: make(map[string]bool),
	}
	if err := m.open(now); err != nil {
		return nil, err
	}
	return m, m.begin(now)
}

// open reads what the disk holds.
func (m *member) open(now time.Time) error {
	s := m.group.settings
	j, found, err := hingejournal.Open(m.files, s.Self, s.Name, s.Today())
	if err != nil {
		return err
	}
	stored, err := restoreStored(found)
	if err != nil {
		_ = j.Close()
		return err
	}
	m.self = hingelog.Member{
		Host: s.Self,
		Disk: found.Identity.Disk,
	}
	m.journal = j
	m.stored = stored
	if found.Cut > 0 {
		s.Recorder.Record(now, hingeevents.JournalCut, hingeevents.Fields{
			Count:  int64(found.Cut),
			Detail: s.Name,
		})
	}
	return nil
}

// reopenEvery is the time between attempts to use a disk again that refused a
// write. A full disk has room again when somebody has seen to it.
const reopenEvery = 250 * time.Millisecond

// reopen begins anew from what the disk holds, once it takes writes again. What
// the refused write left there is unknown, so nothing of the memory is kept; meanwhile this host
// neither leads nor votes, and the others go on without it.
func (m *member) reopen(ctx context.Context) error {
	m.endWaiters()
	m.group.standing.Store(&Standing{})
	for {
		_ = m.journal.Close()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenEvery):
		}
		now := m.group.settings.Clock()
		if err := m.open(now); err != nil {
			continue
		}
		return m.begin(now)
	}
}

func restoreStored(found hingejournal.Found) (hingelog.Stored, error) {
	var d hingelog.Stored
	if found.Snapshot != nil {
		if err := cbor.Unmarshal(found.Snapshot, &d.Snapshot); err != nil {
			return d, eris.Wrap(err, "snapshot in the journal")
		}
	}
	d.Before = d.Snapshot.At
	for _, b := range found.Records {
		var r record
		if err := cbor.Unmarshal(b, &r); err != nil {
			return d, eris.Wrap(err, "record in the journal")
		}
		if err := r.addTo(&d); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (r record) addTo(d *hingelog.Stored) error {
	if r.Base != nil {
		d.Before = *r.Base
		d.Entries = nil
	}
	if r.HardState != nil {
		d.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		at := int64(e.Index) - int64(d.Before.Index) - 1
		if at < 0 || at > int64(len(d.Entries)) {
			return eris.Errorf("journal: entry %d doesn't follow %d", e.Index, int(d.Before.Index)+len(d.Entries))
		}
		d.Entries = append(d.Entries[:at], e)
	}
	return nil
}

// begin starts the log from what is stored.
func (m *member) begin(now time.Time) error {
	s := m.group.settings
	if err := m.group.machine.Restore(m.stored.Snapshot.Data); err != nil {
		return err
	}
	m.applied = m.stored.Snapshot.At.Index
	m.snapshotAt = m.applied
	m.members = m.stored.Snapshot.Members
	m.log = hingelog.New(now, hingelog.Settings{
		Self:      m.self,
		Election:  s.Election,
		Heartbeat: s.Heartbeat,
		Seed:      s.Seed,
		Voters:    s.Voters,
		Silence:   hingelog.DefaultSilence,
	}, m.stored)
	m.stored.Entries = nil
	m.publish(now)
	return nil
}

// loop takes what waits, and carries out what follows from it, until the end.
func (m *member) loop(ctx context.Context) error {
	// Four ticks a heartbeat keep its time to a quarter.
	ticker := time.NewTicker(m.group.settings.Heartbeat / 4)
	defer ticker.Stop()
	defer m.endWaiters()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-m.group.inbox:
			f(m.group.settings.Clock())
			m.drain()
		case <-ticker.C:
		}
		now := m.group.settings.Clock()
		m.log.Tick(now)
		m.proposeBatch(now)
		m.log.Flush(now)
		if err := m.settle(); err != nil {
			if err := m.reopen(ctx); err != nil {
				return err
			}
			continue
		}
		if m.log.Forgetful() {
			return ErrForgetfulDisk
		}
	}
}

// drain takes what else waits, so that it shares one sync (rule 1).
func (m *member) drain() {
	for range inboxSize {
		select {
		case f := <-m.group.inbox:
			f(m.group.settings.Clock())
		default:
			return
		}
	}
}

// settle carries out the log's output, in its order.
func (m *member) settle() error {
	for {
		o := m.log.Take()
		if o.Empty() {
			m.publish(m.group.settings.Clock())
			return nil
		}
		early, late := o.Early()
		m.group.senders.send(early)
		if err := m.store(o); err != nil {
			m.group.settings.Recorder.Record(m.group.settings.Clock(), hingeevents.JournalFailed, hingeevents.Fields{
				Detail: err.Error(),
			})
			return err
		}
		m.group.senders.send(late)
		m.log.Synced(m.group.settings.Clock())
		if err := m.apply(o); err != nil {
			return err
		}
		if err := m.compact(); err != nil {
			return err
		}
	}
}

func (m *member) store(o hingelog.Output) error {
	if o.Install != nil {
		// The snapshot replaces all that stands in the journal.
		base := o.Install.At
		hard := m.log.HardState()
		return m.journal.Compact(encode(o.Install), encode(record{
			HardState: &hard,
			Entries:   o.Entries,
			Base:      &base,
		}))
	}
	if !o.MustSync() {
		return nil
	}
	return m.journal.Append(encode(record{
		HardState: o.HardState,
		Entries:   o.Entries,
	}))
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Only our own types come here; none of them can fail.
		panic(err)
	}
	return b
}

func (m *member) publish(now time.Time) {
	s := Standing{
		Standing: m.log.Standing(),
		Applied:  m.applied,
		Journal:  m.journal.Counts(),
	}
	if m.log.MayLead(now) {
		s.LeadsUntil = m.log.LeaseEnd(now)
	}
	m.group.standing.Store(&s)
}
