// Package hingenotice interprets what backend servers state about themselves in their answers. It has no
// clock, no sockets and no goroutines.
//
// It is meant for servers that are overloaded or shut down and say so: only the router can act on it,
// and the directory learns of it late or never, since the server's heartbeats may arrive at a control
// host that is cut off.
//
//  1. A server can restrict only itself. A value that can't be read counts as absent, and the answer
//     that carried it is forwarded all the same.
//  2. A restriction takes effect at once. It is eased only by the answer to a request that was sent
//     after the restriction was last stated, since answers of different connections overtake each
//     other.
//  3. A rate limit applies to all hosts together. The placer spaces the requests of all hosts
//     (Limiter). A host that places locally may send in short windows only, at times that differ
//     between hosts (Part), so that all such hosts together stay within the limit at any number.
//  4. A server that refuses a request may ask for a pause (Notice.Backoff). It applies to the host whose
//     request was refused and to no other, and ends by itself.
//  5. A statement belongs to one incarnation of a server. It is neither inherited nor eased by a
//     successor at the same address.
package hingenotice

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Notice is what a server states about itself in one answer. The zero value states nothing.
type Notice struct {
	// RateLimit is the rate of requests that the server accepts from all hosts together, zero if the
	// answer names none.
	RateLimit hingeids.RequestsPerSecond `cbor:"1,keyasint,omitempty"`
	// Leaving means that the server is about to shut down and accepts no new requests.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Backoff is the time for which the server wants no requests of the host that it has refused one, zero if it states
	// none. It is no matter of the placer's: the outcome says that the host was refused.
	Backoff time.Duration `cbor:"-"`
}
