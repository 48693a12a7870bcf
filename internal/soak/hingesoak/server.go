package hingesoak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// serverKinds are the stand-ins of a run; an empty stage is a replica of the plain service.
var serverKinds = []string{"", "", "prefill", "prefill", "decode", "decode", "decode"}

const (
	plainService  = "app"
	engineService = "model"
	// streamEvents is the length of a stream, eventEvery the pause between its events.
	streamEvents = 20
	eventEvery   = 30 * time.Millisecond
)

// server is a stand-in of a backend server behind a proxy.
type server struct {
	id    string
	stage string
	book  *book
	proxy *proxy
	seq   atomic.Uint64
	cache atomic.Uint64
	// life counts its ends; while it is down nothing announces it.
	life atomic.Uint64
	down atomic.Bool
}

// name is the server's name in its present life.
func (x *server) name() string {
	return fmt.Sprintf("%s.%d", x.id, x.life.Load())
}

// downTime is how long a server that ended is away.
const downTime = 2 * time.Second

// end ends the server under a request; it is back by itself.
func (x *server) end(path string) {
	if !x.down.CompareAndSwap(false, true) {
		return
	}
	x.book.ends(path, x.name())
	x.proxy.shut()
	time.AfterFunc(downTime, func() {
		x.life.Add(1)
		x.proxy.reopen()
		x.down.Store(false)
	})
}

func (s *soak) startServers(ctx context.Context) error {
	for i, stage := range serverKinds {
		x := &server{
			id:    fmt.Sprint("server-", i),
			stage: stage,
			book:  s.book,
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return eris.Wrap(err, "stand-in")
		}
		web := &http.Server{
			Handler: x,
		}
		go func() {
			// It ends with its listener.
			_ = web.Serve(l)
		}()
		x.proxy, err = newProxy(l.Addr().String())
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() {
			_ = web.Close()
			x.proxy.close()
		})
		s.servers = append(s.servers, x)
		go x.announce(ctx, s.fleet)
	}
	return nil
}

// announce tells control hosts of the server, as a server does: any one of them.
func (x *server) announce(ctx context.Context, f *fleet) {
	at := int(x.seq.Load())
	for ctx.Err() == nil {
		if x.down.Load() {
			sleepUntil(ctx, time.Now().Add(20*time.Millisecond))
			continue
		}
		c := wire.Heartbeat(x.name(), x.service(), x.proxy.address(), "zone-1", x.stage, x.seq.Add(1))
		status, _, err := call(ctx, f.controls[at%len(f.controls)].settings.ControlAddress, c)
		if err != nil || status != http.StatusOK {
			at++
			continue
		}
		sleepUntil(ctx, time.Now().Add(time.Second))
	}
}

func (x *server) service() string {
	if x.stage == "" {
		return plainService
	}
	return engineService
}

// ServeHTTP runs a request as a backend server does.
func (x *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	told := wire.ForwardedHeaders(q.Header)
	if told.Server != "" && told.Server != x.name() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case told.ID == "":
		// A report is asked for, or a KV cache freed; neither runs anything.
		w.WriteHeader(http.StatusOK)
	case strings.Contains(q.URL.Path, poisonPath) && !told.Prefill:
		x.end(q.URL.Path)
	case told.Prefill:
		time.Sleep(20 * time.Millisecond)
		wire.SetResponseHeaders(w.Header(), told.ID)
		_, _ = w.Write(wire.PrefillResponse(fmt.Sprint("cache-", x.cache.Add(1))))
	case x.stage == "decode":
		x.stream(w, q, told.ID, told.LastEventID)
	default:
		x.book.ran(told.ID, x.id)
		time.Sleep(10 * time.Millisecond)
		wire.SetResponseHeaders(w.Header(), told.ID)
		_, _ = io.WriteString(w, answerTo(told.ID))
	}
}

func (x *server) stream(w http.ResponseWriter, q *http.Request, id, after string) {
	x.book.ran(id, x.id)
	wire.SetResponseHeaders(w.Header(), id)
	first, _ := strconv.Atoi(after)
	for i := first + 1; i <= streamEvents; i++ {
		if q.Context().Err() != nil {
			return
		}
		_, _ = io.WriteString(w, event(id, i))
		w.(http.Flusher).Flush()
		time.Sleep(eventEvery)
	}
}

func answerTo(id string) string {
	return "the answer to " + id
}

func event(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, id)
}

// mode is what a proxy does with connections.
type mode string

// The modes of a proxy. One way, requests arrive and answers are lost; silent, nothing
// passes and nothing is closed.
const (
	pass   mode = "pass"
	delay  mode = "delay"
	reset  mode = "reset"
	oneWay mode = "one way"
	silent mode = "silent"
)

// proxy stands before a stand-in.
type proxy struct {
	at string
	to string
	// shutting guards the listener, which is closed while the server is down.
	shutting sync.Mutex
	listener net.Listener
	closed   bool
	mode     atomic.Pointer[mode]
	conns    sync.Map
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &proxy{
		at:       l.Addr().String(),
		listener: l,
		to:       to,
	}
	p.set(pass)
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// shut ends the server to the world: all its connections break, and its address refuses others.
func (p *proxy) shut() {
	p.shutting.Lock()
	defer p.shutting.Unlock()
	_ = p.listener.Close()
	p.conns.Range(func(c, _ any) bool {
		abort(c.(net.Conn))
		return true
	})
}

// reopen takes connections again, unless the run is over.
func (p *proxy) reopen() {
	p.shutting.Lock()
	defer p.shutting.Unlock()
	if p.closed {
		return
	}
	l, err := net.Listen("tcp4", p.at)
	if err != nil {
		// It stays away, which the run's end would show.
		return
	}
	p.listener = l
	go p.accept(l)
}

func (p *proxy) address() string {
	return p.at
}

// set changes the mode; connections that are open get it too.
func (p *proxy) set(m mode) {
	p.mode.Store(&m)
	if m != reset {
		return
	}
	p.conns.Range(func(c, _ any) bool {
		abort(c.(net.Conn))
		return true
	})
}

// abort resets a connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	p.shutting.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.shutting.Unlock()
	p.set(reset)
}

func (p *proxy) serve(c net.Conn) {
	if *p.mode.Load() == reset {
		abort(c)
		return
	}
	to, err := net.Dial("tcp4", p.to)
	if err != nil {
		abort(c)
		return
	}
	p.conns.Store(c, nil)
	defer p.conns.Delete(c)
	go p.copy(to, c, false)
	p.copy(c, to, true)
}

// copy carries bytes one way as the mode says.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	b := make([]byte, 4096)
	lost := false
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		for *p.mode.Load() == silent {
			time.Sleep(20 * time.Millisecond)
		}
		switch *p.mode.Load() {
		case delay:
			time.Sleep(150 * time.Millisecond)
		case oneWay:
			// Bytes that were lost on the way never come, and nothing behind them does.
			lost = lost || answers
		}
		if lost {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
