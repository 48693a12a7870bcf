// Package hingecaller takes requests from callers over HTTP and gives them
// their answers.
//
//  1. Every answer carries the request's id and its verdict in X-Request-Id
//     and X-Verdict. A refusal that makes sense to repeat carries Retry-After.
//  2. A request that is given up gets its final answer at once.
//  3. A caller that leaves cancels its request, wherever it is by then:
//     waiting, in prefill, in transfer or in decode.
//  4. A stream that can't be made whole ends with an error event and without
//     the end mark, so that no caller takes it for whole.
//  5. Once draining, new requests are refused with a hint to come back at
//     once, which reaches another host, and those in progress go on.
//  6. A completion whose class is never to be repeated is known by its
//     Idempotency-Key: a resend gets the whole answer of the first run, or is
//     told that it ran. For other completions the key is ignored.
//  7. A handler that panics ends its own request, with an event, and no other.
//  8. Whose request it is is told by its API key, where the rules name customers; the key doesn't go on to a backend
//     server. A name that the caller gives itself is believed only behind the operators' own gateway.
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

// Catalogue is what callers can ask for, by the configuration in force.
type Catalogue interface {
	HasModel(m hingeids.Model) bool
	// ServiceFor finds the plain service that a path is routed to.
	ServiceFor(path string) (hingeids.Service, bool)
	Classify(m hingeids.Model, s hingeids.Service, path, method string) hingeinventory.Class
	// Customers are those whose keys are asked for, nil if nobody needs one.
	Customers() *hingecustomers.Set
}

// Completions carries completions; hingedispatch.Dispatcher does.
type Completions interface {
	Complete(ctx context.Context, w *hingedispatch.Work) (*hingedispatch.Answer, error)
}

// Services carries calls of plain services; hingedispatch.ServiceDispatcher does.
type Services interface {
	Do(ctx context.Context, c *hingedispatch.Call) error
}

// Keys issues idempotency keys that the own zone can vouch for when cut off.
type Keys interface {
	Issue(ctx context.Context, caller hingeids.CallerID) (hingeids.IdempotencyKey, error)
}

// Config is what a Server is made of.
type Config struct {
	Life   hingeids.Instance
	Limits hingesettings.Limits
	// Gateway says that callers come through a gateway of the operators' own, which names the customer.
	Gateway     bool
	Catalogue   Catalogue
	Completions Completions
	Services    Services
	Keys        Keys
	// Ready tells whether the host should get requests from the balancer.
	Ready func() bool
	// Gone is told of each request whose caller left before its final answer.
	Gone     func()
	Recorder *hingeevents.Recorder
	Now      func() time.Time
}

// Server takes requests from callers.
type Server struct {
	config   Config
	web      *fasthttp.Server
	sequence atomic.Uint64
	life     atomic.Pointer[hingeids.Instance]
	requests requests
	// betweenLives says that this host's life is over and no other has begun.
	betweenLives atomic.Bool
	draining     atomic.Bool
	active       atomic.Int64
	slow         atomic.Int64
	listener     *watchedListener
	done         chan struct{}
}

// Time limits of a connection. A request's header and body must come within
// readLimit: a caller that sends a byte now and then would hold a connection.
const (
	readLimit = 30 * time.Second
	idleLimit = 75 * time.Second
)

// New makes a server.
func New(c Config) *Server {
	s := &Server{
		config: c,
		done:   make(chan struct{}),
	}
	s.life.Store(&c.Life)
	s.listener = &watchedListener{
		slowReader: &s.slow,
	}
	s.SetSlowReader(time.Duration(c.Limits.SlowReader))
	s.web = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleBroken,
		ReadBufferSize:        int(c.Limits.HeaderBytes),
		MaxRequestBodySize:    int(c.Limits.RequestBytes),
		Concurrency:           c.Limits.Connections,
		ReadTimeout:           readLimit,
		IdleTimeout:           idleLimit,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		// Without it each stream would keep the buffer its request was read with,
		// as large as the largest header, to its end.
		ReduceMemoryUsage: true,
		Logger:            quiet{},
	}
	return s
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Run serves on the listener until the context ends, then waits for what is in
// progress. Connections break only when the process ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	s.listener.Listener = l
	failed := make(chan error, 1)
	go func() {
		failed <- s.web.Serve(s.listener)
	}()
	select {
	case err := <-failed:
		return eris.Wrap(err, "callers")
	case <-ctx.Done():
	}
	s.Drain()
	return eris.Wrap(s.web.ShutdownWithContext(context.WithoutCancel(ctx)), "callers")
}

