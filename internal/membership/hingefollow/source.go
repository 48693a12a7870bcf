package hingefollow

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeflight"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// GroupStatus is a control host's view of the consensus group of the configuration.
type GroupStatus struct {
	Leader  hingeids.HostID
	Term    uint64
	Members []hingeids.HostID
	// HasLeader is set while the host hears a leader.
	HasLeader bool
	// Zone is the host's own zone.
	Zone hingeids.Zone
}

// Origin provides a control host's own copy of the replicated state.
type Origin interface {
	// Documents returns the cell in which accepted configurations are published.
	Documents() *hingeboard.Cell[hingeversion.Document]
	// PoisonRequests returns the cell in which the list of poison requests is published.
	PoisonRequests() *hingeboard.Cell[hingepoison.List]
	// Read waits until the published configuration is no older than any accepted
	// before the call, and returns its version. Later an older one may be published for a
	// moment, while the host starts again from its disk.
	Read(ctx context.Context) (hingeversion.Version, error)
	GroupStatus() GroupStatus
}

// Peers provides what a control host knows of the other control hosts.
type Peers interface {
	// ZoneOf returns the zone of a control host, empty if it isn't known.
	ZoneOf(h hingeids.HostID) hingeids.Zone
	// FollowerSets returns the set of entry hosts that follow each of the others.
	FollowerSets() []FollowerSet
}

// Source responds to followers and holds the directory of a control host. Its methods
// are safe for concurrent use.
type Source struct {
	// host is this control host, self its incarnation.
	host   hingeids.HostID
	self   hingeids.Incarnation
	origin Origin
	clock  func() time.Time
	peers  Peers
	// started is set once a follower had a configuration.
	started atomic.Bool
	// reads lets followers share reads from the leader: after a start all of them request a confirmation at
	// once, and each control host reads once a round trip.
	reads hingeflight.Shared[hingeversion.Version]

	mu         sync.Mutex
	directory  *hingeannounce.Directory
	changes    changes
	holders    holders
	entryHosts map[hingeids.HostID]follower
	// cached are the encoded responses of the last responseCacheTime (rule 7).
	cached map[responseKey]cached
}

// responseKey holds all that a response depends on within responseCacheTime.
type responseKey struct {
	since              uint64
	change             uint64
	heldVersion        hingeversion.Version
	version            hingeversion.Version
	heldPoisonRevision uint64
	poisonRevision     uint64
	leader             hingeids.HostID
	term               uint64
	members            uint64
	followers          uint64
	versionOnly        bool
	digestsOnly        bool
	hasLeader          bool
	confirmed          hingeversion.Version
	entryHost          bool
	parts              bool
}

type cached struct {
	body      []byte
	createdAt time.Time
}

// NewSource returns the source of a control host and registers its handler with the link.
func NewSource(
	self hingeids.Instance, o Origin, p Peers, clock func() time.Time, link hingelink.Link,
) *Source {
	s := &Source{
		peers:      p,
		host:       self.Host,
		self:       self.Incarnation,
		origin:     o,
		clock:      clock,
		directory:  hingeannounce.NewDirectory(self.Host),
		changes:    newChanges(),
		holders:    newHolders(),
		entryHosts: make(map[hingeids.HostID]follower),
		cached:     make(map[responseKey]cached),
	}
	link.HandleCall(methodFollow, s.handleFollow)
	link.HandleCall(methodFetch, s.handleFetch)
	link.HandleCall(methodEntryHosts, s.handleEntryHosts)
	link.HandleCall(methodDocument, s.handleDocument)
	link.HandleCall(methodReturn, s.handleReturn)
	return s
}

// SetHeartbeatInterval sets the interval that is configured for the heartbeats of backend servers.
func (s *Source) SetHeartbeatInterval(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetHeartbeatInterval(interval)
}

