// Package hingestandin simulates backend servers: model engines for prefill and
// decode, and replicas of plain services. Tests, the demo and the load generator
// verify the router against the counters of the stand-in, which don't depend on
// what the router reports.
//
//  1. A decode engine has a fixed number of slots. A request doesn't depend on
//     its connection: it keeps running when the connection breaks, until it is
//     finished and read, cancelled, or the engine stops. Held slots are counted.
//  2. A prefill engine processes its queue sequentially, caches prompt prefixes,
//     and exports KV cache, which it evicts after a short time.
//  3. A decode engine imports KV cache over a link of limited rate. If the KV
//     cache has been evicted, the request is refused before it runs.
//  4. The answer is a function of the prompt, so that a truncated answer or the
//     answer to another request can be detected.
//  5. Faults are injected by an HTTP call and apply to a given number of requests.
//
// The HTTP bodies follow the conventions of common inference engines (completion
// routes, server-sent events, kv_transfer_params), so their names are in snake
// case; docs/INTERFACES.md lists them.
package hingestandin

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Options configures a stand-in. Zero values are replaced by Defaults.
type Options struct {
	Server  hingeids.ServerID
	Kind    hingeannounce.Kind
	Zone    hingeids.Zone
	Model   hingeids.Model
	Service hingeids.Service
	// Listen is the IP address and port to listen on; port 0 selects a free one.
	Listen string
	// Announce are the addresses of the entry hosts' server endpoints. Heartbeats
	// go to one of them at a time; without any, none are sent.
	Announce []string
	Slots    hingeids.Slots
	// TokenGap is the time between tokens in an empty batch.
	TokenGap time.Duration
	// PrefillPerToken is the time to prefill one token that isn't cached.
	PrefillPerToken time.Duration
	// ExportLifetime is the time until exported KV cache is evicted.
	ExportLifetime time.Duration
	// CacheBytesPerToken and LinkRate determine the time of a KV cache transfer.
	CacheBytesPerToken hingeids.Bytes
	LinkRate           hingeids.BytesPerSecond
	ChecksFence        bool
	// Heartbeat is the time between announcements.
	Heartbeat time.Duration
	// PoisonText crashes the stand-in when it runs a request that contains this text;
	// empty disables it.
	PoisonText string
}

// Defaults returns the options with default values in place of zero ones.
func (o Options) Defaults() Options {
	setDefault(&o.Slots, 20)
	setDefault(&o.TokenGap, 10*time.Millisecond)
	setDefault(&o.PrefillPerToken, 100*time.Microsecond)
	setDefault(&o.ExportLifetime, 900*time.Millisecond)
	setDefault(&o.CacheBytesPerToken, 128<<10)
	setDefault(&o.LinkRate, 10<<30)
	setDefault(&o.Heartbeat, 250*time.Millisecond)
	return o
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Server is one running stand-in.
type Server struct {
	options     Options
	incarnation hingeids.Incarnation
	listener    net.Listener
	faults      faults
	done        chan struct{}
	// crashed is closed when a poison request has crashed the stand-in.
	crashed   chan struct{}
	crashOnce sync.Once

	mu             sync.Mutex
	counts         Counts
	running        map[string]*generation
	exports        map[string]*export
	prefixes       *prefixCache
	queuedPrefills int
	queuedTokens   hingeids.Tokens
	runs           map[string]int
	engineState    engineState
	leaving        bool
	conns          map[net.Conn]struct{}
	prefillSlot    chan struct{}
}

// New creates a stand-in and opens its listener. now becomes its incarnation.
func New(o Options, now time.Time) (*Server, error) {
	o = o.Defaults()
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "open stand-in listener")
	}
	o.Listen = l.Addr().String()
	return &Server{
		options:     o,
		incarnation: hingeids.Incarnation(now.UnixNano()),
		listener:    l,
		done:        make(chan struct{}),
		crashed:     make(chan struct{}),
		running:     make(map[string]*generation),
		exports:     make(map[string]*export),
		prefixes:    newPrefixCache(),
		runs:        make(map[string]int),
		conns:       make(map[net.Conn]struct{}),
		prefillSlot: make(chan struct{}, 1),
	}, nil
}

// Address returns the listening address, with the port that was selected.
func (s *Server) Address() string {
	return s.options.Listen
}

// Incarnation returns the incarnation that the stand-in announces.
func (s *Server) Incarnation() hingeids.Incarnation {
	return s.incarnation
}

// Done returns a channel that is closed when Run returns.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Run serves requests and sends announcements until the context is done or a
// poison request crashes the stand-in. It closes all connections without
// draining them, as a killed process does. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	web := &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadBufferSize:        16 << 10,
		MaxRequestBodySize:    64 << 20,
		Logger:                discardLogger{},
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-s.crashed:
			stop()
		case <-ctx.Done():
		}
	}()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return web.Serve(&trackingListener{
			Listener: s.listener,
			server:   s,
		})
	})
	g.Go(func() error {
		s.announceLoop(ctx)
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		_ = s.listener.Close()
		s.closeConnections()
		s.cancelAll()
		return nil
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve stand-in")
	}
	return nil
}

// crashIfPoisoned crashes the stand-in if the request contains the poison text,
// and reports whether it did, after Run has stopped.
func (s *Server) crashIfPoisoned(request string) bool {
	if s.options.PoisonText == "" || !strings.Contains(request, s.options.PoisonText) {
		return false
	}
	s.crashOnce.Do(func() {
		close(s.crashed)
	})
	<-s.done
	return true
}

// Crashed returns a channel that is closed when a poison request crashes the stand-in.
func (s *Server) Crashed() <-chan struct{} {
	return s.crashed
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// trackingListener registers accepted connections, so that they can be closed,
// or silenced by a fault.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{
		Conn:           c,
		server:         l.server,
		silencesAtOpen: l.server.faults.silenceCount.Load(),
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[t] = struct{}{}
	return t, nil
}

// trackedConn drops all data in both directions once Silent is set after it was
// accepted. The peer sees an open connection without any answer.
type trackedConn struct {
	net.Conn
	server         *Server
	silencesAtOpen int64
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silencesAtOpen < c.server.faults.silenceCount.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.silencesAtOpen >= c.server.faults.silenceCount.Load() {
			return n, err
		}
	}
}

func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	open := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}
