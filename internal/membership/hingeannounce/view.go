package hingeannounce

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Server is a usable backend server in a View.
type Server struct {
	Announcement
	// LastSeen is when the server sent the announcement, by this host's clock.
	LastSeen time.Time
	// Suspect reports that heartbeats are missing: use the server only if no other is
	// available.
	Suspect bool
}

// ReportAge returns the age of the load report.
func (s Server) ReportAge(now time.Time) time.Duration {
	return now.Sub(s.LastSeen)
}

// Performs reports whether the server does work of kind k.
func (s Server) Performs(k Kind) bool {
	return s.Kind == k || s.Kind == Both && (k == Prefill || k == Decode)
}

// View is an immutable snapshot of the usable backend servers. The slices that its methods
// return are shared and must not be modified.
type View struct {
	At time.Time
	// Servers are the usable servers, neither leaving nor dead, sorted by ID.
	Servers []Server
	byModel map[modelKey][]Server
	byName  map[hingeids.Service][]Server
	byID    map[hingeids.ServerID]Server
}

type modelKey struct {
	model hingeids.Model
	kind  Kind
}

// View returns a snapshot of the table at the time now (rule 7).
func (t *Table) View(now time.Time) *View {
	v := &View{
		At:      now,
		byModel: make(map[modelKey][]Server),
		byName:  make(map[hingeids.Service][]Server),
		byID:    make(map[hingeids.ServerID]Server),
	}
	for _, e := range t.entries {
		if e.newest.Leaving || e.dead(now) {
			continue
		}
		v.Servers = append(v.Servers, Server{
			Announcement: e.newest,
			LastSeen:     e.lastSeen,
			Suspect:      e.suspect(now),
		})
	}
	slices.SortFunc(v.Servers, func(a, b Server) int {
		return cmp.Compare(a.Server, b.Server)
	})
	for _, s := range v.Servers {
		v.add(s)
	}
	return v
}

func (v *View) add(s Server) {
	v.byID[s.Server] = s
	if s.Kind == Service {
		v.byName[s.Service] = append(v.byName[s.Service], s)
		return
	}
	for _, k := range []Kind{Prefill, Decode} {
		if s.Performs(k) {
			key := modelKey{
				model: s.Model,
				kind:  k,
			}
			v.byModel[key] = append(v.byModel[key], s)
		}
	}
}

// Find returns a usable server by its ID.
func (v *View) Find(id hingeids.ServerID) (Server, bool) {
	if v == nil {
		return Server{}, false
	}
	s, ok := v.byID[id]
	return s, ok
}

// Engines returns the usable engines of a model that do work of the kind Prefill or
// Decode, in one zone, or in all zones if zone is empty.
func (v *View) Engines(zone hingeids.Zone, model hingeids.Model, kind Kind) []Server {
	if v == nil {
		return nil
	}
	return inZone(v.byModel[modelKey{model: model, kind: kind}], zone)
}

// Replicas returns the usable replicas of a plain service in one zone, or in all zones if
// zone is empty.
func (v *View) Replicas(zone hingeids.Zone, service hingeids.Service) []Server {
	if v == nil {
		return nil
	}
	return inZone(v.byName[service], zone)
}

func inZone(all []Server, zone hingeids.Zone) []Server {
	if zone == "" {
		return all
	}
	var out []Server
	for _, s := range all {
		if s.Zone == zone {
			out = append(out, s)
		}
	}
	return out
}
