// Package hingetunnel connects an entry host to the backend servers that it doesn't reach itself, through other entry hosts.
//
//  1. The host that received a request keeps it: it places it, holds its retries, its limits and its verdict. Only the bytes of
//     its connection to the server pass through the other host, which knows nothing of requests.
//  2. hingepaths decides when a tunnel is requested, and of which host. Candidates come from a control host, a few at a time, and are
//     requested only when they are needed.
//  3. A connection that neither this host nor another one could open says that the server is down; one that only this host
//     couldn't open says nothing about the server. DialServer returns ErrNoPath if no host that could tell has answered.
//  4. A helper accepts at most maxTunnels tunnels at a time, and none while it drains. Tunnels that are open continue.
package hingetunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepaths"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// helpTimeout is how long a host may take to open a tunnel: a handshake between the two hosts, and its own connection to the
	// server, for which it takes helperDialTimeout at most.
	helpTimeout       = 250 * time.Millisecond
	helperDialTimeout = 100 * time.Millisecond
	// provenDelay is the wait for a host that has connected lately before the request is sent to others too.
	provenDelay = 40 * time.Millisecond
	// parallel is the number of concurrent requests while no host is known to connect.
	parallel = 3
	// maxRequested is the number of hosts of which a tunnel for one connection is requested.
	maxRequested = 6
	// candidatesTTL is how long the candidates are used. They are requested again while tunnels are needed.
	candidatesTTL     = 2 * time.Second
	candidatesTimeout = 150 * time.Millisecond
	// cleanUpInterval is the interval at which state is expired.
	cleanUpInterval = time.Second
	// maxTunnels bounds what a host does for others: each tunnel takes two goroutines and 64 KB for its copies.
	maxTunnels = 256
)

const methodTunnel hingelink.Method = "server.tunnel"

// ErrNoPath says that this host reached neither a server nor another host that could tell whether the server is down.
var ErrNoPath = eris.New("no path from this host to the server")

// Link opens and serves tunnels.
type Link interface {
	HandleTunnel(method hingelink.Method, h hingelink.TunnelHandler)
	OpenTunnel(ctx context.Context, to hingeids.HostID, method hingelink.Method, body []byte) ([]byte, net.Conn, error)
}

// Settings holds the settings of a Dialer.
type Settings struct {
	// Direct opens connections from this host itself.
	Direct hingewire.Dialer
	// Candidates returns some other entry hosts, those of this host's zone first.
	Candidates func(ctx context.Context) []hingeids.HostID
	// Accepts reports whether this host connects for others.
	Accepts  func() bool
	Clock    func() time.Time
	Recorder *hingeevents.Recorder
}

// Dialer is a dialer of backend servers that uses other entry hosts. It is safe for concurrent use.
type Dialer struct {
	settings Settings
	link     Link
	done     chan struct{}

	mu    sync.Mutex
	paths *hingepaths.Paths
	// candidates were received at candidatesAt.
	candidates   []hingeids.HostID
	candidatesAt time.Time
	fetching     chan struct{}
	// lostSince is when the first server was cut off, zero while none is.
	lostSince time.Time
	serving   int

	set      *metrics.Set
	opened   *metrics.Counter
	failed   *metrics.Counter
	served   *metrics.Counter
	rejected *metrics.Counter
}

// New returns a dialer and registers its handler on the link.
func New(s Settings, link Link) *Dialer {
	set := metrics.NewSet()
	d := &Dialer{
		settings: s,
		link:     link,
		done:     make(chan struct{}),
		paths:    hingepaths.New(),
		set:      set,
		opened:   set.NewCounter(`swifthinge_tunnels_total{result="opened"}`),
		failed:   set.NewCounter(`swifthinge_tunnels_total{result="failed"}`),
		served:   set.NewCounter(`swifthinge_tunnels_served_total{result="opened"}`),
		rejected: set.NewCounter(`swifthinge_tunnels_served_total{result="rejected"}`),
	}
	link.HandleTunnel(methodTunnel, d.serve)
	return d
}

// Done is closed when Run has returned.
func (d *Dialer) Done() <-chan struct{} {
	return d.done
}

// Run expires state until the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(cleanUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.update(func(now time.Time, p *hingepaths.Paths) {
			p.RemoveExpired(now)
		})
	}
}

// Serving returns the number of tunnels that this host has open for others.
func (d *Dialer) Serving() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serving
}

// update changes the paths, and records when the host loses the path to servers and when it has it again.
func (d *Dialer) update(change func(now time.Time, p *hingepaths.Paths)) {
	now := d.settings.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	change(now, d.paths)
	cutOff := d.paths.CutOff()
	switch {
	case cutOff > 0 && d.lostSince.IsZero():
		d.lostSince = now
		d.settings.Recorder.Record(time.Now(), hingeevents.ServerPathLost, hingeevents.Fields{
			Count: int64(cutOff),
		})
	case cutOff == 0 && !d.lostSince.IsZero():
		d.settings.Recorder.Record(time.Now(), hingeevents.ServerPathRegained, hingeevents.Fields{
			Elapsed: now.Sub(d.lostSince),
		})
		d.lostSince = time.Time{}
	}
}

