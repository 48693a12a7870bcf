package hingemembers

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// HostState is the state of an entry host in a View.
type HostState uint8

// The states of an entry host. Unknown means that nothing was received about it.
const (
	Unknown HostState = iota
	Alive
	Suspect
	Leaving
	Ended
)

// String returns the state's name.
func (h HostState) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "over"}[h]
}

// Host is an entry host in a View.
type Host struct {
	Instance hingeids.Instance
	Zone     hingeids.Zone
	State    HostState
}

// View is an immutable snapshot of what a host knows of all entry hosts.
type View struct {
	Self hingeids.Instance
	// Hosts are all entry hosts in the settings, this one first.
	Hosts []Host
	// LeaseUntil is when this host's instance lease ends (rule 7).
	LeaseUntil time.Time
	// Expired are the instances that may be recorded as ended (rule 8).
	Expired []hingeids.Instance
	// Registry is the registry of instances.
	Registry Registry
}

// View returns a snapshot of the state at the time now.
func (s *State) View(now time.Time) *View {
	v := &View{
		Self: s.instance,
		Hosts: []Host{{
			Instance: s.instance,
			Zone:     s.zone,
			State:    s.ownFact.state(),
		}},
		LeaseUntil: s.LeaseUntil(now),
		Expired:    s.Expired(),
		Registry:   s.registry,
	}
	for _, p := range s.peers {
		v.Hosts = append(v.Hosts, Host{
			Instance: hingeids.Instance{
				Host:        p.Host,
				Incarnation: p.fact.Instance.Incarnation,
			},
			Zone:  p.Zone,
			State: p.state(now),
		})
	}
	return v
}

func (f HostFact) state() HostState {
	switch {
	case f.Ended:
		return Ended
	case f.Suspect:
		return Suspect
	case f.Leaving:
		return Leaving
	}
	return Alive
}

// state gives this host's own recent evidence precedence over a suspicion from others.
func (p *peer) state(now time.Time) HostState {
	if !p.known {
		return Unknown
	}
	f := p.fact
	if f.Suspect && now.Sub(p.lastSeen) < p.silenceBound() {
		f.Suspect = false
	}
	return f.state()
}

// Alive returns the instances in a zone in the state Alive, possibly this host's own.
func (v *View) Alive(zone hingeids.Zone) []hingeids.Instance {
	var out []hingeids.Instance
	for _, h := range v.Hosts {
		if h.Zone == zone && h.State == Alive {
			out = append(out, h.Instance)
		}
	}
	return out
}

// Find returns a host by its ID.
func (v *View) Find(id hingeids.HostID) (Host, bool) {
	for _, h := range v.Hosts {
		if h.Instance.Host == id {
			return h, true
		}
	}
	return Host{}, false
}
