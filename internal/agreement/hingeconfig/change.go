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

// Path is the name of a document, for example "models/redacteur".
type Path string

// ChangeID identifies one change and is the same in every resend of it.
type ChangeID string

// Limits in bytes. One change must fit into one message of the log.
const (
	maxPathBytes   = 256
	maxChangeBytes = 2 << 20
	// MaxTotalBytes limits all documents together: a host that is far behind receives
	// them in one answer (hingelink.MaxCall).
	MaxTotalBytes = 3 << 20
)

// Change writes a set of documents and deletes a set of paths in one revision.
type Change struct {
	ID       ChangeID          `cbor:"1,keyasint" json:"id"`
	Expected hingeids.Revision `cbor:"2,keyasint" json:"expected"`
	Puts     map[Path][]byte   `cbor:"3,keyasint,omitempty" json:"puts,omitempty"`
	Deletes  []Path            `cbor:"4,keyasint,omitempty" json:"deletes,omitempty"`
	Operator string            `cbor:"5,keyasint" json:"operator"`
	// SentAt is the operator's time of day in nanoseconds since 1970. It is stored in
	// the history; a resend may carry another value.
	SentAt int64 `cbor:"6,keyasint" json:"sentAt"`
	// System marks a system change (rule 3).
	System bool `cbor:"7,keyasint,omitempty" json:"fact,omitempty"`
}

// canonicalMode encodes maps in a fixed order, so that equal content has equal
// bytes on every host.
var canonicalMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) []byte {
	b, err := canonicalMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Encode encodes the change as a proposal for the log.
func (c Change) Encode() []byte {
	return encode(c)
}

// contentHash is equal for all resends of a change and ignores SentAt.
func (c Change) contentHash() uint64 {
	c.SentAt = 0
	c.Deletes = slices.Clone(c.Deletes)
	slices.Sort(c.Deletes)
	return xxhash.Sum64(encode(c))
}

func (c Change) check() error {
	if c.ID == "" || len(c.ID) > maxPathBytes {
		return eris.New("change ID must have 1 to 256 bytes")
	}
	if len(c.Puts)+len(c.Deletes) == 0 {
		return eris.New("the change has neither puts nor deletes")
	}
	size := 0
	for p, d := range c.Puts {
		size += len(p) + len(d)
		if slices.Contains(c.Deletes, p) {
			return eris.Errorf("path %q is both put and deleted", p)
		}
	}
	if size > maxChangeBytes {
		return eris.Errorf("the change has %d bytes, the limit is %d", size, maxChangeBytes)
	}
	for _, p := range slices.Concat(slices.Collect(maps.Keys(c.Puts)), c.Deletes) {
		if p == "" || len(p) > maxPathBytes {
			return eris.Errorf("path %q must have 1 to 256 bytes", p)
		}
		if c.System != isInstancePath(p) {
			return eris.Errorf("path %q: system changes write only under %q, and operators' changes never do", p, instancesPrefix)
		}
	}
	if c.System && len(c.Deletes) > 0 {
		return eris.New("a system change can't delete documents")
	}
	return nil
}

// Result is the outcome of a proposed change.
type Result uint8

// The results.
const (
	Accepted Result = iota + 1
	// Conflict means that another operator's change was accepted first (rule 1).
	Conflict
	// ContentMismatch means that the ID was used before with other content (rule 2).
	ContentMismatch
	// Malformed means that the change can't be decoded or breaks a limit.
	Malformed
)

// AcceptedChange identifies the accepted change that a refused one conflicts with.
type AcceptedChange struct {
	Operator string            `cbor:"1,keyasint" json:"operator"`
	ID       ChangeID          `cbor:"2,keyasint" json:"id"`
	Revision hingeids.Revision `cbor:"3,keyasint" json:"revision"`
}

// Answer is the state machine's answer to a change.
type Answer struct {
	Result Result `cbor:"1,keyasint" json:"result"`
	// Revision is the revision that the change created, or the newest one if it was
	// refused.
	Revision       hingeids.Revision `cbor:"2,keyasint" json:"revision"`
	AcceptedChange AcceptedChange    `cbor:"3,keyasint,omitzero" json:"winner,omitzero"`
	Problem        string            `cbor:"4,keyasint,omitempty" json:"problem,omitempty"`
}

// DecodeAnswer decodes the result of Machine.Apply.
func DecodeAnswer(b []byte) (Answer, error) {
	var a Answer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return Answer{}, eris.Wrap(err, "decode answer to a change")
	}
	return a, nil
}

// Err returns the error for the operator, nil if the change was accepted. Its
// verdict is always NotRun, since the state machine itself refused the change.
func (a Answer) Err() error {
	switch a.Result {
	case Accepted:
		return nil
	case Conflict:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeRevisionConflict, 0,
			eris.Errorf("conflict: %s's change %s made revision %d; the newest is %d",
				a.AcceptedChange.Operator, a.AcceptedChange.ID, a.AcceptedChange.Revision, a.Revision))
	case ContentMismatch:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeChangeOtherContent, 0, eris.New(a.Problem))
	default:
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0, eris.New(a.Problem))
	}
}
