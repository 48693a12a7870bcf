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

// localShare restricts the servers to what one entry host may use when it places locally (rule 3). With many hosts an
// equal share of every engine would be smaller than one stream, so each uses a larger share of a few engines.
type localShare struct {
	self hingeids.HostID
	view ClusterView
}

// hostsPerEngine is the number of hosts that share a decode engine when all place locally.
// The memory of a small engine holds about four streams of mean length.
const hostsPerEngine = 4

// overcommit is the factor by which a host may exceed its equal share of an engine's memory.
// Hosts rarely have their load peaks at the same time.
const overcommit = 1.2

// Engines returns all prefill engines, and the decode engines of this host with their memory reduced to its share.
func (s localShare) Engines() map[hingeids.Service][]hingefleet.Engine {
	all := s.view.Engines()
	hosts := max(s.view.EntryHosts(), 1)
	out := make(map[hingeids.Service][]hingefleet.Engine, len(all))
	for name, list := range all {
		out[name] = s.share(list, hosts)
	}
	return out
}

func (s localShare) share(list []hingefleet.Engine, hosts int) []hingefleet.Engine {
	var selected, decode []hingefleet.Engine
	for _, e := range list {
		if e.Role == hingefleet.Decode {
			decode = append(decode, e)
			continue
		}
		selected = append(selected, e)
	}
	slices.SortFunc(decode, func(a, b hingefleet.Engine) int {
		return cmp.Compare(s.rank(a), s.rank(b))
	})
	count := min(max(hostsPerEngine*len(decode)/hosts, 1), len(decode))
	for _, e := range decode[:count] {
		fraction := overcommit * float64(len(decode)) / float64(hosts*count)
		e.Memory = hingeids.Tokens(min(fraction, 1) * float64(e.Memory))
		selected = append(selected, e)
	}
	return selected
}

// rank returns the sort key of an engine, which differs between hosts.
func (s localShare) rank(e hingefleet.Engine) uint64 {
	return xxhash.Sum64String(string(s.self) + "/" + string(e.Server))
}

// Replicas returns all replicas, each with this host's share of its connection limit. The slots are zero (unknown),
// since the host doesn't see the requests of other hosts.
func (s localShare) Replicas() map[hingeids.Service][]hingebalance.Replica {
	hosts := max(s.view.EntryHosts(), 1)
	all := s.view.Replicas()
	out := make(map[hingeids.Service][]hingebalance.Replica, len(all))
	for name, list := range all {
		limited := slices.Clone(list)
		for i := range limited {
			limited[i].Slots = 0
			if limited[i].MaxConnections > 0 {
				limited[i].MaxConnections = max(limited[i].MaxConnections/hosts, minConnections)
			}
		}
		out[name] = limited
	}
	return out
}

func (s localShare) Address(id hingeids.ServerID) (string, bool) {
	return s.view.Address(id)
}

// Quota returns a customer's whole quota. The owner has already enforced this host's share of it
// (hingequota.LocalLimiter).
func (s localShare) Quota(c hingeids.CallerID) hingecustomers.Quota {
	return s.view.Quota(c)
}

func (s localShare) PoisonEntry(fingerprint hingeids.Fingerprint) hingepoison.Listed {
	return s.view.PoisonEntry(fingerprint)
}

func (s localShare) EntryHosts() int {
	return s.view.EntryHosts()
}

// IsElectedLeader returns false, since the host places only its own requests.
func (localShare) IsElectedLeader() bool {
	return false
}

// minConnections is the minimum share of a replica's connections: one request in progress and one queued behind it.
const minConnections = 2
