package hingefollow

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Standing is what a control host knows of the group that agrees on the configuration.
type Standing struct {
	Leader  hingeids.HostID
	Term    uint64
	Members []hingeids.HostID
	// InTouch says that a leader is heard.
	InTouch bool
	// Zone is the host's own.
	Zone hingeids.Zone
}

// Origin is what a control host knows itself.
type Origin interface {
	// Documents is where each accepted configuration is published.
	Documents() *hingeboard.Cell[hingeversion.Document]
	// Poisons is where the list of the requests that end servers is published.
	Poisons() *hingeboard.Cell[hingepoison.List]
	// Read waits until the newest document is no older than any accepted before the call.
	Read(ctx context.Context) error
	Standing() Standing
}

// Peers is what a control host knows of the others.
type Peers interface {
	// ZoneOf gives the zone of a control host, empty if it isn't known.
	ZoneOf(h hingeids.HostID) hingeids.Zone
	// Askers gives the entry hosts that ask each of the others.
	Askers() []Askers
}

// Source answers followers, and holds the directory of a control host.
type Source struct {
	life   hingeids.Incarnation
	origin Origin
	clock  func() time.Time
	peers  Peers

	mu        sync.Mutex
	directory *hingeannounce.Directory
	changed   chan struct{}
	entries   map[hingeids.HostID]time.Time
	// shared are the answers of the last moment (rule 7).
	shared map[known]shared
}

// known is all that an answer to a question depends on within a moment.
type known struct {
	since   uint64
	change  uint64
	held    hingeversion.Version
	version hingeversion.Version
	poisons uint64
	listed  uint64
	leader  hingeids.HostID
	term    uint64
	brief   bool
	inTouch bool
	fresh   bool
	entry   bool
}

// shared is an answer as it travels.
type shared struct {
	body []byte
	at   time.Time
}

// NewSource makes the source of a control host and sets its handler.
func NewSource(
	life hingeids.Instance, o Origin, p Peers, clock func() time.Time, link hingelink.Link,
) *Source {
	s := &Source{
		peers:     p,
		life:      life.Incarnation,
		origin:    o,
		clock:     clock,
		directory: hingeannounce.NewDirectory(life.Host),
		changed:   make(chan struct{}),
		entries:   make(map[hingeids.HostID]time.Time),
		shared:    make(map[known]shared),
	}
	link.HandleCall(methodFollow, s.follow)
	return s
}

// Hear takes an announcement that a backend server made here.
func (s *Source) Hear(now time.Time, a hingeannounce.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.directory.Receive(now, a)
	s.told(changed)
	return changed
}

// Leave takes a backend server's word that it leaves, in an incarnation that is zero if it doesn't say it.
func (s *Source) Leave(now time.Time, id hingeids.ServerID, i hingeids.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told(s.directory.MarkLeaving(now, id, i))
}

// Wake has waiting questions look again.
func (s *Source) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told(true)
}

// Changed gives a channel that closes at the next change of the directory.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Merge takes what another control host told.
func (s *Source) Merge(now time.Time, records []hingeannounce.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = s.directory.Merge(now, r) || changed
	}
	s.told(changed)
}

// Step does what is due.
func (s *Source) Step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told(s.directory.Step(now))
	for h, at := range s.entries {
		if now.Sub(at) > forgetAfter {
			delete(s.entries, h)
		}
	}
}

// Records gives all that is known of backend servers.
func (s *Source) Records() []hingeannounce.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Since(0)
}

// told wakes the questions that wait. The caller holds the lock.
func (s *Source) told(changed bool) {
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// follow answers one question.
func (s *Source) follow(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	var q question
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "question of a follower")
	}
	if q.Life != s.life {
		q.Change = 0
	}
	if q.Entry && !q.Once {
		s.mu.Lock()
		s.entries[from] = s.clock()
		s.mu.Unlock()
	}
	fresh := q.Fresh && s.readFresh(ctx)
	// A host that waits to become ready is answered at once, unless there is nothing
	// that it could become ready with: it would ask again without a break.
	if !fresh || s.origin.Documents().Load().Version == 0 {
		s.wait(ctx, q)
	}
	return s.share(q, fresh)
}

