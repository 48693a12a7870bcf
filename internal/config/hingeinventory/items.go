package hingeinventory

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Paths of items. Those that end in a slash go on with a name.
const (
	zonePath     = "zones/"
	modelPath    = "models/"
	servicePath  = "services/"
	serverPath   = "servers/"
	linkPath     = "links/"
	classPath    = "rules/classes/"
	weightsPath  = "rules/weights"
	keepKeysPath = "rules/keepKeys"
	customerPath = "rules/customers/"
	storePath    = "weightStore"
)

// Items are the documents of a configuration by path.
type Items map[string][]byte

// orderedClass is the item of a class: its place among the classes, which a
// map of items has no other way to keep.
type orderedClass struct {
	Order int           `toml:"order"`
	Class classDocument `toml:"class"`
}

type storeItem struct {
	Rate hingeids.BytesPerSecond `toml:"rate"`
}

type keepKeysItem struct {
	Keep hingetoml.Duration `toml:"keep"`
}

// Split gives the items of an inventory and rules (Rule 6).
func Split(inv *Inventory, r *Rules) Items {
	items := make(Items)
	for _, z := range inv.Zones {
		items.put(zonePath+string(z.Name), z)
	}
	for _, m := range inv.Models {
		items.put(modelPath+string(m.Name), m)
	}
	for _, s := range inv.Services {
		items.put(servicePath+string(s.Name), s)
	}
	for _, s := range inv.Servers {
		items.put(serverPath+string(s.Name), s)
	}
	for _, l := range inv.Links {
		items.put(linkItem(l), l)
	}
	items.put(storePath, storeItem{
		Rate: inv.WeightStore,
	})
	items.put(weightsPath, r.Weights)
	items.put(keepKeysPath, keepKeysItem{
		Keep: hingetoml.Duration(r.KeepKeys),
	})
	for i, c := range r.Classes {
		items.put(classPath+c.Name, orderedClass{
			Order: i,
			Class: documentOf(c),
		})
	}
	for _, c := range r.Customers {
		items.put(customerPath+string(c.Name), c.sealed())
	}
	return items
}

func linkItem(l Link) string {
	return linkPath + string(l.From) + "/" + string(l.To)
}

func (t Items) put(path string, document any) {
	t[path] = marshal(document)
}

func marshal(document any) []byte {
	b, err := toml.Marshal(document)
	if err != nil {
		// Structs of strings and numbers always marshal; anything else is a
		// mistake in this package.
		panic(err)
	}
	return b
}

// Join puts items together again and gives every problem in them, each with
// the item's path as its file. Problems between items are found too.
func Join(items Items) (Inventory, Rules, []hingetoml.Problem) {
	j := &joiner{
		byKey: make(map[string]string),
	}
	for _, path := range slices.Sorted(maps.Keys(items)) {
		j.add(path, items[path])
	}
	slices.SortStableFunc(j.classes, func(a, b orderedClass) int {
		return cmp.Compare(a.Order, b.Order)
	})
	for i, c := range j.classes {
		j.rules.Classes = append(j.rules.Classes, c.Class.class())
		j.byKey[indexed("classes", i)] = classPath + c.Class.Name
	}
	if len(j.problems) == 0 {
		checkInventory(j, &j.inventory)
		checkRules(j, &j.inventory, &j.rules)
	}
	hingetoml.Sort(j.problems)
	return j.inventory, j.rules, j.problems
}

// FromItems is Join for a process that applies what was accepted. Its error
// names the first problem.
func FromItems(items Items) (Inventory, Rules, error) {
	inv, r, problems := Join(items)
	if len(problems) > 0 {
		return Inventory{}, Rules{}, eris.Errorf("%v (problems in all: %d)", problems[0], len(problems))
	}
	return inv, r, nil
}

// Difference gives what leads from the old items to the new ones. Puts with
// the same bytes as before are left out, so that a change touches, and races
// others over, no more than it means to.
func Difference(old, next Items) (puts Items, deletes []string) {
	puts = make(Items)
	for path, document := range next {
		if before, ok := old[path]; !ok || !bytes.Equal(before, document) {
			puts[path] = document
		}
	}
	for path := range old {
		if _, ok := next[path]; !ok {
			deletes = append(deletes, path)
		}
	}
	slices.Sort(deletes)
	return puts, deletes
}

// Patch gives the items after a change; the old ones stay as they are.
func Patch(old, puts Items, deletes []string) Items {
	next := make(Items, len(old)+len(puts))
	for path, document := range old {
		next[path] = document
	}
	for _, path := range deletes {
		delete(next, path)
	}
	for path, document := range puts {
		next[path] = document
	}
	return next
}