// HandleAnnouncement merges a backend server's announcement to this host. It returns
// hingeannounce.ErrFull if there is no room for another server.
func (s *Source) HandleAnnouncement(now time.Time, a hingeannounce.Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directory.Accepts(a.Server) {
		return hingeannounce.ErrFull
	}
	if s.directory.Receive(now, a) {
		s.changes.notifyLocal(now, s.directory.LastRemoval())
	}
	return nil
}

// ServiceOf returns the service of a server, and false if the server is unknown.
func (s *Source) ServiceOf(id hingeids.ServerID) (hingeids.Service, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.ServiceOf(id)
}

// TakeDirectoryFull reports whether a record was refused because the directory is full, once until
// there is room again.
func (s *Source) TakeDirectoryFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.TakeFull()
}

// TakeContradicted returns the records of other hosts that this host contradicted since the last call.
func (s *Source) TakeContradicted() hingeannounce.Contradicted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.TakeContradicted()
}

// HandleLeave records that a backend server leaves. The incarnation is zero if the
// server didn't send it.
func (s *Source) HandleLeave(now time.Time, id hingeids.ServerID, i hingeids.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.MarkLeaving(now, id, i) {
		s.changes.notifyLocal(now, s.directory.LastRemoval())
	}
}

// HasStarted reports whether a follower has had a configuration, so that there is, or was, a group that accepted it.
func (s *Source) HasStarted() bool {
	return s.started.Load()
}

// WakePolls makes waiting long polls check for changes of Origin.
func (s *Source) WakePolls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes.wake()
}

// Changed returns a channel that is closed at the next change of the directory.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.servers
}

// Merge merges the records of another control host.
func (s *Source) Merge(now time.Time, records []hingeannounce.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	local := s.directory.LocalChange()
	for _, r := range records {
		changed = s.directory.Merge(now, r) || changed
	}
	switch {
	case s.directory.LocalChange() != local:
		// This host has contradicted a record of another, or added a leaving to it.
		s.changes.notifyLocal(now, s.directory.LastRemoval())
	case changed:
		s.changes.notify(s.directory.LastRemoval())
	}
}

// RemoveExpired removes expired records and entry hosts. It is called periodically.
func (s *Source) RemoveExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.Step(now) {
		s.changes.notifyLocal(now, s.directory.LastRemoval())
	}
	for h, f := range s.entryHosts {
		if now.Sub(f.lastPoll) > removeAfter {
			delete(s.entryHosts, h)
		}
	}
}

// ChangesSince returns the records of backend servers that changed after a revision of the directory,
// the servers that were removed since the last call, and the present revision.
func (s *Source) ChangesSince(revision uint64) ([]hingeannounce.Record, []hingeids.ServerID, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Since(revision), s.directory.TakeExpired(), s.directory.Change()
}

func (s *Source) handleFollow(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	var q followRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode a follow request")
	}
	if q.Incarnation != s.self {
		q.Change = 0
	}
	if q.Version > 0 {
		s.started.Store(true)
	}
	if q.EntryHost && !q.Single {
		s.mu.Lock()
		s.entryHosts[from] = follower{
			lastPoll: s.clock(),
			zone:     q.Zone,
		}
		s.mu.Unlock()
	}
	if !q.EntryHost && !q.Single {
		s.mu.Lock()
		s.holders.note(from, q.Change)
		s.mu.Unlock()
	}
	// Without a configuration there is nothing to confirm. A follower that isn't ready gets
	// its response immediately, but not then: it would poll in a busy loop.
	newest := hingeversion.Version(0)
	if q.ConfirmNewest && s.origin.Documents().Load().Version > 0 {
		newest = s.readFromLeader(ctx)
	}
	if newest == 0 {
		s.waitForChange(ctx, q)
	}
	return s.respond(q, newest)
}

