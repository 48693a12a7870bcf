package hingeslots

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type messageKind uint8

const (
	kindBorrow messageKind = iota + 1
	kindLend
	kindGiveBack
	kindAskYield
	kindYield
	kindAcquire
	kindGrant
	kindRefuse
	kindRelease
)

// Message goes between the entry hosts of one zone. Which fields count depends
// on its kind.
type Message struct {
	Kind   messageKind       `cbor:"1,keyasint"`
	From   hingeids.Instance `cbor:"2,keyasint"`
	Engine hingeids.ServerID `cbor:"3,keyasint"`
	// Incarnation is the engine's.
	Incarnation hingeids.Incarnation `cbor:"4,keyasint"`
	// Number is the sender's of a question, echoed in its answer.
	Number uint64          `cbor:"5,keyasint,omitempty"`
	Pool   hingeids.HostID `cbor:"6,keyasint,omitempty"`
	// Serial numbers loans of a pool, or grants of a granter.
	Serial uint64 `cbor:"7,keyasint,omitempty"`
	// For is how long a loan lasts, or within what time a grant must start.
	For   time.Duration      `cbor:"8,keyasint,omitempty"`
	Size  hingeids.Slots     `cbor:"9,keyasint,omitempty"`
	Book  []wireEntry        `cbor:"10,keyasint,omitempty"`
	Seen  []seenLoan         `cbor:"11,keyasint,omitempty"`
	Claim []claim            `cbor:"12,keyasint,omitempty"`
	ID    hingeids.RequestID `cbor:"13,keyasint,omitzero"`
	Waits []wait             `cbor:"14,keyasint,omitempty"`
	// Gone says that the request waits no more.
	Gone bool `cbor:"15,keyasint,omitempty"`
}

// wireEntry is an entry of a book on its way.
type wireEntry struct {
	ID     hingeids.RequestID `cbor:"1,keyasint"`
	Serial uint64             `cbor:"2,keyasint,omitempty"`
	// Left is how long the request may still take to start.
	Left time.Duration `cbor:"3,keyasint,omitempty"`
}

// seenLoan is the newest loan of a pool that a borrower got.
type seenLoan struct {
	Pool   hingeids.HostID   `cbor:"1,keyasint"`
	Serial uint64            `cbor:"2,keyasint"`
	Owner  hingeids.Instance `cbor:"3,keyasint"`
	// Live says that the borrower still has it.
	Live bool `cbor:"4,keyasint,omitempty"`
}

// wait is a request that waits for a slot.
type wait struct {
	ID hingeids.RequestID `cbor:"1,keyasint"`
	// Priority orders waiters: the higher goes first.
	Priority int `cbor:"2,keyasint,omitempty"`
}

// claim says from which pool a holder's request was granted.
type claim struct {
	ID   hingeids.RequestID `cbor:"1,keyasint"`
	Pool hingeids.HostID    `cbor:"2,keyasint"`
}

// Outgoing is a datagram to send.
type Outgoing struct {
	To      hingeids.HostID
	Message Message
}
