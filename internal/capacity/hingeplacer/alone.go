package hingeplacer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

// ownShare gives the engines, with the share of their memory, that one host may fill alone
// (rule 3). With many hosts a share of every engine would be less than one stream, so each host
// keeps to a few engines, drawn by lot, of which it has a part that is worth having.
type ownShare struct {
	self   hingeids.HostID
	fleets Fleets
}

// hostsPerEngine is how many lone hosts share an engine: four streams of the mean
// length fit into the memory of the smallest engines of today.
const hostsPerEngine = 4

// ownLimit is how full an engine is made by a host that places alone, as a share of its
// share: the others' bursts don't add up to more.
const ownLimit = 1.2

func (s ownShare) Engines() map[hingeids.Service][]hingefleet.Engine {
	all := s.fleets.Engines()
	hosts := max(s.fleets.Entries(), 1)
	out := make(map[hingeids.Service][]hingefleet.Engine, len(all))
	for name, list := range all {
		out[name] = s.share(list, hosts)
	}
	return out
}

func (s ownShare) share(list []hingefleet.Engine, hosts int) []hingefleet.Engine {
	var mine, decode []hingefleet.Engine
	for _, e := range list {
		if e.Role == hingefleet.Decode {
			decode = append(decode, e)
			continue
		}
		mine = append(mine, e)
	}
	slices.SortFunc(decode, func(a, b hingefleet.Engine) int {
		return cmp.Compare(s.lot(a), s.lot(b))
	})
	few := min(max(hostsPerEngine*len(decode)/hosts, 1), len(decode))
	for _, e := range decode[:few] {
		part := ownLimit * float64(len(decode)) / float64(hosts*few)
		e.Memory = hingeids.Tokens(min(part, 1) * float64(e.Memory))
		mine = append(mine, e)
	}
	return mine
}

// lot orders engines differently for each host.
func (s ownShare) lot(e hingefleet.Engine) uint64 {
	return xxhash.Sum64String(string(s.self) + "/" + string(e.Server))
}

// Replicas gives all replicas, with the requests that one host may have at each: its part of the connections that a
// replica takes from all, or a host that hears nobody would fill a silent one up for the others. How
// many slots of a replica are free isn't known alone.
func (s ownShare) Replicas() map[hingeids.Service][]hingebalance.Replica {
	hosts := max(s.fleets.Entries(), 1)
	all := s.fleets.Replicas()
	out := make(map[hingeids.Service][]hingebalance.Replica, len(all))
	for name, list := range all {
		mine := slices.Clone(list)
		for i := range mine {
			mine[i].Slots = 0
			if mine[i].MaxConnections > 0 {
				mine[i].MaxConnections = max(mine[i].MaxConnections/hosts, leastConnections)
			}
		}
		out[name] = mine
	}
	return out
}

// Address gives the address of a server, if it is known.
func (s ownShare) Address(id hingeids.ServerID) (string, bool) {
	return s.fleets.Address(id)
}

// Quota gives a customer's quota. What of it this host may give out alone is decided before it places (hingequota.Lone).
func (s ownShare) Quota(c hingeids.CallerID) hingecustomers.Quota {
	return s.fleets.Quota(c)
}

// Poison gives what the list says of a request.
func (s ownShare) Poison(p hingeids.Fingerprint) hingepoison.Listed {
	return s.fleets.Poison(p)
}

// Entries is how many entry hosts there are.
func (s ownShare) Entries() int {
	return s.fleets.Entries()
}

// Leads is false: the host places for itself.
func (ownShare) Leads() bool {
	return false
}

// leastConnections lets every host have a request at a replica and another behind it, however many
// hosts there are.
const leastConnections = 2
