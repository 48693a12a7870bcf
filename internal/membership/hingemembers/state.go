package hingemembers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Peer is another entry host, from the settings.
type Peer struct {
	Host hingeids.HostID
	Zone hingeids.Zone
	// Voter says that the host votes on the configuration log.
	Voter bool
}

// StateConfig says who a State is.
type StateConfig struct {
	Life hingeids.Instance
	Zone hingeids.Zone
	// Voter says that this host votes on the configuration log.
	Voter bool
	// Peers are the other entry hosts.
	Peers []Peer
	// Seed sets the order of probes.
	Seed uint64
}

// State is what one entry host knows and owes. It is not safe for concurrent use.
type State struct {
	life    hingeids.Instance
	zone    hingeids.Zone
	voter   bool
	own     HostFact
	peers   []*peer
	byHost  map[hingeids.HostID]*peer
	servers *hingeannounce.Table
	record  Record
	// against holds every testimony known; own promises are among them.
	against map[Testimony]bool
	random  *rand.Rand
	order   []*peer
	round   uint64
	sentAt  [sentRounds]time.Time
	nextAt  time.Time
	queue   spreadQueue
	pulls   pulls
	// seen is the highest incarnation heard of for this host.
	seen hingeids.Incarnation
	// changes counts what a View has to show anew.
	changes uint64
	// ended says that this host itself ended its life.
	ended bool
}

type peer struct {
	Peer
	known bool
	fact  HostFact
	// waitingSince is when the oldest probe without an answer was sent, zero if none.
	waitingSince time.Time
	askedAt      time.Time
	// evidence is when the life was last heard from, directly or through others.
	evidence time.Time
	gaps     hingeannounce.Gaps
	// standUntil is when the life lease that this peer gave us ends.
	standUntil time.Time
	// leasedAt is when we last renewed this peer's life lease.
	leasedAt time.Time
	// differs counts datagrams in a row whose digest differed from ours.
	differs int
}

// NewState makes the state of a host that knows nothing yet.
func NewState(now time.Time, c StateConfig) *State {
	s := &State{
		life:    c.Life,
		zone:    c.Zone,
		voter:   c.Voter,
		own:     HostFact{Life: c.Life},
		byHost:  make(map[hingeids.HostID]*peer),
		servers: hingeannounce.NewTable(),
		against: make(map[Testimony]bool),
		random:  rand.New(rand.NewPCG(c.Seed, uint64(c.Life.Incarnation))),
		nextAt:  now,
		queue:   newSpreadQueue(),
		seen:    c.Life.Incarnation,
	}
	for _, p := range c.Peers {
		if p.Host == c.Life.Host {
			continue
		}
		added := &peer{
			Peer: p,
		}
		s.peers = append(s.peers, added)
		s.byHost[p.Host] = added
	}
	s.spreadHost(s.own, true)
	return s
}

// Life gives the life that this host leads now.
func (s *State) Life() hingeids.Instance {
	return s.life
}

// NewLife ends this host's life and begins another, after the old one was
// found to be over. The new incarnation is above every one heard of.
func (s *State) NewLife(now time.Time) hingeids.Instance {
	s.seen = max(s.seen+1, hingeids.Incarnation(now.UnixNano()))
	s.life.Incarnation = s.seen
	s.own = HostFact{Life: s.life}
	for _, p := range s.peers {
		p.standUntil = time.Time{}
	}
	s.changed()
	s.spreadHost(s.own, true)
	return s.life
}

// Leave says that this host takes no new work. It is final for this life.
func (s *State) Leave() {
	s.own.Leaving = true
	s.changed()
	s.spreadHost(s.own, true)
}

// End says that this host's life is over: all its work is done or given up.
func (s *State) End() {
	s.own.Leaving, s.own.Over, s.ended = true, true, true
	s.changed()
	s.spreadHost(s.own, true)
}

