package hingenotice

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Subject is a server that states something about itself.
type Subject struct {
	Service hingeids.Service  `cbor:"1,keyasint"`
	Server  hingeids.ServerID `cbor:"2,keyasint"`
	// Engine is set for an engine, which serves streams, and not for a replica of a plain service.
	Engine bool `cbor:"3,keyasint,omitempty"`
}

// Statement is what a host knows of the statements of one server.
type Statement struct {
	Subject
	Notice Notice `cbor:"4,keyasint"`
}

// keepTime is how long a statement is kept that no answer repeats. A server that gets no requests for
// so long states it anew in its first answer.
const keepTime = 10 * time.Minute

// Known holds the statements in the answers that one host has received. It is not safe for concurrent
// use.
type Known struct {
	servers map[hingeids.ServerID]*known
	// changes counts the changes.
	changes uint64
}

type known struct {
	subject Subject
	limiter Limiter
	// leavingAt is when the server last stated that it leaves, zero if it doesn't.
	leavingAt time.Time
	// change is the number of the last change.
	change    uint64
	updatedAt time.Time
}

// Changes returns the number of changes so far.
func (k *Known) Changes() uint64 {
	return k.changes
}

// Update records the notice of an answer to a request sent at sentAt, and reports whether it changes
// what is known.
func (k *Known) Update(now, sentAt time.Time, subject Subject, n Notice) bool {
	entry := k.servers[subject.Server]
	if entry == nil {
		if n == (Notice{}) {
			return false
		}
		if k.servers == nil {
			k.servers = make(map[hingeids.ServerID]*known)
		}
		entry = &known{
			subject: subject,
		}
		k.servers[subject.Server] = entry
	}
	entry.updatedAt = now
	limitChanged := entry.limiter.Update(now, sentAt, n.RateLimit)
	leavingChanged := updateLeaving(&entry.leavingAt, now, sentAt, n.Leaving)
	if !limitChanged && !leavingChanged {
		return false
	}
	k.changes++
	entry.change = k.changes
	if !entry.limiter.Limited() && entry.leavingAt.IsZero() {
		delete(k.servers, subject.Server)
	}
	return true
}

// updateLeaving records in leavingAt whether an answer states that its server leaves, and reports whether this has
// changed. sentAt is as for Limiter.Update.
func updateLeaving(leavingAt *time.Time, now, sentAt time.Time, leaving bool) bool {
	left := !leavingAt.IsZero()
	switch {
	case leaving:
		*leavingAt = now
	case left && sentAt.Before(leavingAt.Add(transitTime)):
		return false
	default:
		*leavingAt = time.Time{}
	}
	return left != leaving
}

// Since returns the statements that changed after the given number of changes, and the present number.
// The placer learns of a removed limit by the answer itself.
func (k *Known) Since(change uint64) ([]Statement, uint64) {
	if change == k.changes {
		return nil, change
	}
	var out []Statement
	for _, entry := range k.servers {
		if entry.change > change {
			out = append(out, Statement{
				Subject: entry.subject,
				Notice: Notice{
					RateLimit: entry.limiter.rate,
					Leaving:   !entry.leavingAt.IsZero(),
				},
			})
		}
	}
	return out, k.changes
}

// RemoveExpired removes the statements of servers that are gone, and those that no answer has repeated
// for keepTime.
func (k *Known) RemoveExpired(now time.Time, gone func(hingeids.ServerID) bool) {
	for id, entry := range k.servers {
		if now.Sub(entry.updatedAt) > keepTime || gone(id) {
			delete(k.servers, id)
		}
	}
}
