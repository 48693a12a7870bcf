package hingemembers

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// instanceLease (rule 7) outlasts seven lost probes; a dead host's slots stay idle
// for about as long. The host that renewed it waits longer by one part in
// clockMarginDivisor, since the clock rates of both hosts may be wrong by a
// twentieth.
const (
	instanceLease      = 1500 * time.Millisecond
	clockMarginDivisor = 10
	// voteDelay is the time between suspicion and a failure vote, in which a host that was
	// slow for a moment can refute.
	voteDelay = 300 * time.Millisecond
)

// mayRenew reports whether this host may renew an instance's lease (rules 8 and 9).
func (s *State) mayRenew(instance hingeids.Instance) bool {
	return s.registry.Has(s.instance) && !s.registry.HasEnded(instance) && !s.hasVoted(instance)
}

// A vote by any instance of this host counts.
func (s *State) hasVoted(against hingeids.Instance) bool {
	for v := range s.votes {
		if v.Against == against && v.By.Host == s.instance.Host {
			return true
		}
	}
	return false
}

// voteIfDue casts a failure vote against a peer's instance if the conditions of rule 8
// hold.
func (s *State) voteIfDue(now time.Time, p *peer) {
	if p.silentFor(now) < 2*p.silenceBound()+voteDelay {
		return
	}
	if now.Sub(p.renewedAt) <= instanceLease+instanceLease/clockMarginDivisor {
		return
	}
	if p.Zone != s.zone && (!s.voter || !s.zoneHasVoted(p)) {
		return
	}
	if !s.registry.Has(s.instance) || s.hasVoted(p.fact.Instance) {
		return
	}
	s.mergeVote(FailureVote{
		By:      s.instance,
		Against: p.fact.Instance,
	})
}

func (s *State) zoneHasVoted(p *peer) bool {
	for v := range s.votes {
		if v.Against == p.fact.Instance && s.zoneOf(v.By.Host) == p.Zone {
			return true
		}
	}
	return false
}

func (s *State) zoneOf(h hingeids.HostID) hingeids.Zone {
	if p := s.byHost[h]; p != nil {
		return p.Zone
	}
	if h == s.instance.Host {
		return s.zone
	}
	return ""
}

func (s *State) mergeVote(v FailureVote) {
	if s.votes[v] || s.superseded(v.Against) {
		return
	}
	s.votes[v] = true
	s.markChanged()
	s.queueVote(v)
	for old := range s.votes {
		if s.superseded(old.Against) {
			delete(s.votes, old) // Bounds their number: an ended instance gets no lease anyway.
		}
	}
}

// superseded reports whether the registry has a newer instance of the host. The votes
// against an instance that has only ended are kept, since a host with an older registry
// may still request its lease.
func (s *State) superseded(instance hingeids.Instance) bool {
	return s.registry[instance.Host].Incarnation > instance.Incarnation
}

// Expired returns the instances that have expired or have ended themselves. They may be
// recorded as ended, provided that the instances that voted are still in the registry at
// that time (rule 8).
func (s *State) Expired() []hingeids.Instance {
	var out []hingeids.Instance
	for _, p := range s.peers {
		if p.known && s.registry.Has(p.fact.Instance) && (p.fact.Ended || s.hasExpired(p)) {
			out = append(out, p.fact.Instance)
		}
	}
	return out
}

func (s *State) hasExpired(p *peer) bool {
	voters, zone := 0, false
	for v := range s.votes {
		if v.Against != p.fact.Instance || !s.registry.Has(v.By) {
			continue
		}
		if s.isVoter(v.By.Host) {
			voters++
		}
		zone = zone || s.zoneOf(v.By.Host) == p.Zone
	}
	return zone && voters >= s.majority()
}

func (s *State) isVoter(h hingeids.HostID) bool {
	if h == s.instance.Host {
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

// LeaseUntil returns when this host's lease ends unless it is renewed (rule 7). It is
// zero if the host can't hold one.
func (s *State) LeaseUntil(now time.Time) time.Time {
	if s.ownFact.Ended || !s.registry.Has(s.instance) {
		return time.Time{}
	}
	byVoters, byZone := s.voterLeaseUntil(now), s.zoneLeaseUntil(now)
	if byVoters.After(byZone) {
		return byVoters
	}
	return byZone
}

func (s *State) voterLeaseUntil(now time.Time) time.Time {
	var until []time.Time
	if s.voter {
		until = append(until, now.Add(instanceLease))
	}
	for _, p := range s.peers {
		if p.Voter {
			until = append(until, p.grantedUntil)
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

// zoneLeaseUntil requires every other host of the zone, dead ones too: while this host is
// cut off, it can't know whether a dead one has restarted.
func (s *State) zoneLeaseUntil(now time.Time) time.Time {
	until := now.Add(instanceLease)
	for _, p := range s.peers {
		if p.Zone == s.zone && p.grantedUntil.Before(until) {
			until = p.grantedUntil
		}
	}
	return until
}
