package hingemembers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Peer is another entry host in the settings.
type Peer struct {
	Host hingeids.HostID
	Zone hingeids.Zone
	// Voter reports that the host votes on the configuration log.
	Voter bool
}

// StateConfig holds a host's identity and peers.
type StateConfig struct {
	Instance hingeids.Instance
	Zone     hingeids.Zone
	// Voter reports that this host votes on the configuration log.
	Voter bool
	// Peers are the entry hosts; this one is ignored among them.
	Peers []Peer
	// Seed seeds the order of probes.
	Seed uint64
}

// State is the membership state of one entry host. It is not safe for concurrent use.
type State struct {
	instance hingeids.Instance
	zone     hingeids.Zone
	voter    bool
	ownFact  HostFact
	peers    []*peer
	byHost   map[hingeids.HostID]*peer
	servers  *hingeannounce.Table
	registry Registry
	// votes holds every known failure vote, own ones included.
	votes       map[FailureVote]bool
	random      *rand.Rand
	probeOrder  []*peer
	round       uint64
	sentAt      [roundHistory]time.Time
	nextRoundAt time.Time
	queue       gossipQueue
	pullState   pullState
	// highestSeen is the highest incarnation received for this host.
	highestSeen hingeids.Incarnation
	// changeCount counts the changes that require a new View.
	changeCount uint64
	selfEnded   bool
}

type peer struct {
	Peer
	known bool
	fact  HostFact
	// unansweredSince is when the oldest unanswered probe was sent, or zero.
	unansweredSince time.Time
	indirectProbeAt time.Time
	// lastSeen is when the instance was last known to be alive, directly or through
	// others.
	lastSeen  time.Time
	intervals hingeannounce.IntervalEstimator
	// grantedUntil is when the lease that this peer granted to this host ends.
	grantedUntil time.Time
	// renewedAt is when this host last renewed the peer's lease.
	renewedAt time.Time
	// Counted in a row.
	digestMismatches int
}

// NewState returns the state of a host that knows only its peers' names and zones.
func NewState(now time.Time, c StateConfig) *State {
	s := &State{
		instance:    c.Instance,
		zone:        c.Zone,
		voter:       c.Voter,
		ownFact:     HostFact{Instance: c.Instance},
		byHost:      make(map[hingeids.HostID]*peer),
		servers:     hingeannounce.NewTable(),
		votes:       make(map[FailureVote]bool),
		random:      rand.New(rand.NewPCG(c.Seed, uint64(c.Instance.Incarnation))),
		nextRoundAt: now,
		queue:       newGossipQueue(),
		highestSeen: c.Instance.Incarnation,
	}
	for _, p := range c.Peers {
		if p.Host == c.Instance.Host {
			continue
		}
		added := &peer{
			Peer: p,
		}
		s.peers = append(s.peers, added)
		s.byHost[p.Host] = added
	}
	s.queueHost(s.ownFact, true)
	return s
}

// Instance returns this host's present instance.
func (s *State) Instance() hingeids.Instance {
	return s.instance
}

// StartInstance replaces this host's instance, which was declared ended, by a new
// one. The new incarnation is higher than every one received for this host.
func (s *State) StartInstance(now time.Time) hingeids.Instance {
	s.highestSeen = max(s.highestSeen+1, hingeids.Incarnation(now.UnixNano()))
	s.instance.Incarnation = s.highestSeen
	s.ownFact = HostFact{Instance: s.instance}
	for _, p := range s.peers {
		p.grantedUntil = time.Time{}
	}
	s.markChanged()
	s.queueHost(s.ownFact, true)
	return s.instance
}

// Leave announces that this host accepts no new work, which is final for its instance.
func (s *State) Leave() {
	s.ownFact.Leaving = true
	s.markChanged()
	s.queueHost(s.ownFact, true)
}

// End announces that this instance has ended: all its work is finished or abandoned.
func (s *State) End() {
	s.ownFact.Leaving, s.ownFact.Ended, s.selfEnded = true, true, true
	s.markChanged()
	s.queueHost(s.ownFact, true)
}

