// Package hingefollow replicates the state of the control hosts to all other hosts:
// the configuration in force, the directory of backend servers and the list of poison
// requests.
//
//  1. A follower polls a few control hosts (maxFollowed), each with one long poll at
//     a time. It prefers those of its own zone, then orders by a hash. The leader
//     isn't preferred, because it needs its processor to place requests. A control
//     host responds after a change, or when the long-poll time is over. Each response
//     is complete in itself, so a lost one costs only another poll.
//  2. A follower applies the newest state that it receives: the highest version of
//     the configuration, and the newest record of each backend server. A partitioned
//     control host therefore can't delay a follower, and no state in force is ever
//     replaced by an older one.
//  3. A follower learns of control hosts from its seeds and from responses, a control host also from its group. It
//     removes one that doesn't respond and that no control host has named for some time, while others responded.
//  4. A follower is ready once a control host has confirmed with the leader that its
//     configuration is no older than any accepted before the request. A restarted
//     process therefore never serves with an older configuration.
//  5. Control hosts follow each other too, so a follower that reaches only one of
//     them still receives all changes. Merging a record twice changes nothing, which
//     ends the propagation.
//  6. Only the first of the polled control hosts sends new configurations. The others
//     send the version, and the configuration on the next poll if it hasn't arrived
//     by then.
//  7. A change of servers has to be sent to hundreds of followers. A control host
//     batches such changes for about as long as it takes to send the responses, so
//     that a series of changes (a healed partition, a cold start) doesn't keep it
//     from placing requests. Only removals of servers end a batch early. Followers with the same state get the same encoded
//     response. A new leader or configuration is sent without batching.
//  8. A follower that may be behind doesn't reject a caller for something that its
//     configuration lacks. It first queries whether there is a newer configuration,
//     which a control host confirms with the leader.
//  9. The list of poison requests is replicated the same way, complete and without
//     batching: it is short and changes a few times a day.
//  10. A record of a backend server is sent to each host once. The first of the polled
//     control hosts sends records to an entry host, the others their digests. Control
//     hosts send each other the changes that they made themselves as records, and those
//     that they received as digests. A follower fetches what it still lacks some time
//     after the digest, so a host that is cut off from the sender gets it from another.
//  11. A response has at most maxRecords records; a follower that lacks more polls again
//     at once. What a control host holds for its followers is thus bounded, however
//     many servers there are.
//  12. An entry host that needs others requests a few of them. No host holds a list of all.
//  13. A configuration that is too large for a response is fetched in parts. The largest one that is accepted is limited
//     by the operators' API alone.
//  14. Control hosts have their records in memory only. An entry host returns to one that was restarted the records that
//     it doesn't name, or a server that ended while all control hosts were down would be used for good.
//  15. A server's leaving is acknowledged once another control host knows of it, or the loss of one host would revert it.
//  16. A host that doesn't respond, or has had no leader for leaderlessTime, loses its place to the next ones until it responds with
//     one again. Entry hosts poll maxRetried such hosts besides the maxFollowed, each in turn: seeds that are gone for good, or a
//     minority that is cut off, must not keep them from hosts that know what is newest.
package hingefollow

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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

const methodFollow hingelink.Method = "follow.ask"

