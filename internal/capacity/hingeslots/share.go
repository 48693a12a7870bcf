package hingeslots

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Engine is a decode engine of this host's zone.
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

// lifeWeight gives a number below half of all, from which a life can count.
func lifeWeight(l hingeids.Instance, key string) uint64 {
	return weight(string(l.Host), strconv.FormatUint(uint64(l.Incarnation), 36), key) >> 1
}

// rendezvous chooses the host of the highest weight under a key; the empty host
// if there is none. When a host goes, only what it was chosen for moves.
func rendezvous(hosts []hingeids.HostID, key ...string) hingeids.HostID {
	var best hingeids.HostID
	var most uint64
	for _, h := range hosts {
		if w := weight(append(key, string(h))...); best == "" || w > most {
			best, most = h, w
		}
	}
	return best
}

// share gives the size of a host's pool: an even part of the slots. The rest
// goes one each to the hosts of highest weight, so that it is not the same
// host that has more of every engine.
func share(e Engine, hosts []hingeids.HostID, h hingeids.HostID) hingeids.Slots {
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

// Responsible chooses one of the hosts to watch over an engine. It is the
// engine's granter, as long as the hosts given are those that look alive.
func Responsible(hosts []hingeids.HostID, engine hingeids.ServerID) hingeids.HostID {
	return rendezvous(hosts, string(engine))
}