// SetRegistry applies the registry of the configuration log (rule 6).
func (s *State) SetRegistry(r Registry) {
	s.registry = r
	for host, got := range r {
		s.mergeHost(HostFact{
			Instance: hingeids.Instance{
				Host:        host,
				Incarnation: got.Incarnation,
			},
			Ended: got.Ended,
		})
	}
	s.markChanged()
}

// Announce applies an announcement that a backend server sent to this host.
func (s *State) Announce(now time.Time, a hingeannounce.Announcement) hingeannounce.Outcome {
	return s.mergeServer(now, a, 0, true)
}

func (s *State) markChanged() {
	s.changeCount++
	s.queue.digestKnown = false
}

// mergeHost joins a fact with the known one, and queues the result if it is new.
func (s *State) mergeHost(f HostFact) {
	if f.Instance.Host == s.instance.Host {
		s.mergeOwn(f)
		return
	}
	p := s.byHost[f.Instance.Host]
	if p == nil {
		return // Not in this host's settings, so it has no address.
	}
	if p.known && join(p.fact, f) == p.fact {
		return
	}
	if f.Instance.Incarnation > p.fact.Instance.Incarnation {
		p.resetInstance()
	}
	p.fact = join(p.fact, f)
	p.known = true
	s.markChanged()
	s.queueHost(p.fact, false)
}

func (p *peer) resetInstance() {
	p.unansweredSince, p.lastSeen, p.renewedAt = time.Time{}, time.Time{}, time.Time{}
	p.intervals = hingeannounce.IntervalEstimator{}
}

// mergeOwn applies a fact about this host from others. A suspicion is refuted (rule 5); a
// newer incarnation, or this one marked as ended, ends the instance (rule 6).
func (s *State) mergeOwn(f HostFact) {
	s.highestSeen = max(s.highestSeen, f.Instance.Incarnation)
	if f.Instance.Incarnation > s.instance.Incarnation || f.Instance == s.instance && f.Ended && !s.ownFact.Ended {
		s.ownFact.Ended = true
		s.markChanged()
		return
	}
	if f.Instance != s.instance || !f.Suspect || f.Version < s.ownFact.Version {
		return
	}
	s.ownFact.Version = f.Version + 1
	s.markChanged()
	s.queueHost(s.ownFact, true)
}

// DeclaredEnded reports whether others have declared this host's instance ended. Its
// callers must get a final response before StartInstance is called.
func (s *State) DeclaredEnded() bool {
	if s.selfEnded {
		return false
	}
	return s.ownFact.Ended || s.highestSeen > s.instance.Incarnation || s.registry.HasEnded(s.instance)
}

func (s *State) mergeServer(
	now time.Time, a hingeannounce.Announcement, age time.Duration, direct bool,
) hingeannounce.Outcome {
	out := s.servers.Apply(now, a, age)
	if out == hingeannounce.Stale {
		return out
	}
	if out == hingeannounce.Changed {
		s.markChanged()
	}
	s.queueServer(a, out, direct)
	return out
}

// Table returns everything known (rule 11).
func (s *State) Table(now time.Time) Table {
	t := Table{
		From:    s.instance,
		Hosts:   []HostFact{s.ownFact},
		Servers: s.servers.All(now),
	}
	for _, p := range s.peers {
		if p.known {
			t.Hosts = append(t.Hosts, p.fact)
		}
	}
	for v := range s.votes {
		t.FailureVotes = append(t.FailureVotes, v)
	}
	slices.SortFunc(t.FailureVotes, compareVotes)
	return t
}

func compareVotes(a, b FailureVote) int {
	return cmp.Or(
		cmp.Compare(a.Against.Host, b.Against.Host),
		cmp.Compare(a.Against.Incarnation, b.Against.Incarnation),
		cmp.Compare(a.By.Host, b.By.Host),
		cmp.Compare(a.By.Incarnation, b.By.Incarnation),
	)
}

// MergeTable merges another host's table.
func (s *State) MergeTable(now time.Time, t Table) {
	s.pullState.synced = true
	for _, f := range t.Hosts {
		s.mergeHost(f)
	}
	for _, a := range t.FailureVotes {
		s.mergeVote(a)
	}
	for _, a := range t.Servers {
		if a.Announcement.Validate() == nil {
			s.mergeServer(now, a.Announcement, a.Age, false)
		}
	}
}