const (
	// longPollTime is how long a control host holds a request while nothing changes.
	// An idle follower thus costs half a small response per second.
	longPollTime = 2 * time.Second
	// responseGrace is added to longPollTime for the timeout of a request, to detect
	// a connection that has failed without an error.
	responseGrace = 500 * time.Millisecond
	// leaderReadTimeout bounds the control host's read from the leader (rule 4).
	leaderReadTimeout = time.Second
	// retryDelay keeps a follower from sending requests to an unreachable host without a pause.
	retryDelay = 150 * time.Millisecond
	// removeAfter is how long a host may be unnamed and unresponsive before it is
	// removed (rule 3).
	removeAfter = 10 * time.Second
	// maxFollowed is the number of control hosts that an entry host polls. With
	// three, one may be partitioned and another shutting down. Polling all of them
	// would make the requests grow with their number.
	maxFollowed = 3
	// maxRetried is the number of unresponsive control hosts that an entry host polls besides, and retryTime for how long it
	// does before another one's turn (rule 16).
	maxRetried = 1
	retryTime  = longPollTime + responseGrace
	// leaderlessTime is how long a host may have no leader before it loses its place. An election takes less (rule 16).
	leaderlessTime = 2 * time.Second
	// documentWait is how long a configuration may arrive after its version (rule 6).
	documentWait = 150 * time.Millisecond
	// minBatchDelay is the shortest delay between a change and the response: a
	// control host that reconnects receives dozens of announcements in a burst.
	minBatchDelay = 2 * time.Millisecond
	// batchDelayPerFollower makes the delay proportional to the number of followers
	// (rule 7). A response takes a fraction of it in processor time, which leaves the
	// rest for placing requests.
	batchDelayPerFollower = time.Millisecond
	// maxBatchDelay bounds the delay. A change may be batched by two control hosts in
	// a row, and a leaving server must get no work after two seconds.
	maxBatchDelay = 300 * time.Millisecond
	// relayDelay is how long a control host batches the changes that it received from
	// another for its followers that get only digests of them (rule 10).
	relayDelay = 100 * time.Millisecond
	// backupFactor is how much longer entry hosts wait for digests of the second control
	// host than for records of the first, as they rarely need them; for those of the third
	// they wait twice as long. maxBackupDelay bounds the delay.
	backupFactor   = 3
	maxBackupDelay = time.Second
	// maxRecords and maxDigests are the numbers of changes in a response, some 150 and 70 KB.
	maxRecords = 1024
	maxDigests = 8192
	// responseCacheTime is how long an encoded response is reused for followers with
	// the same state (rule 7).
	responseCacheTime = 20 * time.Millisecond
)

// State is the replicated state of a follower. A published state is immutable.
type State struct {
	Document hingeversion.Document
	// Newest is the newest version that a control host has named, and NewestSince when one named it first.
	Newest      hingeversion.Version
	NewestSince time.Time
	// PoisonRequests is the list of poison requests, which crash servers.
	PoisonRequests hingepoison.List
	// Ready is set once a configuration was confirmed by the leader (rule 4).
	Ready bool
	// Leader is the last reported leader of the control hosts, in Term.
	Leader hingeids.HostID
	Term   uint64
	// EntryHosts is the last reported number of entry hosts.
	EntryHosts int
	// ControlHosts lists the known control hosts, ordered by name.
	ControlHosts []ControlHost
}

// ControlHost is a control host and its last reported state.
type ControlHost struct {
	Host hingeids.HostID
	Zone hingeids.Zone
	// HasLeader is set if it heard a leader at its last response. LastSeen is the
	// time of that response, zero before the first.
	HasLeader bool
	LastSeen  time.Time
	// FollowerSet are the entry hosts that follow it.
	FollowerSet FollowerSet
}

// Settings configures a Follower.
type Settings struct {
	Self hingeids.HostID
	Zone hingeids.Zone
	// EntryHost is set on hosts that accept requests from callers. Other followers
	// are control hosts, which follow all control hosts (rule 5).
	EntryHost bool
	Clock     func() time.Time
	// OnRecords is called with the records of each response, from the goroutine that
	// received it.
	OnRecords func(now time.Time, records []hingeannounce.Record)
	// Holds reports whether the host has the record with a digest.
	Holds func(g hingeannounce.Digest) bool
	// Lacked returns the records that the host has and whose digests aren't among those given. Control hosts, which get
	// all records from each other, leave it out.
	Lacked func(named map[hingeannounce.Digest]bool) []hingeannounce.Record
	// Known returns hosts to follow besides the seeds and those that other control hosts name; nil for none. A control host
	// gives the members of its group: after a restart its seeds may all be gone.
	Known func() []hingeids.HostID
	// OnFetchError, if set, is called when a large configuration wasn't fetched, at most once in fetchErrorInterval.
	OnFetchError func(from hingeids.HostID, err error)
	// OnReturnError, if set, is called when a restarted control host didn't take back the records that it lacks.
	OnReturnError func(to hingeids.HostID, err error)
}

