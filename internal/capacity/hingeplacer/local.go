package hingeplacer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

// localShare restricts the servers to what one entry host may use when it places locally (rule 3). With many hosts an
// equal share of every engine would be smaller than one stream, so each uses a larger share of a few engines.
type localShare struct {
	self hingeids.HostID
	view ClusterView
	// replicas has the last result for each service. Only the loop of the local placer uses it.
	replicas map[hingeids.Service]localReplicas
}

// hostsPerEngine is the number of hosts that share a decode engine when all place locally.
// The memory of a small engine holds about four streams of mean length.
const hostsPerEngine = 4

// overcommit is the factor by which a host may exceed its equal share of an engine's memory.
// Hosts rarely have their load peaks at the same time.
const overcommit = 1.2

// EngineFeed returns a feed of all prefill engines, and of the decode engines of this host with their memory reduced
// to its share.
func (s localShare) EngineFeed(name hingeids.Service) EngineFeed {
	return &localFeed{
		share:   s,
		feed:    s.view.EngineFeed(name),
		engines: make(map[hingeids.ServerID]rankedEngine),
	}
}

// localFeed makes the list of localShare anew when the engines or the number of hosts have changed.
type localFeed struct {
	share   localShare
	feed    EngineFeed
	engines map[hingeids.ServerID]rankedEngine
	hosts   int
}

// rankedEngine is an engine with its rank at this host.
type rankedEngine struct {
	hingefleet.Engine
	rank uint64
}

// Next returns the whole list if it has changed.
func (l *localFeed) Next() hingefleet.EngineChanges {
	c := l.feed.Next()
	hosts := max(l.share.view.EntryHosts(), 1)
	if !c.Complete && len(c.Changed) == 0 && len(c.Removed) == 0 && hosts == l.hosts {
		return hingefleet.EngineChanges{}
	}
	l.hosts = hosts
	if c.Complete {
		clear(l.engines)
	}
	for _, id := range c.Removed {
		delete(l.engines, id)
	}
	for _, e := range c.Changed {
		l.engines[e.Server] = rankedEngine{
			Engine: e,
			rank:   l.share.rank(e.Server),
		}
	}
	return hingefleet.EngineChanges{
		Complete: true,
		Changed:  shareOf(l.engines, hosts),
	}
}

// shareOf returns the engines that one of a number of hosts uses, sorted by ID.
func shareOf(engines map[hingeids.ServerID]rankedEngine, hosts int) []hingefleet.Engine {
	var selected []hingefleet.Engine
	var decode []rankedEngine
	for _, e := range engines {
		if e.Role == hingefleet.Decode {
			decode = append(decode, e)
			continue
		}
		selected = append(selected, e.Engine)
	}
	slices.SortFunc(decode, func(a, b rankedEngine) int {
		return cmp.Compare(a.rank, b.rank)
	})
	count := min(max(hostsPerEngine*len(decode)/hosts, 1), len(decode))
	for _, e := range decode[:count] {
		fraction := overcommit * float64(len(decode)) / float64(hosts*count)
		e.Memory = hingeids.Tokens(min(fraction, 1) * float64(e.Memory))
		selected = append(selected, e.Engine)
	}
	slices.SortFunc(selected, func(a, b hingefleet.Engine) int {
		return cmp.Compare(a.Server, b.Server)
	})
	return selected
}

// rank returns the sort key of a server, which differs between hosts.
func (s localShare) rank(id hingeids.ServerID) uint64 {
	return xxhash.Sum64String(string(s.self) + "/" + string(id))
}

// Replicas returns the replicas that this host uses, each with its share of the replica's connection limit.
func (s localShare) Replicas(name hingeids.Service) []hingebalance.Replica {
	hosts := max(s.view.EntryHosts(), 1)
	all := s.view.Replicas(name)
	if cached := s.replicas[name]; cached.hosts == hosts && hingebalance.SameList(cached.all, all) {
		return cached.limited
	}
	limited := s.shareOfReplicas(all, hosts)
	s.replicas[name] = localReplicas{
		all:     all,
		hosts:   hosts,
		limited: limited,
	}
	return limited
}

