// Package hingeworld combines the routes in force and the usable backend servers into one
// immutable view of the cluster, which request routing reads.
package hingeworld

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// ClusterView is an immutable view of the cluster at one time.
type ClusterView struct {
	table     *hingeroutes.Table
	replicas  map[hingeids.Service][]hingebalance.Replica
	engines   map[hingeids.Service][]hingefleet.Engine
	addresses map[hingeids.ServerID]string
	// removedServers holds the known servers that accept no more work.
	removedServers map[hingeids.ServerID]bool
	// digest identifies the set of usable servers in any order; version also identifies
	// the table.
	digest  uint64
	version string
}

// Build returns the view for a table, which may be nil, and for the records of servers in
// the order in which they became known.
func Build(t *hingeroutes.Table, records []hingeannounce.Record) *ClusterView {
	v := &ClusterView{
		table:          t,
		replicas:       make(map[hingeids.Service][]hingebalance.Replica),
		engines:        make(map[hingeids.Service][]hingefleet.Engine),
		addresses:      make(map[hingeids.ServerID]string),
		removedServers: make(map[hingeids.ServerID]bool),
	}
	for _, r := range records {
		if !r.Usable() {
			v.removedServers[r.Announcement.Server.WithIncarnation(r.Announcement.Incarnation)] = true
		}
	}
	for _, r := range usable(t, records) {
		a := r.Announcement
		a.Server = a.Server.WithIncarnation(a.Incarnation)
		v.add(a)
	}
	v.version = v.versionString()
	return v
}

// usable returns the records of usable servers, sorted by ID. Of two with the same
// address, the one that became known last gets it: the other has crashed, even if it
// isn't marked as silent yet or a delayed heartbeat of it arrived. A server that
// matches no service can't claim an address, since anybody may announce one.
func usable(t *hingeroutes.Table, records []hingeannounce.Record) []hingeannounce.Record {
	byAddress := make(map[string]hingeannounce.Record, len(records))
	for _, r := range records {
		if r.Usable() && matchesService(t, r.Announcement) {
			byAddress[r.Announcement.Address] = r
		}
	}
	return slices.SortedFunc(maps.Values(byAddress), func(a, b hingeannounce.Record) int {
		return cmp.Compare(a.Announcement.Server, b.Announcement.Server)
	})
}

// matchesService reports whether the configuration contains the announced service, with
// engines if the server is one. Without a configuration every server matches.
func matchesService(t *hingeroutes.Table, a hingeannounce.Announcement) bool {
	if t == nil {
		return true
	}
	s, ok := t.Services[a.Service]
	return ok && (s.Engine != nil) == (roleOf(a.Kind) != 0)
}

func (v *ClusterView) add(a hingeannounce.Announcement) {
	v.addresses[a.Server] = a.Address
	v.digest ^= xxhash.Sum64String(string(a.Server) + "/" + string(a.Kind))
	if role := roleOf(a.Kind); role != 0 {
		v.addEngine(a, role)
		return
	}
	v.addReplica(a)
}

func (v *ClusterView) addReplica(a hingeannounce.Announcement) {
	r := hingebalance.Replica{
		Server:  a.Server,
		Address: a.Address,
		Zone:    a.Zone,
		Slots:   a.Slots,
	}
	if v.table != nil {
		r.MaxConnections = v.table.Services[a.Service].Connections
	}
	v.replicas[a.Service] = append(v.replicas[a.Service], r)
}

func roleOf(k hingeannounce.Kind) hingefleet.Role {
	switch k {
	case hingeannounce.Prefill:
		return hingefleet.Prefill
	case hingeannounce.Decode, hingeannounce.Both:
		return hingefleet.Decode
	}
	return 0
}

func (v *ClusterView) addEngine(a hingeannounce.Announcement, role hingefleet.Role) {
	e := hingefleet.Engine{
		Server: a.Server,
		Zone:   a.Zone,
		Role:   role,
		Slots:  a.Slots,
	}
	if v.table != nil {
		if s := v.table.Services[a.Service]; s.Engine != nil {
			e.Memory = s.Engine.Memory
			e.EventTokens = s.Engine.EventTokens
			e.Slots = s.Engine.Slots
		}
	}
	v.engines[a.Service] = append(v.engines[a.Service], e)
	if role == hingefleet.Decode {
		// A request to a model service without a prompt may go to any decode engine.
		v.addReplica(a)
	}
}

// Version identifies the configuration version and the set of usable servers. It is equal
// in two processes that have the same configuration and know the same servers, in whatever
// order they received them.
func (v *ClusterView) Version() string {
	return v.version
}

func (v *ClusterView) versionString() string {
	version := uint64(0)
	if v.table != nil {
		version = v.table.Version
	}
	return fmt.Sprintf("%d/%08x", version, uint32(v.digest))
}

// Since returns the servers that are usable now and weren't in an earlier view, and those
// that no longer are, each sorted by ID.
func (v *ClusterView) Since(earlier *ClusterView) (added, removed []hingeids.ServerID) {
	return notIn(v.addresses, earlier.addresses), notIn(earlier.addresses, v.addresses)
}

// The result is sorted by ID.
func notIn(from, in map[hingeids.ServerID]string) []hingeids.ServerID {
	var out []hingeids.ServerID
	for id := range from {
		if _, ok := in[id]; !ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Table returns the routes in force, or nil before any are known.
func (v *ClusterView) Table() *hingeroutes.Table {
	return v.table
}

// Replicas returns the usable replicas of every service. The map must not be modified.
func (v *ClusterView) Replicas() map[hingeids.Service][]hingebalance.Replica {
	return v.replicas
}

// Address returns the address of a usable server.
func (v *ClusterView) Address(id hingeids.ServerID) (string, bool) {
	a, ok := v.addresses[id]
	return a, ok
}

// Removed reports whether a server is known to accept no more work. It is false for an
// unknown server.
func (v *ClusterView) Removed(id hingeids.ServerID) bool {
	return v.removedServers[id]
}

// Engines returns the usable engines of every service. The map must not be modified.
func (v *ClusterView) Engines() map[hingeids.Service][]hingefleet.Engine {
	return v.engines
}