// result is a connection to a server, or why there is none.
type result struct {
	conn net.Conn
	err  error
	// helper is the host that received the request, empty for this one.
	helper hingeids.HostID
	reply  reply
}

// DialServer connects to a server itself or through another host (rule 3).
func (d *Dialer) DialServer(ctx context.Context, address string) (net.Conn, error) {
	var plan hingepaths.Plan
	d.update(func(now time.Time, p *hingepaths.Paths) {
		plan = p.Plan(now, hingepaths.Address(address))
	})
	a := &attempt{
		dialer:  d,
		address: address,
	}
	if !plan.Direct {
		if c := a.openTunnel(ctx); c != nil {
			return c, nil
		}
		return a.directAfterOthers(ctx)
	}
	direct := a.startDirect(ctx)
	// A busy process notices its own connection and the end of the wait together.
	for _, wait := range []time.Duration{plan.HedgeAfter, hedgeSlack} {
		select {
		case r := <-direct:
			if r.err == nil || ctx.Err() != nil {
				return r.conn, r.err
			}
			return a.othersAfterDirect(ctx, r.err)
		case <-time.After(wait):
		}
	}
	return a.race(ctx, direct)
}

// hedgeSlack is how much longer than planned the own connection is waited for.
const hedgeSlack = 3 * time.Millisecond

// attempt is one call of DialServer.
type attempt struct {
	dialer  *Dialer
	address string
	// down is set if a host that reaches servers didn't reach this one, refused if the server's host refused its connection.
	down    bool
	refused bool
	// silent is set if no other host has answered; cause is the last error of a request to one.
	silent bool
	cause  error
}

// startDirect starts a connection from this host itself. Its result is recorded even if nobody waits for it any more.
func (a *attempt) startDirect(ctx context.Context) <-chan result {
	out := make(chan result, 1)
	go func() {
		conn, err := a.dialer.settings.Direct.DialServer(ctx, a.address)
		switch {
		case err == nil:
			a.dialer.update(func(now time.Time, p *hingepaths.Paths) {
				p.RecordReached(now, hingepaths.Address(a.address))
			})
		case ctx.Err() == nil:
			a.dialer.update(func(now time.Time, p *hingepaths.Paths) {
				p.RecordFailed(now, hingepaths.Address(a.address))
			})
		}
		out <- result{
			conn: conn,
			err:  err,
		}
	}()
	return out
}

// othersAfterDirect requests a tunnel once this host has failed.
func (a *attempt) othersAfterDirect(ctx context.Context, directErr error) (net.Conn, error) {
	if c := a.openTunnel(ctx); c != nil {
		return c, nil
	}
	return nil, a.conclude(ctx, directErr)
}

// directAfterOthers tries this host's own connection to a server that is cut off from it, after no other host has connected.
func (a *attempt) directAfterOthers(ctx context.Context) (net.Conn, error) {
	r := <-a.startDirect(ctx)
	if r.err == nil {
		return r.conn, nil
	}
	return nil, a.conclude(ctx, r.err)
}

// race continues the own connection beside the requests for a tunnel, and returns the first connection.
func (a *attempt) race(ctx context.Context, direct <-chan result) (net.Conn, error) {
	othersCtx, stop := context.WithCancel(ctx)
	others := make(chan net.Conn, 1)
	go func() {
		others <- a.openTunnel(othersCtx)
	}()
	select {
	case r := <-direct:
		if r.err != nil {
			defer stop()
			if c := <-others; c != nil {
				return c, nil
			}
			return nil, a.conclude(ctx, r.err)
		}
		stop()
		go closeLate(others)
		return r.conn, nil
	case c := <-others:
		defer stop()
		if c != nil {
			go func() {
				if r := <-direct; r.conn != nil {
					_ = r.conn.Close()
				}
			}()
			return c, nil
		}
		r := <-direct
		if r.err == nil {
			return r.conn, nil
		}
		return nil, a.conclude(ctx, r.err)
	}
}

func closeLate(conns <-chan net.Conn) {
	if c := <-conns; c != nil {
		_ = c.Close()
	}
}

// conclude returns the error of a server that was not reached (rule 3).
func (a *attempt) conclude(ctx context.Context, directErr error) error {
	d := a.dialer
	switch {
	case ctx.Err() != nil && !a.down && errors.Is(directErr, syscall.ECONNREFUSED):
		// Nobody has confirmed in time that no process listens there.
		return eris.Wrap(ErrNoPath, directErr.Error())
	case ctx.Err() != nil:
		return directErr
	case a.down:
		d.update(func(_ time.Time, p *hingepaths.Paths) {
			p.RecordDown(hingepaths.Address(a.address))
		})
		if a.refused && !errors.Is(directErr, syscall.ECONNREFUSED) {
			return eris.Wrap(syscall.ECONNREFUSED, directErr.Error())
		}
		return directErr
	case a.silent:
		// No other host answers this one: it can't tell, as if it were alone.
		return directErr
	}
	d.failed.Inc()
	return eris.Wrapf(ErrNoPath, "own connection: %v; last tunnel: %v", directErr, a.cause)
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (d *Dialer) WriteMetrics(w io.Writer) {
	d.set.WritePrometheus(w)
}