// shareOfReplicas returns the replicas that one of a number of hosts uses. The slots are zero (unknown), since the host
// doesn't see the requests of other hosts. A replica with fewer than minConnections for each host is used by some
// hosts only. If that leaves hosts without any replica, each host uses the ones that rank first, with fewer connections.
func (s localShare) shareOfReplicas(all []hingebalance.Replica, hosts int) []hingebalance.Replica {
	if limit := leastLimit(all); hostsWithout(limit, len(all), hosts) >= 1 {
		return s.firstReplicas(all, limit, hosts)
	}
	var used []hingebalance.Replica
	for _, r := range all {
		if float64(s.rank(r.Server)) > shareOfHosts(r.MaxConnections, hosts)*math.MaxUint64 {
			continue
		}
		used = append(used, limitedTo(r, max(r.MaxConnections/hosts, minConnections)))
	}
	if len(used) == 0 {
		return s.firstReplicas(all, 1, hosts)
	}
	return used
}

// equalConnections returns how many connections this host may have if the given number of hosts share a replica, at
// least one. The mean over all hosts is fractional: the next higher number is for a part of them.
func (s localShare) equalConnections(limit int, hosts float64) int {
	deviation := hostDeviations * math.Sqrt(hosts)
	most := math.Ceil(float64(limit) / (hosts + deviation))
	mean := max((float64(limit)-most*deviation)/hosts, most-1, 1)
	whole, part := math.Modf(mean)
	if float64(s.rank("")) < part*math.MaxUint64 {
		whole++
	}
	return int(whole)
}

// firstReplicas returns the replicas that rank first at this host, with an equal part of their connections.
func (s localShare) firstReplicas(all []hingebalance.Replica, limit, hosts int) []hingebalance.Replica {
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b hingebalance.Replica) int {
		return cmp.Compare(s.rank(a.Server), s.rank(b.Server))
	})
	connections := s.equalConnections(limit, float64(hosts)/float64(max(len(all), 1)))
	count := min(connections, len(ranked))
	used := ranked[:count]
	for i, r := range used {
		used[i] = limitedTo(r, connections/count)
	}
	return used
}

// limitedTo returns a replica with this host's part of its connections, if it limits them.
func limitedTo(r hingebalance.Replica, connections int) hingebalance.Replica {
	r.Slots = 0
	if r.MaxConnections > 0 {
		r.MaxConnections = connections
	}
	return r
}

// leastLimit returns the lowest connection limit of the replicas, zero if none has one.
func leastLimit(all []hingebalance.Replica) int {
	least := 0
	for _, r := range all {
		if r.MaxConnections > 0 && (least == 0 || r.MaxConnections < least) {
			least = r.MaxConnections
		}
	}
	return least
}

// hostsWithout returns how many hosts are expected to have none of a number of replicas with a connection limit.
func hostsWithout(limit, replicas, hosts int) float64 {
	return float64(hosts) * math.Pow(1-shareOfHosts(limit, hosts), float64(replicas))
}

// hostDeviations is the margin, in standard deviations, for the number of hosts that use a replica of which each host's
// part would be less than minConnections: each host decides for itself by a hash.
const hostDeviations = 4

// shareOfHosts returns the share of the hosts that use a replica with a connection limit. The expected number of hosts is
// hostDeviations below the number that the limit allows.
func shareOfHosts(limit, hosts int) float64 {
	if limit == 0 || hosts*minConnections <= limit {
		return 1
	}
	most := float64(limit) / minConnections
	mean := math.Pow(math.Sqrt(most+hostDeviations*hostDeviations/4)-hostDeviations/2, 2)
	return mean / float64(hosts)
}

// localReplicas is the result of localShare.Replicas for a list and a number of hosts.
type localReplicas struct {
	all     []hingebalance.Replica
	hosts   int
	limited []hingebalance.Replica
}

// ServerCount returns the number of servers of a service.
func (s localShare) ServerCount(name hingeids.Service) int {
	return s.view.ServerCount(name)
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

// limitPart returns the part of the servers' rate limits for a host that places locally, beside all others.
func (s localShare) limitPart() hingenotice.Part {
	return hingenotice.Part{
		Hosts: max(s.view.EntryHosts(), 1),
		Host:  s.self,
	}
}

// IsElectedLeader returns false, since the host places only its own requests.
func (localShare) IsElectedLeader() bool {
	return false
}

// minConnections is the minimum share of a replica's connections: one request in progress and one queued behind it.
const minConnections = 2
