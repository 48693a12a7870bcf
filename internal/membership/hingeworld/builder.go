package hingeworld

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// maxChanges bounds the log of changes. A reader that asks a few times a second is behind by fewer
// unless most servers of a large cluster change at once, when all engines are hardly more.
const maxChanges = 4096

// Builder holds what is known of the routes and servers, and makes views of it. It is not safe for
// concurrent use.
type Builder struct {
	table *hingeroutes.Table
	// known holds all servers by the ID that they announce, claims the usable ones by address, in
	// the order in which they became known.
	known      map[hingeids.ServerID]*knownServer
	claims     map[string][]*knownServer
	knownCount uint64
	services   map[hingeids.Service]*serviceServers
	// edited are the services whose list belongs to no view yet.
	edited  map[hingeids.Service]bool
	removed *btree.Set[hingeids.ServerID]
	digest  uint64
	changes []change
	oldest  Revision
	// added and gone are the servers that became usable and that stopped being so since the last view.
	added map[hingeids.ServerID]bool
	gone  map[hingeids.ServerID]bool
}

// knownServer is a server with its last record.
type knownServer struct {
	server
	id          hingeids.ServerID
	incarnation hingeids.Incarnation
	service     hingeids.Service
	usable      bool
	// knownAs orders the servers by when they became known.
	knownAs uint64
	// listed is set while the server is in the list of its service.
	listed bool
}

// NewBuilder returns a Builder without routes and servers.
func NewBuilder() *Builder {
	return &Builder{
		known:    make(map[hingeids.ServerID]*knownServer),
		claims:   make(map[string][]*knownServer),
		services: make(map[hingeids.Service]*serviceServers),
		edited:   make(map[hingeids.Service]bool),
		removed:  &btree.Set[hingeids.ServerID]{},
		added:    make(map[hingeids.ServerID]bool),
		gone:     make(map[hingeids.ServerID]bool),
	}
}

// SetTable replaces the routes. Only a change of the services concerns the servers: routes change
// every few seconds, services rarely.
func (b *Builder) SetTable(t *hingeroutes.Table) {
	before := b.table
	b.table = t
	if before != nil && reflect.DeepEqual(before.Services, t.Services) {
		return
	}
	all := slices.SortedFunc(maps.Values(b.known), func(x, y *knownServer) int {
		return cmp.Compare(x.knownAs, y.knownAs)
	})
	for _, s := range all {
		if s.listed {
			s.listed = false
			b.noteGone(s)
		}
	}
	clear(b.claims)
	b.services = make(map[hingeids.Service]*serviceServers)
	clear(b.edited)
	// All engines may have changed, so the log starts anew.
	b.oldest = b.revision() + 1
	b.changes = nil
	for _, s := range all {
		b.claim(s)
	}
}

func (b *Builder) revision() Revision {
	return b.oldest + Revision(len(b.changes))
}

// Apply applies changed records, in the order in which their servers became known. It reports whether
// the next view differs from the last.
func (b *Builder) Apply(records []hingeannounce.Record) bool {
	changed := false
	for _, r := range records {
		changed = b.apply(r) || changed
	}
	return changed
}

func (b *Builder) apply(r hingeannounce.Record) bool {
	a := r.Announcement
	old := b.known[a.Server]
	next := &knownServer{
		server: server{
			address: a.Address,
			zone:    a.Zone,
			kind:    a.Kind,
			slots:   a.Slots,
		},
		id:          a.Server.WithIncarnation(a.Incarnation),
		incarnation: a.Incarnation,
		service:     a.Service,
		usable:      r.Usable(),
	}
	if old != nil && old.incarnation >= a.Incarnation {
		next.knownAs = old.knownAs
	} else {
		b.knownCount++
		next.knownAs = b.knownCount
	}
	if old != nil {
		if old.equals(next) {
			return false
		}
		b.forget(old)
	}
	b.known[a.Server] = next
	if !next.usable {
		b.removed.Insert(next.id)
	}
	b.claim(next)
	return true
}

// equals reports whether a record says the same of a server as the one before, as far as views show
// it: a server that only has another owner is unchanged.
func (s *knownServer) equals(next *knownServer) bool {
	return s.server == next.server && s.id == next.id && s.service == next.service && s.usable == next.usable
}

// Expire removes servers of which nothing was known any more. Call it before Apply, which may apply
// records of servers that became known again.
func (b *Builder) Expire(ids []hingeids.ServerID) {
	for _, id := range ids {
		if s := b.known[id]; s != nil {
			b.forget(s)
			delete(b.known, id)
		}
	}
}

