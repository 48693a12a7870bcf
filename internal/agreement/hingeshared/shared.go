// Package hingeshared is the state machine of a fleet's log: the configuration (hingeversion) and the list of the requests that
// end servers (hingepoison).
//
//  1. A change of the list is an array where a configuration is a map, so that logs and snapshots that were written before there was
//     a list are read as they are. A host that doesn't know of lists passes such a change over.
//  2. A published list is never changed afterwards. Its revision only grows.
package hingeshared

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

// Machine is the state machine. Its methods are for one goroutine; what it publishes is for all.
type Machine struct {
	versions *hingeversion.Machine
	poisons  hingeboard.Cell[hingepoison.List]
}

// New makes a machine that holds nothing.
func New() *Machine {
	m := &Machine{
		versions: hingeversion.New(),
	}
	m.poisons.Store(&hingepoison.List{})
	return m
}

// Views is where the newest configuration is published.
func (m *Machine) Views() *hingeboard.Cell[hingeversion.Document] {
	return m.versions.Views()
}

// Poisons is where the list of the requests that end servers is published.
func (m *Machine) Poisons() *hingeboard.Cell[hingepoison.List] {
	return &m.poisons
}

// Change is a change of the list.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Record hingepoison.Record
}

// Encode gives a change as a proposal for the log.
func (c Change) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	return b, eris.Wrap(err, "encode a change of the list")
}

// arrayBits are the first three bits of an array (rule 1).
const (
	arrayMask = 0xe0
	arrayBits = 0x80
)

// Apply takes a proposal. One that can't be read changes nothing, on this host as on any other.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	if len(data) == 0 || data[0]&arrayMask != arrayBits {
		return m.versions.Apply(index, data)
	}
	var c Change
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil
	}
	m.poisons.Store(m.poisons.Load().With(c.Record))
	return nil
}

// snapshot is a configuration's with the list beside it.
type snapshot struct {
	hingeversion.Document
	Poisons hingepoison.List `cbor:"3,keyasint,omitzero"`
}

// Snapshot encodes what is held.
func (m *Machine) Snapshot() []byte {
	b, err := cbor.Marshal(snapshot{
		Document: *m.Views().Load(),
		Poisons:  *m.poisons.Load(),
	})
	if err != nil {
		// Numbers, strings and lists of them can always be encoded.
		panic(err)
	}
	return b
}

// Restore takes the place of everything by a snapshot.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if len(b) > 0 {
		if err := cbor.Unmarshal(b, &s); err != nil {
			return eris.Wrap(err, "snapshot of the fleet's state")
		}
	}
	if err := m.versions.Restore(b); err != nil {
		return err
	}
	m.poisons.Store(&s.Poisons)
	return nil
}
