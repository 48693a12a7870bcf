package hingewire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

const (
	// dialTimeout limits each of the dialAttempts connection attempts to a backend
	// server. It is far above the round trip between zones, and below the second after
	// which the system would retransmit a lost SYN packet.
	dialTimeout  = 100 * time.Millisecond
	dialAttempts = 2
	// userTimeout is the maximum time that sent data may stay unacknowledged.
	userTimeout    = 3 * time.Second
	readBufferSize = 4 << 10
	// maxHeadBytes is the maximum length of the head of a response with all informational
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxInlineWrite is the size up to which a request is written before its response
	// is read. It fits in the socket's send buffer, so that the write doesn't block.
	maxInlineWrite = 8 << 10
)

// OutgoingRequest is a request to a backend server. Target has the path and query.
type OutgoingRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is a request to a backend server and its response (rule 5). Only Close may
// be called concurrently with other methods.
type Exchange struct {
	ctx    context.Context
	conn   net.Conn
	reader *bufio.Reader
	// source limits what is read of the head.
	source        *io.LimitedReader
	stopAfterFunc func() bool
	// Response is the server's response, with its body unread.
	Response *http.Response
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// DialServer opens a connection to the server at an address. The error wraps
	// syscall.ECONNREFUSED only if no process listens at the address.
	DialServer(ctx context.Context, address string) (net.Conn, error)
}

// Do dials, sends a request and reads the head of the response. Cancelling the
// context closes the exchange, also after Do has returned. An error's verdict says
// whether the request may have run.
func Do(ctx context.Context, d Dialer, address string, r OutgoingRequest) (*Exchange, error) {
	x, err := Dial(ctx, d, address)
	if err != nil {
		return nil, err
	}
	if err := x.Send(r); err != nil {
		return nil, err
	}
	return x, nil
}

// Direct is the Dialer that connects from this host itself.
type Direct struct{}

// DialServer implements Dialer.
func (Direct) DialServer(ctx context.Context, address string) (net.Conn, error) {
	var conn net.Conn
	var err error
	dialer := net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
	}
	for range dialAttempts {
		conn, err = dialer.DialContext(ctx, "tcp4", address)
		if err == nil || !isTimeout(err) || ctx.Err() != nil {
			break
		}
	}
	return conn, err
}

// Dial opens the connection of an exchange. An error has the verdict notRun, since
// nothing was sent.
func Dial(ctx context.Context, d Dialer, address string) (*Exchange, error) {
	conn, err := d.DialServer(ctx, address)
	if err != nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, 0, eris.Wrap(err, "dial backend server"))
	}
	source := &io.LimitedReader{
		R: conn,
		N: maxHeadBytes,
	}
	x := &Exchange{
		ctx:    ctx,
		conn:   conn,
		source: source,
		reader: bufio.NewReaderSize(source, readBufferSize),
	}
	x.stopAfterFunc = context.AfterFunc(ctx, func() {
		_ = conn.Close()
	})
	return x, nil
}

// Send sends the request and reads the head of the response. If it fails the exchange
// is closed and the error has the verdict mayHaveRun.
func (x *Exchange) Send(r OutgoingRequest) error {
	err := x.send(r)
	if err == nil {
		return nil
	}
	x.Close()
	if x.ctx.Err() != nil {
		err = eris.Wrap(context.Cause(x.ctx), err.Error())
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
}

// setUserTimeout makes the system close a connection whose data isn't acknowledged,
// since a connection can stall permanently while new ones work.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

func (x *Exchange) send(r OutgoingRequest) error {
	var message bytes.Buffer
	r.write(&message)
	if message.Len() <= maxInlineWrite {
		if _, err := x.conn.Write(message.Bytes()); err != nil {
			return eris.Wrap(err, "write request to backend server")
		}
	} else {
		// A server may respond before it has read all of a large body.
		go func() {
			// A failed write also makes reading the response fail.
			_, _ = x.conn.Write(message.Bytes())
		}()
	}
	for {
		resp, err := http.ReadResponse(x.reader, &http.Request{
			Method: r.Method,
		})
		if err != nil && x.source.N <= 0 {
			return eris.Errorf("response head from backend server has more than %d bytes", maxHeadBytes)
		}
		if err != nil {
			return eris.Wrap(err, "read response head from backend server")
		}
		if resp.StatusCode >= http.StatusOK {
			// The readers of the body have limits of their own.
			x.source.N = math.MaxInt64
			x.Response = resp
			return nil
		}
	}
}

func (r OutgoingRequest) write(b *bytes.Buffer) {
	out := bufio.NewWriter(b)
	// Writes to a buffer in memory don't fail.
	_, _ = out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = writeHeader(out, r.Header)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = out.Write(crlf)
	_, _ = out.Write(r.Body)
	_ = out.Flush()
}

const (
	// MaxAnswerBytes is the maximum length of a body that is forwarded to a caller as a whole.
	MaxAnswerBytes = 8 << 20
	// MaxControlBytes is the maximum length of a body that is an answer to the router itself.
	MaxControlBytes = 64 << 10
)

// ReadBody reads the complete body. It returns an error if the body is truncated, longer
// than limit, or finds no room in m, which may be nil.
func (x *Exchange) ReadBody(limit int, m *BodyMemory) ([]byte, error) {
	if x.Response.ContentLength > int64(limit) {
		return nil, eris.Errorf("response body has %d bytes, maximum is %d", x.Response.ContentLength, limit)
	}
	source := &reservingReader{
		source: io.LimitReader(x.Response.Body, int64(limit)+1),
		memory: m,
	}
	defer source.release()
	b, err := io.ReadAll(source)
	if err != nil {
		return nil, eris.Wrap(err, "read response body")
	}
	if len(b) > limit {
		return nil, eris.Errorf("response body has more than %d bytes", limit)
	}
	return b, nil
}

// Close closes the connection, upon which the server stops processing the request. It
// can be called more than once.
func (x *Exchange) Close() {
	x.stopAfterFunc()
	_ = x.conn.Close()
}