// forget removes a server from all but known.
func (b *Builder) forget(s *knownServer) {
	if !s.usable {
		b.removed.Delete(s.id)
		return
	}
	list := b.claims[s.address]
	i := slices.Index(list, s)
	if i < 0 {
		return
	}
	list = slices.Delete(list, i, i+1)
	b.unlist(s)
	if len(list) == 0 {
		delete(b.claims, s.address)
		return
	}
	b.claims[s.address] = list
	b.list(list[len(list)-1])
}

// claim gives a usable server its address, unless one that became known later has it (rule 2).
func (b *Builder) claim(s *knownServer) {
	if !s.usable || !b.matchesService(s) {
		return
	}
	list := b.claims[s.address]
	i, _ := slices.BinarySearchFunc(list, s.knownAs, func(x *knownServer, at uint64) int {
		return cmp.Compare(x.knownAs, at)
	})
	if i == len(list) && i > 0 {
		b.unlist(list[i-1])
	}
	list = slices.Insert(list, i, s)
	b.claims[s.address] = list
	if i == len(list)-1 {
		b.list(s)
	}
}

// IsClaimed reports whether a usable server has an address.
func (b *Builder) IsClaimed(address string) bool {
	return len(b.claims[address]) > 0
}

// matchesService reports whether the configuration contains the announced service, with
// engines if the server is one. Without a configuration every server matches.
func (b *Builder) matchesService(s *knownServer) bool {
	if b.table == nil {
		return true
	}
	c, ok := b.table.Services[s.service]
	return ok && (c.Engine != nil) == (roleOf(s.kind) != 0)
}

// list adds a server to the usable ones of its service.
func (b *Builder) list(s *knownServer) {
	if s.listed {
		return
	}
	s.listed = true
	b.edit(s.service).list.Set(s.id, s.server)
	b.digest ^= s.digest()
	if !b.gone[s.id] {
		b.added[s.id] = true
	}
	delete(b.gone, s.id)
	b.recordChange(s)
}

func (b *Builder) unlist(s *knownServer) {
	if !s.listed {
		return
	}
	s.listed = false
	b.edit(s.service).list.Delete(s.id)
	b.noteGone(s)
	b.recordChange(s)
}

// noteGone notes that a server is no longer usable.
func (b *Builder) noteGone(s *knownServer) {
	b.digest ^= s.digest()
	if !b.added[s.id] {
		b.gone[s.id] = true
	}
	delete(b.added, s.id)
}

// digest returns the server's part of the digest of a view.
func (s *knownServer) digest() uint64 {
	return xxhash.Sum64String(string(s.id) + "/" + string(s.kind))
}

func (b *Builder) recordChange(s *knownServer) {
	if len(b.changes) == 2*maxChanges {
		// Views share the array, so that the newer half is copied.
		b.changes = slices.Clone(b.changes[maxChanges:])
		b.oldest += maxChanges
	}
	b.changes = append(b.changes, change{
		service: s.service,
		server:  s.id,
	})
}

// edit returns a service's servers for a change.
func (b *Builder) edit(name hingeids.Service) *serviceServers {
	s := b.services[name]
	if s != nil && b.edited[name] {
		return s
	}
	next := &serviceServers{}
	if s != nil {
		next.config = s.config
		next.list = s.list.Copy()
	} else {
		next.list = btree.NewMap[hingeids.ServerID, server](nodeDegree)
		if b.table != nil {
			if c, ok := b.table.Services[name]; ok {
				next.config = &c
			}
		}
	}
	b.services[name] = next
	b.edited[name] = true
	return next
}

// nodeDegree makes nodes of up to 15 servers: a change copies one node on each level.
const nodeDegree = 8

// Servers returns the servers that became usable since the last view, and those that no longer are,
// each sorted by ID. Call it before View.
func (b *Builder) Servers() (added, gone []hingeids.ServerID) {
	return slices.Sorted(maps.Keys(b.added)), slices.Sorted(maps.Keys(b.gone))
}

// View returns a view of the present state.
func (b *Builder) View() *ClusterView {
	v := &ClusterView{
		table:    b.table,
		services: maps.Clone(b.services),
		removed:  b.removed.Copy(),
		digest:   b.digest,
		changes:  b.changes,
		oldest:   b.oldest,
	}
	v.version = v.versionString()
	clear(b.edited)
	clear(b.added)
	clear(b.gone)
	return v
}
