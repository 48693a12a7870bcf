package hingeconfig

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Path names a document, for example "models/redacteur".
type Path string

// ChangeID is the operator's name for one change, the same in every resend.
type ChangeID string

// Bounds of one change: it has to fit one message of the log with room to spare.
const (
	longestPath   = 256
	largestChange = 2 << 20
	// largestWhole bounds all documents together: a host that is far behind gets them in one
	// answer (hingelink.MaxCall). It is some thousand times what a small operator writes.
	largestWhole = 3 << 20
)

// Change is a set of documents to put and paths to delete.
type Change struct {
	ID       ChangeID          `cbor:"1,keyasint" json:"id"`
	Expected hingeids.Revision `cbor:"2,keyasint" json:"expected"`
	Puts     map[Path][]byte   `cbor:"3,keyasint,omitempty" json:"puts,omitempty"`
	Deletes  []Path            `cbor:"4,keyasint,omitempty" json:"deletes,omitempty"`
	Operator string            `cbor:"5,keyasint" json:"operator"`
	// SentAt is the operator's clock, in nanoseconds since 1970. It is kept for
	// the history and takes no part in what makes a resend the same.
	SentAt int64 `cbor:"6,keyasint" json:"sentAt"`
	// Fact says that the system itself makes the change (rule 3).
	Fact bool `cbor:"7,keyasint,omitempty" json:"fact,omitempty"`
}

// canonical encodes maps in one order, so that equal content gives equal bytes
// on every host.
var canonical = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) []byte {
	b, err := canonical.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Encode gives the change as a proposal for the log.
func (c Change) Encode() []byte {
	return encode(c)
}

// contentSum tells a resend from another change under the same id.
func (c Change) contentSum() uint64 {
	c.SentAt = 0
	c.Deletes = slices.Clone(c.Deletes)
	slices.Sort(c.Deletes)
	return xxhash.Sum64(encode(c))
}

func (c Change) check() error {
	if c.ID == "" || len(c.ID) > longestPath {
		return eris.New("a change needs an id of at most 256 bytes")
	}
	if len(c.Puts)+len(c.Deletes) == 0 {
		return eris.New("the change changes nothing")
	}
	size := 0
	for p, d := range c.Puts {
		size += len(p) + len(d)
		if slices.Contains(c.Deletes, p) {
			return eris.Errorf("path %q is both put and deleted", p)
		}
	}
	if size > largestChange {
		return eris.Errorf("the change has %d bytes, the limit is %d", size, largestChange)
	}
	for _, p := range slices.Concat(slices.Collect(maps.Keys(c.Puts)), c.Deletes) {
		if p == "" || len(p) > longestPath {
			return eris.Errorf("path %q: want 1 to 256 bytes", p)
		}
		if c.Fact != isLife(p) {
			return eris.Errorf("path %q: facts, and only facts, stand under %q", p, livesPrefix)
		}
	}
	if c.Fact && len(c.Deletes) > 0 {
		return eris.New("a fact is never deleted")
	}
	return nil
}

// Result says what became of a change.
type Result uint8

// The results.
const (
	Accepted Result = iota + 1
	Conflict
	OtherContent
	Malformed
)

// Winner is the accepted change that another one lost against.
type Winner struct {
	Operator string            `cbor:"1,keyasint" json:"operator"`
	ID       ChangeID          `cbor:"2,keyasint" json:"id"`
	Revision hingeids.Revision `cbor:"3,keyasint" json:"revision"`
}

// Answer is the state machine's answer to a change.
type Answer struct {
	Result Result `cbor:"1,keyasint" json:"result"`
	// Revision is the one that the change made, or the newest one.
	Revision hingeids.Revision `cbor:"2,keyasint" json:"revision"`
	Winner   Winner            `cbor:"3,keyasint,omitzero" json:"winner,omitzero"`
	Problem  string            `cbor:"4,keyasint,omitempty" json:"problem,omitempty"`
}

// DecodeAnswer reads what Apply gave.
func DecodeAnswer(b []byte) (Answer, error) {
	var a Answer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return Answer{}, eris.Wrap(err, "answer to a change")
	}
	return a, nil
}

// Err gives the error for the operator, nil if the change is accepted. The
// verdict is proven: the state machine itself said that nothing was changed.
func (a Answer) Err() error {
	switch a.Result {
	case Accepted:
		return nil
	case Conflict:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeRevisionConflict, 0,
			eris.Errorf("conflict: %s's change %s made revision %d; the newest is %d",
				a.Winner.Operator, a.Winner.ID, a.Winner.Revision, a.Revision))
	case OtherContent:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeChangeOtherContent, 0, eris.New(a.Problem))
	default:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0, eris.New(a.Problem))
	}
}
