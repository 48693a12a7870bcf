// Package hingepaths decides how an entry host connects to a backend server: itself, or through another entry host. It has no
// clock, no sockets and no goroutines.
//
// A host can lose its path to some or all servers while callers, control hosts and other entry hosts still reach it.
//
//  1. "I can't reach it" is not "it is down". A server counts as cut off from this host only once another host has connected
//     to it after this one failed.
//  2. A server that is cut off is reached through another host at once. Every probeInterval one request tries the server itself
//     first, and its success ends the rule: the path is found again by the host's own traffic, without any other.
//  3. A host that has lost the path to several servers and reached none since suspects that it reaches none. It then
//     waits only briefly for its own connections to the others.
//  4. Hosts that have connected for this one come first, in turn; then the ones without a result; last those that failed.
//  5. A host that suspects itself of being cut off (rule 3) says of no server that it is down, and connects for no others for
//     declineTime after its last failure. A helper connects itself or not at all, so that no request is passed in a circle.
//  6. What is remembered depends on the servers that the host's own requests use, and expires.
package hingepaths

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// probeInterval is the interval between a host's own attempts at a server that is cut off from it.
	probeInterval = 250 * time.Millisecond
	// hedgeDelay is how long a host waits for its own connection before it requests a tunnel. It is well above a round trip between
	// zones and lets a request whose connection hangs still meet a target of a tenth of a second. patientDelay is the same
	// while the host reaches other servers: then the server is probably down.
	hedgeDelay   = 50 * time.Millisecond
	patientDelay = 100 * time.Millisecond
	// suspectDelay is the same once the host is suspected to be cut off.
	suspectDelay = 10 * time.Millisecond
	// suspectServers is the number of servers in a row that have to be cut off to suspect the host.
	suspectServers = 2
	// declineTime is how long after a failure a suspected host connects for no others. Then it tries, as it may have no
	// requests of its own that would show that it reaches servers.
	declineTime = time.Second
	// memoryTime is how long an unused server or helper is remembered.
	memoryTime = 10 * time.Second
	// helperPause is how long a host that failed to help comes after all others.
	helperPause = time.Second
	// maxServers and maxHelpers bound what is remembered.
	maxServers = 4096
	maxHelpers = 64
)

// Address is the address of a backend server.
type Address string

// Plan is how to connect to a server.
type Plan struct {
	// Direct is set if the host tries itself. It requests a tunnel when it has failed, or after HedgeAfter.
	Direct     bool
	HedgeAfter time.Duration
}

type server struct {
	cutOff    bool
	nextProbe time.Time
	lastUsed  time.Time
}

type helper struct {
	succeededAt time.Time
	failedAt    time.Time
	requestedAt time.Time
}

// Paths holds what a host knows of its paths. It is not safe for concurrent use.
type Paths struct {
	servers map[Address]*server
	helpers map[hingeids.HostID]*helper
	cutOff  int
	// failedSince are the servers that the host failed to reach since it last reached one.
	failedSince map[Address]bool
	failedAt    time.Time
	// reachedAt is when the host last reached a server, reached that server.
	reachedAt time.Time
	reached   Address
}

// New returns the state of a host that has connected to nothing yet.
func New() *Paths {
	return &Paths{
		servers:     make(map[Address]*server),
		helpers:     make(map[hingeids.HostID]*helper),
		failedSince: make(map[Address]bool),
	}
}

// Plan returns how to connect to a server now.
func (p *Paths) Plan(now time.Time, a Address) Plan {
	s := p.servers[a]
	switch {
	case s != nil && s.cutOff && now.Before(s.nextProbe):
		s.lastUsed = now
		return Plan{}
	case s != nil && s.cutOff:
		s.lastUsed = now
		s.nextProbe = now.Add(probeInterval)
		return Plan{
			Direct:     true,
			HedgeAfter: suspectDelay,
		}
	case p.Suspected():
		return Plan{
			Direct:     true,
			HedgeAfter: suspectDelay,
		}
	case now.Sub(p.reachedAt) < patientDelay:
		return Plan{
			Direct:     true,
			HedgeAfter: patientDelay,
		}
	}
	return Plan{
		Direct:     true,
		HedgeAfter: hedgeDelay,
	}
}

// Suspected reports whether this host seems to reach no server (rule 3).
func (p *Paths) Suspected() bool {
	return len(p.failedSince) >= suspectServers
}

