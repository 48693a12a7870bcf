package hingeslots

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
)

// NewView returns the part of the membership view that slot allocation needs.
func NewView(members *hingemembers.View, zone hingeids.Zone) View {
	v := View{
		Recorded:   make(map[hingeids.HostID]hingeids.Incarnation),
		LeaseUntil: members.LeaseUntil,
	}
	for _, h := range members.Hosts {
		if h.Zone != zone {
			continue
		}
		if h.State == hingemembers.Alive {
			v.Alive = append(v.Alive, h.Instance.Host)
		}
		if r, ok := members.Registry[h.Instance.Host]; ok && !r.Ended {
			v.Recorded[h.Instance.Host] = r.Incarnation
		}
	}
	return v
}
