package hingefollow

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// followerSetBits is the size of the bitmap. In 512 bytes it counts 69 hosts to
// within two, and 560 to within two percent.
const followerSetBits = 4096

// FollowerSet is the set of entry hosts that follow a control host: a bitmap indexed
// by a hash of the host name (linear counting). A union of the sets counts each entry
// host once, although each follows several control hosts.
type FollowerSet []byte

// NewFollowerSet returns an empty set.
func NewFollowerSet() FollowerSet {
	return make(FollowerSet, followerSetBits/8)
}

// Add adds an entry host to the set.
func (s FollowerSet) Add(h hingeids.HostID) {
	bit := xxhash.Sum64String(string(h)) % followerSetBits
	s[bit/8] |= 1 << (bit % 8)
}

// Join adds all hosts of another set. It ignores a set of another size, which comes
// from a different build.
func (s FollowerSet) Join(o FollowerSet) {
	if len(o) != len(s) {
		return
	}
	for i, b := range o {
		s[i] |= b
	}
}

// Count estimates the number of hosts in the set. It corrects for hosts whose hashes
// share a bit.
func (s FollowerSet) Count() int {
	set := 0
	for _, b := range s {
		set += bits.OnesCount8(b)
	}
	zeroBits := max(followerSetBits-set, 1)
	return int(math.Round(-followerSetBits * math.Log(float64(zeroBits)/followerSetBits)))
}
