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

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// serverKinds lists the stages of a run's stand-ins; an empty stage is a replica of the plain service.
var serverKinds = []string{"", "", "prefill", "prefill", "decode", "decode", "decode"}

const (
	plainService  = "app"
	engineService = "model"
	// streamEvents is the number of events in a stream, eventInterval the pause between them.
	streamEvents  = 20
	eventInterval = 30 * time.Millisecond
)

// server is a stand-in for a backend server, reached through a proxy.
type server struct {
	id      string
	stage   string
	checker *checker
	proxy   *proxy
	seq     atomic.Uint64
	cache   atomic.Uint64
	// restarts is part of the server's name. While down is set, no heartbeats are sent.
	restarts atomic.Uint64
	down     atomic.Bool
	need     atomic.Pointer[need]
	reports  reportState
	// changes is nil without changes. Only servers of changes have a service of their own, and a time that answers take.
	changes    *changes
	ownService hingeids.Service
	answerTime time.Duration
}

// name returns the server's name, which changes with each restart.
func (x *server) name() string {
	return fmt.Sprintf("%s.%d", x.id, x.restarts.Load())
}

const restartDelay = 2 * time.Second

// crash simulates a crash under the request with the path, and a restart after restartDelay.
func (x *server) crash(path string) {
	if !x.down.CompareAndSwap(false, true) {
		return
	}
	x.checker.recordCrash(path, x.name())
	x.proxy.stopListening()
	time.AfterFunc(restartDelay, func() {
		x.restarts.Add(1)
		x.proxy.reopen()
		x.down.Store(false)
	})
}

func (s *soak) startServers(ctx context.Context) error {
	for i, stage := range serverKinds {
		x := &server{
			id:      fmt.Sprint("server-", i),
			stage:   stage,
			checker: s.checker,
		}
		if err := x.start(ctx, s.fleet); err != nil {
			return err
		}
		s.servers = append(s.servers, x)
	}
	return nil
}

// start listens and sends heartbeats until the context is done.
func (x *server) start(ctx context.Context, f *fleet) error {
	x.need.Store(&need{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "open stand-in listener")
	}
	web := &http.Server{
		Handler: x,
	}
	go func() {
		// Serve returns when the server is closed.
		_ = web.Serve(l)
	}()
	x.proxy, err = newProxy(l.Addr().String())
	if err != nil {
		_ = web.Close()
		return err
	}
	context.AfterFunc(ctx, func() {
		_ = web.Close()
		x.proxy.close()
	})
	go x.announce(ctx, f)
	return nil
}

// announce sends heartbeats to one control host, and fails over to the next if it doesn't answer.
func (x *server) announce(ctx context.Context, f *fleet) {
	hostIndex := int(x.seq.Load())
	for ctx.Err() == nil {
		if x.down.Load() {
			sleepUntil(ctx, time.Now().Add(20*time.Millisecond))
			continue
		}
		c := wire.Heartbeat(x.name(), x.service(), x.proxy.address(), "zone-1", x.stage, x.seq.Add(1))
		controls := f.controlHosts()
		host := controls[hostIndex%len(controls)]
		switch l := x.reports.next(); {
		case l.again:
			x.sendLate(ctx, controls[(hostIndex+1)%len(controls)], c, l.delay)
		case l.left > 0:
			x.sendLate(ctx, host, c, l.delay)
			sleepUntil(ctx, time.Now().Add(reportTimeout))
			hostIndex++
			continue
		}
		status, _, err := call(ctx, host.settings.ControlAddress, c)
		if err != nil || status != http.StatusOK {
			hostIndex++
			x.pauseAfterRefusal(ctx)
			continue
		}
		x.reports.recordAck(time.Now())
		sleepUntil(ctx, time.Now().Add(reportInterval))
	}
}

func (x *server) service() string {
	if x.ownService != "" {
		return string(x.ownService)
	}
	if x.stage == "" {
		return plainService
	}
	return engineService
}

