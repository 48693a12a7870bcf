// Package hingeannounce takes the announcements of backend servers. There is
// no list of backend servers: each tells any one entry host that it is there,
// repeats it as a heartbeat with its load, and tells when it leaves.
//
//  1. Parse takes an announcement only whole and in bounds; what it refuses it
//     refuses with a Reason, so that the server's operator can mend it.
//  2. Of two announcements of one server the newer by (incarnation, sequence)
//     stands. An older one changes nothing, however late it comes.
//  3. Leaving is final for its incarnation, also when the announcement that says
//     so overtakes others or is overtaken.
//  4. An announcement travels between entry hosts with its age, never with a time
//     of day, so that hosts whose clocks differ agree on how old it is.
//  5. A server that misses heartbeats is suspect, then gone. How long it may be
//     silent follows the gaps seen before, within bounds: heartbeats that
//     come slowly through a busy network are not taken for a death. Gone is not
//     final: a newer sequence shows that the server lives.
//  6. What left or is gone stays known for a while, so that a late announcement
//     finds its tombstone. Their number is bounded.
//  7. Traffic reads an immutable View: the usable servers by zone and model or
//     service, each with the age of its load report.
//  8. A Directory is for fleets where some hosts take announcements and all others follow
//     them. A server's heartbeats go to one host, its owner, and only changes are
//     told on: a new server, a new role, leaving, silence, a new owner.
//  9. Silence is told by the owner alone. If a server finds a new owner, its newer
//     heartbeat there stands above the old owner's word that it is silent.
package hingeannounce

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Kind says what a backend server does.
type Kind string

// The kinds of backend server. An engine of kind Both does prefill and decode.
const (
	Prefill Kind = "prefill"
	Decode  Kind = "decode"
	Both    Kind = "both"
	Service Kind = "service"
)

// Announcement is what a backend server says of itself, posted as JSON to
// /v1/announce at any entry host's address for servers, again as a heartbeat
// about twice a second.
type Announcement struct {
	Server hingeids.ServerID `json:"server" cbor:"1,keyasint"`
	// Incarnation is the life of the server; one that left never returns.
	Incarnation hingeids.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64        `json:"sequence" cbor:"3,keyasint"`
	Kind     Kind          `json:"kind" cbor:"4,keyasint"`
	Zone     hingeids.Zone `json:"zone" cbor:"5,keyasint"`
	// Address is the IP number and port that takes requests and orders.
	Address string           `json:"address" cbor:"6,keyasint"`
	Model   hingeids.Model   `json:"model,omitempty" cbor:"7,keyasint,omitempty"`
	Service hingeids.Service `json:"service,omitempty" cbor:"8,keyasint,omitempty"`
	// Slots is how many requests a decode engine holds at once.
	Slots hingeids.Slots `json:"slots,omitempty" cbor:"9,keyasint,omitempty"`
	// ChecksFence says that the server refuses orders with an old fencing
	// number; a server that says nothing is taken not to check.
	ChecksFence bool `json:"checksFence,omitempty" cbor:"10,keyasint,omitempty"`
	// Leaving says that the server takes no new work from now on; it is final
	// for the incarnation.
	Leaving bool `json:"leaving,omitempty" cbor:"11,keyasint,omitempty"`
	Load    Load `json:"load,omitzero" cbor:"12,keyasint"`
}

// Load is a server's report of its own load; it lags.
type Load struct {
	// Running counts requests in progress, Queued those that wait at the server.
	Running int `json:"running" cbor:"1,keyasint"`
	Queued  int `json:"queued" cbor:"2,keyasint"`
	// QueuedTokens is the prompt work that waits at a prefill engine.
	QueuedTokens hingeids.Tokens `json:"queuedTokens" cbor:"3,keyasint"`
	// CacheBytes is the KV cache held, of CacheLimit.
	CacheBytes hingeids.Bytes `json:"cacheBytes" cbor:"4,keyasint"`
	CacheLimit hingeids.Bytes `json:"cacheLimit" cbor:"5,keyasint"`
}
