// Package hingeannounce reads the announcements of backend servers and tracks
// which servers are usable. There is no static list of backend servers: each one
// announces itself to any one entry host, repeats the announcement as a heartbeat
// with its load, and announces when it leaves.
//
//  1. Parse accepts an announcement only if it is complete and within bounds. A
//     rejection carries a Reason, so that the server's operator can correct it.
//  2. Of two announcements of one server the newer by (incarnation, sequence)
//     wins. An older one changes nothing, however late it arrives.
//  3. Leaving is final for its incarnation, in whatever order the leaving
//     announcement and the others arrive.
//  4. Entry hosts forward an announcement with its age, never with a time of day,
//     so that hosts whose clocks differ agree on how old it is.
//  5. A server that misses heartbeats becomes suspect, then is considered dead. The
//     permitted silence follows the heartbeat intervals observed before, within
//     bounds, so that slow heartbeats on a busy network don't count as a failure.
//     Death is not final: a newer sequence shows that the server is alive.
//  6. A server that left or died keeps an entry for a while, as a tombstone by
//     which late announcements are recognized. The number of tombstones is bounded.
//  7. Request routing reads an immutable View: the usable servers by zone and
//     model or service, each with the age of its load report.
//  8. A Directory is for fleets in which some hosts receive announcements and all
//     others follow them. A server's heartbeats go to one host, its owner, and only
//     changes are propagated: a new server, a new role, leaving, silence, a new
//     owner. All hosts hold a record as its owner sent it, with the sequence number of that
//     change; the newest number is known to the owner alone.
//  9. Only the owner, which received the newest report that it knows of, reports a server as silent. A host that
//     restarts, and gets a record of its own from another, is the owner again and expects a report within the
//     permitted silence.
//  10. Records of one server are ordered by incarnation, sequence, owner and silence, and the greater one wins at each
//     host, in whatever order they arrive: a silence counts only for the report after which its owner heard nothing.
//     An older record adds a leaving (rule 3) and nothing else.
//  11. A report that arrives late, or a second time, at another host than the server's owner makes that host an owner
//     that gets no further report and will find the server silent. So an owner that receives a record which its own
//     wins against, and which says something else, sends its own again. The other host then gives up its ownership;
//     as one record is the greatest, this ends, with at most two changes for each such report.
package hingeannounce

import (
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Kind is the type of work that a backend server does.
type Kind string

// The kinds of backend server. An engine of kind Both does prefill and decode.
const (
	Prefill Kind = "prefill"
	Decode  Kind = "decode"
	Both    Kind = "both"
	Service Kind = "service"
)

// Announcement describes a backend server and its load. The server posts it as JSON to
// /v1/announce at the server-facing address of any entry host and repeats it about twice a
// second as a heartbeat.
type Announcement struct {
	Server hingeids.ServerID `json:"server" cbor:"1,keyasint"`
	// Incarnation identifies one run of the server process; after it has left, the same
	// incarnation is never usable again.
	Incarnation hingeids.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64        `json:"sequence" cbor:"3,keyasint"`
	Kind     Kind          `json:"kind" cbor:"4,keyasint"`
	Zone     hingeids.Zone `json:"zone" cbor:"5,keyasint"`
	// Address is the IP address and port at which the server accepts requests and orders.
	Address string           `json:"address" cbor:"6,keyasint"`
	Model   hingeids.Model   `json:"model,omitempty" cbor:"7,keyasint,omitempty"`
	Service hingeids.Service `json:"service,omitempty" cbor:"8,keyasint,omitempty"`
	// Slots is the number of requests that a decode engine can hold at once.
	Slots hingeids.Slots `json:"slots,omitempty" cbor:"9,keyasint,omitempty"`
	// ChecksFence reports that the server rejects orders with an old fencing number. It is
	// false if the announcement doesn't contain it.
	ChecksFence bool `json:"checksFence,omitempty" cbor:"10,keyasint,omitempty"`
	// Leaving reports that the server accepts no new work; it is final for the
	// incarnation.
	Leaving bool `json:"leaving,omitempty" cbor:"11,keyasint,omitempty"`
	Load    Load `json:"load,omitzero" cbor:"12,keyasint,omitzero"`
}

// Load is a server's own load report. It may be out of date.
type Load struct {
	// Running counts the requests in progress, Queued those that wait at the server.
	Running int `json:"running" cbor:"1,keyasint"`
	Queued  int `json:"queued" cbor:"2,keyasint"`
	// QueuedTokens is the number of prompt tokens that wait at a prefill engine.
	QueuedTokens hingeids.Tokens `json:"queuedTokens" cbor:"3,keyasint"`
	// CacheBytes is the size of the KV cache in use, out of CacheLimit.
	CacheBytes hingeids.Bytes `json:"cacheBytes" cbor:"4,keyasint"`
	CacheLimit hingeids.Bytes `json:"cacheLimit" cbor:"5,keyasint"`
}
