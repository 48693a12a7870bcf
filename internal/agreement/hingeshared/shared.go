// Package hingeshared implements the replicated state machine of a cluster's
// configuration log. Its state is the configuration (hingeversion) and the list of
// poison requests, which crash servers (hingepoison).
//
//  1. A change of the list is encoded as a CBOR array, a configuration as a map. Logs
//     and snapshots of builds without the list therefore stay readable, and such
//     builds ignore changes of the list.
//  2. A published list is immutable. Its revision only increases.
package hingeshared

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

// Machine is the state machine. Its methods must be called from one goroutine. The
// cells that Documents and PoisonRequests return are safe for concurrent use.
type Machine struct {
	versions *hingeversion.Machine
	poisons  hingeboard.Cell[hingepoison.List]
}

// New returns a machine without a configuration and with an empty list.
func New() *Machine {
	m := &Machine{
		versions: hingeversion.New(),
	}
	m.poisons.Store(&hingepoison.List{})
	return m
}

// Documents returns the cell in which the newest configuration is published.
func (m *Machine) Documents() *hingeboard.Cell[hingeversion.Document] {
	return m.versions.Documents()
}

// PoisonRequests returns the cell in which the list of poison requests is published.
func (m *Machine) PoisonRequests() *hingeboard.Cell[hingepoison.List] {
	return &m.poisons
}

// Change is a change of the list of poison requests: it adds or replaces a record.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Record hingepoison.Record
}

// Encode encodes a change as a proposal for the log.
func (c Change) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	return b, eris.Wrap(err, "encode a change of the list of poison requests")
}

// The three high bits of a CBOR item's first byte are its major type (rule 1).
const (
	majorTypeMask  = 0xe0
	majorTypeArray = 0x80
)

// Apply applies a proposal. One that can't be decoded has no effect, on this host as
// on all others.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	if len(data) == 0 || data[0]&majorTypeMask != majorTypeArray {
		return m.versions.Apply(index, data)
	}
	var c Change
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil
	}
	m.poisons.Store(m.poisons.Load().With(c.Record))
	return nil
}

// snapshot is a configuration snapshot with the list as an additional field.
type snapshot struct {
	hingeversion.Document
	Poisons hingepoison.List `cbor:"3,keyasint,omitzero"`
}

// Snapshot encodes the configuration and the list.
func (m *Machine) Snapshot() []byte {
	b, err := cbor.Marshal(snapshot{
		Document: *m.Documents().Load(),
		Poisons:  *m.poisons.Load(),
	})
	if err != nil {
		// Numbers, strings and lists of them can always be encoded.
		panic(err)
	}
	return b
}

// Restore replaces the configuration and the list by those of a snapshot.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if len(b) > 0 {
		if err := cbor.Unmarshal(b, &s); err != nil {
			return eris.Wrap(err, "decode a snapshot of the configuration and the list of poison requests")
		}
	}
	if err := m.versions.Restore(b); err != nil {
		return err
	}
	m.poisons.Store(&s.Poisons)
	return nil
}
