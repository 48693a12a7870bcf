// Package hingeworld combines the routes in force and the usable backend servers into immutable views
// of the cluster, which request routing reads.
//
//  1. A Builder is told what changed: the routes, or the records of some servers. The next view shares
//     all else with the one before, so that the cost of a view depends on the change and not on the
//     number of servers.
//  2. Of the usable servers with one address, the one that became known last gets it: the other has
//     crashed, even if it isn't marked as silent yet or a delayed heartbeat of it arrived. A server
//     that matches no service can't claim an address, since anybody may announce one.
//  3. A reader that keeps its own state for each engine asks a view what changed since an earlier
//     revision. The log of changes is bounded; a reader that is too far behind gets all engines.
package hingeworld

import (
	"fmt"
	"sync"

	"github.com/tidwall/btree"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Revision counts the changes of the servers of a Builder.
type Revision uint64

// ClusterView is an immutable view of the cluster at one time.
type ClusterView struct {
	table    *hingeroutes.Table
	services map[hingeids.Service]*serviceServers
	// removed holds the known servers that accept no more work.
	removed *btree.Set[hingeids.ServerID]
	// digest identifies the set of usable servers in any order; version also identifies
	// the table.
	digest  uint64
	version string
	// changes are the changes of usable servers after the revision oldest.
	changes []change
	oldest  Revision
}

// change names a server that became usable, was changed or stopped being usable.
type change struct {
	service hingeids.Service
	server  hingeids.ServerID
}

// server is a usable server.
type server struct {
	address string
	zone    hingeids.Zone
	kind    hingeannounce.Kind
	slots   hingeids.Slots
}

// serviceServers holds the usable servers of one service and its configuration. It is immutable;
// replicas is computed by its first reader.
type serviceServers struct {
	// config is nil if the service isn't configured.
	config       *hingeroutes.Service
	list         *btree.Map[hingeids.ServerID, server]
	replicasOnce sync.Once
	replicas     []hingebalance.Replica
}

// Table returns the routes in force, or nil before any are known.
func (v *ClusterView) Table() *hingeroutes.Table {
	return v.table
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

// Address returns the address of a usable server.
func (v *ClusterView) Address(id hingeids.ServerID) (string, bool) {
	s, _, found := v.find(id)
	return s.address, found
}

// find looks a server up in each service: services are few.
func (v *ClusterView) find(id hingeids.ServerID) (server, *serviceServers, bool) {
	for _, list := range v.services {
		if s, found := list.list.Get(id); found {
			return s, list, true
		}
	}
	return server{}, nil, false
}

// Removed reports whether a server is known to accept no more work. It is false for an
// unknown server.
func (v *ClusterView) Removed(id hingeids.ServerID) bool {
	return v.removed.Contains(id)
}

// ServerCount returns the number of usable servers of a service.
func (v *ClusterView) ServerCount(s hingeids.Service) int {
	list := v.services[s]
	if list == nil {
		return 0
	}
	return list.list.Len()
}

// Replicas returns the usable replicas of a service, sorted by ID. Views between which the service
// didn't change return the same list, which must not be modified.
func (v *ClusterView) Replicas(s hingeids.Service) []hingebalance.Replica {
	list := v.services[s]
	if list == nil {
		return nil
	}
	list.replicasOnce.Do(func() {
		list.list.Scan(func(id hingeids.ServerID, x server) bool {
			// A request to a model service without a prompt may go to any decode engine.
			if roleOf(x.kind) != hingefleet.Prefill {
				list.replicas = append(list.replicas, list.replica(id, x))
			}
			return true
		})
	})
	return list.replicas
}

func (l *serviceServers) replica(id hingeids.ServerID, x server) hingebalance.Replica {
	r := hingebalance.Replica{
		Server:  id,
		Address: x.address,
		Zone:    x.zone,
		Slots:   x.slots,
	}
	if l.config != nil {
		r.MaxConnections = l.config.Connections
	}
	return r
}

// roleOf returns the role of an engine, and zero for servers of other kinds.
func roleOf(k hingeannounce.Kind) hingefleet.Role {
	switch k {
	case hingeannounce.Prefill:
		return hingefleet.Prefill
	case hingeannounce.Decode, hingeannounce.Both:
		return hingefleet.Decode
	}
	return 0
}

func (l *serviceServers) engine(id hingeids.ServerID, x server) hingefleet.Engine {
	e := hingefleet.Engine{
		Server: id,
		Zone:   x.zone,
		Role:   roleOf(x.kind),
		Slots:  x.slots,
	}
	if l.config != nil && l.config.Engine != nil {
		e.Memory = l.config.Engine.Memory
		e.EventTokens = l.config.Engine.EventTokens
		e.Slots = l.config.Engine.Slots
	}
	return e
}

// Engine returns a usable engine, and false if the service has no such engine.
func (v *ClusterView) Engine(s hingeids.Service, id hingeids.ServerID) (hingefleet.Engine, bool) {
	list := v.services[s]
	if list == nil {
		return hingefleet.Engine{}, false
	}
	x, found := list.list.Get(id)
	if !found || roleOf(x.kind) == 0 {
		return hingefleet.Engine{}, false
	}
	return list.engine(id, x), true
}

// Engines returns the usable engines of a service, sorted by ID. It makes the list anew on each call.
func (v *ClusterView) Engines(s hingeids.Service) []hingefleet.Engine {
	list := v.services[s]
	if list == nil {
		return nil
	}
	out := make([]hingefleet.Engine, 0, list.list.Len())
	list.list.Scan(func(id hingeids.ServerID, x server) bool {
		if roleOf(x.kind) != 0 {
			out = append(out, list.engine(id, x))
		}
		return true
	})
	return out
}

// AllEngines returns all engines of a service as changes.
func (v *ClusterView) AllEngines(s hingeids.Service) hingefleet.EngineChanges {
	return hingefleet.EngineChanges{
		Complete: true,
		Changed:  v.Engines(s),
	}
}

// Revision returns the revision of the view.
func (v *ClusterView) Revision() Revision {
	return v.oldest + Revision(len(v.changes))
}

// EngineChanges returns what changed in the engines of a service since an earlier revision of the
// same Builder, or all engines if that is no longer known (rule 3).
func (v *ClusterView) EngineChanges(s hingeids.Service, since Revision) hingefleet.EngineChanges {
	if since < v.oldest || since > v.Revision() {
		return v.AllEngines(s)
	}
	var out hingefleet.EngineChanges
	for _, c := range v.changes[since-v.oldest:] {
		if c.service != s {
			continue
		}
		if e, found := v.Engine(s, c.server); found {
			out.Changed = append(out.Changed, e)
		} else {
			out.Removed = append(out.Removed, c.server)
		}
	}
	return out
}