// Declines reports whether this host connects for no others (rule 5).
func (p *Paths) Declines(now time.Time) bool {
	return p.Suspected() && now.Sub(p.failedAt) < declineTime
}

// CutOff returns the number of servers that are cut off from this host.
func (p *Paths) CutOff() int {
	return p.cutOff
}

// RecordReached records that the host connected to a server itself.
func (p *Paths) RecordReached(now time.Time, a Address) {
	p.reachedAt = now
	p.reached = a
	clear(p.failedSince)
	p.forget(a)
}

// RecordFailed records that the host didn't connect to a server itself.
func (p *Paths) RecordFailed(now time.Time, a Address) {
	p.failedAt = now
	if len(p.failedSince) < suspectServers {
		p.failedSince[a] = true
	}
}

// RecordOpened records that the host of the last RecordRequested connected to a server. That says nothing
// of the path if this host has reached the server itself meanwhile.
func (p *Paths) RecordOpened(now time.Time, a Address, h hingeids.HostID) {
	x := p.helper(h)
	x.succeededAt = now
	if p.reached == a && !p.reachedAt.Before(x.requestedAt) {
		return
	}
	s := p.servers[a]
	if s == nil {
		if len(p.servers) >= maxServers {
			return
		}
		s = &server{}
		p.servers[a] = s
	}
	if !s.cutOff {
		s.cutOff = true
		p.cutOff++
		s.nextProbe = now.Add(probeInterval)
	}
	s.lastUsed = now
}

// RecordUnavailable records that a host didn't answer, or can't help.
func (p *Paths) RecordUnavailable(now time.Time, h hingeids.HostID) {
	p.helper(h).failedAt = now
}

// RecordDown records that another host failed to reach a server too: it isn't cut off, it is down.
func (p *Paths) RecordDown(a Address) {
	delete(p.failedSince, a)
	p.forget(a)
}

func (p *Paths) forget(a Address) {
	if s := p.servers[a]; s != nil {
		if s.cutOff {
			p.cutOff--
		}
		delete(p.servers, a)
	}
}

func (p *Paths) helper(id hingeids.HostID) *helper {
	h := p.helpers[id]
	if h == nil {
		if len(p.helpers) >= maxHelpers {
			p.dropOldestHelper()
		}
		h = &helper{}
		p.helpers[id] = h
	}
	return h
}

func (p *Paths) dropOldestHelper() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(p.helpers)), func(a, b hingeids.HostID) int {
		return p.helpers[a].requestedAt.Compare(p.helpers[b].requestedAt)
	})
	delete(p.helpers, oldest)
}

// Order returns the candidates in the order of rule 4, and whether the first one has connected for this host lately.
func (p *Paths) Order(now time.Time, candidates []hingeids.HostID) (order []hingeids.HostID, proven bool) {
	rank := func(id hingeids.HostID) int {
		h := p.helpers[id]
		switch {
		case h == nil:
			return 1
		case now.Sub(h.failedAt) < helperPause && !h.succeededAt.After(h.failedAt):
			return 2
		case now.Sub(h.succeededAt) < memoryTime:
			return 0
		}
		return 1
	}
	requested := func(id hingeids.HostID) time.Time {
		if h := p.helpers[id]; h != nil {
			return h.requestedAt
		}
		return time.Time{}
	}
	order = slices.Clone(candidates)
	slices.SortStableFunc(order, func(a, b hingeids.HostID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), requested(a).Compare(requested(b)))
	})
	return order, len(order) > 0 && rank(order[0]) == 0
}

// RecordRequested records that a tunnel is requested of a host now.
func (p *Paths) RecordRequested(now time.Time, h hingeids.HostID) {
	p.helper(h).requestedAt = now
}

// RemoveExpired implements rule 6.
func (p *Paths) RemoveExpired(now time.Time) {
	for a, s := range p.servers {
		if now.Sub(s.lastUsed) > memoryTime {
			p.forget(a)
		}
	}
	maps.DeleteFunc(p.helpers, func(_ hingeids.HostID, h *helper) bool {
		return now.Sub(h.requestedAt) > memoryTime
	})
	if now.Sub(p.failedAt) > memoryTime && p.cutOff == 0 {
		clear(p.failedSince)
	}
}
