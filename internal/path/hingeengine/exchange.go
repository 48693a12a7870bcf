// Package hingeengine is the client for backend servers: engines and replicas of
// plain services. It is the adapter to replace for other engines; docs/INTERFACES.md
// lists all routes and bodies.
//
//  1. Each exchange has its own connection. A pooled connection can be broken without
//     notice, so that it is unknown whether a request was sent, or can have an unread
//     response to an earlier request. The cost is one dial per exchange, within an
//     availability zone.
//  2. The verdict depends on the progress of the exchange. If the dial fails the
//     request hasn't run. Once a byte was written the request may have run, unless the
//     server says otherwise in a response with the request's ID.
//  3. Requests are not retried here: the verdict lets the caller of the package decide.
//  4. A connection without a byte for the idle timeout is closed, since a connection
//     can stall permanently while new ones work.
//  5. A response is accepted only if it has the request's ID.
package hingeengine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Target is one incarnation of a backend server.
type Target struct {
	Server      hingeids.ServerID
	Incarnation hingeids.Incarnation
	// Address is an IP address and port.
	Address string
}

// Dialer opens connections to backend servers.
type Dialer interface {
	DialServer(ctx context.Context, address string) (net.Conn, error)
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	dialer Dialer
}

// dialTimeout limits a dial. Connecting takes about a millisecond within an
// availability zone, so a host that needs longer is down or frozen.
const dialTimeout = 500 * time.Millisecond

// Direct is the Dialer that connects from this host itself.
type Direct struct{}

// DialServer implements Dialer.
func (Direct) DialServer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

// NewClient returns a client that connects through d.
func NewClient(d Dialer) *Client {
	return &Client{
		dialer: d,
	}
}

// exchange is a request and its response on one connection.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	resp   fasthttp.Response
	// idleTimeout is the maximum duration of a read or write.
	idleTimeout   time.Duration
	stopAfterFunc func() bool
	ctx           context.Context
}

// open dials, sends the request and reads the response's header. Unless stream is set
// it also reads the body, up to maxResponseBytes.
func (c *Client) open(
	ctx context.Context, t Target, req *fasthttp.Request, idleTimeout time.Duration, stream bool,
) (*exchange, error) {
	conn, err := c.dialer.DialServer(ctx, t.Address)
	if err != nil {
		// Rule 2: nothing was sent.
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, 0,
			eris.Wrapf(err, "server %s", t.Server))
	}
	x := &exchange{
		conn:        conn,
		idleTimeout: idleTimeout,
		ctx:         ctx,
	}
	// Cancelling the context interrupts all reads and writes on the connection.
	x.stopAfterFunc = context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	if err := x.send(req, stream); err != nil {
		x.close()
		return nil, x.wrapError(t, err)
	}
	return x, nil
}

// maxResponseBytes is the maximum length of a body that isn't streamed.
const maxResponseBytes = 64 << 20

// readBufferSize is the size of the read buffer in bytes. A response's header must fit
// in it; those of engines have a few hundred bytes.
const readBufferSize = 4 << 10

// send writes the request and reads the response as described at open.
func (x *exchange) send(req *fasthttp.Request, stream bool) error {
	req.Header.SetConnectionClose()
	w := bufio.NewWriter(deadlineConn{x})
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.reader = bufio.NewReaderSize(deadlineConn{x}, readBufferSize)
	// fasthttp hides the error of reading the first byte. Reading it here makes it
	// possible to distinguish a timeout from a failure.
	if _, err := x.reader.Peek(1); err != nil {
		return err
	}
	x.resp.StreamBody = stream
	return x.resp.ReadLimitBody(x.reader, maxResponseBytes)
}

// wrapError returns the error of a failed exchange whose request was sent at least in
// part.
func (x *exchange) wrapError(t Target, err error) error {
	code := hingeverdict.CodeServerFailed
	switch {
	case x.ctx.Err() != nil:
		code = hingeverdict.CodeCancelled
		err = context.Cause(x.ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		code = hingeverdict.CodeServerSilent
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, code, 0, eris.Wrapf(err, "exchange with server %s", t.Server))
}

func (x *exchange) close() {
	x.stopAfterFunc()
	_ = x.conn.Close()
}

// deadlineConn applies the idle timeout to each read and write (rule 4). The timeouts
// of fasthttp apply to a complete response, and a stream can take longer.
type deadlineConn struct {
	x *exchange
}

func (w deadlineConn) Read(p []byte) (int, error) {
	if err := w.setDeadline(w.x.conn.SetReadDeadline); err != nil {
		return 0, err
	}
	return w.x.conn.Read(p)
}

func (w deadlineConn) Write(p []byte) (int, error) {
	if err := w.setDeadline(w.x.conn.SetWriteDeadline); err != nil {
		return 0, err
	}
	return w.x.conn.Write(p)
}

// setDeadline sets a deadline and then checks the context, since the new deadline may
// have replaced the one that was set at its cancellation.
func (w deadlineConn) setDeadline(set func(time.Time) error) error {
	if err := set(time.Now().Add(w.x.idleTimeout)); err != nil {
		return err
	}
	return context.Cause(w.x.ctx)
}
