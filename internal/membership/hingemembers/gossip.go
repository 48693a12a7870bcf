package hingemembers

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Traffic limits of rule 10. On average a member sends at most
// probesPerRound+maxOverdueProbes probes a round and as many acknowledgements.
const (
	maxFactBytes = 480
	// A heartbeat is sent few times, since the next one replaces it.
	heartbeatSends = 4
	relaySends     = 2
	// lastingSends times the binary logarithm of the number of hosts is enough sends for a
	// lasting fact to reach all of them.
	lastingSends = 3
	// maxUrgentTargets limits the peers that urgent facts are sent to at once.
	maxUrgentTargets = 8
	// maxDigestMismatches is the number of mismatching digests in a row that cause an
	// exchange of tables; fewer may be due to facts that are still being sent.
	maxDigestMismatches = 8
	// Whole tables grow with the number of hosts: after the first one, the interval
	// between exchanges is one pullInterval, plus another for each hostsPerPullInterval
	// peers.
	pullInterval         = time.Second
	hostsPerPullInterval = 64
)

type factKey struct {
	host   hingeids.HostID
	server hingeids.ServerID
	vote   FailureVote
}

type queuedFact struct {
	key       factKey
	size      int
	remaining int
	fact      HostFact
	// sentTo holds the peers that this heartbeat was sent to, and lastSent for each peer
	// the number of the datagram with the last heartbeat of this server that it was sent.
	// Both are nil if there are many peers.
	heartbeat bool
	sentTo    map[hingeids.HostID]bool
	lastSent  map[hingeids.HostID]uint64
}

// pendingFor reports whether the fact is still to be sent to a peer. A heartbeat goes to
// each peer once: with a plain limit on the number of sends, the same first peers could
// use it up each time.
func (q *queuedFact) pendingFor(to hingeids.HostID) bool {
	return q.remaining > 0 && (!q.heartbeat || !q.sentTo[to])
}

func (q *queuedFact) recordSent(to hingeids.HostID, datagram uint64) {
	q.remaining--
	if q.sentTo == nil {
		return
	}
	q.sentTo[to] = true
	q.lastSent[to] = datagram
}

type gossipQueue struct {
	items       map[factKey]*queuedFact
	urgent      bool
	datagrams   uint64
	digest      uint64
	digestKnown bool
}

func newGossipQueue() gossipQueue {
	return gossipQueue{
		items: make(map[factKey]*queuedFact),
	}
}

type pullState struct {
	synced bool
	lastAt time.Time
	peer   hingeids.HostID
}

// A lasting fact is one that no later one replaces.
func (s *State) lastingFactSends() int {
	if len(s.peers) <= fullProbePeers {
		return 2 * len(s.peers)
	}
	return lastingSends * bits.Len(uint(len(s.peers)))
}

func (s *State) queueHost(f HostFact, urgent bool) {
	key := factKey{
		host: f.Instance.Host,
	}
	s.queue.items[key] = &queuedFact{
		key:       key,
		size:      len(encode(f)),
		remaining: s.lastingFactSends(),
		fact:      f,
	}
	s.queue.urgent = s.queue.urgent || urgent
}

func (s *State) queueVote(v FailureVote) {
	key := factKey{
		vote: v,
	}
	s.queue.items[key] = &queuedFact{
		key:       key,
		size:      len(encode(v)),
		remaining: s.lastingFactSends(),
	}
	s.queue.urgent = true
}

func (s *State) queueServer(a hingeannounce.Announcement, out hingeannounce.Outcome, direct bool) {
	sends := relaySends
	switch {
	case out == hingeannounce.Changed:
		sends = s.lastingFactSends()
		s.queue.urgent = true
	case len(s.peers) > fullProbePeers:
		sends = heartbeatSends
	case direct:
		sends = len(s.peers)
	}
	key := factKey{
		server: a.Server,
	}
	item := &queuedFact{
		key:       key,
		size:      len(encode(a)) + 10,
		remaining: sends,
		heartbeat: out != hingeannounce.Changed,
	}
	if len(s.peers) <= fullProbePeers {
		item.sentTo = make(map[hingeids.HostID]bool)
		item.lastSent = make(map[hingeids.HostID]uint64)
	}
	if old := s.queue.items[key]; old != nil {
		item.remaining = max(sends, old.remaining)
		// A pending change in the previous announcement must still reach every peer.
		item.heartbeat = item.heartbeat && (old.heartbeat || old.remaining <= 0)
		if item.lastSent != nil && old.lastSent != nil {
			item.lastSent = old.lastSent
		}
	}
	s.queue.items[key] = item
}

// Items that are kept only for their lastSent are removed with their server.
func (s *State) pruneHeartbeats(now time.Time) {
	for key, q := range s.queue.items {
		if key.server == "" || q.remaining > 0 {
			continue
		}
		if _, ok := s.servers.Find(now, key.server); !ok {
			delete(s.queue.items, key)
		}
	}
}

