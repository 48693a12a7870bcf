package hingetunnel

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepaths"
)

// reply is a host's answer to a request for a tunnel.
type reply byte

// connected means that the tunnel is open; down that this host reaches other servers but not this one; refused that the
// server's host refused the connection; unable that this host can't tell, since it is busy, draining, or cut off from servers
// itself.
const (
	connected reply = iota + 1
	down
	refused
	unable
)

// openTunnel requests a tunnel of other hosts until one connects. It returns nil if none does.
func (a *attempt) openTunnel(ctx context.Context) net.Conn {
	d := a.dialer
	candidates := d.candidateHosts(ctx)
	a.silent = true
	if len(candidates) == 0 {
		return nil
	}
	var order []hingeids.HostID
	var proven bool
	d.update(func(now time.Time, p *hingepaths.Paths) {
		order, proven = p.Order(now, candidates)
	})
	if len(order) > maxRequested {
		order = order[:maxRequested]
	}
	requestCtx, stop := context.WithTimeout(ctx, helpTimeout)
	results := make(chan result, len(order))
	pending, next := 0, 0
	start := func(n int) {
		for ; n > 0 && next < len(order); n-- {
			h := order[next]
			next++
			pending++
			go func() {
				results <- d.request(requestCtx, h, a.address)
			}()
		}
	}
	defer func() {
		stop()
		go closeLateResults(results, pending)
	}()
	timer := time.NewTimer(provenDelay)
	defer timer.Stop()
	if proven {
		start(1)
	} else {
		start(parallel)
	}
	for pending > 0 {
		select {
		case <-timer.C:
			start(parallel - pending)
			continue
		case r := <-results:
			pending--
			if r.conn != nil {
				d.opened.Inc()
				return r.conn
			}
			a.record(r)
			if a.down && proven || ctx.Err() != nil {
				// A host that reaches servers has said that this one is down.
				return nil
			}
			if !a.down {
				start(1)
			}
		}
	}
	return nil
}

func closeLateResults(results <-chan result, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

func (a *attempt) record(r result) {
	if r.err != nil {
		a.cause = r.err
		return
	}
	a.silent = false
	a.down = a.down || r.reply == down || r.reply == refused
	a.refused = a.refused || r.reply == refused
}

// request requests a tunnel of one host.
func (d *Dialer) request(ctx context.Context, h hingeids.HostID, address string) result {
	d.update(func(now time.Time, p *hingepaths.Paths) {
		p.RecordRequested(now, h)
	})
	b, conn, err := d.link.OpenTunnel(ctx, h, methodTunnel, []byte(address))
	r := result{
		conn:   conn,
		err:    err,
		helper: h,
	}
	if err == nil && len(b) != 1 {
		r.err = eris.Errorf("host %s answered the request for a tunnel with %d bytes", h, len(b))
	}
	if len(b) == 1 {
		r.reply = reply(b[0])
	}
	d.update(func(now time.Time, p *hingepaths.Paths) {
		switch {
		case conn != nil:
			p.RecordOpened(now, hingepaths.Address(address), h)
		case !errors.Is(ctx.Err(), context.Canceled) && (err != nil || r.reply == unable):
			p.RecordUnavailable(now, h)
		}
	})
	return r
}

// candidateHosts returns the hosts that may open a tunnel. It waits only if none is known.
func (d *Dialer) candidateHosts(ctx context.Context) []hingeids.HostID {
	now := d.settings.Clock()
	d.mu.Lock()
	list := d.candidates
	fetching := d.fetching
	if fetching == nil && (len(list) == 0 || now.Sub(d.candidatesAt) > candidatesTTL) {
		fetching = make(chan struct{})
		d.fetching = fetching
		go d.fetchCandidates()
	}
	d.mu.Unlock()
	if len(list) > 0 || fetching == nil {
		return list
	}
	select {
	case <-fetching:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.candidates
}

func (d *Dialer) fetchCandidates() {
	ctx, stop := context.WithTimeout(context.Background(), candidatesTimeout)
	defer stop()
	list := d.settings.Candidates(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(list) > 0 {
		d.candidates = list
	}
	d.candidatesAt = d.settings.Clock()
	close(d.fetching)
	d.fetching = nil
}

// serve opens a connection for another host (rule 4).
func (d *Dialer) serve(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, net.Conn, error) {
	if !d.reserve() {
		d.rejected.Inc()
		return []byte{byte(unable)}, nil, nil
	}
	dialCtx, stop := context.WithTimeout(ctx, helperDialTimeout)
	defer stop()
	address := string(body)
	conn, err := d.settings.Direct.DialServer(dialCtx, address)
	if err != nil {
		d.release()
		d.rejected.Inc()
		return []byte{byte(d.explain(ctx, address, err))}, nil, nil
	}
	d.update(func(now time.Time, p *hingepaths.Paths) {
		p.RecordReached(now, hingepaths.Address(address))
	})
	d.served.Inc()
	return []byte{byte(connected)}, &servedConn{
		Conn:   conn,
		dialer: d,
	}, nil
}

// reserve counts a tunnel, unless this host opens none now.
func (d *Dialer) reserve() bool {
	accepts := d.settings.Accepts()
	now := d.settings.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !accepts || d.serving >= maxTunnels || d.paths.Declines(now) {
		return false
	}
	d.serving++
	return true
}

func (d *Dialer) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serving--
}

// explain returns the reply for a server that this host didn't reach.
func (d *Dialer) explain(ctx context.Context, address string, err error) reply {
	if ctx.Err() != nil {
		return unable
	}
	out := down
	if errors.Is(err, syscall.ECONNREFUSED) {
		out = refused
	}
	d.update(func(now time.Time, p *hingepaths.Paths) {
		p.RecordFailed(now, hingepaths.Address(address))
		if p.Suspected() {
			out = unable
		}
	})
	return out
}

// servedConn is a connection to a server that is open for another host.
type servedConn struct {
	net.Conn
	dialer *Dialer
	closed atomic.Bool
}

// Close closes the connection. It can be called more than once.
func (s *servedConn) Close() error {
	if s.closed.CompareAndSwap(false, true) {
		s.dialer.release()
	}
	return s.Conn.Close()
}
