package hingemembers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

type messageKind uint8

// A probe is answered by an acknowledgement, a probe request asks the receiver to probe
// another host, and gossip carries facts only.
const (
	kindProbe messageKind = iota + 1
	kindAck
	kindProbeRequest
	kindGossip
)

// Message is a datagram between entry hosts.
type Message struct {
	Kind messageKind       `cbor:"1,keyasint"`
	From hingeids.Instance `cbor:"2,keyasint"`
	// Origin is the instance that started the probe, Round its round number.
	Origin hingeids.Instance `cbor:"3,keyasint"`
	Round  uint64            `cbor:"4,keyasint"`
	// About is the instance that acknowledged, or the host to probe.
	About hingeids.Instance `cbor:"5,keyasint"`
	// Leased reports that the acknowledgement renews the origin's instance lease.
	Leased       bool                             `cbor:"6,keyasint,omitempty"`
	Digest       uint64                           `cbor:"7,keyasint"`
	Hosts        []HostFact                       `cbor:"8,keyasint,omitempty"`
	FailureVotes []FailureVote                    `cbor:"9,keyasint,omitempty"`
	Servers      []hingeannounce.AgedAnnouncement `cbor:"10,keyasint,omitempty"`
}

// Table is everything that a host knows (rule 11).
type Table struct {
	From         hingeids.Instance                `cbor:"1,keyasint"`
	Hosts        []HostFact                       `cbor:"2,keyasint"`
	FailureVotes []FailureVote                    `cbor:"3,keyasint"`
	Servers      []hingeannounce.AgedAnnouncement `cbor:"4,keyasint"`
}

// Outgoing is a datagram to send.
type Outgoing struct {
	To      hingeids.HostID
	Message Message
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // Can't happen: all encoded types are representable in CBOR.
	}
	return b
}

func decode(b []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(b, v), "decoding a membership message")
}
