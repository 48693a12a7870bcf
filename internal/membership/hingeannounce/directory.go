package hingeannounce

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/btree"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// MaxServers bounds the records of a directory, so that a sender that announces servers under ever
// new names can't use up the memory of all hosts. The bound is the same on each host, or hosts would
// disagree on which servers exist.
const MaxServers = 1 << 16

// ErrFull is the error for an announcement of an unknown server while the directory is full.
var ErrFull = eris.Errorf("%d servers are known, and no more are accepted", MaxServers)

// Directory holds the record of each server and the revision of its last change, so
// that followers are sent only the records that they lack (rule 8). The cost of a
// query or of a Step depends on what changed and on the servers of this host, not on
// the number of records. It is not safe for concurrent use.
type Directory struct {
	self hingeids.HostID
	// heartbeatInterval is the configured interval, zero if it isn't known.
	heartbeatInterval time.Duration
	records           map[hingeids.ServerID]*directoryEntry
	revision          uint64
	// changes holds the entries by their revision.
	changes btree.Map[uint64, *directoryEntry]
	digests map[Digest]*directoryEntry
	// localRevision is the revision of the last change that this host made.
	localRevision uint64
	// removalRevision is the revision of the last change of a server that accepts no more work.
	removalRevision uint64
	// owned are the usable servers that this host watches for silence, inactive the
	// tombstones.
	owned    map[hingeids.ServerID]*directoryEntry
	inactive map[hingeids.ServerID]*directoryEntry
	// expired are the servers whose tombstones were removed since the last call of
	// TakeExpired.
	expired []hingeids.ServerID
	sweptAt time.Time
	// full is set when a record was refused, until there is room again, and reported once
	// TakeFull has returned it.
	full         bool
	reported     bool
	contradicted Contradicted
}

// sweepInterval is how often expired tombstones are searched for.
const sweepInterval = tombstoneTTL / 10

type directoryEntry struct {
	// record is what all hosts are sent, with the sequence number that it had when it last changed (rule 8); newest is
	// that of the newest report, which only the owner has.
	record   Record
	newest   uint64
	lastSeen time.Time
	revision uint64
	// firstRevision is the revision at which the present incarnation became known.
	firstRevision uint64
	intervals     IntervalEstimator
	digest        Digest
	// local is set if this host made the last change.
	local bool
}

// NewDirectory returns an empty directory for the host self.
func NewDirectory(self hingeids.HostID) *Directory {
	return &Directory{
		self:     self,
		records:  make(map[hingeids.ServerID]*directoryEntry),
		digests:  make(map[Digest]*directoryEntry),
		owned:    make(map[hingeids.ServerID]*directoryEntry),
		inactive: make(map[hingeids.ServerID]*directoryEntry),
	}
}

// SetHeartbeatInterval sets the interval that is configured for heartbeats. It is expected
// of a server until its own interval was observed.
func (d *Directory) SetHeartbeatInterval(interval time.Duration) {
	d.heartbeatInterval = interval
}

// maxSilence returns how long a server may be silent before it counts as dead.
func (d *Directory) maxSilence(e *directoryEntry) time.Duration {
	lower := max(minSilenceBound, d.heartbeatInterval)
	return deadFactor * e.intervals.Bound(lower, max(maxSilenceBound, lower))
}

// Accepts reports whether there is room for a server, which there always is for a known one.
func (d *Directory) Accepts(id hingeids.ServerID) bool {
	if d.records[id] != nil {
		return true
	}
	d.full = len(d.records) >= MaxServers
	d.reported = d.reported && d.full
	return !d.full
}

// ServiceOf returns the service in the record of a server, and false if there is none.
func (d *Directory) ServiceOf(id hingeids.ServerID) (hingeids.Service, bool) {
	e := d.records[id]
	if e == nil {
		return "", false
	}
	return e.record.Announcement.Service, true
}

// TakeFull reports whether a record was refused because the directory is full, once until there is
// room again.
func (d *Directory) TakeFull() bool {
	report := d.full && !d.reported
	d.reported = d.reported || report
	return report
}

// Receive applies an announcement that this host received from the server itself. The host
// becomes the server's owner. It reports whether followers have to be notified.
func (d *Directory) Receive(now time.Time, a Announcement) bool {
	e := d.records[a.Server]
	if e == nil {
		if !d.Accepts(a.Server) {
			return false
		}
		d.add(now, Record{
			Announcement: a,
			Owner:        d.self,
		}, true)
		return true
	}
	if !Newer(a, e.newestRecord().Announcement) {
		return d.applyLeaving(e, a, true)
	}
	next := e.record
	a.Leaving = a.Leaving || next.leavingAs(a.Incarnation)
	unchanged := next.saysAs(Record{
		Announcement: a,
		Owner:        d.self,
	})
	d.startInstance(e, a.Incarnation)
	if next.Owner == d.self {
		e.intervals.Observe(max(now.Sub(e.lastSeen), 0))
	}
	e.lastSeen = now
	e.newest = a.Sequence
	if unchanged {
		return false
	}
	e.record = Record{
		Announcement: a,
		Owner:        d.self,
	}
	d.recordChange(e, true)
	return true
}

