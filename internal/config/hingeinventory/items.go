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

// Paths of items. Those that end in a slash are followed by a name.
const (
	zonePath        = "zones/"
	modelPath       = "models/"
	servicePath     = "services/"
	serverPath      = "servers/"
	linkPath        = "links/"
	classPath       = "rules/classes/"
	weightsPath     = "rules/weights"
	keepKeysPath    = "rules/keepKeys"
	customerPath    = "rules/customers/"
	weightStorePath = "weightStore"
)

// Items maps the paths of a configuration's items to their TOML documents.
type Items map[string][]byte

// orderedClass is the item of a class with its position among the classes,
// since Items is unordered.
type orderedClass struct {
	Order int           `toml:"order"`
	Class classDocument `toml:"class"`
}

type weightStoreItem struct {
	Rate hingeids.BytesPerSecond `toml:"rate"`
}

type keepKeysItem struct {
	Keep hingetoml.Duration `toml:"keep"`
}

// Split encodes an inventory and rules as items (Rule 6).
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
		items.put(linkItemPath(l), l)
	}
	items.put(weightStorePath, weightStoreItem{
		Rate: inv.WeightStore,
	})
	items.put(weightsPath, r.Weights)
	items.put(keepKeysPath, keepKeysItem{
		Keep: hingetoml.Duration(r.KeepKeys),
	})
	for i, c := range r.Classes {
		items.put(classPath+c.Name, orderedClass{
			Order: i,
			Class: newClassDocument(c),
		})
	}
	for _, c := range r.Customers {
		items.put(customerPath+string(c.Name), c.withDigestsOnly())
	}
	return items
}

func linkItemPath(l Link) string {
	return linkPath + string(l.From) + "/" + string(l.To)
}

func (t Items) put(path string, document any) {
	t[path] = marshal(document)
}

func marshal(document any) []byte {
	b, err := toml.Marshal(document)
	if err != nil {
		// Only structs of strings and numbers are passed, which always marshal.
		panic(err)
	}
	return b
}

// Join decodes items into an inventory and rules and returns all problems, each
// with the path of its item as File. It also checks references between items.
func Join(items Items) (Inventory, Rules, []hingetoml.Problem) {
	j := &joiner{
		itemPaths: make(map[string]string),
	}
	for _, path := range slices.Sorted(maps.Keys(items)) {
		j.add(path, items[path])
	}
	slices.SortStableFunc(j.classes, func(a, b orderedClass) int {
		return cmp.Compare(a.Order, b.Order)
	})
	for i, c := range j.classes {
		j.rules.Classes = append(j.rules.Classes, c.Class.class())
		j.itemPaths[indexed("classes", i)] = classPath + c.Class.Name
	}
	if len(j.problems) == 0 {
		checkInventory(j, &j.inventory)
		checkRules(j, &j.inventory, &j.rules)
	}
	hingetoml.Sort(j.problems)
	return j.inventory, j.rules, j.problems
}

// FromItems is Join for accepted items, in which no problem is expected. Its
// error has the first problem and the number of problems.
func FromItems(items Items) (Inventory, Rules, error) {
	inv, r, problems := Join(items)
	if len(problems) > 0 {
		return Inventory{}, Rules{}, eris.Errorf("%v (problems in all: %d)", problems[0], len(problems))
	}
	return inv, r, nil
}

// Difference returns the puts and deletes that change the old items into the
// next ones. Unchanged items are omitted, so that they don't conflict with
// concurrent changes. The deletes are sorted.
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

// Patch returns a copy of the old items with the deletes and then the puts applied.
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
