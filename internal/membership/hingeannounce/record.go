package hingeannounce

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Record is the state of one backend server, as the hosts that receive announcements send
// it to each other and to their followers.
type Record struct {
	Announcement Announcement `cbor:"1,keyasint"`
	// Owner is the host that receives the server's heartbeats.
	Owner hingeids.HostID `cbor:"2,keyasint"`
	// Silent reports that the owner has missed heartbeats.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// Usable reports whether the server may be sent work.
func (r Record) Usable() bool {
	return !r.Announcement.Leaving && !r.Silent
}

// compare orders the records of one server (rule 10): positive if r replaces o.
func (r Record) compare(o Record) int {
	switch {
	case Newer(r.Announcement, o.Announcement):
		return 1
	case Newer(o.Announcement, r.Announcement):
		return -1
	case r.Owner != o.Owner:
		return cmp.Compare(r.Owner, o.Owner)
	case r.Silent == o.Silent:
		return 0
	case r.Silent:
		return 1
	}
	return -1
}

// saysAs reports whether two records differ at most in their report.
func (r Record) saysAs(o Record) bool {
	return sameServer(r.Announcement, o.Announcement) && r.Owner == o.Owner && r.Silent == o.Silent
}

// Digest identifies a record: all that is propagated of a server. Two records with the same digest differ at most in
// the load.
type Digest uint64

// Digest returns the digest of the record.
func (r Record) Digest() Digest {
	a := r.Announcement
	h := xxhash.New()
	for _, s := range []string{
		string(a.Server), string(a.Kind), string(a.Zone), a.Address, string(a.Model), string(a.Service), string(r.Owner),
	} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	var flags byte
	for i, set := range []bool{a.ChecksFence, a.Leaving, r.Silent} {
		if set {
			flags |= 1 << i
		}
	}
	b := binary.LittleEndian.AppendUint64([]byte{flags}, uint64(a.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, a.Sequence)
	b = binary.LittleEndian.AppendUint64(b, uint64(a.Slots))
	_, _ = h.Write(b)
	return Digest(h.Sum64())
}

// Change is a changed record.
type Change struct {
	Record Record
	Digest Digest
	// Local is set if this host made the change, and not another that sent the record.
	Local bool
}

// Contradicted are the records of other hosts that this host's own records won against.
type Contradicted struct {
	Count int64
	// Server and Owner are those of the last such record.
	Server hingeids.ServerID
	Owner  hingeids.HostID
}

// leavingAs reports whether incarnation i has announced that it leaves (rule 3).
func (r Record) leavingAs(i hingeids.Incarnation) bool {
	return r.Announcement.Leaving && r.Announcement.Incarnation == i
}