// respond uses a cached response if there is one for the same state. newest is a version that is confirmed to be the newest, zero
// for none; a response with an older one confirms nothing.
func (s *Source) respond(q followRequest, newest hingeversion.Version) ([]byte, error) {
	status := s.origin.GroupStatus()
	k := responseKey{
		since:              q.Change,
		heldVersion:        q.Version,
		version:            s.origin.Documents().Load().Version,
		heldPoisonRevision: q.PoisonRequests,
		poisonRevision:     s.origin.PoisonRequests().Load().Revision,
		leader:             status.Leader,
		term:               status.Term,
		members:            q.Members,
		followers:          q.Followers,
		versionOnly:        q.VersionOnly,
		digestsOnly:        q.DigestsOnly,
		hasLeader:          status.HasLeader,
		confirmed:          newest,
		entryHost:          q.EntryHost,
		parts:              q.Parts,
	}
	now := s.clock()
	s.mu.Lock()
	k.change = s.directory.Change()
	old, found := s.cached[k]
	s.mu.Unlock()
	if found && now.Sub(old.createdAt) < responseCacheTime {
		return old.body, nil
	}
	resp := s.followResponse(q)
	resp.NewestConfirmed = newest > 0 && resp.Version >= newest
	b, err := encodeBody(resp)
	if err != nil {
		return nil, eris.Wrap(err, "encode a response to a follower")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.cached, func(_ responseKey, x cached) bool {
		return now.Sub(x.createdAt) >= responseCacheTime
	})
	s.cached[k] = cached{
		body:      b,
		createdAt: now,
	}
	return b, nil
}

func (s *Source) followResponse(q followRequest) followResponse {
	status := s.origin.GroupStatus()
	resp := followResponse{
		Incarnation: s.self,
		Leader:      status.Leader,
		Term:        status.Term,
		HasLeader:   status.HasLeader,
		Zone:        status.Zone,
	}
	if members := s.memberInfo(status.Members); digestOfMembers(members) != q.Members {
		resp.ControlHosts = members
	}
	d := s.origin.Documents().Load()
	resp.Version = d.Version
	if d.Version > q.Version && !q.VersionOnly {
		resp.Large = q.Parts && len(d.Body) > maxInlineDocument
		if !resp.Large {
			resp.Document = d
		}
	}
	if l := s.origin.PoisonRequests().Load(); l.Revision > q.PoisonRequests {
		resp.PoisonRequests = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRecords(&resp, q)
	own := s.followerSet()
	if !q.EntryHost && xxhash.Sum64(own) != q.Followers {
		resp.FollowerSet = own
	}
	resp.EntryHosts = s.countEntryHosts(own)
	return resp
}

// addRecords implements rules 10 and 11. The caller holds the lock.
func (s *Source) addRecords(resp *followResponse, q followRequest) {
	changes, upTo := s.directory.SinceAtMost(q.Change, q.limit())
	resp.Change = upTo
	resp.More = upTo < s.directory.Change()
	for _, c := range changes {
		if q.DigestsOnly || !q.EntryHost && !c.Local {
			resp.Digests = append(resp.Digests, c.Digest)
		} else {
			resp.Records = append(resp.Records, c.Record)
		}
	}
}

// EntryHosts returns the number of entry hosts that follow this or another control host.
func (s *Source) EntryHosts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countEntryHosts(s.followerSet())
}

// The caller holds the lock.
func (s *Source) followerSet() FollowerSet {
	out := NewFollowerSet()
	for h := range s.entryHosts {
		out.Add(h)
	}
	return out
}

func (s *Source) countEntryHosts(own FollowerSet) int {
	all := NewFollowerSet()
	all.Join(own)
	for _, set := range s.peers.FollowerSets() {
		all.Join(set)
	}
	return all.Count()
}

// Zones are set where they are known.
func (s *Source) memberInfo(members []hingeids.HostID) []memberInfo {
	out := make([]memberInfo, 0, len(members))
	for _, h := range members {
		out = append(out, memberInfo{
			Host: h,
			Zone: s.peers.ZoneOf(h),
		})
	}
	return out
}
