// Package hingestandin is a small stand-in for the backend servers of the
// brief: model engines for prefill and decode, and replicas of plain services.
// Tests, the demo and the load tool judge the router by what the stand-in
// counted, never by the router's own word.
//
//  1. A decode engine holds a fixed number of requests. A request lives apart
//     from its connection: it runs on when the connection breaks, until it is
//     finished and read, cancelled, or the engine dies. What is held is counted.
//  2. A prefill engine works its queue one by one, caches prompt prefixes, and
//     exports KV cache that is evicted after a short time.
//  3. A decode engine imports KV cache over a link of limited rate. One that is
//     gone is refused before anything runs.
//  4. Each answer is a function of the prompt, so that a reader can tell a
//     whole answer, and its own, from any other.
//  5. Faults are set on command and counted down.
//
// The HTTP bodies follow the published habits of today's engines (completion
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

// Options say what a stand-in is and how fast.
type Options struct {
	Server  hingeids.ServerID
	Kind    hingeannounce.Kind
	Zone    hingeids.Zone
	Model   hingeids.Model
	Service hingeids.Service
	// Listen is the IP number and port to take requests at.
	Listen string
	// Announce are the entry hosts' addresses for servers; one is used at a time.
	Announce []string
	Slots    hingeids.Slots
	// TokenGap is the time between tokens with an empty batch.
	TokenGap time.Duration
	// PrefillPerToken is the time to prefill one token that is not cached.
	PrefillPerToken time.Duration
	// CacheLife is how long exported KV cache is kept.
	CacheLife time.Duration
	// CacheBytesPerToken and LinkRate give the time of a transfer.
	CacheBytesPerToken hingeids.Bytes
	LinkRate           hingeids.BytesPerSecond
	ChecksFence        bool
	// Heartbeat is the time between announcements; a report is that old when it arrives.
	Heartbeat time.Duration
	// Poison is a text that ends the stand-in as soon as it runs a request that has it; empty for none.
	Poison string
}

// Defaults fills in what was left zero.
func (o Options) Defaults() Options {
	setDefault(&o.Slots, 20)
	setDefault(&o.TokenGap, 10*time.Millisecond)
	setDefault(&o.PrefillPerToken, 100*time.Microsecond)
	setDefault(&o.CacheLife, 900*time.Millisecond)
	setDefault(&o.CacheBytesPerToken, 128<<10)
	setDefault(&o.LinkRate, 10<<30)
	setDefault(&o.Heartbeat, 250*time.Millisecond)
	return o
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// Server is one running stand-in.
type Server struct {
	options     Options
	incarnation hingeids.Incarnation
	listener    net.Listener
	faults      faults
	done        chan struct{}
	// ended closes when a request has ended the stand-in.
	ended    chan struct{}
	endsOnce sync.Once

	mu       sync.Mutex
	counts   Counts
	running  map[string]*generation
	caches   map[string]*export
	prefixes *prefixCache
	prefills int
	queued   hingeids.Tokens
	runs     map[string]int
	shape    shape
	leaving  bool
	conns    map[net.Conn]struct{}
	prefillQ chan struct{}
}

// New makes a stand-in and takes its listening address.
func New(o Options, now time.Time) (*Server, error) {
	o = o.Defaults()
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "stand-in")
	}
	o.Listen = l.Addr().String()
	return &Server{
		options:     o,
		incarnation: hingeids.Incarnation(now.UnixNano()),
		listener:    l,
		done:        make(chan struct{}),
		ended:       make(chan struct{}),
		running:     make(map[string]*generation),
		caches:      make(map[string]*export),
		prefixes:    newPrefixCache(),
		runs:        make(map[string]int),
		conns:       make(map[net.Conn]struct{}),
		prefillQ:    make(chan struct{}, 1),
	}, nil
}

// Address is where the stand-in takes requests.
func (s *Server) Address() string {
	return s.options.Listen
}

// Incarnation is the life the stand-in announces.
func (s *Server) Incarnation() hingeids.Incarnation {
	return s.incarnation
}

// Done closes when the stand-in has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Run serves and announces until the context ends. It ends as a killed process
// does: connections break at once.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	web := &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadBufferSize:        16 << 10,
		MaxRequestBodySize:    64 << 20,
		Logger:                quiet{},
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-s.ended:
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
		s.announceUntil(ctx)
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		_ = s.listener.Close()
		s.breakConnections()
		s.cancelAll()
		return nil
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "stand-in")
	}
	return nil
}

// poisoned ends the stand-in if it has a request in hand that does.
func (s *Server) poisoned(request string) bool {
	if s.options.Poison == "" || !strings.Contains(request, s.options.Poison) {
		return false
	}
	s.endsOnce.Do(func() {
		close(s.ended)
	})
	<-s.done
	return true
}

// Ended closes when a request has ended the stand-in.
func (s *Server) Ended() <-chan struct{} {
	return s.ended
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// trackingListener knows the open connections, so that a fault can break or
// silence just those.
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
		Conn:   c,
		server: l.server,
		birth:  l.server.faults.silences.Load(),
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[t] = struct{}{}
	return t, nil
}

// trackedConn swallows what is written to it once its generation is silenced:
// the peer sees an open connection on which nothing ever comes.
type trackedConn struct {
	net.Conn
	server *Server
	birth  int64
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.birth < c.server.faults.silences.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.birth >= c.server.faults.silences.Load() {
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

func (s *Server) breakConnections() {
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
