package hingeconfig

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const instancesPrefix = "lives/"

func isInstancePath(p Path) bool {
	return strings.HasPrefix(string(p), instancesPrefix)
}

// EndedIncarnationPath returns the path of the document that holds a host's highest
// ended incarnation.
func EndedIncarnationPath(h hingeids.HostID) Path {
	return Path(instancesPrefix) + Path(h)
}

// InstanceEnded returns the system change that records the end of an instance and of all
// earlier ones of its host. Its ID contains the instance and the reporting host.
func InstanceEnded(instance hingeids.Instance, by hingeids.HostID, now time.Time) Change {
	document := binary.BigEndian.AppendUint64(nil, uint64(instance.Incarnation))
	return Change{
		ID: ChangeID("lifeOver." + hingeids.RequestID{
			Instance: instance,
		}.String() + "." + string(by)),
		Puts: map[Path][]byte{
			EndedIncarnationPath(instance.Host): document,
		},
		Operator: string(by),
		SentAt:   now.UnixNano(),
		System:   true,
	}
}

func decodeIncarnation(document []byte) hingeids.Incarnation {
	if len(document) != 8 {
		return 0
	}
	return hingeids.Incarnation(binary.BigEndian.Uint64(document))
}

// EndedUpTo returns the highest ended incarnation of a host, 0 if none has ended.
func (v *View) EndedUpTo(h hingeids.HostID) hingeids.Incarnation {
	return decodeIncarnation(v.Documents[EndedIncarnationPath(h)])
}
