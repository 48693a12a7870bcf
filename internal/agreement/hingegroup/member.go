package hingegroup

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// member is the state of a host with a disk. Only the loop uses it.
type member struct {
	group     *Group
	self      hingelog.Member
	directory hingefolder.Directory
	journal   *hingejournal.Journal
	log       *hingelog.Log
	stored    hingelog.DurableState
	// founders are the hosts that found the group with this disk; empty on a disk of a later start.
	founders []hingeids.HostID
	// bootstrapRound is the round of a late bootstrap that this host has answered last.
	bootstrapRound uint64
	applied        hingelog.Index
	snapshotIndex  hingelog.Index
	// appliedBytes is the size of the entries applied since the last snapshot.
	appliedBytes int
	members      hingelog.Members
	waiters      map[hingelog.Index]waiter
	admitted     map[string]bool
	batch        []submission
}

// The waiter's entry is in the log, but isn't committed yet.
type waiter struct {
	term   hingelog.Term
	answer chan<- outcome
}

type journalRecord struct {
	HardState *hingelog.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []hingelog.Entry    `cbor:"2,keyasint,omitempty"`
	// Base, if set, discards all earlier entries; the next one follows this position.
	Base *hingelog.Position `cbor:"3,keyasint,omitempty"`
}

func openMember(g *Group, directory hingefolder.Directory) (*member, error) {
	now := g.settings.Clock()
	m := &member{
		group:     g,
		directory: directory,
		waiters:   make(map[hingelog.Index]waiter),
		admitted:  make(map[string]bool),
	}
	if err := m.restart(now, m.open); err != nil {
		if m.journal != nil {
			_ = m.journal.Close()
		}
		return nil, err
	}
	return m, nil
}

// restart opens the journal and starts the log from it.
func (m *member) restart(now time.Time, open openFunc) error {
	if err := m.openJournal(now, open); err != nil {
		return err
	}
	if err := m.found(now); err != nil {
		return err
	}
	return m.startLog(now)
}

// openFunc opens the journal at a time of day.
type openFunc func(now time.Time) (*hingejournal.Journal, hingejournal.Recovered, error)

func (m *member) open(now time.Time) (*hingejournal.Journal, hingejournal.Recovered, error) {
	return hingejournal.Open(m.directory, hingejournal.Claim{
		Host:     m.group.settings.Self,
		Group:    m.group.settings.Name,
		Founders: m.group.settings.founders(),
	}, now)
}

func (m *member) openJournal(now time.Time, open openFunc) error {
	s := m.group.settings
	began := s.Clock()
	j, recovered, err := open(s.WallClock())
	if err != nil {
		return err
	}
	stored, err := restoreStored(recovered)
	if err != nil {
		_ = j.Close()
		return err
	}
	m.self = hingelog.Member{
		Host: s.Self,
		Disk: recovered.Identity.Disk,
	}
	m.journal = j
	m.stored = stored
	m.founders = recovered.Identity.Founders
	s.Recorder.Record(now, hingeevents.JournalOpened, hingeevents.Fields{
		Fence:   fence(stored.HardState.Term),
		Count:   int64(stored.Last().Index),
		Detail:  s.Name,
		Elapsed: s.Clock().Sub(began),
	})
	if recovered.TornBytes > 0 {
		s.Recorder.Record(now, hingeevents.JournalCut, hingeevents.Fields{
			Count:  int64(recovered.TornBytes),
			Detail: s.Name,
		})
	}
	return nil
}

const reopenInterval = 250 * time.Millisecond

// reopen restarts the member from what the journal has acknowledged, as soon as that can be
// opened (rule 8). It returns nil when the context is done.
func (m *member) reopen(ctx context.Context) error {
	m.failWaiters()
	m.group.status.Store(&Status{})
	// After the status, so that a reader of both never takes the earlier status for the state that follows.
	m.group.reopens.Add(1)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenInterval):
		}
		now := m.group.settings.Clock()
		if err := m.restart(now, m.journal.Reopen); err != nil {
			m.recordFailure(now, err)
			continue
		}
		return nil
	}
}

