package hingeconfig

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// HistoryEntry is an accepted change with the revision that it created.
type HistoryEntry struct {
	Revision hingeids.Revision `cbor:"1,keyasint" json:"revision"`
	Change   Change            `cbor:"2,keyasint" json:"change"`
}

// View is the configuration at one revision. It is immutable, as are its documents.
type View struct {
	Revision  hingeids.Revision
	Documents map[Path][]byte
	// OperatorRevision is the newest revision that an operator's change created; later
	// revisions contain only system changes.
	OperatorRevision hingeids.Revision
	// History lists the newest changes, oldest first, one for each revision.
	History []HistoryEntry
}

// Difference turns the documents of any revision from From to To into those of To.
type Difference struct {
	From    hingeids.Revision `cbor:"1,keyasint"`
	To      hingeids.Revision `cbor:"2,keyasint"`
	Puts    map[Path][]byte   `cbor:"3,keyasint,omitempty"`
	Deletes []Path            `cbor:"4,keyasint,omitempty"`
	// OperatorRevision is View.OperatorRevision at revision To, or To where that
	// isn't known.
	OperatorRevision hingeids.Revision `cbor:"5,keyasint,omitempty"`
}

// Get returns the document at a path and whether it exists.
func (v *View) Get(p Path) ([]byte, bool) {
	d, ok := v.Documents[p]
	return d, ok
}

// Diff returns the difference between two revisions. It reports false if the range is
// invalid or the history doesn't reach back far enough (rule 4).
func (v *View) Diff(from, to hingeids.Revision) (Difference, bool) {
	if from > to || to > v.Revision {
		return Difference{}, false
	}
	if v.Revision-from > hingeids.Revision(len(v.History)) {
		return Difference{}, false
	}
	d := Difference{
		From: from,
		To:   to,
		Puts: make(map[Path][]byte),

		OperatorRevision: min(v.OperatorRevision, to),
	}
	deleted := make(map[Path]bool)
	start := len(v.History) - int(v.Revision-from)
	for _, entry := range v.History[start : start+int(to-from)] {
		for p, doc := range entry.Change.Puts {
			d.Puts[p] = doc
			delete(deleted, p)
		}
		for _, p := range entry.Change.Deletes {
			delete(d.Puts, p)
			deleted[p] = true
		}
	}
	d.Deletes = slices.Sorted(maps.Keys(deleted))
	return d, true
}

// Bytes returns the size of the paths and documents.
func (d Difference) Bytes() int {
	n := totalBytes(d.Puts)
	for _, p := range d.Deletes {
		n += len(p)
	}
	return n
}

// FullDifference returns all documents as a difference from revision 0.
func (v *View) FullDifference() Difference {
	return Difference{
		To:   v.Revision,
		Puts: v.Documents,

		OperatorRevision: v.OperatorRevision,
	}
}

// Apply returns the view after a difference. The view has no history. A difference that
// ends before this view or begins after it is an error, so that a follower neither goes
// back nor skips changes.
func (v *View) Apply(d Difference) (*View, error) {
	if d.To < v.Revision || d.From > v.Revision {
		return nil, eris.Errorf("difference from revision %d to %d doesn't apply to revision %d", d.From, d.To, v.Revision)
	}
	next := &View{
		Revision:         d.To,
		OperatorRevision: d.OperatorRevision,
	}
	if d.From == 0 {
		// Puts holds all documents, so those missing from it were deleted.
		next.Documents = maps.Clone(d.Puts)
		return next, nil
	}
	next.Documents = withChanges(v.Documents, d.Puts, d.Deletes)
	return next, nil
}

func withChanges(old, puts map[Path][]byte, deletes []Path) map[Path][]byte {
	out := make(map[Path][]byte, len(old)+len(puts))
	maps.Copy(out, old)
	maps.Copy(out, puts)
	for _, p := range deletes {
		delete(out, p)
	}
	return out
}
