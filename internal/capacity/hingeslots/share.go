package hingeslots

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Engine is a decode engine in this host's zone.
type Engine struct {
	ID          hingeids.ServerID
	Incarnation hingeids.Incarnation
	Slots       hingeids.Slots
}

func weight(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// instanceSeed returns the first number of an instance's sequence. It is below
// half of the range, so that the sequence doesn't overflow.
func instanceSeed(instance hingeids.Instance, key string) uint64 {
	return weight(string(instance.Host), strconv.FormatUint(uint64(instance.Incarnation), 36), key) >> 1
}

// rendezvous returns the host with the highest weight under the key, or the empty
// host if there is none. When a host is removed, only the keys that it was chosen
// for move.
func rendezvous(hosts []hingeids.HostID, key ...string) hingeids.HostID {
	var best hingeids.HostID
	var bestWeight uint64
	for _, h := range hosts {
		if w := weight(append(key, string(h))...); best == "" || w > bestWeight {
			best, bestWeight = h, w
		}
	}
	return best
}

// poolSize returns the size of a host's pool: an even share of the engine's slots.
// The remainder is distributed by the hosts' weights under the engine, so that no
// host has the larger share of every engine.
func poolSize(e Engine, hosts []hingeids.HostID, h hingeids.HostID) hingeids.Slots {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b hingeids.HostID) int {
		return cmp.Compare(weight(string(e.ID), string(b)), weight(string(e.ID), string(a)))
	})
	rank := slices.Index(ranked, h)
	if rank < 0 {
		return 0
	}
	size := e.Slots / hingeids.Slots(len(hosts))
	if hingeids.Slots(rank) < e.Slots%hingeids.Slots(len(hosts)) {
		size++
	}
	return size
}

// ResponsibleHost chooses the host that is responsible for an engine. It is the
// engine's allocator if hosts are the hosts that appear alive.
func ResponsibleHost(hosts []hingeids.HostID, engine hingeids.ServerID) hingeids.HostID {
	return rendezvous(hosts, string(engine))
}
