package hingespread

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// Link methods.
const (
	methodFollow hingelink.Method = "spread.follow"
	methodRecord hingelink.Method = "spread.witness"
	methodRecall hingelink.Method = "spread.recall"
	methodLag    hingelink.Method = "spread.lag"
)

type request struct {
	Incarnation hingeids.Incarnation `cbor:"1,keyasint"`
	Applied     hingeids.Revision    `cbor:"2,keyasint"`
	// ConfirmNewest requests a revision that the leader confirmed as the newest (rule 5).
	ConfirmNewest bool `cbor:"3,keyasint,omitempty"`
}

// Difference is nil if there is no newer revision.
type response struct {
	Revision hingeids.Revision `cbor:"1,keyasint"`
	// HasLeader is set if the source hears a leader (rule 3).
	HasLeader bool `cbor:"2,keyasint,omitempty"`
	// NewestConfirmed is set if no newer revision had been accepted when the request
	// arrived.
	NewestConfirmed bool                    `cbor:"3,keyasint,omitempty"`
	PollTime        time.Duration           `cbor:"4,keyasint"`
	Difference      *hingeconfig.Difference `cbor:"5,keyasint,omitempty"`
}

// revisionRecord is sent to record peers. Revision is in force at the sender, or
// about to be.
type revisionRecord struct {
	Revision hingeids.Revision `cbor:"1,keyasint"`
}

// recallResponse is a peer's response to a host that starts: its record of the host,
// if any, and its own configuration.
type recallResponse struct {
	HasRecord bool                   `cbor:"1,keyasint,omitempty"`
	Recorded  hingeids.Revision      `cbor:"2,keyasint,omitempty"`
	Documents hingeconfig.Difference `cbor:"3,keyasint"`
}

// Lag is how far a host is behind, as seen by its source. LastSeen is the time of its
// last request, LagSince is zero if it isn't behind; both are Unix times in
// nanoseconds.
type Lag struct {
	Host     hingeids.HostID   `cbor:"1,keyasint" json:"host"`
	Applied  hingeids.Revision `cbor:"2,keyasint" json:"applied"`
	Newest   hingeids.Revision `cbor:"3,keyasint" json:"newest"`
	LastSeen int64             `cbor:"4,keyasint" json:"heardAt"`
	LagSince int64             `cbor:"5,keyasint,omitempty" json:"lagSince,omitempty"`
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// The message types of this package can always be encoded.
		panic(err)
	}
	return b
}

func decode[T any](b []byte) (T, error) {
	var v T
	return v, eris.Wrap(cbor.Unmarshal(b, &v), "decode a message of configuration replication")
}
