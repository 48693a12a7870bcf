package hingecontrol

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

const (
	// maxEarly bounds the announcements that are held, and maxEarlyName the names of their services, in bytes: anybody may
	// send them.
	maxEarly     = 4096
	maxEarlyName = 256
	// earlyTTL is how long an announcement is held, unless the heartbeats of servers are farther apart. A server that has sent
	// no other one since has probably ended.
	earlyTTL = 5 * time.Second
	// earlyIntervals is how many intervals of heartbeats an announcement is held at least.
	earlyIntervals = 2
)

// errUnknownService is the cause of a refused announcement of a server whose service isn't in the configuration of this host.
var errUnknownService = eris.New("not in the configuration of this host")

// earlyAnnouncements implements rule 4: it holds the newest announcements of servers whose service isn't configured. The
// configuration that adds it may still be on its way to this host, or to come. Without them, callers of its first route would be
// refused until the next heartbeats.
//
// They aren't in the directory, nor sent to other hosts: an unrelated sender must not replace the record of a server
// that has the same id, and this host may not know that server yet. It is safe for concurrent use.
type earlyAnnouncements struct {
	// ttl is how long an announcement is held.
	ttl time.Duration

	mu   sync.Mutex
	held map[hingeids.ServerID]earlyAnnouncement
}

type earlyAnnouncement struct {
	hingeannounce.Announcement
	receivedAt time.Time
}

func newEarlyAnnouncements(heartbeatInterval time.Duration) *earlyAnnouncements {
	return &earlyAnnouncements{
		ttl:  max(earlyTTL, earlyIntervals*heartbeatInterval),
		held: make(map[hingeids.ServerID]earlyAnnouncement),
	}
}

// hold holds an announcement that isn't accepted, and returns false for one that is. It refuses one that can't be held, and
// one of a server that leaves: other hosts may hold an earlier one, and none of them would know.
func (e *earlyAnnouncements) hold(now time.Time, a hingeannounce.Announcement, accepts func(hingeannounce.Announcement) bool) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if accepts(a) {
		delete(e.held, a.Server)
		return false, nil
	}
	old, found := e.held[a.Server]
	if a.Leaving {
		delete(e.held, a.Server)
	}
	if !found && len(e.held) >= maxEarly {
		e.removeExpired(now)
	}
	if a.Leaving || len(a.Service) > maxEarlyName || !found && len(e.held) >= maxEarly {
		return false, eris.Wrapf(errUnknownService, "service %q", a.Service[:min(len(a.Service), maxEarlyName)])
	}
	if !found || hingeannounce.Newer(a, old.Announcement) {
		e.held[a.Server] = earlyAnnouncement{
			Announcement: a,
			receivedAt:   now,
		}
	}
	return true, nil
}

// count returns the number of announcements that are held.
func (e *earlyAnnouncements) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

// forget removes the announcement of a server that has said that it leaves.
func (e *earlyAnnouncements) forget(id hingeids.ServerID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, id)
}

// take returns the announcements that are accepted now in the order in which they were received, the last one at an address being
// the one that counts, and holds them no longer. The caller has changed what is accepted before, so that none is held meanwhile
// that take doesn't return.
func (e *earlyAnnouncements) take(now time.Time, accepts func(hingeannounce.Announcement) bool) []earlyAnnouncement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(now)
	var out []earlyAnnouncement
	for id, x := range e.held {
		if accepts(x.Announcement) {
			out = append(out, x)
			delete(e.held, id)
		}
	}
	slices.SortFunc(out, func(a, b earlyAnnouncement) int {
		return a.receivedAt.Compare(b.receivedAt)
	})
	return out
}

// The caller holds the lock.
func (e *earlyAnnouncements) removeExpired(now time.Time) {
	for id, x := range e.held {
		if now.Sub(x.receivedAt) >= e.ttl {
			delete(e.held, id)
		}
	}
}
