// Package hingecaller serves the HTTP API for callers.
//
//  1. Every answer carries the request's id and verdict in X-Request-Id and
//     X-Verdict. A refusal of a request that may succeed later carries
//     Retry-After.
//  2. A request that fails gets its final answer at once.
//  3. A caller's disconnection cancels its request in any phase: queue, prefill,
//     transfer or decode.
//  4. A stream that can't be completed ends with an error event and without the
//     end marker, so that no caller treats it as complete.
//  5. While the host drains, new requests are refused with a short retry time,
//     since a retry reaches another host, and requests in progress continue.
//  6. A completion whose class must not be retried is identified by its
//     Idempotency-Key: a resend gets the complete answer of the first run, or an
//     error that says that the request ran. For other completions the key is
//     ignored.
//  7. A panic in a handler fails only its own request and is recorded as an
//     event.
//  8. If customers are configured, a request's API key identifies its customer;
//     the key is not forwarded to backend servers. The X-Caller header is trusted
//     only behind the operators' own gateway.
package hingecaller

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// Catalogue looks up models, services, classes and customers in the current
// configuration. It must be safe for concurrent use.
type Catalogue interface {
	HasModel(m hingeids.Model) bool
	// ServiceFor returns the plain service to which a path is routed.
	ServiceFor(path string) (hingeids.Service, bool)
	// Classify returns the class of a request. Either the model or the service is
	// empty.
	Classify(m hingeids.Model, s hingeids.Service, path, method string) hingeinventory.Class
	// Customers returns the customers and their keys, nil if requests need no key.
	Customers() *hingecustomers.Set
}

// Completions runs completions; hingedispatch.Dispatcher implements it.
type Completions interface {
	Complete(ctx context.Context, r *hingedispatch.CompletionRequest) (*hingedispatch.Answer, error)
}

// Services runs calls of plain services; hingedispatch.ServiceDispatcher
// implements it.
type Services interface {
	Do(ctx context.Context, c *hingedispatch.Call) error
}

// Keys issues idempotency keys whose owner is in this host's zone, so that they
// can be checked while the zone is disconnected.
type Keys interface {
	Issue(ctx context.Context, caller hingeids.CallerID) (hingeids.IdempotencyKey, error)
}

// Config holds the parameters and dependencies of a Server.
type Config struct {
	Instance hingeids.Instance
	Limits   hingesettings.Limits
	// BehindGateway says that all requests come through the operators' own gateway,
	// which sets X-Caller to the customer's name.
	BehindGateway bool
	Catalogue     Catalogue
	Completions   Completions
	Services      Services
	Keys          Keys
	// Ready reports whether the host can serve requests.
	Ready func() bool
	// OnDisconnect is called for each request whose caller disconnects before the final
	// answer. It must be safe for concurrent use.
	OnDisconnect func()
	Recorder     *hingeevents.Recorder
	Now          func() time.Time
}

// Server serves the requests of callers. Run must be called only once.
type Server struct {
	config     Config
	httpServer *fasthttp.Server
	sequence   atomic.Uint64
	instance   atomic.Pointer[hingeids.Instance]
	requests   requests
	// instanceEnded says that this host's instance has ended and the next one
	// has not started.
	instanceEnded atomic.Bool
	draining      atomic.Bool
	active        atomic.Int64
	writeTimeout  atomic.Int64
	listener      *watchedListener
	done          chan struct{}
}

// Timeouts of a connection. readTimeout covers the whole header and body of a
// request, so that slow senders can't hold connections.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 75 * time.Second
)

// New returns a server that does not listen yet; see Run.
func New(c Config) *Server {
	s := &Server{
		config: c,
		done:   make(chan struct{}),
	}
	s.instance.Store(&c.Instance)
	s.listener = &watchedListener{
		maxWriteTime: &s.writeTimeout,
	}
	s.SetWriteTimeout(time.Duration(c.Limits.WriteTimeout))
	s.httpServer = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleUnreadable,
		ReadBufferSize:        int(c.Limits.HeaderBytes),
		MaxRequestBodySize:    int(c.Limits.RequestBytes),
		Concurrency:           c.Limits.Connections,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		// Otherwise each stream keeps its read buffer of HeaderBytes until its end.
		ReduceMemoryUsage: true,
		Logger:            discardLogger{},
	}
	return s
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Run serves on the listener until the context is done, then drains and waits for
// the requests in progress without a time limit.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	s.listener.Listener = l
	failed := make(chan error, 1)
	go func() {
		failed <- s.httpServer.Serve(s.listener)
	}()
	select {
	case err := <-failed:
		return eris.Wrap(err, "HTTP server for callers")
	case <-ctx.Done():
	}
	s.Drain()
	return eris.Wrap(s.httpServer.ShutdownWithContext(context.WithoutCancel(ctx)), "shutdown of HTTP server for callers")
}

// Abort cancels all requests and closes all connections at once.
func (s *Server) Abort() {
	s.Drain()
	s.requests.cancelAll()
	s.listener.open.closeAll()
}

// Done returns a channel that is closed when Run returns.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Drain makes the server refuse new requests (rule 5).
func (s *Server) Drain() {
	s.draining.Store(true)
}

