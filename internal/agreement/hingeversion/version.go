// Package hingeversion is the state machine of a configuration whose versions
// are numbered from outside.
//
//  1. The highest version wins. A change that isn't higher than what is held
//     is accepted and changes nothing: its operator lost an acknowledgement, or
//     was overtaken, and to refuse it would say that it never was in force.
//  2. The content under a version never changes: other content under the
//     version held is such a change.
//  3. A published view is never changed afterwards.
//
// Operators who name the revision that they change use hingeconfig instead.
package hingeversion

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
)

// Version numbers a configuration; its operators choose the numbers, which only
// grow. Zero is no configuration.
type Version uint64

// Document is a whole configuration under its version.
type Document struct {
	Version Version `cbor:"1,keyasint"`
	Body    []byte  `cbor:"2,keyasint"`
}

// Machine is the state machine. Its methods are for one goroutine; what Views
// publishes is for all.
type Machine struct {
	views hingeboard.Cell[Document]
}

// New makes a machine without a configuration.
func New() *Machine {
	m := &Machine{}
	m.views.Store(&Document{})
	return m
}

// Views is where the newest configuration is published.
func (m *Machine) Views() *hingeboard.Cell[Document] {
	return &m.views
}

// Encode gives a document as a proposal for the log.
func (d Document) Encode() ([]byte, error) {
	b, err := cbor.Marshal(d)
	return b, eris.Wrap(err, "encode a configuration")
}

// Apply takes a proposed document (rules 1 and 2) and gives the version in
// force after it. A proposal that can't be read changes nothing: it would
// not be readable on any other member either.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var d Document
	if err := cbor.Unmarshal(data, &d); err == nil && d.Version > m.views.Load().Version {
		m.views.Store(&d)
	}
	return nil
}

// Snapshot encodes the configuration held.
func (m *Machine) Snapshot() []byte {
	b, err := cbor.Marshal(m.views.Load())
	if err != nil {
		// A number and a string of bytes can always be encoded.
		panic(err)
	}
	return b
}

// Restore takes the place of everything by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	d := Document{}
	if len(snapshot) > 0 {
		if err := cbor.Unmarshal(snapshot, &d); err != nil {
			return eris.Wrap(err, "configuration snapshot")
		}
	}
	m.views.Store(&d)
	return nil
}
