package hingeconfig

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	maxAnswers = 16384
	maxHistory = 1024
)

// answerRecord holds the first answer to a change ID (rule 2).
type answerRecord struct {
	ID          ChangeID `cbor:"1,keyasint"`
	ContentHash uint64   `cbor:"2,keyasint"`
	Answer      Answer   `cbor:"3,keyasint"`
}

type state struct {
	Revision  hingeids.Revision `cbor:"1,keyasint"`
	Documents map[Path][]byte   `cbor:"2,keyasint"`
	History   []HistoryEntry    `cbor:"3,keyasint"`
	Answers   []answerRecord    `cbor:"4,keyasint"`
	// OperatorRevision is the newest revision that an operator's change created.
	OperatorRevision hingeids.Revision `cbor:"5,keyasint"`
	// LastChange is the newest accepted change of an operator.
	LastChange AcceptedChange `cbor:"6,keyasint"`
}

// Machine is the state machine. One goroutine calls Apply, Snapshot and Restore;
// the views may be read by any.
type Machine struct {
	state state
	index map[ChangeID]int
	// discardedAnswers counts the answers removed from state.Answers. The positions in
	// index include them, so they stay valid when an answer is removed.
	discardedAnswers int
	views            hingeboard.Cell[View]
}

// New returns an empty configuration at revision 0.
func New() *Machine {
	m := &Machine{
		index: make(map[ChangeID]int),
	}
	m.publish()
	return m
}

// Views returns the cell that holds the newest view.
func (m *Machine) Views() *hingeboard.Cell[View] {
	return &m.views
}

func (m *Machine) publish() {
	m.views.Store(&View{
		Revision:         m.state.Revision,
		Documents:        m.state.Documents,
		OperatorRevision: m.state.OperatorRevision,
		History:          m.state.History,
	})
}

// Apply applies a proposed change and returns its encoded Answer. Equal input in the
// same state gives equal bytes on every host.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var c Change
	if err := cbor.Unmarshal(data, &c); err != nil {
		return encode(malformedAnswer(m.state.Revision, eris.Wrap(err, "decode change")))
	}
	return encode(m.apply(c))
}

func malformedAnswer(r hingeids.Revision, err error) Answer {
	return Answer{
		Result:   Malformed,
		Revision: r,
		Problem:  err.Error(),
	}
}

func (m *Machine) apply(c Change) Answer {
	if err := c.check(); err != nil {
		return malformedAnswer(m.state.Revision, err)
	}
	// Rule 2.
	hash := c.contentHash()
	if sequence, found := m.index[c.ID]; found {
		r := m.state.Answers[sequence-m.discardedAnswers]
		if r.ContentHash == hash {
			return r.Answer
		}
		return Answer{
			Result:   ContentMismatch,
			Revision: m.state.Revision,
			Problem:  "change ID " + string(c.ID) + " was used before with other content",
		}
	}
	a := m.decide(c)
	m.recordAnswer(answerRecord{
		ID:          c.ID,
		ContentHash: hash,
		Answer:      a,
	})
	return a
}

func (m *Machine) decide(c Change) Answer {
	if c.System {
		return m.acceptSystemChange(c)
	}
	// Rule 1.
	if c.Expected < m.state.OperatorRevision || c.Expected > m.state.Revision {
		return Answer{
			Result:         Conflict,
			Revision:       m.state.Revision,
			AcceptedChange: m.firstConflicting(c.Expected),
		}
	}
	if n := totalBytes(withChanges(m.state.Documents, c.Puts, c.Deletes)); n > MaxTotalBytes {
		return malformedAnswer(m.state.Revision,
			eris.Errorf("the configuration would have %d bytes, the limit is %d", n, MaxTotalBytes))
	}
	m.accept(c)
	m.state.OperatorRevision = m.state.Revision
	m.state.LastChange = AcceptedChange{
		Operator: c.Operator,
		ID:       c.ID,
		Revision: m.state.Revision,
	}
	return m.acceptedAnswer()
}

func totalBytes(documents map[Path][]byte) int {
	n := 0
	for p, d := range documents {
		n += len(p) + len(d)
	}
	return n
}

// firstConflicting returns the first operator's change after the expected revision, or the
// newest one if the history doesn't reach back that far.
func (m *Machine) firstConflicting(expected hingeids.Revision) AcceptedChange {
	for _, h := range m.state.History {
		if h.Revision > expected && !h.Change.System && m.historyCovers(expected) {
			return AcceptedChange{
				Operator: h.Change.Operator,
				ID:       h.Change.ID,
				Revision: h.Revision,
			}
		}
	}
	return m.state.LastChange
}

func (m *Machine) historyCovers(r hingeids.Revision) bool {
	return r+hingeids.Revision(len(m.state.History)) >= m.state.Revision
}

// acceptSystemChange keeps only the incarnations that are higher than the stored ones
// (rule 3).
func (m *Machine) acceptSystemChange(c Change) Answer {
	higher := make(map[Path][]byte)
	for p, d := range c.Puts {
		if len(d) == 8 && bytes.Compare(d, m.state.Documents[p]) > 0 {
			higher[p] = d
		}
	}
	if len(higher) > 0 {
		c.Puts = higher
		m.accept(c)
	}
	return m.acceptedAnswer()
}

func (m *Machine) acceptedAnswer() Answer {
	return Answer{
		Result:   Accepted,
		Revision: m.state.Revision,
	}
}

// accept creates the next revision. It copies documents and history because published
// views share the old ones (rule 5).
func (m *Machine) accept(c Change) {
	m.state.Revision++
	m.state.Documents = withChanges(m.state.Documents, c.Puts, c.Deletes)
	old := m.state.History
	if len(old) >= maxHistory {
		old = old[len(old)-maxHistory+1:]
	}
	history := make([]HistoryEntry, 0, len(old)+1)
	history = append(history, old...)
	m.state.History = append(history, HistoryEntry{
		Revision: m.state.Revision,
		Change:   c,
	})
	m.publish()
}

func (m *Machine) recordAnswer(r answerRecord) {
	m.index[r.ID] = m.discardedAnswers + len(m.state.Answers)
	m.state.Answers = append(m.state.Answers, r)
	if len(m.state.Answers) > maxAnswers {
		delete(m.index, m.state.Answers[0].ID)
		m.state.Answers = m.state.Answers[1:]
		m.discardedAnswers++
	}
}

// Snapshot encodes the documents, the history and the kept answers.
func (m *Machine) Snapshot() []byte {
	return encode(m.state)
}

// Restore replaces the whole state by a snapshot; an empty one is revision 0.
func (m *Machine) Restore(b []byte) error {
	var s state
	if len(b) > 0 {
		if err := cbor.Unmarshal(b, &s); err != nil {
			return eris.Wrap(err, "decode configuration snapshot")
		}
	}
	m.state = s
	m.discardedAnswers = 0
	m.index = make(map[ChangeID]int, len(s.Answers))
	for i, r := range s.Answers {
		m.index[r.ID] = i
	}
	m.publish()
	return nil
}