// SetRecord takes what the configuration log says of lives. Rule 6.
func (s *State) SetRecord(r Record) {
	s.record = r
	for host, got := range r {
		s.takeHost(HostFact{
			Life: hingeids.Instance{
				Host:        host,
				Incarnation: got.Incarnation,
			},
			Over: got.Over,
		})
	}
	s.changed()
}

// Announce takes an announcement from the backend server itself.
func (s *State) Announce(now time.Time, a hingeannounce.Announcement) hingeannounce.Outcome {
	return s.takeServer(now, a, 0, true)
}

func (s *State) changed() {
	s.changes++
	s.queue.digestKnown = false
}

// takeHost joins a fact with what is known and passes on what is new.
func (s *State) takeHost(f HostFact) {
	if f.Life.Host == s.life.Host {
		s.takeOwn(f)
		return
	}
	p := s.byHost[f.Life.Host]
	if p == nil {
		return // Not in this host's settings: nothing could be sent to it.
	}
	if p.known && join(p.fact, f) == p.fact {
		return
	}
	if f.Life.Incarnation > p.fact.Life.Incarnation {
		p.begin()
	}
	p.fact = join(p.fact, f)
	p.known = true
	s.changed()
	s.spreadHost(p.fact, false)
}

// begin forgets what was true of an earlier life of the peer only.
func (p *peer) begin() {
	p.waitingSince, p.evidence, p.leasedAt = time.Time{}, time.Time{}, time.Time{}
	p.gaps = hingeannounce.Gaps{}
}

// takeOwn takes what others say of this host. Rule 5, and rule 6: a newer
// incarnation of this host, or one said to be over, ends this life.
func (s *State) takeOwn(f HostFact) {
	s.seen = max(s.seen, f.Life.Incarnation)
	if f.Life.Incarnation > s.life.Incarnation || f.Life == s.life && f.Over && !s.own.Over {
		s.own.Over = true
		s.changed()
		return
	}
	if f.Life != s.life || !f.Suspect || f.Version < s.own.Version {
		return
	}
	s.own.Version = f.Version + 1
	s.changed()
	s.spreadHost(s.own, true)
}

// DeclaredOver reports that this host's life is over although it did not end
// it: its callers must be answered finally, then NewLife begins another.
func (s *State) DeclaredOver() bool {
	if s.ended {
		return false
	}
	return s.own.Over || s.seen > s.life.Incarnation || s.record.IsOver(s.life)
}

func (s *State) takeServer(
	now time.Time, a hingeannounce.Announcement, age time.Duration, direct bool,
) hingeannounce.Outcome {
	out := s.servers.Take(now, a, age)
	if out == hingeannounce.Old {
		return out
	}
	if out == hingeannounce.Changed {
		s.changed()
	}
	s.spreadServer(a, out, direct)
	return out
}

// Table gives everything known. Rule 11.
func (s *State) Table(now time.Time) Table {
	t := Table{
		From:    s.life,
		Hosts:   []HostFact{s.own},
		Servers: s.servers.All(now),
	}
	for _, p := range s.peers {
		if p.known {
			t.Hosts = append(t.Hosts, p.fact)
		}
	}
	for a := range s.against {
		t.Against = append(t.Against, a)
	}
	slices.SortFunc(t.Against, compareTestimonies)
	return t
}

func compareTestimonies(a, b Testimony) int {
	return cmp.Or(
		cmp.Compare(a.Against.Host, b.Against.Host),
		cmp.Compare(a.Against.Incarnation, b.Against.Incarnation),
		cmp.Compare(a.By.Host, b.By.Host),
		cmp.Compare(a.By.Incarnation, b.By.Incarnation),
	)
}

// TakeTable joins another host's table with what is known.
func (s *State) TakeTable(now time.Time, t Table) {
	s.pulls.have = true
	for _, f := range t.Hosts {
		s.takeHost(f)
	}
	for _, a := range t.Against {
		s.takeTestimony(a)
	}
	for _, a := range t.Servers {
		if a.Announcement.Check() == nil {
			s.takeServer(now, a.Announcement, a.Age, false)
		}
	}
}
