// Package hingelink connects the router's processes to each other. It provides
// calls with one response and unreliable datagrams, both over QUIC with mutual
// TLS authentication.
//
//  1. Each call uses its own stream. Its error has a verdict, which is NotRun
//     only if the peer can't have received the complete call.
//  2. A connection on which nothing is received is closed after a bounded time
//     and redialled, since a connection can fail permanently while new ones
//     work.
//  3. A peer is identified by its certificate, never by its address.
package hingelink

import (
	"context"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Method is the name of a call or datagram in the form area.verb, for example "log.append".
type Method string

// CallHandler handles a call and returns the response body. It may keep the
// body. An error is sent to the caller with its verdict. Handlers run
// concurrently; the context ends when the caller cancels the call.
type CallHandler func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error)

// DatagramHandler handles a datagram. It may keep the body and must not block.
type DatagramHandler func(from hingeids.HostID, body []byte)

// Link sends calls and datagrams to other processes and handles theirs. All
// handlers must be set before the link runs. Calls to the link's own host run
// the handler directly.
type Link interface {
	// Self returns the ID of the link's host.
	Self() hingeids.HostID
	// Call sends a call and waits for its response until the context ends.
	Call(ctx context.Context, to hingeids.HostID, method Method, body []byte) ([]byte, error)
	// Send sends a datagram of at most MaxDatagram bytes. It may be lost.
	Send(to hingeids.HostID, method Method, body []byte)
	// Reply sends a datagram of at most MaxDatagram bytes over a connection that the receiver has opened. It opens no
	// connection itself, and the datagram may be lost.
	Reply(to hingeids.HostID, method Method, body []byte)
	// HandleCall sets the handler for calls of a method.
	HandleCall(method Method, h CallHandler)
	// HandleDatagram sets the handler for datagrams of a method.
	HandleDatagram(method Method, h DatagramHandler)
}

// MaxDatagram is the maximum size of a datagram body in bytes. With its header,
// such a datagram fits a QUIC packet on any network path.
const MaxDatagram = 1100

// MaxCall is the maximum size of a call or response body in bytes. Larger data,
// such as snapshots, is split.
const MaxCall = 4 << 20
