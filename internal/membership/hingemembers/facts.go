package hingemembers

import (
	"cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// HostFact is the known state of one entry host.
type HostFact struct {
	Life    hingeids.Instance `cbor:"1,keyasint"`
	Version uint32            `cbor:"2,keyasint,omitempty"`
	Suspect bool              `cbor:"3,keyasint,omitempty"`
	Leaving bool              `cbor:"4,keyasint,omitempty"`
	Over    bool              `cbor:"5,keyasint,omitempty"`
}

// join merges two facts of one host. It is commutative, associative and idempotent (rules
// 1 and 2).
func join(a, b HostFact) HostFact {
	if a.Life.Incarnation != b.Life.Incarnation {
		if a.Life.Incarnation > b.Life.Incarnation {
			return a
		}
		return b
	}
	out := a
	if c := cmp.Compare(b.Version, a.Version); c > 0 || c == 0 && b.Suspect {
		out.Version, out.Suspect = b.Version, b.Suspect
	}
	out.Leaving = a.Leaving || b.Leaving
	out.Over = a.Over || b.Over
	return out
}

// Testimony is a failure vote: the instance By has promised never to renew the lease of
// the instance Against.
type Testimony struct {
	By      hingeids.Instance `cbor:"1,keyasint"`
	Against hingeids.Instance `cbor:"2,keyasint"`
}

// Recorded is the registry's entry for the newest instance of a host.
type Recorded struct {
	Incarnation hingeids.Incarnation `json:"incarnation"`
	Over        bool                 `json:"over,omitempty"`
}

// Record is the registry of instances in the configuration log. A host that starts has its
// instance added; the leader records instances as ended.
type Record map[hingeids.HostID]Recorded

// Has reports whether an instance is in the registry and has not ended.
func (r Record) Has(l hingeids.Instance) bool {
	return r[l.Host] == Recorded{
		Incarnation: l.Incarnation,
	}
}

// IsOver reports whether an instance has ended according to the registry, which marks it
// as ended or has a newer one of the same host.
func (r Record) IsOver(l hingeids.Instance) bool {
	got := r[l.Host]
	return got.Incarnation > l.Incarnation || got.Incarnation == l.Incarnation && got.Over
}
