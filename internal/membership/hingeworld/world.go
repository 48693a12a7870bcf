// Package hingeworld puts together what a process knows of the fleet: the
// routes in force and the backend servers that may be used. Traffic reads it as a value
// that nobody changes.
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

// World is the fleet at one moment.
type World struct {
	table     *hingeroutes.Table
	replicas  map[hingeids.Service][]hingebalance.Replica
	engines   map[hingeids.Service][]hingefleet.Engine
	addresses map[hingeids.ServerID]string
	// gone are the servers that take no more work, as far as they are remembered.
	gone map[hingeids.ServerID]bool
	// digest is of the servers, whatever their order; version names it and the table.
	digest  uint64
	version string
}

// Build makes a world of a table, which may be nil, and of records in the order in
// which their servers became known.
func Build(t *hingeroutes.Table, records []hingeannounce.Record) *World {
	w := &World{
		table:     t,
		replicas:  make(map[hingeids.Service][]hingebalance.Replica),
		engines:   make(map[hingeids.Service][]hingefleet.Engine),
		addresses: make(map[hingeids.ServerID]string),
		gone:      make(map[hingeids.ServerID]bool),
	}
	for _, r := range records {
		if !r.Usable() {
			w.gone[r.Announcement.Server.WithIncarnation(r.Announcement.Incarnation)] = true
		}
	}
	for _, r := range usable(t, records) {
		a := r.Announcement
		a.Server = a.Server.WithIncarnation(a.Incarnation)
		w.add(a)
	}
	w.version = w.named()
	return w
}

// usable gives the records of servers that may be used, by name. Of two at one
// address, the one that became known last has it: the other has ended without a word, and is
// found silent only later, or never if a heartbeat of it was held up. The later one would be
// left without work if that news of the earlier one took the address from it. A server that fits no
// service takes nobody's address: what it says may come from anybody.
func usable(t *hingeroutes.Table, records []hingeannounce.Record) []hingeannounce.Record {
	holder := make(map[string]hingeannounce.Record, len(records))
	for _, r := range records {
		if r.Usable() && fits(t, r.Announcement) {
			holder[r.Announcement.Address] = r
		}
	}
	return slices.SortedFunc(maps.Values(holder), func(a, b hingeannounce.Record) int {
		return cmp.Compare(a.Announcement.Server, b.Announcement.Server)
	})
}

// fits reports whether the configuration names a server's service, with engines if the server is one.
func fits(t *hingeroutes.Table, a hingeannounce.Announcement) bool {
	if t == nil {
		return true
	}
	s, there := t.Services[a.Service]
	return there && (s.Engine != nil) == (roleOf(a.Kind) != 0)
}

func (w *World) add(a hingeannounce.Announcement) {
	w.addresses[a.Server] = a.Address
	w.digest ^= xxhash.Sum64String(string(a.Server) + "/" + string(a.Kind))
	if role := roleOf(a.Kind); role != 0 {
		w.addEngine(a, role)
		return
	}
	w.addReplica(a)
}

func (w *World) addReplica(a hingeannounce.Announcement) {
	r := hingebalance.Replica{
		Server:  a.Server,
		Address: a.Address,
		Zone:    a.Zone,
		Slots:   a.Slots,
	}
	if w.table != nil {
		r.MaxConnections = w.table.Services[a.Service].Connections
	}
	w.replicas[a.Service] = append(w.replicas[a.Service], r)
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

func (w *World) addEngine(a hingeannounce.Announcement, role hingefleet.Role) {
	e := hingefleet.Engine{
		Server: a.Server,
		Zone:   a.Zone,
		Role:   role,
		Slots:  a.Slots,
	}
	if w.table != nil {
		if s := w.table.Services[a.Service]; s.Engine != nil {
			e.Memory = s.Engine.Memory
			e.EventTokens = s.Engine.EventTokens
			e.Slots = s.Engine.Slots
		}
	}
	w.engines[a.Service] = append(w.engines[a.Service], e)
	if role == hingefleet.Decode {
		// A request of a model service that names no prompt can be taken by any of these.
		w.addReplica(a)
	}
}

// Version names what is known: the configuration's version and a digest of the servers. Two processes that know the same
// servers by the same configuration give the same one, however they heard of them.
func (w *World) Version() string {
	return w.version
}

func (w *World) named() string {
	version := uint64(0)
	if w.table != nil {
		version = w.table.Version
	}
	return fmt.Sprintf("%d/%08x", version, uint32(w.digest))
}

// Since gives the servers that may be used now and couldn't in an earlier world, and the other way round.
func (w *World) Since(earlier *World) (usable, gone []hingeids.ServerID) {
	return missing(w.addresses, earlier.addresses), missing(earlier.addresses, w.addresses)
}

// missing gives the servers of one map that another lacks, in order.
func missing(from, in map[hingeids.ServerID]string) []hingeids.ServerID {
	var out []hingeids.ServerID
	for id := range from {
		if _, there := in[id]; !there {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Table gives the routes in force, nil before any are known.
func (w *World) Table() *hingeroutes.Table {
	return w.table
}

// Replicas gives the replicas of every service that may be used.
func (w *World) Replicas() map[hingeids.Service][]hingebalance.Replica {
	return w.replicas
}

// Address gives a server's address.
func (w *World) Address(id hingeids.ServerID) (string, bool) {
	a, ok := w.addresses[id]
	return a, ok
}

// Gone reports whether a server is known to take no more work. One that was never heard of isn't.
func (w *World) Gone(id hingeids.ServerID) bool {
	return w.gone[id]
}

// Engines gives the engines of every service that may be used.
func (w *World) Engines() map[hingeids.Service][]hingefleet.Engine {
	return w.engines
}