// Follower polls the control hosts and publishes the newest state.
type Follower struct {
	settings Settings
	link     hingelink.Link
	state    hingeboard.Cell[State]
	done     chan struct{}

	mu    sync.Mutex
	hosts map[hingeids.HostID]*host
	seeds []hingeids.HostID
	// namedAt is when a control host with a leader last named the others.
	namedAt time.Time
	// newestQuery is the last query for the newest version (rule 8).
	newestQuery *versionQuery
	// lacking has the records of which only digests were received (rule 10).
	lacking lacking
	// hasRecords is set once a control host has sent all that it had.
	hasRecords bool
	// fetching is set while a poller fetches a large configuration, fetchErrorAt is when a failure was last reported.
	fetching     atomic.Bool
	fetchErrorAt time.Time
	pollers      sync.WaitGroup
}

// New returns a follower that starts with the seeds. Run starts the polling.
func New(s Settings, link hingelink.Link, seeds []hingeids.HostID) *Follower {
	f := &Follower{
		settings: s,
		link:     link,
		hosts:    make(map[hingeids.HostID]*host),
		lacking:  newLacking(),
		seeds:    slices.Clone(seeds),
		done:     make(chan struct{}),
	}
	f.state.Store(&State{})
	return f
}

// State returns the cell in which the state is published.
func (f *Follower) State() *hingeboard.Cell[State] {
	return &f.state
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// SetSeeds replaces the seeds.
func (f *Follower) SetSeeds(seeds []hingeids.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(seeds)
}

const refreshInterval = 250 * time.Millisecond

// Run polls the control hosts until the context is done, and then waits for the pollers.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.done)
	defer f.pollers.Wait()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		f.refreshHosts(ctx, f.settings.Clock())
		f.startFetch(ctx, f.settings.Clock())
		f.startReturns(ctx, f.settings.Clock())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Follower) poll(ctx context.Context, id hingeids.HostID, h *host) {
	for ctx.Err() == nil {
		resp, err := f.pollOnce(ctx, id, h)
		now := f.settings.Clock()
		if err != nil {
			if ctx.Err() == nil {
				f.setUnresponsive(h)
			}
			hingeclock.Sleep(ctx, retryDelay)
			continue
		}
		f.apply(now, id, h, resp)
		f.fetchLarge(ctx, id, resp)
		if f.documentMissing(resp.Version) {
			hingeclock.Sleep(ctx, documentWait)
			f.setDocumentLate(h, f.documentMissing(resp.Version))
		}
	}
}

// documentMissing implements rule 6.
func (f *Follower) documentMissing(newest hingeversion.Version) bool {
	return f.state.Load().Document.Version < newest
}

// setDocumentLate records whether the host's next response has to include the
// configuration.
func (f *Follower) setDocumentLate(h *host, late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.documentLate = late
}

func (f *Follower) pollOnce(ctx context.Context, id hingeids.HostID, h *host) (followResponse, error) {
	s := f.state.Load()
	f.mu.Lock()
	if h.resync {
		h.resync = false
		h.synced = false
		h.change = 0
	}
	q := followRequest{
		Incarnation:    h.incarnation,
		Change:         h.change,
		Version:        s.Document.Version,
		PoisonRequests: s.PoisonRequests.Revision,
		ConfirmNewest:  !s.Ready,
		EntryHost:      f.settings.EntryHost,
		VersionOnly:    s.Ready && h.backup > 0 && !h.documentLate,
		DigestsOnly:    f.settings.EntryHost && !f.wantsRecords(h),
		Backup:         h.backup,
		Members:        h.membersDigest,
		Followers:      h.followersDigest,
		Parts:          true,
	}
	if q.EntryHost {
		q.Zone = f.settings.Zone
	}
	f.mu.Unlock()
	callCtx, stop := context.WithTimeout(ctx, longPollTime+responseGrace)
	defer stop()
	return f.call(callCtx, id, q)
}