// share gives the answer that another follower got who knows as much, or a new one.
func (s *Source) share(q question, fresh bool) ([]byte, error) {
	standing := s.origin.Standing()
	k := known{
		since:   q.Change,
		held:    q.Version,
		version: s.origin.Documents().Load().Version,
		poisons: q.Poisons,
		listed:  s.origin.Poisons().Load().Revision,
		leader:  standing.Leader,
		term:    standing.Term,
		brief:   q.Brief,
		inTouch: standing.InTouch,
		fresh:   fresh,
		entry:   q.Entry,
	}
	now := s.clock()
	s.mu.Lock()
	k.change = s.directory.Change()
	old, there := s.shared[k]
	s.mu.Unlock()
	if there && now.Sub(old.at) < shareFor {
		return old.body, nil
	}
	a := s.answer(q)
	a.Fresh = fresh
	b, err := cbor.Marshal(a)
	if err != nil {
		return nil, eris.Wrap(err, "answer to a follower")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.shared, func(_ known, x shared) bool {
		return now.Sub(x.at) >= shareFor
	})
	s.shared[k] = shared{
		body: b,
		at:   now,
	}
	return b, nil
}

// readFresh asks the leader, but not for long: it may be gone without a word.
func (s *Source) readFresh(ctx context.Context) bool {
	one, stop := context.WithTimeout(ctx, freshWait)
	defer stop()
	if err := s.origin.Read(one); err != nil {
		// The follower asks again; without the pause it would do so without a break.
		hingeclock.Sleep(ctx, retryPause)
		return false
	}
	return true
}

func (s *Source) answer(q question) answer {
	standing := s.origin.Standing()
	a := answer{
		Life:    s.life,
		Leader:  standing.Leader,
		Term:    standing.Term,
		Control: s.named(standing.Members),
		InTouch: standing.InTouch,
		Zone:    standing.Zone,
	}
	d := s.origin.Documents().Load()
	a.Version = d.Version
	if d.Version > q.Version && !q.Brief {
		a.Document = d
	}
	if l := s.origin.Poisons().Load(); l.Revision > q.Poisons {
		a.Poisons = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Change = s.directory.Change()
	a.Records = s.directory.Since(q.Change)
	own := s.askers()
	if !q.Entry {
		a.Askers = own
	}
	a.Entries = s.countEntries(own)
	return a
}

// Entries is how many entry hosts there are, as far as control hosts are asked by them.
func (s *Source) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countEntries(s.askers())
}

// askers gives the entry hosts that ask this host. The caller holds the lock.
func (s *Source) askers() Askers {
	out := NewAskers()
	for h := range s.entries {
		out.Add(h)
	}
	return out
}

// countEntries counts the hosts that ask this one or another.
func (s *Source) countEntries(own Askers) int {
	all := NewAskers()
	all.Join(own)
	for _, a := range s.peers.Askers() {
		all.Join(a)
	}
	return all.Count()
}

// named gives the members of the group with their zones, as far as they are known.
func (s *Source) named(members []hingeids.HostID) []named {
	out := make([]named, 0, len(members))
	for _, h := range members {
		out = append(out, named{
			Host: h,
			Zone: s.peers.ZoneOf(h),
		})
	}
	return out
}

// wait returns shortly after something changes, or when the hold time is over.
func (s *Source) wait(ctx context.Context, q question) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	leader := s.origin.Standing().Leader
	gathering := false
	for {
		documents := s.origin.Documents().Changed()
		poisons := s.origin.Poisons().Changed()
		s.mu.Lock()
		servers := s.changed
		news := s.directory.Change() > q.Change
		gather := s.gatherTime(q)
		s.mu.Unlock()
		if s.origin.Documents().Load().Version > q.Version || s.origin.Poisons().Load().Revision > q.Poisons ||
			s.origin.Standing().Leader != leader {
			hingeclock.Sleep(ctx, leastGather)
			return
		}
		if news && !gathering {
			gathering = true
			timer.Reset(gather)
		}
		select {
		case <-servers:
		case <-documents:
		case <-poisons:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// gatherTime is how long changes of servers are gathered (rule 7). Other control hosts are few, and place requests by what they
// hear. The caller holds the lock.
func (s *Source) gatherTime(q question) time.Duration {
	if !q.Entry {
		return leastGather
	}
	return min(max(time.Duration(len(s.entries))*gatherPerFollower, leastGather), mostGather)
}
