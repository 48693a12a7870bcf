package hingeinventory

import (
	"fmt"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
)

// joiner puts an inventory and rules together from items.
type joiner struct {
	inventory Inventory
	rules     Rules
	classes   []orderedClass
	// byKey maps "models[3]" to the path of the item it came from, so that a
	// problem between entries names the item.
	byKey    map[string]string
	problems []hingetoml.Problem
}

// add reads one item. The name in the document must be the one in the path;
// otherwise two paths could hold one model, and deleting one of them would
// leave the other.
func (j *joiner) add(path string, document []byte) {
	switch path {
	case storePath:
		var s storeItem
		j.read(path, document, &s)
		j.inventory.WeightStore = s.Rate
		return
	case weightsPath:
		j.read(path, document, &j.rules.Weights)
		return
	case keepKeysPath:
		var k keepKeysItem
		j.read(path, document, &k)
		j.rules.KeepKeys = time.Duration(k.Keep)
		return
	}
	j.addNamed(path, document)
}

func (j *joiner) addNamed(path string, document []byte) {
	inv := &j.inventory
	switch {
	case strings.HasPrefix(path, zonePath):
		var z Zone
		j.read(path, document, &z)
		inv.Zones = append(inv.Zones, z)
		j.named(path, zonePath+string(z.Name), indexed("zones", len(inv.Zones)-1))
	case strings.HasPrefix(path, modelPath):
		var m Model
		j.read(path, document, &m)
		inv.Models = append(inv.Models, m)
		j.named(path, modelPath+string(m.Name), indexed("models", len(inv.Models)-1))
	case strings.HasPrefix(path, servicePath):
		var s Service
		j.read(path, document, &s)
		inv.Services = append(inv.Services, s)
		j.named(path, servicePath+string(s.Name), indexed("services", len(inv.Services)-1))
	case strings.HasPrefix(path, serverPath):
		var s Server
		j.read(path, document, &s)
		inv.Servers = append(inv.Servers, s)
		j.named(path, serverPath+string(s.Name), indexed("servers", len(inv.Servers)-1))
	case strings.HasPrefix(path, linkPath):
		var l Link
		j.read(path, document, &l)
		inv.Links = append(inv.Links, l)
		j.named(path, linkItem(l), indexed("links", len(inv.Links)-1))
	case strings.HasPrefix(path, classPath):
		var c orderedClass
		j.read(path, document, &c)
		j.classes = append(j.classes, c)
		j.named(path, classPath+c.Class.Name, "")
	case strings.HasPrefix(path, customerPath):
		var c Customer
		j.read(path, document, &c)
		j.rules.Customers = append(j.rules.Customers, c)
		j.named(path, customerPath+string(c.Name), indexed("customers", len(j.rules.Customers)-1))
	default:
		j.note(path, "", "no such item", "a path below zones, models, services, servers, links rules/classes or rules/customers, or "+
			strings.Join([]string{storePath, weightsPath, keepKeysPath}, ", "))
	}
}

func (j *joiner) read(path string, document []byte, into any) {
	d := hingetoml.Read(path, document, into)
	j.problems = append(j.problems, d.Problems...)
}

func (j *joiner) named(path, want, key string) {
	if path != want {
		j.note(path, "", "holds the entry of another path: "+want, "the same name in path and document")
	}
	if key != "" {
		j.byKey[key] = path
	}
}

// Problem notes a problem of a check under the item it belongs to.
func (j *joiner) Problem(key, text, want string) {
	head, rest, _ := strings.Cut(key, ".")
	if path, ok := j.byKey[head]; ok {
		j.note(path, rest, text, want)
		return
	}
	j.note(key, "", text, want)
}

// CheckName notes a problem unless the name can be used in paths.
func (j *joiner) CheckName(key, name string) {
	if text, want := hingetoml.NameProblem(name); text != "" {
		j.Problem(key, text, want)
	}
}

func (j *joiner) note(file, key, text, want string) {
	j.problems = append(j.problems, hingetoml.Problem{
		File: file,
		Key:  key,
		Text: text,
		Want: want,
	})
}

func indexed(list string, i int) string {
	return fmt.Sprintf("%s[%d]", list, i)
}
