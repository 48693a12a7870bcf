package hingemembers

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// The life lease of rule 7. Its giver counts it longer by clockMargin, one part in
// so many: both clocks may be wrong in rate by a twentieth. It outlasts seven
// lost probes; a dead host's slots are idle about as long.
const (
	lifeLease   = 1500 * time.Millisecond
	clockMargin = 10
	// promiseAfter is how long after suspicion a promise is made, so that a host
	// that was slow for a moment can refute first.
	promiseAfter = 300 * time.Millisecond
)

// mayRenew reports whether this host may renew a life's lease. Rules 8 and 9.
func (s *State) mayRenew(l hingeids.Instance) bool {
	return s.record.Has(s.life) && !s.record.IsOver(l) && !s.promised(l)
}

// promised reports whether this host has promised against a life, in whichever
// life of its own.
func (s *State) promised(against hingeids.Instance) bool {
	for a := range s.against {
		if a.Against == against && a.By.Host == s.life.Host {
			return true
		}
	}
	return false
}

// promise promises against a peer's life if that is due. Rule 8.
func (s *State) promise(now time.Time, p *peer) {
	if p.silentFor(now) < 2*p.gap()+promiseAfter {
		return
	}
	if now.Sub(p.leasedAt) <= lifeLease+lifeLease/clockMargin {
		return
	}
	if p.Zone != s.zone && (!s.voter || !s.witnessed(p)) {
		return
	}
	if !s.record.Has(s.life) || s.promised(p.fact.Life) {
		return
	}
	s.takeTestimony(Testimony{
		By:      s.life,
		Against: p.fact.Life,
	})
}

// witnessed reports a testimony of a host of the peer's own zone.
func (s *State) witnessed(p *peer) bool {
	for a := range s.against {
		if a.Against == p.fact.Life && s.zoneOf(a.By.Host) == p.Zone {
			return true
		}
	}
	return false
}

func (s *State) zoneOf(h hingeids.HostID) hingeids.Zone {
	if p := s.byHost[h]; p != nil {
		return p.Zone
	}
	if h == s.life.Host {
		return s.zone
	}
	return ""
}

func (s *State) takeTestimony(a Testimony) {
	if s.against[a] || s.lifeIsPast(a.Against) {
		return
	}
	s.against[a] = true
	s.changed()
	s.spreadTestimony(a)
	for old := range s.against {
		if s.lifeIsPast(old.Against) {
			delete(s.against, old) // Bounds them: over, nobody renews it anyway.
		}
	}
}

// lifeIsPast reports a life after which the record has a newer one. One that is
// merely over keeps its testimonies, since a host whose record is behind asks.
func (s *State) lifeIsPast(l hingeids.Instance) bool {
	return s.record[l.Host].Incarnation > l.Incarnation
}

// Overdue gives the lives that do not stand, or have ended themselves, and that the
// record may show as over, if the one who records it finds the testifying lives still in the same
// record. Rule 8.
func (s *State) Overdue() []hingeids.Instance {
	var out []hingeids.Instance
	for _, p := range s.peers {
		if p.known && s.record.Has(p.fact.Life) && (p.fact.Over || s.overdue(p)) {
			out = append(out, p.fact.Life)
		}
	}
	return out
}

func (s *State) overdue(p *peer) bool {
	voters, zone := 0, false
	for a := range s.against {
		if a.Against != p.fact.Life || !s.record.Has(a.By) {
			continue
		}
		if s.isVoter(a.By.Host) {
			voters++
		}
		zone = zone || s.zoneOf(a.By.Host) == p.Zone
	}
	return zone && voters >= s.majority()
}

func (s *State) isVoter(h hingeids.HostID) bool {
	if h == s.life.Host {
		return s.voter
	}
	p := s.byHost[h]
	return p != nil && p.Voter
}

func (s *State) majority() int {
	voters := 0
	if s.voter {
		voters++
	}
	for _, p := range s.peers {
		if p.Voter {
			voters++
		}
	}
	return voters/2 + 1
}

// StandsUntil gives when this host's standing ends unless renewed. Rule 7.
func (s *State) StandsUntil(now time.Time) time.Time {
	if s.own.Over || !s.record.Has(s.life) {
		return time.Time{}
	}
	byVoters, byZone := s.byVoters(now), s.byZone(now)
	if byVoters.After(byZone) {
		return byVoters
	}
	return byZone
}

func (s *State) byVoters(now time.Time) time.Time {
	var until []time.Time
	if s.voter {
		until = append(until, now.Add(lifeLease))
	}
	for _, p := range s.peers {
		if p.Voter {
			until = append(until, p.standUntil)
		}
	}
	if len(until) == 0 {
		return time.Time{}
	}
	slices.SortFunc(until, func(a, b time.Time) int {
		return b.Compare(a)
	})
	return until[s.majority()-1]
}

// byZone asks every other host of the zone, dead ones too: whether a dead one
// has come back unknown to us can't be told while we are cut off.
func (s *State) byZone(now time.Time) time.Time {
	until := now.Add(lifeLease)
	for _, p := range s.peers {
		if p.Zone == s.zone && p.standUntil.Before(until) {
			until = p.standUntil
		}
	}
	return until
}
