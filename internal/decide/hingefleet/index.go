package hingefleet

import (
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// maxEvaluated is the number of engines of a zone that are evaluated for one request, in the order of
// an index: the cost of a decision must not grow with the fleet. In smaller zones every engine is
// evaluated.
const maxEvaluated = 48

// zoneIndex holds the engines of one zone in the order in which they are evaluated for a request.
// Engines that are ejected or held back by their statements are in none of the lists.
type zoneIndex struct {
	// decoders are ordered by their forecast.
	decoders *engineTree
	// untried are idle prefill engines without a sample of their rate, idle the other idle ones, the
	// fastest first, and busy the rest, ordered by when they will have finished their prompts.
	untried *engineTree
	idle    *engineTree
	busy    *engineTree
}

type engineTree = btree.BTreeG[indexEntry]

// indexEntry orders an engine by a key, and by its ID among engines with the same key.
type indexEntry struct {
	key    float64
	engine *engine
}

func (x indexEntry) before(y indexEntry) bool {
	if x.key != y.key {
		return x.key < y.key
	}
	return x.engine.Server < y.engine.Server
}

func newTree() *engineTree {
	return btree.NewBTreeGOptions(indexEntry.before, btree.Options{
		NoLocks: true,
	})
}

// index holds the engines of a fleet in an order that makes the best ones for a request come first.
// Only engines whose streams, prompts or health changed are moved in it.
type index struct {
	zones map[hingeids.Zone]*zoneIndex
	// zoneNames are the zones in order, so that decisions don't depend on map order.
	zoneNames []hingeids.Zone
	// changed are the engines that have to be moved.
	changed []*engine
	// ejected holds the ejected engines, and those that are held back by their statements, by when they
	// are usable again.
	ejected *engineTree
	// loaded holds the decode engines with streams, rates those with a measured decode rate, the
	// slowest first, and memories counts the decode engines by their memory.
	loaded   btree.Map[hingeids.ServerID, *engine]
	rates    *engineTree
	memories map[hingeids.Tokens]int
}

func newIndex() index {
	return index{
		zones:    make(map[hingeids.Zone]*zoneIndex),
		ejected:  newTree(),
		rates:    newTree(),
		memories: make(map[hingeids.Tokens]int),
	}
}

func (x *index) zone(z hingeids.Zone) *zoneIndex {
	zi := x.zones[z]
	if zi == nil {
		zi = &zoneIndex{
			decoders: newTree(),
			untried:  newTree(),
			idle:     newTree(),
			busy:     newTree(),
		}
		x.zones[z] = zi
		i, _ := slices.BinarySearch(x.zoneNames, z)
		x.zoneNames = slices.Insert(x.zoneNames, i, z)
	}
	return zi
}

// fromZone calls visit for each zone, beginning with the given one.
func (x *index) fromZone(first hingeids.Zone, visit func(z hingeids.Zone, zi *zoneIndex)) {
	if zi := x.zones[first]; zi != nil {
		visit(first, zi)
	}
	for _, z := range x.zoneNames {
		if z != first {
			visit(z, x.zones[z])
		}
	}
}

// position is the place of an engine in the index.
type position struct {
	tree *engineTree
	key  float64
	// changed is set while the engine waits to be moved.
	changed bool
	// rateKey is the key in rates, if inRates is set.
	rateKey float64
	inRates bool
	// inRole is the index in the list of the engine's role.
	inRole int
}

// markChanged notes that an engine has to be moved in the index.
func (f *Fleet) markChanged(e *engine) {
	if e != nil && !e.position.changed {
		e.position.changed = true
		f.index.changed = append(f.index.changed, e)
	}
}

// updateIndex moves the engines that changed, and those that are usable again.
func (f *Fleet) updateIndex(now time.Time) {
	for {
		first, found := f.index.ejected.Min()
		if !found {
			break
		}
		// The turn of an engine with a rate limit may have passed unused, and its next one is later.
		if until := first.engine.unusableUntil(now); now.Before(until) && first.key == float64(until.UnixNano()) {
			break
		}
		f.place(now, first.engine)
	}
	for _, e := range f.index.changed {
		e.position.changed = false
		if f.engines[e.Server] == e {
			f.place(now, e)
		}
	}
	f.index.changed = f.index.changed[:0]
}

// place moves an engine to its present place in the index.
func (f *Fleet) place(now time.Time, e *engine) {
	f.unplace(e)
	tree, key := f.treeOf(now, e)
	e.position.tree = tree
	e.position.key = key
	tree.Set(indexEntry{
		key:    key,
		engine: e,
	})
	if e.Role != Decode {
		return
	}
	if len(e.streams) > 0 {
		f.index.loaded.Set(e.Server, e)
	}
	if e.measuredRate.samples > 0 {
		e.position.inRates = true
		e.position.rateKey = e.measuredRate.value
		f.index.rates.Set(indexEntry{
			key:    e.position.rateKey,
			engine: e,
		})
	}
}

// unplace removes an engine from the index.
func (f *Fleet) unplace(e *engine) {
	if e.position.tree != nil {
		e.position.tree.Delete(indexEntry{
			key:    e.position.key,
			engine: e,
		})
		e.position.tree = nil
	}
	if e.position.inRates {
		f.index.rates.Delete(indexEntry{
			key:    e.position.rateKey,
			engine: e,
		})
		e.position.inRates = false
	}
	f.index.loaded.Delete(e.Server)
}

func (f *Fleet) treeOf(now time.Time, e *engine) (*engineTree, float64) {
	zi := f.index.zone(e.Zone)
	unusableUntil := e.unusableUntil(now)
	switch {
	case now.Before(unusableUntil):
		return f.index.ejected, float64(unusableUntil.UnixNano())
	case e.Role == Decode:
		fc := f.forecastOf(now, e)
		return zi.decoders, share(fc.peak+fc.untilPeak, e)
	case len(e.prefillQueue.pending) > 0:
		return zi.busy, float64(now.Add(e.prefillQueue.backlog(now)).UnixNano())
	case e.prefillQueue.sampledAt.IsZero():
		return zi.untried, 0
	}
	return zi.idle, -e.prefillQueue.rate
}

// fastestDecodeRate returns the highest decode rate of all decode engines.
func (f *Fleet) fastestDecodeRate() float64 {
	fastest := 0.0
	if f.index.rates.Len() < len(f.decoders) {
		fastest = f.estimates.usualDecodeRate()
	}
	if e, found := f.index.rates.Max(); found {
		fastest = max(fastest, e.key)
	}
	return fastest
}

// EngineChanges brings the engines of a fleet up to date.
type EngineChanges struct {
	// Complete is set if Changed lists all engines, so that the others are gone.
	Complete bool
	Changed  []Engine
	Removed  []hingeids.ServerID
}

// SetEngines replaces the list of available engines. What was learned about engines that remain is
// kept.
func (f *Fleet) SetEngines(list []Engine) {
	f.ApplyChanges(EngineChanges{
		Complete: true,
		Changed:  list,
	})
}

// ApplyChanges changes the available engines. What was learned about engines that remain is kept.
func (f *Fleet) ApplyChanges(c EngineChanges) {
	if c.Complete {
		f.removeOthers(c.Changed)
	}
	for _, id := range c.Removed {
		f.removeEngine(id)
	}
	for _, e := range c.Changed {
		f.setEngine(e)
	}
}

func (f *Fleet) removeOthers(list []Engine) {
	present := make(map[hingeids.ServerID]bool, len(list))
	for _, e := range list {
		present[e.Server] = true
	}
	var gone []hingeids.ServerID
	for id := range f.engines {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		f.removeEngine(id)
	}
}

func (f *Fleet) setEngine(e Engine) {
	k := f.engines[e.Server]
	switch {
	case k == nil:
		k = &engine{
			prefillQueue:  newPrefillQueue(&f.estimates),
			engineStreams: f.engineStreams(e.Server),
			restriction:   f.restrictions.Get(e.Server),
		}
		f.engines[e.Server] = k
	case k.Engine == e:
		return
	default:
		f.unlink(k)
	}
	k.Engine = e
	list := f.listOf(e.Role)
	if list == nil {
		return
	}
	k.position.inRole = len(*list)
	*list = append(*list, k)
	if e.Role == Decode {
		f.index.memories[e.Memory]++
	}
	f.markChanged(k)
}

func (f *Fleet) removeEngine(id hingeids.ServerID) {
	e := f.engines[id]
	if e == nil {
		return
	}
	f.unlink(e)
	delete(f.engines, id)
	if len(e.streams) == 0 {
		delete(f.streamsByEngine, id)
	}
}

// unlink removes an engine from the list of its role and from the index.
func (f *Fleet) unlink(e *engine) {
	f.unplace(e)
	list := f.listOf(e.Role)
	if list == nil {
		return
	}
	last := len(*list) - 1
	(*list)[e.position.inRole] = (*list)[last]
	(*list)[e.position.inRole].position.inRole = e.position.inRole
	(*list)[last] = nil
	*list = (*list)[:last]
	if e.Role != Decode {
		return
	}
	f.index.memories[e.Memory]--
	if f.index.memories[e.Memory] == 0 {
		delete(f.index.memories, e.Memory)
	}
}

// listOf returns the list of the engines of a role, or nil for an unknown role.
func (f *Fleet) listOf(r Role) *[]*engine {
	switch r {
	case Decode:
		return &f.decoders
	case Prefill:
		return &f.prefillers
	}
	return nil
}

// largestMemory returns the memory of the largest decode engine.
func (f *Fleet) largestMemory() hingeids.Tokens {
	largest := hingeids.Tokens(0)
	for m := range f.index.memories {
		largest = max(largest, m)
	}
	return largest
}
