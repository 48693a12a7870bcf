package hingeannounce

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Record is what the hosts that take announcements tell each other and their
// followers of one backend server.
type Record struct {
	Announcement Announcement `cbor:"1,keyasint"`
	// Owner is the host that hears the server's heartbeats.
	Owner hingeids.HostID `cbor:"2,keyasint"`
	// Silent says that the owner has missed heartbeats.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// Usable reports whether work may be sent to the server.
func (r Record) Usable() bool {
	return !r.Announcement.Leaving && !r.Silent
}

// Directory holds the record of each server, with a number for each change, so
// that followers are sent only what they lack. Heartbeats that change nothing
// travel no further than their owner (rule 8): with thousands of servers they would be
// most of what the hosts say to each other. It is not safe for concurrent use.
type Directory struct {
	self    hingeids.HostID
	records map[hingeids.ServerID]*kept
	change  uint64
}

type kept struct {
	record  Record
	heardAt time.Time
	change  uint64
	// first is the number of the change with which the server became known.
	first uint64
	gaps  Gaps
}

// NewDirectory makes the empty directory of a host.
func NewDirectory(self hingeids.HostID) *Directory {
	return &Directory{
		self:    self,
		records: make(map[hingeids.ServerID]*kept),
	}
}

// Hear takes an announcement that came to this host, and reports whether
// followers have to be told. The host becomes the server's owner.
func (d *Directory) Hear(now time.Time, a Announcement) bool {
	k := d.records[a.Server]
	if k == nil {
		d.put(now, Record{
			Announcement: a,
			Owner:        d.self,
		})
		return true
	}
	if !newer(a, k.record.Announcement) {
		return d.leave(k, a)
	}
	next := k.record
	a.Leaving = a.Leaving || next.leaves(a.Incarnation)
	same := sameServer(a, next.Announcement) && next.Owner == d.self && !next.Silent
	d.renew(k, a.Incarnation)
	if next.Owner == d.self {
		k.gaps.Observe(max(now.Sub(k.heardAt), 0))
	}
	k.heardAt = now
	k.record = Record{
		Announcement: a,
		Owner:        d.self,
	}
	if !same {
		d.note(k)
	}
	return !same
}

// leaves is rule 3: leaving is final for its incarnation, and says nothing of the next.
func (r Record) leaves(i hingeids.Incarnation) bool {
	return r.Announcement.Leaving && r.Announcement.Incarnation == i
}

// renew begins a new life of a server: it became known now, and its heartbeats have a rhythm of their own.
func (d *Directory) renew(k *kept, i hingeids.Incarnation) {
	if i <= k.record.Announcement.Incarnation {
		return
	}
	k.first = d.change + 1
	k.gaps = Gaps{}
}

// Leave notes that a server leaves for good, and reports whether that is new. A server that doesn't say its
// incarnation, which is zero then, means the one that is known. One that isn't known yet
// is remembered too: its heartbeats may be on their way.
func (d *Directory) Leave(now time.Time, id hingeids.ServerID, i hingeids.Incarnation) bool {
	k := d.records[id]
	if k != nil && i == 0 {
		i = k.record.Announcement.Incarnation
	}
	word := Announcement{
		Server:      id,
		Incarnation: max(i, 1),
		Leaving:     true,
	}
	if k != nil && word.Incarnation <= k.record.Announcement.Incarnation {
		return d.leave(k, word)
	}
	d.put(now, Record{
		Announcement: word,
		Owner:        d.self,
	})
	return true
}

// Merge takes a record that another host told, and reports whether it changed anything.
func (d *Directory) Merge(now time.Time, r Record) bool {
	k := d.records[r.Announcement.Server]
	if k == nil {
		d.put(now, r)
		return true
	}
	held := k.record
	switch {
	case newer(held.Announcement, r.Announcement):
		return d.leave(k, r.Announcement)
	case newer(r.Announcement, held.Announcement):
		r.Announcement.Leaving = r.Announcement.Leaving || held.leaves(r.Announcement.Incarnation)
		d.renew(k, r.Announcement.Incarnation)
		k.heardAt = now
	default:
		// The same heartbeat: what was found out since, a silence or a leaving, stays.
		r.Announcement.Leaving = r.Announcement.Leaving || held.Announcement.Leaving
		r.Silent = r.Silent || held.Silent
		r.Owner = max(r.Owner, held.Owner)
	}
	same := sameServer(r.Announcement, held.Announcement) && r.Owner == held.Owner && r.Silent == held.Silent
	k.record = r
	if !same {
		d.note(k)
	}
	return !same
}

// leave is rule 3 for a word that came late, or that says nothing else.
func (d *Directory) leave(k *kept, a Announcement) bool {
	held := &k.record.Announcement
	if a.Incarnation != held.Incarnation || !a.Leaving || held.Leaving {
		return false
	}
	held.Leaving = true
	d.note(k)
	return true
}

func (d *Directory) put(now time.Time, r Record) {
	k := &kept{
		record:  r,
		heardAt: now,
	}
	d.records[r.Announcement.Server] = k
	d.note(k)
	k.first = k.change
}

func (d *Directory) note(k *kept) {
	d.change++
	k.change = d.change
}

// Step notes the servers that this host owns and that have gone silent (rule 9),
// and forgets old tombstones. It reports whether followers have to be told.
func (d *Directory) Step(now time.Time) bool {
	changed := false
	for id, k := range d.records {
		over := k.record.Announcement.Leaving || k.record.Silent
		if over && now.Sub(k.heardAt) > keepTombstone {
			delete(d.records, id)
			continue
		}
		silence := goneAfter * k.gaps.Bound(leastSilence, mostSilence)
		if !over && k.record.Owner == d.self && now.Sub(k.heardAt) > silence {
			k.record.Silent = true
			d.note(k)
			changed = true
		}
	}
	return changed
}

// Change is the number of the newest change.
func (d *Directory) Change() uint64 {
	return d.change
}

// Since gives the records that changed after a change, in the order in which
// their servers became known: of two servers at one address the later is the one that is there.
func (d *Directory) Since(change uint64) []Record {
	var list []*kept
	for _, k := range d.records {
		if k.change > change {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *kept) int {
		return cmp.Compare(a.first, b.first)
	})
	out := make([]Record, 0, len(list))
	for _, k := range list {
		out = append(out, k.record)
	}
	return out
}