// SetWriteTimeout sets the timeout of each write to a caller.
func (s *Server) SetWriteTimeout(d time.Duration) {
	s.writeTimeout.Store(int64(d))
}

// Draining reports whether the server drains.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Active returns the number of requests in progress, including streams.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// otherHostRetry is the retry time of callers that this host can't serve. It is
// short, since the load balancer sends the retry to another host.
const otherHostRetry = time.Second

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/livez":
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	case "/readyz":
		s.handleReady(ctx)
		return
	}
	id := s.nextID()
	if s.draining.Load() {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeShuttingDown, otherHostRetry,
			eris.New("this entry host is shutting down")))
		ctx.SetConnectionClose()
		return
	}
	if !s.config.Ready() || s.instanceEnded.Load() {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, otherHostRetry,
			eris.New("this entry host is not ready to serve yet")))
		return
	}
	s.serve(ctx, id, path)
}

// serve handles a request. It recovers from panics: otherwise a request that
// triggers a bug would end the process with all its streams, and its resends
// would end the processes of the other hosts.
func (s *Server) serve(ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string) {
	s.active.Add(1)
	finish := func() {
		s.active.Add(-1)
	}
	streams := false
	defer func() {
		if cause := recover(); cause != nil {
			ctx.Response.Reset()
			refuse(ctx, id, s.recordPanic(id, cause))
			ctx.SetConnectionClose()
		}
		if !streams {
			finish()
		}
	}()
	switch path {
	case "/v1/completions", "/v1/chat/completions":
		streams = s.handleCompletion(ctx, id, path, finish)
	case "/v1/keys":
		s.handleKeys(ctx, id)
	default:
		s.handleService(ctx, id, path)
	}
}

// recordPanic records a panic (rule 7) and returns the request's final error. The
// verdict is MayHaveRun, since the progress of the request is unknown.
func (s *Server) recordPanic(id hingeids.RequestID, cause any) error {
	s.config.Recorder.Record(s.config.Now(), hingeevents.HandlerPanicked, hingeevents.Fields{
		Request: id,
		Detail:  fmt.Sprintf("%.200v", cause),
	})
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0,
		eris.New("this entry host failed while it handled the request"))
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() || s.instanceEnded.Load() || !s.config.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	code := hingeverdict.CodeMalformed
	if _, tooSmall := err.(*fasthttp.ErrSmallBuffer); tooSmall || err == fasthttp.ErrBodyTooLarge {
		code = hingeverdict.CodeTooLarge
	}
	refuse(ctx, s.nextID(), hingeverdict.New(hingeverdict.NotRun, code, 0, err))
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*watchedConn); ok {
		conn.linger.Store(true)
	}
}

func (s *Server) nextID() hingeids.RequestID {
	return hingeids.RequestID{
		Instance: *s.instance.Load(),
		Sequence: s.sequence.Add(1),
	}
}

// deadlineOf returns the deadline of a request: X-Deadline-Ms, limited by the
// deadline of the class, which is also the default.
func deadlineOf(ctx *fasthttp.RequestCtx, class hingeinventory.Class, now time.Time) (time.Time, error) {
	limit := class.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if v := ctx.Request.Header.Peek("X-Deadline-Ms"); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0,
				eris.New("X-Deadline-Ms: want a positive number of milliseconds"))
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return now.Add(limit), nil
}

// priorityOf returns X-Priority, which must not exceed the priority of the
// class, or that priority by default. Each priority in use has a permanent
// queue, so X-Priority is rounded down to a multiple of a quarter of the
// class's priority to bound their number.
func priorityOf(ctx *fasthttp.RequestCtx, class hingeinventory.Class) (int, error) {
	v := ctx.Request.Header.Peek("X-Priority")
	if len(v) == 0 {
		return class.Priority, nil
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 || n > class.Priority {
		return 0, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0,
			eris.Errorf("X-Priority: want a whole number from 0 to %d, the priority of class %s", class.Priority, class.Name))
	}
	if class.Priority < prioritySteps {
		return n, nil
	}
	return n * prioritySteps / class.Priority * class.Priority / prioritySteps, nil
}

// prioritySteps is the number of steps below the priority of a class.
const prioritySteps = 4

// defaultDeadline applies to requests whose class has no deadline.
const defaultDeadline = 10 * time.Minute

// watch returns a context that is cancelled when the caller disconnects (rule 3),
// at the deadline and when the instance ends. The returned function releases it
// and must be called once the request has finished.
func (s *Server) watch(
	ctx *fasthttp.RequestCtx, id hingeids.RequestID, deadline time.Time,
) (context.Context, func()) {
	requestCtx, cancel := context.WithDeadline(context.Background(), deadline)
	remove := s.requests.add(id, cancel)
	if s.instanceEnded.Load() {
		// EndInstance may have been called before the request was added.
		cancel()
	}
	conn, ok := ctx.Conn().(*watchedConn)
	if !ok {
		return requestCtx, func() {
			remove()
			cancel()
		}
	}
	conn.startWatch(func() {
		s.config.Recorder.Record(s.config.Now(), hingeevents.CallerGone, hingeevents.Fields{
			Request: id,
		})
		s.config.OnDisconnect()
		cancel()
	})
	return requestCtx, func() {
		remove()
		cancel()
		conn.stopWatch()
	}
}
