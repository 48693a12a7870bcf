package hingesoak

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

// barred says why the content of a change must never be in force; empty if it may be.
type barred string

// A change is barred because it is invalid, or because its number was held with other content when it was first sent.
const (
	barredInvalid barred = "invalid"
	barredOther   barred = "other content under a version held"
)

// change is one content that was sent under a version.
type change struct {
	version uint64
	routes  map[string]hingeplatform.ConfigRoute
	call    hingeplatform.Call
	barred  barred
	sentAt  time.Time
	// ackedAt is when the first acknowledgement arrived, zero if none has.
	ackedAt time.Time
	// overtaken is set if a higher version had been acknowledged when it was first sent, so that it changes nothing.
	overtaken bool
}

// mayBeInForce reports whether the change may have been in force at some host before a moment.
func (c *change) mayBeInForce(before time.Time) bool {
	return c.barred == "" && !c.overtaken && !c.sentAt.After(before)
}

// runsBy reports whether the change's routes allow a service to run requests of a prefix.
func (c *change) runsBy(prefix string, service hingeids.Service) bool {
	return slices.ContainsFunc(c.routes[prefix].Shares, func(s hingeroutes.Share) bool {
		return s.Service == service && s.Weight > 0
	})
}

func (c *change) has(prefix string) bool {
	_, found := c.routes[prefix]
	return found
}

// history has the changes that were sent, in the order of their first sending.
type history struct {
	changes []*change
}

// addSent records the first sending of a change.
func (h *history) addSent(now time.Time, c *change) {
	c.sentAt = now
	c.overtaken = slices.ContainsFunc(h.changes, func(o *change) bool {
		return o.barred == "" && o.version > c.version && !o.ackedAt.IsZero()
	})
	h.changes = append(h.changes, c)
}

// due returns the newest version that was acknowledged a bound or longer before a moment, zero if there is none.
func (h *history) due(at time.Time, bound time.Duration) uint64 {
	newest := uint64(0)
	for _, c := range h.changes {
		if c.barred == "" && !c.ackedAt.IsZero() && at.Sub(c.ackedAt) > bound {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// lowest returns the lowest version from a version on that may be in force before a moment and fits, and whether one does.
func (h *history) lowest(from uint64, before time.Time, fits func(*change) bool) (uint64, bool) {
	out, found := uint64(0), false
	for _, c := range h.changes {
		if c.version >= from && c.mayBeInForce(before) && fits(c) && (!found || c.version < out) {
			out, found = c.version, true
		}
	}
	return out, found
}

// every reports whether a version from a version on may be in force before a moment, and all of them fit.
func (h *history) every(from uint64, before time.Time, fits func(*change) bool) bool {
	some := false
	for _, c := range h.changes {
		if c.version < from || !c.mayBeInForce(before) {
			continue
		}
		if !fits(c) {
			return false
		}
		some = true
	}
	return some
}

// longestTimeout returns the longest time limit of a prefix by the versions that may be in force.
func (h *history) longestTimeout(prefix string, from uint64, before time.Time) time.Duration {
	longest := time.Duration(0)
	for _, c := range h.changes {
		if c.version >= from && c.mayBeInForce(before) {
			longest = max(longest, c.routes[prefix].Timeout)
		}
	}
	return longest
}

// effect is a version that a host has obeyed at least, as a backend server has seen.
type effect struct {
	version uint64
	at      time.Time
}

// effects are what the servers have seen of one boot of an entry host.
type effects []effect

// obeyed returns the newest version whose effect was seen longer than slack before a moment.
func (e effects) obeyed(at time.Time, slack time.Duration) uint64 {
	newest := uint64(0)
	for _, x := range e {
		if at.Sub(x.at) > slack {
			newest = max(newest, x.version)
		}
	}
	return newest
}

// add records an effect, unless one of the same or a higher version was seen before.
func (e effects) add(x effect) effects {
	for _, y := range e {
		if y.version >= x.version && !y.at.After(x.at) {
			return e
		}
	}
	return append(e, x)
}