func restoreStored(recovered hingejournal.Recovered) (hingelog.DurableState, error) {
	var d hingelog.DurableState
	if recovered.Snapshot != nil {
		if err := cbor.Unmarshal(recovered.Snapshot, &d.Snapshot); err != nil {
			return d, eris.Wrap(err, "decode journal snapshot")
		}
	}
	d.BasePosition = d.Snapshot.At
	for _, b := range recovered.Records {
		var r journalRecord
		if err := cbor.Unmarshal(b, &r); err != nil {
			return d, eris.Wrap(err, "decode journal record")
		}
		if err := r.applyTo(&d); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (r journalRecord) applyTo(d *hingelog.DurableState) error {
	if r.Base != nil {
		d.BasePosition = *r.Base
		d.Entries = nil
	}
	if r.HardState != nil {
		d.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		offset := int64(e.Index) - int64(d.BasePosition.Index) - 1
		if offset < 0 || offset > int64(len(d.Entries)) {
			return eris.Errorf("journal: entry %d doesn't follow %d", e.Index, int(d.BasePosition.Index)+len(d.Entries))
		}
		d.Entries = append(d.Entries[:offset], e)
	}
	return nil
}

func (m *member) startLog(now time.Time) error {
	s := m.group.settings
	if err := m.group.machine.Restore(m.stored.Snapshot.Data); err != nil {
		return err
	}
	m.applied = m.stored.Snapshot.At.Index
	m.snapshotIndex = m.applied
	m.appliedBytes = 0
	m.members = m.stored.Snapshot.Members
	m.log = hingelog.New(now, hingelog.Settings{
		Self:              m.self,
		ElectionTimeout:   s.ElectionTimeout,
		HeartbeatInterval: s.HeartbeatInterval,
		Seed:              s.Seed,
		Voters:            s.Voters,
		SilenceTimeout:    s.silenceTimeout(),
		Zone:              s.Zone,
	}, m.stored)
	m.stored.Entries = nil
	m.publish(now)
	return nil
}

// loop implements rule 1.
func (m *member) loop(ctx context.Context) error {
	// Heartbeats are at most a quarter of their interval late.
	ticker := time.NewTicker(m.group.settings.HeartbeatInterval / 4)
	defer ticker.Stop()
	defer m.failWaiters()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-m.group.inbox:
			f(m.group.settings.Clock())
			m.drainInbox()
		case <-ticker.C:
		}
		if err := m.step(m.group.settings.Clock()); err != nil {
			if err := m.reopen(ctx); err != nil {
				return err
			}
		}
	}
}

// step returns an error if the journal has failed, also outside processOutput: a bootstrap or a renewal of the disk writes as well.
func (m *member) step(now time.Time) error {
	if m.journal.HasFailed() {
		return hingejournal.ErrJournalFailed
	}
	m.log.Tick(now)
	m.proposeBatch(now)
	m.log.Flush(now)
	return m.processOutput()
}

// drainInbox runs all waiting functions, so that they share one sync (rule 1).
func (m *member) drainInbox() {
	for range inboxSize {
		select {
		case f := <-m.group.inbox:
			f(m.group.settings.Clock())
		default:
			return
		}
	}
}

// processOutput persists, sends and applies the log's output until there is none left.
// Only the early messages of hingelog.Output.SplitMessages are sent before the sync.
func (m *member) processOutput() error {
	for {
		o := m.log.DrainOutput()
		if o.Empty() {
			m.publish(m.group.settings.Clock())
			return nil
		}
		early, late := o.SplitMessages()
		m.group.senders.send(early)
		if err := m.store(o); err != nil {
			m.recordFailure(m.group.settings.Clock(), err)
			return err
		}
		m.group.senders.send(late)
		m.log.MarkSynced(m.group.settings.Clock())
		if err := m.apply(o); err != nil {
			return err
		}
		if err := m.compact(); err != nil {
			return err
		}
	}
}

func (m *member) recordFailure(now time.Time, err error) {
	m.group.settings.Recorder.Record(now, hingeevents.JournalFailed, hingeevents.Fields{
		Detail: err.Error(),
	})
}

func (m *member) store(o hingelog.Output) error {
	if o.InstallSnapshot != nil {
		// The snapshot replaces the whole journal.
		base := o.InstallSnapshot.At
		hard := m.log.HardState()
		return m.journal.Compact(encode(o.InstallSnapshot), encode(journalRecord{
			HardState: &hard,
			Entries:   o.Entries,
			Base:      &base,
		}))
	}
	if !o.NeedsSync() {
		return nil
	}
	return m.journal.Append(encode(journalRecord{
		HardState: o.HardState,
		Entries:   o.Entries,
	}))
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// All callers pass types of this package or of hingelog, which can always be
		// encoded.
		panic(err)
	}
	return b
}

func (m *member) publish(now time.Time) {
	s := Status{
		Status:        m.log.Status(),
		Applied:       m.applied,
		LeaderSince:   now,
		StaleDisk:     m.log.HasStaleDisk(),
		LateBootstrap: m.holdsLateBootstrap(),
		Journal:       m.journal.Totals(),
	}
	if last := m.group.Status(); last.Leader == s.Leader && !last.LeaderSince.IsZero() {
		s.LeaderSince = last.LeaderSince
	}
	if m.log.MayLead(now) {
		s.LeaseUntil = m.log.LeaseEnd(now)
	}
	m.group.status.Store(&s)
}