// ServeHTTP runs a request and records the run. A poison request crashes the server, except
// in the prefill stage.
func (x *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	info := wire.ForwardedHeaders(q.Header)
	if info.Server != "" && info.Server != x.name() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if info.ID != "" {
		x.checker.recordArrival(x.name(), info.ID)
	}
	switch {
	case info.ID == "":
		// Load queries and calls that free KV cache run no request.
		w.WriteHeader(http.StatusOK)
	case x.refuse(w, info.ID):
	case strings.Contains(q.URL.Path, poisonMarker) && !info.Prefill:
		x.crash(q.URL.Path)
	case poisonPartOf(info.PromptParts) != "" && !info.Prefill:
		x.crash(poisonPartOf(info.PromptParts))
	case info.Prefill:
		time.Sleep(20 * time.Millisecond)
		wire.SetResponseHeaders(w.Header(), info.ID)
		x.state(w.Header(), info.ID)
		_, _ = w.Write(wire.PrefillResponse(fmt.Sprint("cache-", x.cache.Add(1))))
	case x.stage == "decode":
		x.stream(w, q, info.ID, info.LastEventID)
	default:
		x.checker.recordRun(info.ID, x.id)
		x.recordChangeRun(info.ID)
		time.Sleep(10 * time.Millisecond)
		x.awaitAnswerTime(q.Context())
		wire.SetResponseHeaders(w.Header(), info.ID)
		x.state(w.Header(), info.ID)
		_, _ = io.WriteString(w, answerTo(info.ID))
	}
}

func (x *server) stream(w http.ResponseWriter, q *http.Request, id, after string) {
	x.checker.recordRun(id, x.id)
	wire.SetResponseHeaders(w.Header(), id)
	x.state(w.Header(), id)
	first, _ := strconv.Atoi(after)
	for i := first + 1; i <= streamEvents; i++ {
		if q.Context().Err() != nil {
			return
		}
		_, _ = io.WriteString(w, event(id, i))
		w.(http.Flusher).Flush()
		time.Sleep(eventInterval)
	}
}

func answerTo(id string) string {
	return "the answer to " + id
}

func event(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, id)
}

// mode is the fault that a proxy applies to its connections.
type mode string

// The modes of a proxy. passThrough injects no fault. With oneWay, requests arrive and
// answers are dropped; with silent, all data is held back and no connection is closed.
const (
	passThrough mode = "pass"
	delay       mode = "delay"
	reset       mode = "reset"
	oneWay      mode = "one way"
	silent      mode = "silent"
)

// proxy forwards connections to a stand-in and injects faults.
type proxy struct {
	listenAddress string
	target        string
	// listenerMu guards listener and closed. The listener is closed while the server is down.
	listenerMu sync.Mutex
	listener   net.Listener
	closed     bool
	mode       atomic.Pointer[mode]
	conns      sync.Map
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "open proxy listener")
	}
	p := &proxy{
		listenAddress: l.Addr().String(),
		listener:      l,
		target:        target,
	}
	p.setMode(passThrough)
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

// stopListening closes the listener and resets all connections, as after a crash of the server.
func (p *proxy) stopListening() {
	p.listenerMu.Lock()
	defer p.listenerMu.Unlock()
	_ = p.listener.Close()
	p.conns.Range(func(c, _ any) bool {
		abort(c.(net.Conn))
		return true
	})
}

// reopen listens on the same address again, unless the proxy is closed.
func (p *proxy) reopen() {
	p.listenerMu.Lock()
	defer p.listenerMu.Unlock()
	if p.closed {
		return
	}
	l, err := net.Listen("tcp4", p.listenAddress)
	if err != nil {
		// The server stays down, which the recovery check finds.
		return
	}
	p.listener = l
	go p.accept(l)
}

func (p *proxy) address() string {
	return p.listenAddress
}

// setMode changes the mode, which also applies to open connections.
func (p *proxy) setMode(m mode) {
	p.mode.Store(&m)
	if m != reset {
		return
	}
	p.conns.Range(func(c, _ any) bool {
		abort(c.(net.Conn))
		return true
	})
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	p.listenerMu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.listenerMu.Unlock()
	p.setMode(reset)
}

func (p *proxy) serve(c net.Conn) {
	if *p.mode.Load() == reset {
		abort(c)
		return
	}
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.conns.Store(c, nil)
	defer p.conns.Delete(c)
	go p.copy(target, c, false)
	p.copy(c, target, true)
}

// copy forwards bytes in one direction, subject to the mode.
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
			// After dropped bytes, nothing more is forwarded: a TCP stream has no gaps.
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
