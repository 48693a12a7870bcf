package hingeannounce

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Limits on the permitted silence. Heartbeats come twice a second, so the lower one
// is three missed heartbeats. Late detection of a dead server causes retries; a false
// one leaves a server unused for a while.
const (
	minSilenceBound = 1500 * time.Millisecond
	maxSilenceBound = 5 * time.Second
	// deadFactor times the permitted silence is the silence after which a server is dead.
	deadFactor = 2
)

// Tombstones are kept far longer than a datagram or a call can be delayed. An entry takes
// some 300 bytes, so that the maximum is about a megabyte.
const (
	tombstoneTTL  = 10 * time.Minute
	maxTombstones = 4096
)

// Outcome is the effect of an announcement on a Table.
type Outcome uint8

// The outcomes: Stale changed nothing, Refreshed was a heartbeat without other
// changes, Changed altered the server's state or description (new, restarted,
// leaving, alive again, another role).
const (
	Stale Outcome = iota
	Refreshed
	Changed
)

// Table holds the newest announcement of each server. It is not safe for concurrent use.
type Table struct {
	entries map[hingeids.ServerID]*entry
}

type entry struct {
	newest    Announcement
	lastSeen  time.Time
	intervals IntervalEstimator
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: make(map[hingeids.ServerID]*entry),
	}
}

// Apply applies an announcement that was sent age ago.
func (t *Table) Apply(now time.Time, a Announcement, age time.Duration) Outcome {
	seenAt := now.Add(-max(age, 0))
	e := t.entries[a.Server]
	if e == nil {
		t.entries[a.Server] = &entry{
			newest:   a,
			lastSeen: seenAt,
		}
		return Changed
	}
	if !Newer(a, e.newest) {
		return e.mergeStale(a)
	}
	return e.mergeNewer(now, a, seenAt)
}

// Newer reports whether a is newer than b, an announcement of the same server (rule 2).
func Newer(a, b Announcement) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// Only the leaving flag of an announcement that isn't newer counts (rule 3).
func (e *entry) mergeStale(a Announcement) Outcome {
	if a.Incarnation != e.newest.Incarnation || !a.Leaving || e.newest.Leaving {
		return Stale
	}
	e.newest.Leaving = true
	return Changed
}

func (e *entry) mergeNewer(now time.Time, a Announcement, seenAt time.Time) Outcome {
	before := e.newest
	wasDead := e.dead(now)
	if a.Incarnation == before.Incarnation {
		a.Leaving = a.Leaving || before.Leaving // Rule 3.
		e.intervals.Observe(max(seenAt.Sub(e.lastSeen), 0))
	} else {
		e.intervals = IntervalEstimator{}
	}
	if seenAt.After(e.lastSeen) {
		e.lastSeen = seenAt
	}
	e.newest = a
	if wasDead || !sameServer(before, a) {
		return Changed
	}
	return Refreshed
}

func sameServer(a, b Announcement) bool {
	a.Sequence, a.Load = b.Sequence, b.Load
	return a == b
}

// dead implements rule 5.
func (e *entry) dead(now time.Time) bool {
	return now.Sub(e.lastSeen) > deadFactor*e.intervals.Bound(minSilenceBound, maxSilenceBound)
}

func (e *entry) suspect(now time.Time) bool {
	return now.Sub(e.lastSeen) > e.intervals.Bound(minSilenceBound, maxSilenceBound)
}

// Step removes expired tombstones, and the oldest ones beyond maxTombstones (rule 6).
func (t *Table) Step(now time.Time) {
	var tombstones []*entry
	for id, e := range t.entries {
		if !e.newest.Leaving && !e.dead(now) {
			continue
		}
		if now.Sub(e.lastSeen) > tombstoneTTL {
			delete(t.entries, id)
			continue
		}
		tombstones = append(tombstones, e)
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b *entry) int {
		return a.lastSeen.Compare(b.lastSeen)
	})
	for _, e := range tombstones[:len(tombstones)-maxTombstones] {
		delete(t.entries, e.newest.Server)
	}
}

// AgedAnnouncement is an announcement with its age, as entry hosts forward it (rule 4).
type AgedAnnouncement struct {
	Announcement Announcement  `cbor:"1,keyasint"`
	Age          time.Duration `cbor:"2,keyasint"`
}

// Find returns the newest announcement of a server with its age.
func (t *Table) Find(now time.Time, id hingeids.ServerID) (AgedAnnouncement, bool) {
	e := t.entries[id]
	if e == nil {
		return AgedAnnouncement{}, false
	}
	return AgedAnnouncement{
		Announcement: e.newest,
		Age:          now.Sub(e.lastSeen),
	}, true
}

// All returns the newest announcement of every server, tombstones included, sorted by
// server ID.
func (t *Table) All(now time.Time) []AgedAnnouncement {
	out := make([]AgedAnnouncement, 0, len(t.entries))
	for id := range t.entries {
		a, _ := t.Find(now, id)
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b AgedAnnouncement) int {
		return cmp.Compare(a.Announcement.Server, b.Announcement.Server)
	})
	return out
}