// newestRecord returns the record as of the newest report.
func (e *directoryEntry) newestRecord() Record {
	r := e.record
	r.Announcement.Sequence = e.newest
	return r
}

// startInstance resets the heartbeat intervals and the revision at which the server
// became known if i is a newer incarnation.
func (d *Directory) startInstance(e *directoryEntry, i hingeids.Incarnation) {
	if i <= e.record.Announcement.Incarnation {
		return
	}
	e.firstRevision = d.revision + 1
	e.intervals = IntervalEstimator{}
}

// MarkLeaving records that a server leaves for good and reports whether that is new. An
// incarnation of 0 means the one that is known. A server that isn't known yet is recorded
// too, since its heartbeats may still arrive.
func (d *Directory) MarkLeaving(now time.Time, id hingeids.ServerID, i hingeids.Incarnation) bool {
	e := d.records[id]
	if e == nil && !d.Accepts(id) {
		return false
	}
	if e != nil && i == 0 {
		i = e.record.Announcement.Incarnation
	}
	departure := Announcement{
		Server:      id,
		Incarnation: max(i, 1),
		Leaving:     true,
	}
	if e != nil && departure.Incarnation <= e.record.Announcement.Incarnation {
		return d.applyLeaving(e, departure, true)
	}
	d.add(now, Record{
		Announcement: departure,
		Owner:        d.self,
	}, true)
	return true
}

// Merge merges a record received from another host and reports whether it changed
// anything.
func (d *Directory) Merge(now time.Time, r Record) bool {
	e := d.records[r.Announcement.Server]
	if e == nil {
		if !d.Accepts(r.Announcement.Server) {
			return false
		}
		d.add(now, r, false)
		return true
	}
	current := e.record
	if r.compare(e.newestRecord()) <= 0 {
		return d.applyLeaving(e, r.Announcement, false) || d.contradict(e, r)
	}
	// The sender of a record without the leaving that is known here doesn't know it, and has to be told.
	addsLeaving := !r.Announcement.Leaving && current.leavingAs(r.Announcement.Incarnation)
	r.Announcement.Leaving = r.Announcement.Leaving || addsLeaving
	if Newer(r.Announcement, current.Announcement) {
		d.startInstance(e, r.Announcement.Incarnation)
		e.lastSeen = now
	}
	e.record = r
	e.newest = r.Announcement.Sequence
	d.recordChange(e, addsLeaving)
	return true
}

// contradict sends the record of a server that reports to this host again if another host's record, which loses
// against it, says something else (rule 11). It reports whether it did.
func (d *Directory) contradict(e *directoryEntry, other Record) bool {
	current := e.record
	if current.Owner != d.self || !current.Usable() || other.Announcement.Incarnation != current.Announcement.Incarnation ||
		current.saysAs(other) {
		return false
	}
	e.record = e.newestRecord()
	d.contradicted.Count++
	d.contradicted.Server = current.Announcement.Server
	d.contradicted.Owner = other.Owner
	d.recordChange(e, true)
	return true
}

// TakeContradicted returns the records that were contradicted since the last call (rule 11).
func (d *Directory) TakeContradicted() Contradicted {
	c := d.contradicted
	d.contradicted = Contradicted{}
	return c
}

// applyLeaving applies the leaving flag of an announcement that is not newer (rule 3), and
// reports whether that changed anything. local is set if this host received it from the
// server.
func (d *Directory) applyLeaving(e *directoryEntry, a Announcement, local bool) bool {
	current := &e.record.Announcement
	if a.Incarnation != current.Incarnation || !a.Leaving || current.Leaving {
		return false
	}
	current.Leaving = true
	d.recordChange(e, local)
	return true
}

func (d *Directory) add(now time.Time, r Record, local bool) {
	if old := d.records[r.Announcement.Server]; old != nil {
		d.changes.Delete(old.revision)
		delete(d.digests, old.digest)
	}
	e := &directoryEntry{
		record:   r,
		newest:   r.Announcement.Sequence,
		lastSeen: now,
	}
	d.records[r.Announcement.Server] = e
	d.recordChange(e, local)
	e.firstRevision = e.revision
}

