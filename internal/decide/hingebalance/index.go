package hingebalance

import (
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// index holds the replicas of a list in the order in which they are evaluated for a request. Only
// replicas whose requests, latency or health changed are moved in it. Replaced replicas are in none
// of its trees.
type index struct {
	// zones holds the replicas of each zone that have capacity and aren't paused, by the lower bound
	// of their cost.
	zones map[hingeids.Zone]*tree
	// zoneNames are the zones in order, so that decisions don't depend on map order.
	zoneNames []hingeids.Zone
	// paused holds the ejected replicas and those that refused a request, by the end of the pause.
	paused *tree
	// held holds the replicas whose statements allow no request, by when they do.
	held *tree
	// resting holds the replicas without requests in flight, by when they need a probe.
	resting *tree
	// latencies holds all replicas by their expected latency.
	latencies *tree
	// changed are the replicas that have to be moved.
	changed []*state
}

type tree = btree.BTreeG[entry]

// entry orders a replica by a key. The salt is drawn each time, so that replicas with the same key
// are used in a random order.
type entry struct {
	key   int64
	salt  uint64
	state *state
}

func (x entry) before(y entry) bool {
	switch {
	case x.key != y.key:
		return x.key < y.key
	case x.salt != y.salt:
		return x.salt < y.salt
	}
	return x.state.replica.Server < y.state.replica.Server
}

func newTree() *tree {
	return btree.NewBTreeGOptions(entry.before, btree.Options{
		NoLocks: true,
	})
}

func newIndex() index {
	return index{
		zones:     make(map[hingeids.Zone]*tree),
		paused:    newTree(),
		held:      newTree(),
		resting:   newTree(),
		latencies: newTree(),
	}
}

// position is the place of a replica in the index.
type position struct {
	indexed bool
	// changed is set while the replica waits to be moved, full while it has no capacity.
	changed bool
	full    bool
	entries []placedEntry
}

type placedEntry struct {
	tree  *tree
	entry entry
}

// markChanged notes that a replica has to be moved in the index.
func (x *index) markChanged(s *state) {
	if !s.position.changed {
		s.position.changed = true
		x.changed = append(x.changed, s)
	}
}

// updateIndex moves the replicas that changed, and those whose pause has ended.
func (b *Balancer) updateIndex(now time.Time) {
	x := &b.index
	for _, s := range x.changed {
		s.position.changed = false
		if s.listed {
			b.place(now, s)
		}
	}
	x.changed = x.changed[:0]
	b.placeDue(now, x.held)
	b.placeDue(now, x.paused)
}

// placeDue moves the replicas of a tree that is ordered by time and whose time has come.
func (b *Balancer) placeDue(now time.Time, t *tree) {
	for {
		e, ok := t.Min()
		if !ok || now.UnixNano() < e.key {
			return
		}
		b.place(now, e.state)
	}
}

// place puts a replica where its present state belongs.
func (b *Balancer) place(now time.Time, s *state) {
	x := &b.index
	x.remove(s)
	s.position.indexed = true
	if s.replaced {
		return
	}
	salt := b.random.Uint64()
	s.insert(x.latencies, int64(s.latency), salt)
	heldUntil := s.restriction.HeldUntil(now)
	held := now.Before(heldUntil)
	if s.open == 0 && !held {
		s.insert(x.resting, s.probeDue(), salt)
	}
	s.position.full = s.isFull(b.turnaround)
	switch {
	case s.position.full:
	case held:
		s.insert(x.held, heldUntil.UnixNano(), salt)
	case now.Before(s.pausedUntil()):
		s.insert(x.paused, s.pausedUntil().UnixNano(), salt)
	default:
		s.insert(x.zone(s.replica.Zone), int64(s.minCost()), salt)
	}
}

// probeDue returns when the replica needs a probe, in nanoseconds; at once if it was never used.
func (s *state) probeDue() int64 {
	if s.lastUsed.IsZero() {
		return 0
	}
	return s.lastUsed.Add(s.probeDelay()).UnixNano()
}

func (s *state) insert(t *tree, key int64, salt uint64) {
	e := entry{
		key:   key,
		salt:  salt,
		state: s,
	}
	t.Set(e)
	s.position.entries = append(s.position.entries, placedEntry{
		tree:  t,
		entry: e,
	})
}

func (x *index) remove(s *state) {
	for _, p := range s.position.entries {
		p.tree.Delete(p.entry)
	}
	s.position.entries = s.position.entries[:0]
	s.position.indexed = false
}

func (x *index) zone(z hingeids.Zone) *tree {
	t := x.zones[z]
	if t == nil {
		t = newTree()
		x.zones[z] = t
		i, _ := slices.BinarySearch(x.zoneNames, z)
		x.zoneNames = slices.Insert(x.zoneNames, i, z)
	}
	return t
}

// fromZone calls visit for each zone, beginning with the given one, with the cost that the others
// add (rule 2).
func (x *index) fromZone(own hingeids.Zone, visit func(extra time.Duration, t *tree)) {
	if t := x.zones[own]; t != nil {
		visit(0, t)
	}
	for _, z := range x.zoneNames {
		if z != own {
			visit(otherZoneCost, x.zones[z])
		}
	}
}