// wantsRecords reports whether an entry host requests records from a control host (rule 10). While
// it hasn't got all digests of the first one, it has most of the records from the one that was first
// before, except at its own start. The caller holds the lock.
func (f *Follower) wantsRecords(h *host) bool {
	return h.backup == 0 && (h.synced || !f.hasRecords)
}

func (f *Follower) call(ctx context.Context, id hingeids.HostID, q followRequest) (followResponse, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return followResponse{}, eris.Wrap(err, "encode a follow request")
	}
	b, err := f.link.Call(ctx, id, methodFollow, body)
	if err != nil {
		return followResponse{}, err
	}
	var resp followResponse
	return resp, eris.Wrap(decodeBody(b, &resp), "decode a control host's response")
}

// apply implements rule 2.
func (f *Follower) apply(now time.Time, id hingeids.HostID, h *host, resp followResponse) {
	if len(resp.Records) > 0 {
		f.settings.OnRecords(now, resp.Records)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteDigests(now, id, resp.Digests)
	f.noteNamed(now, h, resp)
	h.synced = !resp.More || h.synced && h.incarnation == resp.Incarnation
	f.hasRecords = f.hasRecords || h.synced && resp.Change > 0
	h.lastSeen = now
	h.unresponsive = false
	h.incarnation = resp.Incarnation
	h.change = resp.Change
	h.sending = resp.More
	h.zone = resp.Zone
	h.documentLate = false
	h.setHasLeader(now, resp.HasLeader)
	if resp.FollowerSet != nil {
		h.followers = resp.FollowerSet
		h.followersDigest = xxhash.Sum64(resp.FollowerSet)
	}
	if resp.ControlHosts != nil {
		h.members = resp.ControlHosts
		h.membersDigest = digestOfMembers(resp.ControlHosts)
	}
	next := *f.state.Load()
	if resp.Version > next.Newest {
		next.Newest = resp.Version
		next.NewestSince = now
	}
	if resp.Document != nil && resp.Document.Version > next.Document.Version {
		next.Document = *resp.Document
	}
	if resp.PoisonRequests != nil && resp.PoisonRequests.Revision > next.PoisonRequests.Revision {
		next.PoisonRequests = *resp.PoisonRequests
	}
	if resp.HasLeader && resp.EntryHosts > 0 {
		next.EntryHosts = resp.EntryHosts
	}
	f.noteMembers(now, h)
	if resp.Leader != "" && resp.Term >= next.Term {
		next.Leader = resp.Leader
		next.Term = resp.Term
	}
	next.Ready = next.Ready || resp.NewestConfirmed && next.Document.Version > 0 && next.Document.Version >= resp.Version
	next.ControlHosts = f.controlHosts()
	f.state.Store(&next)
}

func (h *host) setHasLeader(now time.Time, hasLeader bool) {
	h.hasLeader = hasLeader
	switch {
	case hasLeader:
		h.leaderlessSince = time.Time{}
	case h.leaderlessSince.IsZero():
		h.leaderlessSince = now
	}
}

// noteMembers notes which hosts a control host names. One without a leader may have an outdated list, which counts only while no
// other is known: it may still name hosts that have one. The caller holds the lock.
func (f *Follower) noteMembers(now time.Time, h *host) {
	if !h.hasLeader && now.Sub(f.namedAt) <= removeAfter {
		return
	}
	if h.hasLeader {
		f.namedAt = now
	}
	for _, c := range h.members {
		f.markNamed(now, c.Host)
		if x := f.hosts[c.Host]; x != nil && c.Zone != "" {
			x.zone = c.Zone
		}
	}
}
