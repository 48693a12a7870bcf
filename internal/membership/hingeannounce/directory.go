package hingeannounce

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Record is the state of one backend server, as the hosts that receive announcements send
// it to each other and to their followers.
type Record struct {
	Announcement Announcement `cbor:"1,keyasint"`
	// Owner is the host that receives the server's heartbeats.
	Owner hingeids.HostID `cbor:"2,keyasint"`
	// Silent reports that the owner has missed heartbeats.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// Usable reports whether the server may be sent work.
func (r Record) Usable() bool {
	return !r.Announcement.Leaving && !r.Silent
}

// Directory holds the record of each server and the revision of its last change, so
// that followers are sent only the records that they lack (rule 8). It is not safe
// for concurrent use.
type Directory struct {
	self     hingeids.HostID
	records  map[hingeids.ServerID]*directoryEntry
	revision uint64
}

type directoryEntry struct {
	record   Record
	lastSeen time.Time
	revision uint64
	// firstRevision is the revision at which the present incarnation became known.
	firstRevision uint64
	intervals     IntervalEstimator
}

// NewDirectory returns an empty directory for the host self.
func NewDirectory(self hingeids.HostID) *Directory {
	return &Directory{
		self:    self,
		records: make(map[hingeids.ServerID]*directoryEntry),
	}
}

// Receive applies an announcement that this host received from the server itself. The host
// becomes the server's owner. It reports whether followers have to be notified.
func (d *Directory) Receive(now time.Time, a Announcement) bool {
	e := d.records[a.Server]
	if e == nil {
		d.add(now, Record{
			Announcement: a,
			Owner:        d.self,
		})
		return true
	}
	if !newer(a, e.record.Announcement) {
		return d.applyLeaving(e, a)
	}
	next := e.record
	a.Leaving = a.Leaving || next.leavingAs(a.Incarnation)
	unchanged := sameServer(a, next.Announcement) && next.Owner == d.self && !next.Silent
	d.startInstance(e, a.Incarnation)
	if next.Owner == d.self {
		e.intervals.Observe(max(now.Sub(e.lastSeen), 0))
	}
	e.lastSeen = now
	e.record = Record{
		Announcement: a,
		Owner:        d.self,
	}
	if !unchanged {
		d.recordChange(e)
	}
	return !unchanged
}

// leavingAs reports whether incarnation i has announced that it leaves (rule 3).
func (r Record) leavingAs(i hingeids.Incarnation) bool {
	return r.Announcement.Leaving && r.Announcement.Incarnation == i
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
	if e != nil && i == 0 {
		i = e.record.Announcement.Incarnation
	}
	departure := Announcement{
		Server:      id,
		Incarnation: max(i, 1),
		Leaving:     true,
	}
	if e != nil && departure.Incarnation <= e.record.Announcement.Incarnation {
		return d.applyLeaving(e, departure)
	}
	d.add(now, Record{
		Announcement: departure,
		Owner:        d.self,
	})
	return true
}

// Merge merges a record received from another host and reports whether it changed
// anything.
func (d *Directory) Merge(now time.Time, r Record) bool {
	e := d.records[r.Announcement.Server]
	if e == nil {
		d.add(now, r)
		return true
	}
	current := e.record
	switch {
	case newer(current.Announcement, r.Announcement):
		return d.applyLeaving(e, r.Announcement)
	case newer(r.Announcement, current.Announcement):
		r.Announcement.Leaving = r.Announcement.Leaving || current.leavingAs(r.Announcement.Incarnation)
		d.startInstance(e, r.Announcement.Incarnation)
		e.lastSeen = now
	default:
		// Both records are of the same heartbeat: a silence or a leaving found since is
		// kept.
		r.Announcement.Leaving = r.Announcement.Leaving || current.Announcement.Leaving
		r.Silent = r.Silent || current.Silent
		r.Owner = max(r.Owner, current.Owner)
	}
	unchanged := sameServer(r.Announcement, current.Announcement) && r.Owner == current.Owner && r.Silent == current.Silent
	e.record = r
	if !unchanged {
		d.recordChange(e)
	}
	return !unchanged
}

// applyLeaving applies the leaving flag of an announcement that is not newer (rule 3), and
// reports whether that changed anything.
func (d *Directory) applyLeaving(e *directoryEntry, a Announcement) bool {
	current := &e.record.Announcement
	if a.Incarnation != current.Incarnation || !a.Leaving || current.Leaving {
		return false
	}
	current.Leaving = true
	d.recordChange(e)
	return true
}

func (d *Directory) add(now time.Time, r Record) {
	e := &directoryEntry{
		record:   r,
		lastSeen: now,
	}
	d.records[r.Announcement.Server] = e
	d.recordChange(e)
	e.firstRevision = e.revision
}

func (d *Directory) recordChange(e *directoryEntry) {
	d.revision++
	e.revision = d.revision
}

// Step marks the servers that this host owns and that have become silent (rule 9), and
// removes expired tombstones. It reports whether followers have to be notified.
func (d *Directory) Step(now time.Time) bool {
	changed := false
	for id, e := range d.records {
		inactive := e.record.Announcement.Leaving || e.record.Silent
		if inactive && now.Sub(e.lastSeen) > tombstoneTTL {
			delete(d.records, id)
			continue
		}
		maxSilence := deadFactor * e.intervals.Bound(minSilenceBound, maxSilenceBound)
		if !inactive && e.record.Owner == d.self && now.Sub(e.lastSeen) > maxSilence {
			e.record.Silent = true
			d.recordChange(e)
			changed = true
		}
	}
	return changed
}

// Change returns the directory's current revision.
func (d *Directory) Change() uint64 {
	return d.revision
}

// Since returns the records changed after a revision, in the order in which their
// incarnations became known, so that of two servers at one address the present one comes
// last.
func (d *Directory) Since(revision uint64) []Record {
	var list []*directoryEntry
	for _, e := range d.records {
		if e.revision > revision {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *directoryEntry) int {
		return cmp.Compare(a.firstRevision, b.firstRevision)
	})
	out := make([]Record, 0, len(list))
	for _, e := range list {
		out = append(out, e.record)
	}
	return out
}
