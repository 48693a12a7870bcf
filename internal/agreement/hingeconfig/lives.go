package hingeconfig

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const livesPrefix = "lives/"

func isLife(p Path) bool {
	return strings.HasPrefix(string(p), livesPrefix)
}

// LifePath is where it stands up to which incarnation a host's lives are over.
func LifePath(h hingeids.HostID) Path {
	return Path(livesPrefix) + Path(h)
}

// LifeOver is the fact that a life, and all before it, are over. The same fact
// has the same id whoever reports it.
func LifeOver(l hingeids.Instance, by hingeids.HostID, now time.Time) Change {
	number := binary.BigEndian.AppendUint64(nil, uint64(l.Incarnation))
	return Change{
		ID: ChangeID("lifeOver." + hingeids.RequestID{
			Instance: l,
		}.String() + "." + string(by)),
		Puts: map[Path][]byte{
			LifePath(l.Host): number,
		},
		Operator: string(by),
		SentAt:   now.UnixNano(),
		Fact:     true,
	}
}

func incarnation(document []byte) hingeids.Incarnation {
	if len(document) != 8 {
		return 0
	}
	return hingeids.Incarnation(binary.BigEndian.Uint64(document))
}

// OverUpTo gives the highest incarnation of a host that is known to be over.
func (v *View) OverUpTo(h hingeids.HostID) hingeids.Incarnation {
	return incarnation(v.Documents[LifePath(h)])
}
