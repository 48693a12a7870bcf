package hingemembers

import (
	"cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// HostFact is what is known of one entry host.
type HostFact struct {
	Life    hingeids.Instance `cbor:"1,keyasint"`
	Version uint32            `cbor:"2,keyasint,omitempty"`
	Suspect bool              `cbor:"3,keyasint,omitempty"`
	Leaving bool              `cbor:"4,keyasint,omitempty"`
	Over    bool              `cbor:"5,keyasint,omitempty"`
}

// join joins two facts of one host. It is commutative, associative and
// idempotent. Rules 1 and 2.
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

// Testimony says that the life By has promised not to renew the life Against.
type Testimony struct {
	By      hingeids.Instance `cbor:"1,keyasint"`
	Against hingeids.Instance `cbor:"2,keyasint"`
}

// Recorded is what the configuration log says of a host's newest life.
type Recorded struct {
	Incarnation hingeids.Incarnation `json:"incarnation"`
	Over        bool                 `json:"over,omitempty"`
}

// Record is what the configuration log says of the entry hosts' lives. A host
// that starts has its life recorded; the leader records lives that are over.
type Record map[hingeids.HostID]Recorded

// Has reports whether a life is in the record and not over.
func (r Record) Has(l hingeids.Instance) bool {
	return r[l.Host] == Recorded{
		Incarnation: l.Incarnation,
	}
}

// IsOver reports whether the record shows that a life is over: it says so, or
// it has a newer one of the same host.
func (r Record) IsOver(l hingeids.Instance) bool {
	got := r[l.Host]
	return got.Incarnation > l.Incarnation || got.Incarnation == l.Incarnation && got.Over
}
