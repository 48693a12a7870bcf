package hingewire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Request is a request that was read whole (rule 2).
type Request struct {
	Method string
	// Target is the path and query as they came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when its first byte came.
	Arrived time.Time
	// close says that the caller closes the connection after the answer.
	close bool
	http1 bool
}

// Handler answers requests. The context ends when the caller leaves.
type Handler interface {
	Serve(ctx context.Context, r *Request, w *Writer)
}

// Server takes connections from callers.
type Server struct {
	handler Handler
	limits  func() Limits
	clock   func() time.Time
	done    chan struct{}

	mu       sync.Mutex
	conns    map[*conn]struct{}
	closing  bool
	closeOld bool
	all      sync.WaitGroup
}

// NewServer makes a server.
func NewServer(h Handler, limits func() Limits, clock func() time.Time) *Server {
	return &Server{
		handler: h,
		limits:  limits,
		clock:   clock,
		done:    make(chan struct{}),
		conns:   make(map[*conn]struct{}),
	}
}

// Done closes when Run has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Run accepts connections until the listener is closed, and waits for all to end.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.Cut()
	})
	defer stop()
	defer s.all.Wait()
	for {
		raw, err := l.Accept()
		if err == nil {
			s.begin(ctx, raw)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		// Out of descriptors, as a rule: connections that end free some.
		time.Sleep(acceptPause)
	}
}

// acceptPause keeps a listener without descriptors from spinning.
const acceptPause = 20 * time.Millisecond

func (s *Server) begin(ctx context.Context, raw net.Conn) {
	c := &conn{
		server: s,
		raw:    raw,
		reader: bufio.NewReaderSize(raw, max(s.limits().HeaderBytes, smallestHead)+len(headEnd)),
		writer: bufio.NewWriter(raw),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.all.Go(func() {
		c.serve(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
}

// smallestHead is room for a head before any configuration gives a limit.
const smallestHead = 16 << 10

// Drain makes every further answer the last of its connection.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// CloseIdle closes the connections that no request is on, and each other one
// after its answer.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.closeOld = true
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Open counts the connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Cut ends all connections at once.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// conn is one caller's connection.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	mu   sync.Mutex
	idle bool
}

// setIdle notes whether a request is on the connection; false if it was closed meanwhile.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// closeIfIdle wakes a connection that waits for a request, which then ends. A request of which
// bytes have come is not idle and is answered.
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
			c.refuse(err)
			return
		}
		if !c.answer(ctx, r) {
			return
		}
	}
}

// answer has a request answered, and reports whether the connection goes on.
func (c *conn) answer(ctx context.Context, r *Request) bool {
	inner, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	watch := c.watch(leave)
	w := &Writer{
		conn:   c,
		method: r.Method,
		last:   r.close || c.server.isClosing(),
		http1:  r.http1,
	}
	c.server.handler.Serve(inner, r, w)
	watch()
	return w.finished && !w.last
}

// ErrCallerLeft is the cause of a request's context when its caller is gone.
var ErrCallerLeft = eris.New("the caller closed its connection")

// watch is rule 3. The function that it gives ends the watch.
func (c *conn) watch(leave context.CancelCauseFunc) func() {
	// The time that the head had to come in would end the watch with it, and with that
	// nobody would notice that the caller of a long stream has left.
	_ = c.raw.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Bytes of a next request end the watch too: the caller is there.
		if _, err := c.reader.Peek(1); err != nil && !isTimeout(err) {
			leave(ErrCallerLeft)
		}
	}()
	return func() {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
		<-ended
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// errIdle ends a connection without an answer: nothing of a request came.
var errIdle = eris.New("no request on the connection")

// refusal is a request that is answered without a handler.
type refusal struct {
	status int
	cause  error
}

func (r *refusal) Error() string {
	return r.cause.Error()
}

// read takes the next request from the connection.
func (c *conn) read() (*Request, error) {
	limits := c.server.limits()
	head, arrived, err := c.readHead(limits)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, &refusal{
			status: http.StatusBadRequest,
			cause:  err,
		}
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, &refusal{
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
		Method:  parsed.Method,
		Target:  parsed.RequestURI,
		Host:    parsed.Host,
		Header:  parsed.Header,
		Body:    body,
		Arrived: arrived,
		close:   parsed.Close || !parsed.ProtoAtLeast(1, 1),
		http1:   parsed.ProtoAtLeast(1, 1),
	}, nil
}

// readHead waits for a request, and for its head in whole.
func (c *conn) readHead(limits Limits) ([]byte, time.Time, error) {
	c.setIdle(true)
	_ = c.raw.SetReadDeadline(c.server.idleUntil(limits))
	if c.server.closesIdle() && c.reader.Buffered() == 0 {
		return nil, time.Time{}, errIdle
	}
	_, err := c.reader.Peek(1)
	c.setIdle(false)
	if err != nil {
		return nil, time.Time{}, errIdle
	}
	arrived := c.server.clock()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	for {
		b, _ := c.reader.Peek(c.reader.Buffered())
		at := bytes.Index(b, headEnd)
		if at >= 0 && at+len(headEnd) <= limits.HeaderBytes {
			return b[:at+len(headEnd)], arrived, nil
		}
		if at >= 0 || len(b) >= limits.HeaderBytes {
			return nil, arrived, &refusal{
				status: http.StatusRequestHeaderFieldsTooLarge,
				cause:  eris.Errorf("the request's head has more than %d bytes", limits.HeaderBytes),
			}
		}
		if _, err := c.reader.Peek(len(b) + 1); err != nil {
			// Nothing was read whole, so nothing is answered but a head that took too long.
			if isTimeout(err) {
				return nil, arrived, &refusal{
					status: http.StatusRequestTimeout,
					cause:  eris.Wrap(err, "the request's head didn't come in time"),
				}
			}
			return nil, arrived, errIdle
		}
	}
}

func (s *Server) closesIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeOld
}

// idleUntil is for the socket, whose deadlines are of the system's own clock.
func (s *Server) idleUntil(l Limits) time.Time {
	return time.Now().Add(l.IdleTime)
}

func readBody(body io.Reader, most int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
	if len(b) > most {
		return nil, &refusal{
			status: http.StatusRequestEntityTooLarge,
			cause:  eris.Errorf("the request's body has more than %d bytes", most),
		}
	}
	if err != nil {
		if isTimeout(err) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return nil, errIdle
		}
		return nil, &refusal{
			status: http.StatusBadRequest,
			cause:  eris.Wrap(err, "request body"),
		}
	}
	return b, nil
}

// refuse answers a request that couldn't be read, and the connection is closed after it.
func (c *conn) refuse(err error) {
	var r *refusal
	if !errors.As(err, &r) {
		return
	}
	w := &Writer{
		conn: c,
		last: true,
	}
	w.Whole(r.status, http.Header{}, []byte(r.Error()+"\n"))
	// Closing with unread bytes would reset the connection and could take the answer
	// away from the caller, so what still comes is read for a moment.
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
}

const (
	// lingerTime and lingerBytes bound what is read after a refusal.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)
