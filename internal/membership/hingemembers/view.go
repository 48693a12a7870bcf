package hingemembers

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// HostState is how an entry host looks from here.
type HostState uint8

// The states of an entry host. Unknown was never heard of.
const (
	Unknown HostState = iota
	Alive
	Suspect
	Leaving
	Over
)

// String names the state.
func (h HostState) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "over"}[h]
}

// Host is an entry host as it looks from here.
type Host struct {
	Life  hingeids.Instance
	Zone  hingeids.Zone
	State HostState
}

// View is what a host knew of all entry hosts at one time. Nobody changes it.
type View struct {
	Self hingeids.Instance
	// Hosts are all entry hosts of the settings, this one first.
	Hosts []Host
	// StandsUntil is when this host's life lease ends; rule 7.
	StandsUntil time.Time
	// Overdue are lives that the record may show as over; rule 8.
	Overdue []hingeids.Instance
	// Record is what the configuration log says of lives.
	Record Record
}

// View makes the View of the present time.
func (s *State) View(now time.Time) *View {
	v := &View{
		Self: s.life,
		Hosts: []Host{{
			Life:  s.life,
			Zone:  s.zone,
			State: s.own.state(),
		}},
		StandsUntil: s.StandsUntil(now),
		Overdue:     s.Overdue(),
		Record:      s.record,
	}
	for _, p := range s.peers {
		v.Hosts = append(v.Hosts, Host{
			Life: hingeids.Instance{
				Host:        p.Host,
				Incarnation: p.fact.Life.Incarnation,
			},
			Zone:  p.Zone,
			State: p.state(now),
		})
	}
	return v
}

func (f HostFact) state() HostState {
	switch {
	case f.Over:
		return Over
	case f.Suspect:
		return Suspect
	case f.Leaving:
		return Leaving
	}
	return Alive
}

// state prefers own fresh evidence to another's suspicion.
func (p *peer) state(now time.Time) HostState {
	if !p.known {
		return Unknown
	}
	f := p.fact
	if f.Suspect && now.Sub(p.evidence) < p.gap() {
		f.Suspect = false
	}
	return f.state()
}

// Alive gives the lives in a zone that look alive, this host's own if it is.
func (v *View) Alive(zone hingeids.Zone) []hingeids.Instance {
	var out []hingeids.Instance
	for _, h := range v.Hosts {
		if h.Zone == zone && h.State == Alive {
			out = append(out, h.Life)
		}
	}
	return out
}

// Find gives a host by its name.
func (v *View) Find(id hingeids.HostID) (Host, bool) {
	for _, h := range v.Hosts {
		if h.Life.Host == id {
			return h, true
		}
	}
	return Host{}, false
}
