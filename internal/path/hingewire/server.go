package hingewire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits has the limits of a request's size and time. HeaderTimeout is the maximum
// duration of reading a head; IdleTimeout is the maximum wait for a request on an open
// connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a request that was read completely (rule 2).
type Request struct {
	Method string
	// Target is the path and query, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when the first byte was received.
	Arrived time.Time
	// closeRequested is whether the connection must be closed after the response.
	closeRequested bool
	http11         bool
}

// Handler handles requests. It is called concurrently for different connections. The
// context is cancelled when the caller disconnects, with the cause
// ErrCallerDisconnected.
type Handler interface {
	Serve(ctx context.Context, r *Request, w *Writer)
}

// Server serves the connections of callers. Its methods can be called concurrently.
type Server struct {
	handler Handler
	limits  func() Limits
	clock   func() time.Time
	done    chan struct{}

	// readers and writers are buffers that no connection uses.
	readers sync.Pool
	writers sync.Pool

	mu          sync.Mutex
	conns       map[*conn]struct{}
	draining    bool
	closingIdle bool
	connGroup   sync.WaitGroup
}

// NewServer returns a server. It calls limits for each request, and clock for the time
// at which a request arrives.
func NewServer(h Handler, limits func() Limits, clock func() time.Time) *Server {
	return &Server{
		handler: h,
		limits:  limits,
		clock:   clock,
		done:    make(chan struct{}),
		conns:   make(map[*conn]struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Run accepts connections until the listener is closed or the context is cancelled,
// and waits until all connections are closed.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.CloseAll()
	})
	defer stop()
	defer s.connGroup.Wait()
	for {
		raw, err := l.Accept()
		if err == nil {
			s.startConn(ctx, raw)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		// The usual reason is a lack of file descriptors. Idle connections have them, and callers repeat
		// at once what they send on one that is closed.
		s.closeLongestIdle(idleClosedAtOnce)
		time.Sleep(acceptRetryDelay)
	}
}

const (
	// acceptRetryDelay prevents a busy loop while no file descriptors are available.
	acceptRetryDelay = 20 * time.Millisecond
	// idleClosedAtOnce is the number of idle connections that are closed for lack of file descriptors, each of
	// which may serve a caller and a connection to a server.
	idleClosedAtOnce = 64
)

// closeLongestIdle closes the connections that have been idle for the longest time.
func (s *Server) closeLongestIdle(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type idleConn struct {
		conn  *conn
		since time.Time
	}
	var list []idleConn
	for c := range s.conns {
		if since, idle := c.idleSince(); idle {
			list = append(list, idleConn{
				conn:  c,
				since: since,
			})
		}
	}
	slices.SortFunc(list, func(a, b idleConn) int {
		return a.since.Compare(b.since)
	})
	for _, x := range list[:min(most, len(list))] {
		x.conn.closeIfIdle()
	}
}

func (s *Server) startConn(ctx context.Context, raw net.Conn) {
	c := &conn{
		server: s,
		raw:    raw,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.connGroup.Go(func() {
		c.serve(ctx)
		c.releaseBuffers()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
}

// Drain makes the server close each connection after the next request on it.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseIdle closes the idle connections, and each other one after its response.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.closingIdle = true
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseAll closes all connections immediately.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// conn is a connection of a caller. It has buffers only while there is a request on it (buffers.go).
type conn struct {
	server *Server
	raw    net.Conn
	source source
	reader *bufio.Reader
	writer *bufio.Writer

	mu   sync.Mutex
	idle bool
	// since is when the connection became idle.
	since time.Time
}

// idleSince returns since when the connection is idle, and whether it is.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.idle
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle {
		c.since = c.server.clock()
	}
}

// closeIfIdle interrupts the wait for a request, which closes the connection. A
// connection with a partly received request is not idle.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) serve(ctx context.Context) {
	defer func() {
		_ = c.raw.Close()
	}()
	for ctx.Err() == nil {
		r, err := c.read()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.handle(ctx, r) {
			return
		}
	}
}

// handle calls the handler and reports whether the connection can be reused.
func (c *conn) handle(ctx context.Context, r *Request) bool {
	requestCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatch := c.watch(cancel)
	w := &Writer{
		conn:       c,
		method:     r.Method,
		closeAfter: r.closeRequested || c.server.isDraining(),
		http11:     r.http11,
	}
	c.server.handler.Serve(requestCtx, r, w)
	stopWatch()
	return w.finished && !w.closeAfter
}

// ErrCallerDisconnected is the cause of a request's context after its caller has disconnected.
var ErrCallerDisconnected = eris.New("the caller closed its connection")

// watch applies rule 3. The returned function stops monitoring the connection.
func (c *conn) watch(cancel context.CancelCauseFunc) func() {
	// The read deadline of the head would end the monitoring during a long response, so
	// that a disconnect would go unnoticed.
	_ = c.raw.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Data of a next request ends the monitoring too: the caller is connected.
		if _, err := c.reader.Peek(1); err != nil && !isTimeout(err) {
			cancel(ErrCallerDisconnected)
		}
	}()
	return func() {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// errNoRequest closes a connection without a response, since no complete request was
// received.
var errNoRequest = eris.New("no complete request on the connection")

// requestError is the error of a request that is rejected with a status code. Its text
// is sent to the caller.
type requestError struct {
	status int
	cause  error
}

func (r *requestError) Error() string {
	return r.cause.Error()
}

func (c *conn) read() (*Request, error) {
	limits := c.server.limits()
	head, arrived, err := c.readHead(limits)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, &requestError{
			status: http.StatusBadRequest,
			cause:  err,
		}
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, &requestError{
			status: http.StatusBadRequest,
			cause:  eris.Wrap(err, "request head"),
		}
	}
	if parsed.Header.Get("Expect") != "" {
		_, _ = c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := readBody(parsed.Body, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	return &Request{
		Method:         parsed.Method,
		Target:         parsed.RequestURI,
		Host:           parsed.Host,
		Header:         parsed.Header,
		Body:           body,
		Arrived:        arrived,
		closeRequested: parsed.Close || !parsed.ProtoAtLeast(1, 1),
		http11:         parsed.ProtoAtLeast(1, 1),
	}, nil
}

// readHead waits for a request and returns its complete head, without consuming it, and
// the time of its first byte.
func (c *conn) readHead(limits Limits) ([]byte, time.Time, error) {
	c.setIdle(true)
	_ = c.raw.SetReadDeadline(c.server.idleDeadline(limits))
	if c.server.isClosingIdle() && !c.hasBuffered() {
		return nil, time.Time{}, errNoRequest
	}
	err := c.awaitBytes(limits)
	c.setIdle(false)
	if err != nil {
		return nil, time.Time{}, errNoRequest
	}
	arrived := c.server.clock()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	for {
		b, _ := c.reader.Peek(c.reader.Buffered())
		end := bytes.Index(b, headEnd)
		if end >= 0 && end+len(headEnd) <= limits.HeaderBytes {
			return b[:end+len(headEnd)], arrived, nil
		}
		if end >= 0 || len(b) >= limits.HeaderBytes {
			return nil, arrived, &requestError{
				status: http.StatusRequestHeaderFieldsTooLarge,
				cause:  eris.Errorf("the request's head has more than %d bytes", limits.HeaderBytes),
			}
		}
		if _, err := c.reader.Peek(len(b) + 1); err != nil {
			// Only a timeout has a response; otherwise the caller has disconnected.
			if isTimeout(err) {
				return nil, arrived, &requestError{
					status: http.StatusRequestTimeout,
					cause:  eris.Wrap(err, "the request's head didn't come in time"),
				}
			}
			return nil, arrived, errNoRequest
		}
	}
}

func (s *Server) isClosingIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closingIdle
}

// idleDeadline uses the system's clock instead of the server's, as socket deadlines do.
func (s *Server) idleDeadline(l Limits) time.Time {
	return time.Now().Add(l.IdleTimeout)
}

func readBody(body io.Reader, maxBytes int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if len(b) > maxBytes {
		return nil, &requestError{
			status: http.StatusRequestEntityTooLarge,
			cause:  eris.Errorf("the request's body has more than %d bytes", maxBytes),
		}
	}
	if err != nil {
		if isTimeout(err) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return nil, errNoRequest
		}
		return nil, &requestError{
			status: http.StatusBadRequest,
			cause:  eris.Wrap(err, "request body"),
		}
	}
	return b, nil
}

// reject sends an error response if err is a requestError. The connection must be closed
// after it.
func (c *conn) reject(err error) {
	var r *requestError
	if !errors.As(err, &r) {
		return
	}
	w := &Writer{
		conn:       c,
		closeAfter: true,
	}
	w.WriteResponse(r.status, http.Header{}, []byte(r.Error()+"\n"))
	// Closing with unread data would reset the connection, and the caller might lose the
	// response, so data that still arrives is read and discarded for a short time.
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
}

const (
	// lingerTime and lingerBytes limit the data that is discarded after a rejected request.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)
