package hingefollow

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// askerBits is the size of a set of askers: it tells 69 hosts to two, and 560 to two in a hundred, in 512 bytes.
const askerBits = 4096

// Askers is the set of entry hosts that ask a control host, as a bitmap by a hash of their names. Each entry host asks several control
// hosts, and for some seconds others as well when it turns from one to another: added up, their numbers say a fifth
// too much just when something fails. Sets that are joined count each host once.
type Askers []byte

// NewAskers makes an empty set.
func NewAskers() Askers {
	return make(Askers, askerBits/8)
}

// Add adds a host.
func (a Askers) Add(h hingeids.HostID) {
	bit := xxhash.Sum64String(string(h)) % askerBits
	a[bit/8] |= 1 << (bit % 8)
}

// Join adds the hosts of another set. One of another size, from another build, is passed over.
func (a Askers) Join(o Askers) {
	if len(o) != len(a) {
		return
	}
	for i, b := range o {
		a[i] |= b
	}
}

// Count is how many hosts there are: hosts that share a bit are made up for by how many bits would be shared by chance.
func (a Askers) Count() int {
	set := 0
	for _, b := range a {
		set += bits.OnesCount8(b)
	}
	free := max(askerBits-set, 1)
	return int(math.Round(-askerBits * math.Log(float64(free)/askerBits)))
}
