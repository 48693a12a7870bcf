package hingenotice

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
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

// Known holds the statements in the answers that one host has received. It is not safe for concurrent
// use.
type Known struct {
	servers map[hingeids.ServerID]*known
	// backoffs has the servers that want no requests of this host for a time.
	backoffs map[hingeids.ServerID]backoff
	// changes counts the changes.
	changes uint64
}

type known struct {
	subject Subject
	tracked
	// change is the number of the last change.
	change uint64
}

type backoff struct {
	service hingeids.Service
	until   time.Time
}

// Changes returns the number of changes so far.
func (k *Known) Changes() uint64 {
	return k.changes
}

// Update records the notice of an answer to a request sent at sentAt, and reports whether it changes
// what is known.
func (k *Known) Update(now, sentAt time.Time, subject Subject, n Notice) bool {
	refused := k.updateBackoff(now, subject, n.Backoff)
	n.Backoff = 0
	return k.updateRestriction(now, sentAt, subject, n) || refused
}

// updateBackoff reports whether the server wants no requests of this host from now on.
func (k *Known) updateBackoff(now time.Time, subject Subject, d time.Duration) bool {
	if d == 0 {
		return false
	}
	if k.backoffs == nil {
		k.backoffs = make(map[hingeids.ServerID]backoff)
	}
	before := k.backoffs[subject.Server].until
	k.backoffs[subject.Server] = backoff{
		service: subject.Service,
		until:   hingeclock.Later(before, now.Add(d)),
	}
	return before.Before(now)
}

func (k *Known) updateRestriction(now, sentAt time.Time, subject Subject, n Notice) bool {
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
	if !entry.Update(now, sentAt, n) {
		return false
	}
	k.changes++
	entry.change = k.changes
	if entry.empty() {
		delete(k.servers, subject.Server)
	}
	return true
}

// Notice returns what is known of a server.
func (k *Known) Notice(id hingeids.ServerID) Notice {
	if entry := k.servers[id]; entry != nil {
		return entry.notice()
	}
	return Notice{}
}

// BackoffUntil returns the time before which a server wants no requests of this host.
func (k *Known) BackoffUntil(id hingeids.ServerID) time.Time {
	return k.backoffs[id].until
}

// Backoffs returns the usable servers of a service that want no requests of this host now, at most the given number,
// how many they are in all, and when the first of them accepts requests again.
func (k *Known) Backoffs(
	now time.Time, service hingeids.Service, usable func(hingeids.ServerID) bool, most int,
) (list []hingeids.ServerID, count int, first time.Time) {
	for id, b := range k.backoffs {
		if b.service != service || !now.Before(b.until) || !usable(id) {
			continue
		}
		if count == 0 || b.until.Before(first) {
			first = b.until
		}
		count++
		if len(list) < most {
			list = append(list, id)
		}
	}
	return list, count, first
}

// Leaving reports whether a server has stated to this host that it leaves.
func (k *Known) Leaving(now time.Time, id hingeids.ServerID) bool {
	entry := k.servers[id]
	return entry != nil && entry.Leaving(now)
}

// Since returns the statements that changed after the given number of changes, and the present number.
// The placer learns by the answer itself that a server states nothing any more.
func (k *Known) Since(change uint64) ([]Statement, uint64) {
	if change == k.changes {
		return nil, change
	}
	var out []Statement
	for _, entry := range k.servers {
		if entry.change > change {
			out = append(out, Statement{
				Subject: entry.subject,
				Notice:  entry.notice(),
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
	for id, b := range k.backoffs {
		if !now.Before(b.until) || gone(id) {
			delete(k.backoffs, id)
		}
	}
}
