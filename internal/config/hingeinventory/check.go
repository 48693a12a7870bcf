package hingeinventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type problemReporter interface {
	Problem(path, text, want string)
	CheckName(path, name string)
}

// reservedRoutes are the path prefixes that the router handles itself.
var reservedRoutes = []string{"/v1", "/metrics", "/readyz", "/livez"}

// nameSet checks that the names of one kind of entry are unique (Rule 2).
type nameSet struct {
	problemReporter
	kind string
	seen map[string]bool
}

func newNameSet(p problemReporter, kind string) *nameSet {
	return &nameSet{
		problemReporter: p,
		kind:            kind,
		seen:            make(map[string]bool),
	}
}

func (n *nameSet) add(path, name string) {
	n.CheckName(path, name)
	if n.seen[name] && name != "" {
		n.Problem(path, "a second "+n.kind+" "+name, "each "+n.kind+" once")
	}
	n.seen[name] = true
}

// require adds a problem at the path unless the set has the name that another entry refers to.
func (n *nameSet) require(path, name string) {
	if !n.seen[name] {
		n.Problem(path, fmt.Sprintf("no such %s: %q", n.kind, name), "one of the inventory: "+n.list())
	}
}

func (n *nameSet) list() string {
	if len(n.seen) == 0 {
		return "(it has none)"
	}
	return strings.Join(slices.Sorted(maps.Keys(n.seen)), ", ")
}

// checkInventory implements Rules 2 and 3.
func checkInventory(d problemReporter, inv *Inventory) {
	zones := checkZones(d, inv)
	models := newNameSet(d, "model")
	for i, m := range inv.Models {
		at := fmt.Sprintf("models[%d]", i)
		models.add(at+".name", string(m.Name))
		checkPositive(d, at+".cacheBytesPerToken", int64(m.CacheBytesPerToken))
		checkPositive(d, at+".weightBytes", int64(m.WeightBytes))
	}
	services := newNameSet(d, "service")
	for i, s := range inv.Services {
		services.add(fmt.Sprintf("services[%d].name", i), string(s.Name))
	}
	checkRoutes(d, inv)
	checkServers(d, inv, zones, models, services)
	checkLinks(d, inv, zones)
	checkPositive(d, "weightStore", int64(inv.WeightStore))
}

func checkZones(d problemReporter, inv *Inventory) *nameSet {
	if len(inv.Zones) == 0 {
		d.Problem("zones", "has no entry", "at least one availability zone")
	}
	zones := newNameSet(d, "zone")
	hosts := newNameSet(d, "host")
	for i, z := range inv.Zones {
		at := fmt.Sprintf("zones[%d]", i)
		zones.add(at+".name", string(z.Name))
		if len(z.Hosts) == 0 {
			d.Problem(at+".hosts", "has no entry", "the entry hosts of the zone")
		}
		for j, h := range z.Hosts {
			hosts.add(fmt.Sprintf("%s.hosts[%d]", at, j), string(h))
		}
	}
	return zones
}

func checkRoutes(d problemReporter, inv *Inventory) {
	for i, s := range inv.Services {
		at := fmt.Sprintf("services[%d].route", i)
		if !strings.HasPrefix(s.Route, "/") || strings.Trim(s.Route, "/") == "" {
			d.Problem(at, fmt.Sprintf("is no path prefix: %q", s.Route), `a path such as "/`+string(s.Name)+`"`)
			continue
		}
		for _, r := range reservedRoutes {
			if overlap(s.Route, r) {
				d.Problem(at, "overlaps a path of the router: "+r, "another path")
			}
		}
		for j, o := range inv.Services[:i] {
			if overlap(s.Route, o.Route) {
				d.Problem(at, fmt.Sprintf("overlaps services[%d].route: %s", j, o.Route), "routes of which none is below another")
			}
		}
	}
}

func overlap(a, b string) bool {
	return underRoute(a, b) || underRoute(b, a)
}

func checkServers(d problemReporter, inv *Inventory, zones, models, services *nameSet) {
	servers := newNameSet(d, "server")
	for i, s := range inv.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		servers.add(at+".name", string(s.Name))
		zones.require(at+".zone", string(s.Zone))
		switch {
		case (s.Model == "") == (s.Service == ""):
			d.Problem(at, "serves both a model and a service, or neither", "either model or service")
		case s.Model != "":
			models.require(at+".model", string(s.Model))
		default:
			services.require(at+".service", string(s.Service))
		}
		checkDesiredState(d, at, s)
	}
}

// checkDesiredState checks the role, version and adapters that are configured for an engine.
func checkDesiredState(d problemReporter, at string, s Server) {
	if s.Role != "" && !slices.Contains([]string{"prefill", "decode", "both"}, s.Role) {
		d.Problem(at+".role", fmt.Sprintf("%q is no role", s.Role), "prefill, decode or both")
	}
	if s.Service != "" && (s.Role != "" || s.Version != "" || len(s.Adapters) > 0) {
		d.Problem(at, "has a role, version or adapters but serves a plain service", "role, version and adapters only with a model")
	}
}

func checkLinks(d problemReporter, inv *Inventory, zones *nameSet) {
	type pair struct {
		from, to hingeids.Zone
	}
	seen := make(map[pair]bool)
	for i, l := range inv.Links {
		at := fmt.Sprintf("links[%d]", i)
		zones.require(at+".from", string(l.From))
		zones.require(at+".to", string(l.To))
		checkPositive(d, at+".rate", int64(l.Rate))
		p := pair{
			from: l.From,
			to:   l.To,
		}
		if seen[p] {
			d.Problem(at, fmt.Sprintf("a second link from %s to %s", l.From, l.To), "each direction once")
		}
		seen[p] = true
	}
}

func checkPositive(d problemReporter, path string, value int64) {
	if value <= 0 {
		d.Problem(path, fmt.Sprintf("is %d", value), "a number above zero")
	}
}