// Abort breaks every connection at once, as the end of the process would.
func (s *Server) Abort() {
	s.Drain()
	s.requests.cancelAll()
	s.listener.open.breakAll()
}

// Done closes when the server has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Drain refuses new requests from now on, by rule 5.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// SetSlowReader sets how long a write to a caller may stand still.
func (s *Server) SetSlowReader(d time.Duration) {
	s.slow.Store(int64(d))
}

// Draining tells whether new requests are refused.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Active counts the requests in progress.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// shutdownRetry is when a refused caller comes back: at once, since the
// balancer sends it to another host.
const shutdownRetry = time.Second

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
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeShuttingDown, shutdownRetry,
			eris.New("this entry host is shutting down")))
		ctx.SetConnectionClose()
		return
	}
	if !s.config.Ready() || s.betweenLives.Load() {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, shutdownRetry,
			eris.New("this entry host is not ready to serve yet")))
		return
	}
	s.serve(ctx, id, path)
}

// serve carries a request to its answer. The recover is for a fault in our own
// code that one odd request brings out: without it that request, sent again and
// again, would end every host's process, and each time all others' streams.
func (s *Server) serve(ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string) {
	s.active.Add(1)
	finish := func() {
		s.active.Add(-1)
	}
	streams := false
	defer func() {
		if cause := recover(); cause != nil {
			ctx.Response.Reset()
			refuse(ctx, id, s.panicked(id, cause))
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

// panicked records a panic, by rule 7, and gives the request's final error. How
// far the request had come is not known.
func (s *Server) panicked(id hingeids.RequestID, cause any) error {
	s.config.Recorder.Record(s.config.Now(), hingeevents.HandlerPanicked, hingeevents.Fields{
		Request: id,
		Detail:  fmt.Sprintf("%.200v", cause),
	})
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0,
		eris.New("this entry host failed on the request"))
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() || s.betweenLives.Load() || !s.config.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleBroken answers a request that could not be read.
func (s *Server) handleBroken(ctx *fasthttp.RequestCtx, err error) {
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
		Instance: *s.life.Load(),
		Sequence: s.sequence.Add(1),
	}
}

// deadlineOf gives the time by which the caller wants its answer: its own
// X-Deadline-Ms, within the class's, or the class's.
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

// priorityOf gives the priority that the caller asks for: its own X-Priority,
// which may lower the class's and never raise it, or the class's. Each priority in
// use has a queue of its own, with limits of its own, and they are not taken down:
// callers that use many numbers would add up to many queues. So it is brought down
// to a quarter of the class's.
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

// prioritySteps bounds the priorities that one class can come to use.
const prioritySteps = 4

// defaultDeadline is for work whose class gives none.
const defaultDeadline = 10 * time.Minute

// watch ties a request to its caller's connection, by rule 3.
func (s *Server) watch(
	ctx *fasthttp.RequestCtx, id hingeids.RequestID, deadline time.Time,
) (context.Context, func()) {
	request, cancel := context.WithDeadline(context.Background(), deadline)
	forget := s.requests.add(id, cancel)
	if s.betweenLives.Load() {
		// It came just before the life ended, and was not there yet to be ended.
		cancel()
	}
	conn, ok := ctx.Conn().(*watchedConn)
	if !ok {
		return request, func() {
			forget()
			cancel()
		}
	}
	conn.startWatch(func() {
		s.config.Recorder.Record(s.config.Now(), hingeevents.CallerGone, hingeevents.Fields{
			Request: id,
		})
		s.config.Gone()
		cancel()
	})
	return request, func() {
		forget()
		cancel()
		conn.stopWatch()
	}
}
