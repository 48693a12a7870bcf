package hingenotice

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Statement is what a host knows of the statements of one server.
type Statement struct {
	Service hingeids.Service  `cbor:"1,keyasint"`
	Server  hingeids.ServerID `cbor:"2,keyasint"`
	Notice  Notice            `cbor:"3,keyasint"`
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
	service hingeids.Service
	limiter Limiter
	// change is the number of the last change.
	change    uint64
	updatedAt time.Time
}

// Len returns the number of servers with a statement.
func (k *Known) Len() int {
	return len(k.servers)
}

// Update records the notice of an answer to a request sent at sentAt, and reports whether it changes
// what is known.
func (k *Known) Update(now, sentAt time.Time, service hingeids.Service, id hingeids.ServerID, n Notice) bool {
	entry := k.servers[id]
	if entry == nil {
		if n == (Notice{}) {
			return false
		}
		if k.servers == nil {
			k.servers = make(map[hingeids.ServerID]*known)
		}
		entry = &known{
			service: service,
		}
		k.servers[id] = entry
	}
	entry.updatedAt = now
	if !entry.limiter.Update(now, sentAt, n.RateLimit) {
		return false
	}
	k.changes++
	entry.change = k.changes
	if !entry.limiter.Limited() {
		delete(k.servers, id)
	}
	return true
}

// Since returns the statements that changed after the given number of changes, and the present number.
// The placer learns of a removed limit by the answer itself.
func (k *Known) Since(change uint64) ([]Statement, uint64) {
	if change == k.changes {
		return nil, change
	}
	var out []Statement
	for id, entry := range k.servers {
		if entry.change > change {
			out = append(out, Statement{
				Service: entry.service,
				Server:  id,
				Notice: Notice{
					RateLimit: entry.limiter.rate,
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
