package hingeslots

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
)

// NewView returns the part of the membership view that slot allocation needs.
func NewView(m *hingemembers.View, zone hingeids.Zone) View {
	v := View{
		Recorded:   make(map[hingeids.HostID]hingeids.Incarnation),
		LeaseUntil: m.LeaseUntil,
	}
	for _, h := range m.Hosts {
		if h.Zone != zone {
			continue
		}
		if h.State == hingemembers.Alive {
			v.Alive = append(v.Alive, h.Instance.Host)
		}
		if r, ok := m.Registry[h.Instance.Host]; ok && !r.Ended {
			v.Recorded[h.Instance.Host] = r.Incarnation
		}
	}
	return v
}