func (d *Directory) recordChange(e *directoryEntry, local bool) {
	d.changes.Delete(e.revision)
	if d.digests[e.digest] == e {
		delete(d.digests, e.digest)
	}
	d.revision++
	e.revision = d.revision
	e.local = local
	if local {
		d.localRevision = d.revision
	}
	if !e.record.Usable() {
		d.removalRevision = d.revision
	}
	e.digest = e.record.Digest()
	d.changes.Set(e.revision, e)
	d.digests[e.digest] = e
	id := e.record.Announcement.Server
	delete(d.owned, id)
	delete(d.inactive, id)
	switch {
	case !e.record.Usable():
		d.inactive[id] = e
	case e.record.Owner == d.self:
		d.owned[id] = e
	}
}

// Step marks the servers that this host owns and that have become silent (rule 9), and
// removes expired tombstones. It reports whether followers have to be notified.
func (d *Directory) Step(now time.Time) bool {
	changed := false
	for _, e := range d.owned {
		if now.Sub(e.lastSeen) > d.maxSilence(e) {
			// A report that was sent before and arrives elsewhere later is older than this record.
			e.record = e.newestRecord()
			e.record.Silent = true
			d.recordChange(e, true)
			changed = true
		}
	}
	if now.Sub(d.sweptAt) < sweepInterval {
		return changed
	}
	d.sweptAt = now
	for id, e := range d.inactive {
		if now.Sub(e.lastSeen) > tombstoneTTL {
			delete(d.records, id)
			delete(d.inactive, id)
			delete(d.digests, e.digest)
			d.changes.Delete(e.revision)
			d.expired = append(d.expired, id)
		}
	}
	return changed
}

// TakeExpired returns the servers whose tombstones were removed since the last call.
func (d *Directory) TakeExpired() []hingeids.ServerID {
	out := d.expired
	d.expired = nil
	return out
}

// Change returns the directory's current revision.
func (d *Directory) Change() uint64 {
	return d.revision
}

// LocalChange returns the revision of the last change that this host made.
func (d *Directory) LocalChange() uint64 {
	return d.localRevision
}

// LastRemoval returns the revision of the last change of a server that accepts no more
// work.
func (d *Directory) LastRemoval() uint64 {
	return d.removalRevision
}

// Holds reports whether a record with the digest is in the directory.
func (d *Directory) Holds(g Digest) bool {
	return d.digests[g] != nil
}

// Find returns the records with the given digests, as far as there are any.
func (d *Directory) Find(digests []Digest) []Record {
	var out []Record
	for _, g := range digests {
		if e := d.digests[g]; e != nil {
			out = append(out, e.record)
		}
	}
	return out
}

// LocalLeaving returns the revision of this host's own change by which a server leaves, and false if the server doesn't
// leave or another host knew it first.
func (d *Directory) LocalLeaving(id hingeids.ServerID) (uint64, bool) {
	e := d.records[id]
	if e == nil || !e.record.Announcement.Leaving || !e.local {
		return 0, false
	}
	return e.revision, true
}

// Lacked returns the records whose digests aren't among those given.
func (d *Directory) Lacked(named map[Digest]bool) []Record {
	var out []Record
	for _, e := range d.records {
		if !named[e.digest] {
			out = append(out, e.record)
		}
	}
	return out
}

// Since returns the records changed after a revision, in the order in which their
// incarnations became known, so that of two servers at one address the present one comes
// last.
func (d *Directory) Since(revision uint64) []Record {
	changes, _ := d.SinceAtMost(revision, len(d.records))
	out := make([]Record, 0, len(changes))
	for _, c := range changes {
		out = append(out, c.Record)
	}
	return out
}

// SinceAtMost returns the records changed after a revision, at most limit of them, and
// the revision up to which they are complete. The oldest changes come first, and within
// one result the order is that of Since.
func (d *Directory) SinceAtMost(revision uint64, limit int) ([]Change, uint64) {
	var list []*directoryEntry
	upTo := d.revision
	d.changes.Ascend(revision+1, func(_ uint64, e *directoryEntry) bool {
		if len(list) == limit {
			upTo = list[limit-1].revision
			return false
		}
		list = append(list, e)
		return true
	})
	slices.SortFunc(list, func(a, b *directoryEntry) int {
		return cmp.Compare(a.firstRevision, b.firstRevision)
	})
	out := make([]Change, 0, len(list))
	for _, e := range list {
		out = append(out, Change{
			Record: e.record,
			Digest: e.digest,
			Local:  e.local,
		})
	}
	return out, upTo
}