// Urgent facts don't wait for the next round.
func (s *State) flushUrgent(now time.Time) []Outgoing {
	if !s.queue.urgent {
		return nil
	}
	s.queue.urgent = false
	var send []Outgoing
	for _, i := range s.random.Perm(len(s.peers)) {
		if len(send) == maxUrgentTargets || len(s.queue.items) == 0 {
			break
		}
		send = append(send, s.outgoing(now, s.peers[i].Host, Message{
			Kind: kindGossip,
		}))
	}
	return send
}

// outgoing adds sender, digest and pending facts to a message.
func (s *State) outgoing(now time.Time, to hingeids.HostID, m Message) Outgoing {
	m.From = s.instance
	m.Digest = s.digest(now)
	free := maxFactBytes
	s.queue.datagrams++
	for _, q := range s.factsFor(to) {
		if q.size > free || q.key.host == to && !q.fact.Suspect {
			continue
		}
		free -= q.size
		found := s.attach(now, &m, q)
		q.recordSent(to, s.queue.datagrams)
		// Keeps a heartbeat's item that has a lastSent for the next heartbeat.
		if q.remaining <= 0 && (q.lastSent == nil || !found) {
			delete(s.queue.items, q.key)
		}
	}
	return Outgoing{
		To:      to,
		Message: m,
	}
}

// factsFor returns the facts to send to a peer: lasting facts first, then the heartbeats
// for which the peer has waited the longest, then the facts that were sent least.
func (s *State) factsFor(to hingeids.HostID) []*queuedFact {
	out := make([]*queuedFact, 0, len(s.queue.items))
	for _, q := range s.queue.items {
		if q.pendingFor(to) {
			out = append(out, q)
		}
	}
	lastServed := func(q *queuedFact) uint64 {
		if !q.heartbeat {
			return 0
		}
		return 1 + q.lastSent[to]
	}
	slices.SortFunc(out, func(a, b *queuedFact) int {
		return cmp.Or(
			cmp.Compare(lastServed(a), lastServed(b)),
			cmp.Compare(b.remaining, a.remaining),
			cmp.Compare(a.key.host, b.key.host),
			cmp.Compare(a.key.server, b.key.server),
			compareVotes(a.key.vote, b.key.vote),
		)
	})
	return out
}

// attach returns false if the fact is of a server that is no longer in the table.
func (s *State) attach(now time.Time, m *Message, q *queuedFact) bool {
	switch {
	case q.key.host != "":
		m.Hosts = append(m.Hosts, q.fact)
	case q.key.server != "":
		a, ok := s.servers.Find(now, q.key.server)
		if ok {
			m.Servers = append(m.Servers, a)
		}
		return ok
	default:
		m.FailureVotes = append(m.FailureVotes, q.key.vote)
	}
	return true
}

// digest is a checksum of the lasting facts: instances and which of them have ended,
// failure votes, and the servers' incarnations and departures. It excludes what heartbeats
// and suspicions change (rule 11).
func (s *State) digest(now time.Time) uint64 {
	if s.queue.digestKnown {
		return s.queue.digest
	}
	var sum uint64
	add := func(v any) {
		sum += xxhash.Sum64(encode(v))
	}
	lasting := func(f HostFact) {
		f.Version, f.Suspect = 0, false
		add(f)
	}
	lasting(s.ownFact)
	for _, p := range s.peers {
		if p.known {
			lasting(p.fact)
		}
	}
	for a := range s.votes {
		add(a)
	}
	for _, a := range s.servers.All(now) {
		add([]any{a.Announcement.Server, a.Announcement.Incarnation, a.Announcement.Leaving})
	}
	s.queue.digest, s.queue.digestKnown = sum, true
	return sum
}

func (s *State) compareDigest(p *peer, m Message) {
	if m.Digest == s.queue.digest && s.queue.digestKnown {
		p.digestMismatches = 0
		return
	}
	if p.digestMismatches++; p.digestMismatches >= maxDigestMismatches {
		s.pullState.peer = p.Host
	}
}

// PullTarget returns the peer to exchange whole tables with, if an exchange is due now.
func (s *State) PullTarget(now time.Time) (hingeids.HostID, bool) {
	every := pullInterval
	if s.pullState.synced {
		every += pullInterval * time.Duration(len(s.peers)/hostsPerPullInterval)
	}
	if now.Sub(s.pullState.lastAt) < every || len(s.peers) == 0 {
		return "", false
	}
	from := s.pullState.peer
	if !s.pullState.synced {
		from = s.peers[s.random.IntN(len(s.peers))].Host
	}
	if from == "" {
		return "", false
	}
	s.pullState.lastAt, s.pullState.peer = now, ""
	s.byHost[from].digestMismatches = 0
	return from, true
}
