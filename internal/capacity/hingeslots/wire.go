package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type messageKind uint8

const (
	kindRequestDelegation messageKind = iota + 1
	kindDelegate
	kindReturn
	kindRequestYield
	kindYield
	kindAcquire
	kindGrant
	kindRefuse
	kindRelease
)

// Message is a message between entry hosts of one zone. Its kind determines which
// fields are set.
type Message struct {
	Kind   messageKind       `cbor:"1,keyasint"`
	From   hingeids.Instance `cbor:"2,keyasint"`
	Engine hingeids.ServerID `cbor:"3,keyasint"`
	// Incarnation is the incarnation of the engine.
	Incarnation hingeids.Incarnation `cbor:"4,keyasint"`
	// Number identifies a message of the sender and is returned in the answer.
	Number uint64          `cbor:"5,keyasint,omitempty"`
	Pool   hingeids.HostID `cbor:"6,keyasint,omitempty"`
	// Serial numbers the delegations of a pool, or the grants of an allocator.
	Serial uint64 `cbor:"7,keyasint,omitempty"`
	// Duration is the duration of a delegation, or the start timeout of a grant.
	Duration  time.Duration      `cbor:"8,keyasint,omitempty"`
	Size      hingeids.Slots     `cbor:"9,keyasint,omitempty"`
	Occupancy []wireReservation  `cbor:"10,keyasint,omitempty"`
	Seen      []seenDelegation   `cbor:"11,keyasint,omitempty"`
	Claims    []claim            `cbor:"12,keyasint,omitempty"`
	ID        hingeids.RequestID `cbor:"13,keyasint,omitzero"`
	Waiting   []waitingRequest   `cbor:"14,keyasint,omitempty"`
	// Withdrawn is set if the request no longer waits.
	Withdrawn bool `cbor:"15,keyasint,omitempty"`
}

type wireReservation struct {
	ID     hingeids.RequestID `cbor:"1,keyasint"`
	Serial uint64             `cbor:"2,keyasint,omitempty"`
	// Remaining is the time that the request still has to start.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
}

// seenDelegation is the newest delegation of a pool that the sender has received.
type seenDelegation struct {
	Pool   hingeids.HostID   `cbor:"1,keyasint"`
	Serial uint64            `cbor:"2,keyasint"`
	Owner  hingeids.Instance `cbor:"3,keyasint"`
	// Active is set if the sender still holds the delegation.
	Active bool `cbor:"4,keyasint,omitempty"`
}

type waitingRequest struct {
	ID hingeids.RequestID `cbor:"1,keyasint"`
	// Priority orders waiting requests; a higher priority is served first.
	Priority int `cbor:"2,keyasint,omitempty"`
}

// claim names the pool from which a holder's request was granted.
type claim struct {
	ID   hingeids.RequestID `cbor:"1,keyasint"`
	Pool hingeids.HostID    `cbor:"2,keyasint"`
}

// Outgoing is a message to send to another host.
type Outgoing struct {
	To      hingeids.HostID
	Message Message
}
