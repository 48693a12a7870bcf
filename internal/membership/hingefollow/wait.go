package hingefollow

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// changes notifies the long polls of changes. A poll that batches changes of servers isn't woken by
// further ones, as waking all of hundreds of followers each time takes more than the responses.
type changes struct {
	// servers is closed at any change of the directory, local at one that this host made, removal at
	// one of a server that accepts no more work, and woken when polls have to check the state of
	// Origin.
	servers chan struct{}
	local   chan struct{}
	removal chan struct{}
	woken   chan struct{}
	// lastLocal is the time of the last local change; series is set if the one before was shortly
	// before it. removals is the directory's last removal.
	lastLocal time.Time
	series    bool
	removals  uint64
}

const (
	// seriesDelay is how long local changes are batched for other control hosts if they follow
	// each other within that time.
	seriesDelay = 100 * time.Millisecond
	// additionFactor is how much longer changes are batched if none of them is of a server that
	// accepts no more work: a late one costs capacity, a late removal a failed request. At a start
	// thousands of servers are added within seconds.
	additionFactor = 2
)

func newChanges() changes {
	return changes{
		servers: make(chan struct{}),
		local:   make(chan struct{}),
		removal: make(chan struct{}),
		woken:   make(chan struct{}),
	}
}

// renew closes a channel and replaces it.
func renew(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

// notify is called after a change of the directory, whose last removal is given.
func (c *changes) notify(removals uint64) {
	renew(&c.servers)
	if removals != c.removals {
		c.removals = removals
		renew(&c.removal)
	}
}

func (c *changes) notifyLocal(now time.Time, removals uint64) {
	c.series = now.Sub(c.lastLocal) < seriesDelay
	c.lastLocal = now
	renew(&c.local)
	c.notify(removals)
}

func (c *changes) wake() {
	renew(&c.woken)
}

// signals are the channels of one check of a long poll.
type signals struct {
	servers   <-chan struct{}
	local     <-chan struct{}
	woken     <-chan struct{}
	documents <-chan struct{}
	poisons   <-chan struct{}
}

// pending is what a follower lacks of the directory.
type pending struct {
	// any, local and removal are set if there are changes, changes that this host made, and removals.
	any, local, removal bool
	// behind is set if they exceed one response (rule 11).
	behind bool
	delay  time.Duration
}

// waitForChange returns shortly after a change that the follower lacks, or after
// longPollTime.
func (s *Source) waitForChange(ctx context.Context, q followRequest) {
	timer := time.NewTimer(longPollTime)
	defer timer.Stop()
	leader := s.origin.GroupStatus().Leader
	var batchEnd time.Time
	for {
		w, p := s.check(q, !batchEnd.IsZero())
		if p.behind {
			return
		}
		if s.hasNews(q, leader) {
			hingeclock.Sleep(ctx, minBatchDelay)
			return
		}
		// A removal or a local change may end a batch earlier.
		if end := time.Now().Add(p.delay); p.any && (batchEnd.IsZero() || end.Before(batchEnd)) {
			batchEnd = end
			timer.Reset(p.delay)
		}
		select {
		case <-w.servers:
		case <-w.local:
		case <-w.woken:
		case <-w.documents:
		case <-w.poisons:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasNews reports whether there is something that isn't batched.
func (s *Source) hasNews(q followRequest, leader hingeids.HostID) bool {
	return s.origin.Documents().Load().Version > q.Version ||
		s.origin.PoisonRequests().Load().Revision > q.PoisonRequests ||
		s.origin.GroupStatus().Leader != leader
}

// check returns what a follower lacks, and the channels on which to wait for more. While changes are
// batched, only those concern it that may end the batch earlier: removals and, for a control host,
// local changes.
func (s *Source) check(q followRequest, batching bool) (signals, pending) {
	w := signals{
		documents: s.origin.Documents().Changed(),
		poisons:   s.origin.PoisonRequests().Changed(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pending{
		any:     s.directory.Change() > q.Change,
		local:   s.directory.LocalChange() > q.Change,
		removal: s.directory.LastRemoval() > q.Change,
		behind:  s.directory.Change() > q.Change+uint64(q.limit()),
	}
	p.delay = s.batchDelay(q, p)
	w.woken = s.changes.woken
	switch {
	case !p.any && !batching:
		w.servers = s.changes.servers
	case !p.removal:
		w.servers = s.changes.removal
	}
	if !q.EntryHost && !p.local {
		w.local = s.changes.local
	}
	return w, p
}

// limit returns the number of changes in a response (rule 11).
func (q followRequest) limit() int {
	if q.DigestsOnly {
		return maxDigests
	}
	return maxRecords
}

// batchDelay returns how long changes of servers are batched (rule 7). Other control hosts, which
// place requests by these records, get those that this host made after the minimum, unless they are a
// series. The caller holds the lock.
func (s *Source) batchDelay(q followRequest, p pending) time.Duration {
	var delay time.Duration
	switch {
	case q.EntryHost:
		delay = s.entryDelay(q.Backup)
	case !p.local:
		delay = relayDelay
	case s.changes.series:
		delay = seriesDelay
	default:
		return minBatchDelay
	}
	if p.removal || q.DigestsOnly {
		return delay
	}
	return additionFactor * delay
}

func (s *Source) entryDelay(backup int) time.Duration {
	delay := max(time.Duration(len(s.entryHosts))*batchDelayPerFollower, minBatchDelay)
	if backup == 0 {
		return min(delay, maxBatchDelay)
	}
	return min(time.Duration(backupFactor*backup)*delay, maxBackupDelay)
}

// Holds reports whether the directory has the record with a digest.
func (s *Source) Holds(g hingeannounce.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Holds(g)
}
