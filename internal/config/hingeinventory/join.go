package hingeinventory

import (
	"fmt"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
)

type joiner struct {
	inventory Inventory
	rules     Rules
	classes   []orderedClass
	// itemPaths maps the key of an entry, such as "models[3]", to the path of its
	// item, which is reported in problems.
	itemPaths map[string]string
	problems  []hingetoml.Problem
}

// add requires the name in the document to match the path. Otherwise two items
// could define the same entry, and deleting one of them would leave the other.
func (j *joiner) add(path string, document []byte) {
	switch path {
	case weightStorePath:
		var s weightStoreItem
		j.decode(path, document, &s)
		j.inventory.WeightStore = s.Rate
		return
	case weightsPath:
		j.decode(path, document, &j.rules.Weights)
		return
	case keepKeysPath:
		var k keepKeysItem
		j.decode(path, document, &k)
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
		j.decode(path, document, &z)
		inv.Zones = append(inv.Zones, z)
		j.checkItemPath(path, zonePath+string(z.Name), indexed("zones", len(inv.Zones)-1))
	case strings.HasPrefix(path, modelPath):
		var m Model
		j.decode(path, document, &m)
		inv.Models = append(inv.Models, m)
		j.checkItemPath(path, modelPath+string(m.Name), indexed("models", len(inv.Models)-1))
	case strings.HasPrefix(path, servicePath):
		var s Service
		j.decode(path, document, &s)
		inv.Services = append(inv.Services, s)
		j.checkItemPath(path, servicePath+string(s.Name), indexed("services", len(inv.Services)-1))
	case strings.HasPrefix(path, serverPath):
		var s Server
		j.decode(path, document, &s)
		inv.Servers = append(inv.Servers, s)
		j.checkItemPath(path, serverPath+string(s.Name), indexed("servers", len(inv.Servers)-1))
	case strings.HasPrefix(path, linkPath):
		var l Link
		j.decode(path, document, &l)
		inv.Links = append(inv.Links, l)
		j.checkItemPath(path, linkItemPath(l), indexed("links", len(inv.Links)-1))
	case strings.HasPrefix(path, classPath):
		var c orderedClass
		j.decode(path, document, &c)
		j.classes = append(j.classes, c)
		j.checkItemPath(path, classPath+c.Class.Name, "")
	case strings.HasPrefix(path, customerPath):
		var c Customer
		j.decode(path, document, &c)
		j.rules.Customers = append(j.rules.Customers, c)
		j.checkItemPath(path, customerPath+string(c.Name), indexed("customers", len(j.rules.Customers)-1))
	default:
		j.addProblem(path, "", "unknown item path", "a path below zones, models, services, servers, links, rules/classes or rules/customers, or "+
			strings.Join([]string{weightStorePath, weightsPath, keepKeysPath}, ", "))
	}
}

func (j *joiner) decode(path string, document []byte, target any) {
	d := hingetoml.Read(path, document, target)
	j.problems = append(j.problems, d.Problems...)
}

func (j *joiner) checkItemPath(path, wantPath, key string) {
	if path != wantPath {
		j.addProblem(path, "", "holds the entry of another path: "+wantPath, "the same name in path and document")
	}
	if key != "" {
		j.itemPaths[key] = path
	}
}

// Problem adds a problem of the item that the key belongs to.
func (j *joiner) Problem(key, text, want string) {
	head, rest, _ := strings.Cut(key, ".")
	if path, ok := j.itemPaths[head]; ok {
		j.addProblem(path, rest, text, want)
		return
	}
	j.addProblem(key, "", text, want)
}

// CheckName adds a problem unless hingetoml.NameProblem accepts the name.
func (j *joiner) CheckName(key, name string) {
	if text, want := hingetoml.NameProblem(name); text != "" {
		j.Problem(key, text, want)
	}
}

func (j *joiner) addProblem(file, key, text, want string) {
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
