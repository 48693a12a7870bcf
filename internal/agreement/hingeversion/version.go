// Package hingeversion implements the replicated state machine of a configuration
// whose version numbers are chosen by its operators.
//
//  1. The highest version wins. A document whose version isn't higher than the
//     current one is accepted without effect. Its operator resent it after a lost
//     acknowledgement, or was overtaken by another one; an error would say that it
//     was never in force.
//  2. The content of a version never changes. Other content with the current version
//     has no effect either.
//  3. A published document is immutable.
//
// hingeconfig is the state machine for operators who specify the revision that they
// change.
package hingeversion

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
)

// Version is the version number of a configuration, chosen by its operators. The version in
// force only increases. Zero means no configuration.
type Version uint64

// Document is a complete configuration and its version.
type Document struct {
	Version Version `cbor:"1,keyasint"`
	Body    []byte  `cbor:"2,keyasint"`
}

// Machine is the state machine. Its methods must be called from one goroutine. The
// cell that Documents returns is safe for concurrent use.
type Machine struct {
	views hingeboard.Cell[Document]
}

// New returns a machine without a configuration.
func New() *Machine {
	m := &Machine{}
	m.views.Store(&Document{})
	return m
}

// Documents returns the cell in which the newest configuration is published.
func (m *Machine) Documents() *hingeboard.Cell[Document] {
	return &m.views
}

// Encode encodes a document as a proposal for the log.
func (d Document) Encode() ([]byte, error) {
	b, err := cbor.Marshal(d)
	return b, eris.Wrap(err, "encode a configuration document")
}

// Apply applies a proposed document (rules 1 and 2). It always returns nil. A
// proposal that can't be decoded has no effect, on this member as on all others.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var d Document
	if err := cbor.Unmarshal(data, &d); err == nil && d.Version > m.views.Load().Version {
		m.views.Store(&d)
	}
	return nil
}

// Snapshot encodes the current configuration.
func (m *Machine) Snapshot() []byte {
	b, err := cbor.Marshal(m.views.Load())
	if err != nil {
		// A number and a byte string can always be encoded.
		panic(err)
	}
	return b
}

// Restore replaces the configuration by that of a snapshot. An empty snapshot has no
// configuration.
func (m *Machine) Restore(snapshot []byte) error {
	d := Document{}
	if len(snapshot) > 0 {
		if err := cbor.Unmarshal(snapshot, &d); err != nil {
			return eris.Wrap(err, "decode a configuration snapshot")
		}
	}
	m.views.Store(&d)
	return nil
}
