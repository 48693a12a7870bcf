// Package hingeengine speaks to backend servers: engines and replicas of plain
// services. It is the adapter to swap for other engines; docs/INTERFACES.md
// lists every route and body.
//
//  1. An exchange has a connection of its own, opened for it and closed after
//     it. A pooled connection may have died silently, and then a request that
//     was sent looks unsent, or an unread answer waits for the next request.
//     The price is one dial an exchange, within an availability zone.
//  2. The verdict is drawn from evidence. Before the dial succeeds nothing can
//     have run. From the first byte written it may have run, until the server
//     says otherwise under the request's own id.
//  3. Nothing is retried here. Who retries needs the verdict.
//  4. A connection on which nothing comes for the silence limit is given up:
//     connections can go silent for good while new ones work.
//  5. An answer is taken only if it echoes the request's id.
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

// Target is one life of a backend server.
type Target struct {
	Server      hingeids.ServerID
	Incarnation hingeids.Incarnation
	// Address is an IP number and port.
	Address string
}

// Client makes exchanges with backend servers.
type Client struct {
	dialer net.Dialer
}

// dialLimit bounds a dial within an availability zone, where a connection takes
// about a millisecond: a host that takes this long is gone or frozen.
const dialLimit = 500 * time.Millisecond

// NewClient makes a client.
func NewClient() *Client {
	return &Client{
		dialer: net.Dialer{
			Timeout: dialLimit,
		},
	}
}

// exchange is one request and its answer on one connection.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	resp   fasthttp.Response
	// silence bounds the time without a byte from the server.
	silence time.Duration
	stop    func() bool
	ctx     context.Context
}

// open dials, sends the request and reads the header of the answer. With
// stream the body is left to be read; otherwise it is read whole, bounded.
func (c *Client) open(
	ctx context.Context, t Target, req *fasthttp.Request, silence time.Duration, stream bool,
) (*exchange, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		// Rule 2: no connection, no byte.
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, 0,
			eris.Wrapf(err, "server %s", t.Server))
	}
	x := &exchange{
		conn:    conn,
		silence: silence,
		ctx:     ctx,
	}
	// A context that ends makes every read and write on the connection return.
	x.stop = context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	if err := x.send(req, stream); err != nil {
		x.close()
		return nil, x.verdict(t, err)
	}
	return x, nil
}

// maxWholeAnswer bounds an answer that is read whole, in bytes.
const maxWholeAnswer = 64 << 20

// readAhead is the buffer of an answer in bytes. An answer's header has to fit
// it; engines' headers are some hundred bytes.
const readAhead = 4 << 10

// send writes the request and reads the header of the answer.
func (x *exchange) send(req *fasthttp.Request, stream bool) error {
	req.Header.SetConnectionClose()
	w := bufio.NewWriter(watched{x})
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.reader = bufio.NewReaderSize(watched{x}, readAhead)
	// The library hides why the first byte didn't come, and a silent server would
	// be told as one that failed. So it is waited for here.
	if _, err := x.reader.Peek(1); err != nil {
		return err
	}
	x.resp.StreamBody = stream
	return x.resp.ReadLimitBody(x.reader, maxWholeAnswer)
}

// verdict explains a failed exchange. The request was sent, at least in part.
func (x *exchange) verdict(t Target, err error) error {
	code := hingeverdict.CodeServerFailed
	switch {
	case x.ctx.Err() != nil:
		code = hingeverdict.CodeCancelled
		err = context.Cause(x.ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		code = hingeverdict.CodeServerTimeout
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, code, 0, eris.Wrapf(err, "server %s", t.Server))
}

func (x *exchange) close() {
	x.stop()
	_ = x.conn.Close()
}

// watched gives each read and write the silence limit of its own, by rule 4.
// fasthttp's own limits cover a whole answer, which a long stream outlives.
type watched struct {
	x *exchange
}

func (w watched) Read(p []byte) (int, error) {
	if err := w.arm(w.x.conn.SetReadDeadline); err != nil {
		return 0, err
	}
	return w.x.conn.Read(p)
}

func (w watched) Write(p []byte) (int, error) {
	if err := w.arm(w.x.conn.SetWriteDeadline); err != nil {
		return 0, err
	}
	return w.x.conn.Write(p)
}

// arm sets the limit, and looks at the context after it: a context that ended
// just before has had its deadline overwritten.
func (w watched) arm(set func(time.Time) error) error {
	if err := set(time.Now().Add(w.x.silence)); err != nil {
		return err
	}
	return context.Cause(w.x.ctx)
}
