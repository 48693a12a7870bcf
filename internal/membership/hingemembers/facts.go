package hingemembers

import (
	"cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// HostFact is the known state of one entry host.
type HostFact struct {
	Instance hingeids.Instance `cbor:"1,keyasint"`
	Version  uint32            `cbor:"2,keyasint,omitempty"`
	Suspect  bool              `cbor:"3,keyasint,omitempty"`
	Leaving  bool              `cbor:"4,keyasint,omitempty"`
	Ended    bool              `cbor:"5,keyasint,omitempty"`
}

// join merges two facts of one host. It is commutative, associative and idempotent (rules
// 1 and 2).
func join(a, b HostFact) HostFact {
	if a.Instance.Incarnation != b.Instance.Incarnation {
		if a.Instance.Incarnation > b.Instance.Incarnation {
			return a
		}
		return b
	}
	out := a
	if c := cmp.Compare(b.Version, a.Version); c > 0 || c == 0 && b.Suspect {
		out.Version, out.Suspect = b.Version, b.Suspect
	}
	out.Leaving = a.Leaving || b.Leaving
	out.Ended = a.Ended || b.Ended
	return out
}

// FailureVote is the promise of the instance By never to renew the lease of the instance
// Against (rule 8).
type FailureVote struct {
	By      hingeids.Instance `cbor:"1,keyasint"`
	Against hingeids.Instance `cbor:"2,keyasint"`
}

// RegistryEntry is the registry's entry for the newest instance of a host.
type RegistryEntry struct {
	Incarnation hingeids.Incarnation `json:"incarnation"`
	Ended       bool                 `json:"over,omitempty"`
}

// Registry is the registry of instances in the configuration log. A host that starts
// has its instance added; the leader records instances as ended.
type Registry map[hingeids.HostID]RegistryEntry

// Has reports whether an instance is in the registry and has not ended.
func (r Registry) Has(instance hingeids.Instance) bool {
	return r[instance.Host] == RegistryEntry{
		Incarnation: instance.Incarnation,
	}
}

// HasEnded reports whether an instance has ended according to the registry, which marks it
// as ended or has a newer one of the same host.
func (r Registry) HasEnded(instance hingeids.Instance) bool {
	got := r[instance.Host]
	return got.Incarnation > instance.Incarnation || got.Incarnation == instance.Incarnation && got.Ended
}
