package hingelink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// peer is one other host as this end sees it.
type peer struct {
	host        hingeids.HostID
	address     *net.UDPAddr
	cutOutgoing atomic.Bool
	cutIncoming atomic.Bool
	// newest is the latest incarnation heard from.
	newest atomic.Uint64
	// usedAt is when the peer was called last, in nanoseconds of the link's clock.
	usedAt atomic.Int64
	// accepted is the newest connection that the peer has opened to this end.
	accepted atomic.Pointer[quic.Conn]
	// kept says that a connection to the peer is kept up; peersMu guards it.
	kept bool

	mu      sync.Mutex
	conn    *quic.Conn
	away    error
	changed chan struct{}
}

func newPeer(host hingeids.HostID, address *net.UDPAddr) *peer {
	return &peer{
		host:    host,
		address: address,
		changed: make(chan struct{}),
	}
}

// set notes a connection, or why there is none; both nil while a dial is awaited.
func (p *peer) set(conn *quic.Conn, away error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	p.away = away
	close(p.changed)
	p.changed = make(chan struct{})
}

// state gives the connection, a channel that closes when that changes, and why
// there is no connection.
func (p *peer) state() (conn *quic.Conn, changed <-chan struct{}, away error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, p.changed, p.away
}

// connection gives the connection to the peer. Rule 3.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	for {
		conn, changed, away := p.state()
		if conn != nil {
			return conn, nil
		}
		if away != nil {
			return nil, away
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// hears reports whether a message of this incarnation may be taken. Rule 5: a
// process that was stopped for minutes and then goes on must not speak for its
// host after a new process took its place.
func (p *peer) hears(i hingeids.Incarnation) bool {
	for {
		newest := p.newest.Load()
		if uint64(i) < newest {
			return false
		}
		if p.newest.CompareAndSwap(newest, uint64(i)) {
			return true
		}
	}
}

// dialled is a connection with the socket of its own that it was dialled from.
type dialled struct {
	conn      *quic.Conn
	transport *quic.Transport
	socket    *net.UDPConn
}

// close tells the peer, so that it need not wait out the idle time.
func (d *dialled) close() {
	if d.conn != nil {
		_ = d.conn.CloseWithError(0, "")
	}
	_ = d.transport.Close()
	_ = d.socket.Close()
}

// dial opens a connection from a new port. Rule 2.
func (q *QUIC) dial(ctx context.Context, p *peer) (*dialled, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{
		IP: q.Addr().IP,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "dial host %s", p.host)
	}
	d := &dialled{
		transport: &quic.Transport{
			Conn: socket,
		},
		socket: socket,
	}
	d.conn, err = d.transport.Dial(ctx, p.address, q.dialTLS(p.host), quicConfig())
	if err != nil {
		d.close()
		return nil, eris.Wrapf(err, "dial host %s at %s", p.host, p.address)
	}
	return d, nil
}

// maintain keeps a connection to the peer up until the context ends. Rules 1 and 2.
func (q *QUIC) maintain(ctx context.Context, p *peer) {
	defer p.set(nil, eris.Errorf("link of host %s has ended", q.config.Self))
	wasUp := true
	for ctx.Err() == nil {
		d, err := q.dial(ctx, p)
		if err != nil {
			p.set(nil, err)
			q.recordAway(p, wasUp, err)
			wasUp = false
			if q.forget(p) {
				return
			}
			hingeclock.Sleep(ctx, redialPause)
			continue
		}
		wasUp = q.keep(ctx, p, d, wasUp)
	}
}

// keep holds one connection until it ends. A connection that ends as soon as
// it began was refused by the peer (which judges our certificate only after our
// side of the handshake is over): dialling on at once would spin, and an event for
// each would drive the others out of the time line.
func (q *QUIC) keep(ctx context.Context, p *peer, d *dialled, wasUp bool) (lasted bool) {
	defer d.close()
	began := q.clock()
	p.set(d.conn, nil)
	q.serving.Go(func() {
		q.serveDatagrams(p, d.conn)
	})
	select {
	case <-d.conn.Context().Done():
	case <-ctx.Done():
		return true
	}
	cause := context.Cause(d.conn.Context())
	if q.clock().Sub(began) > redialPause {
		p.set(nil, nil)
		q.recordAway(p, true, cause)
		return true
	}
	p.set(nil, eris.Wrapf(cause, "host %s ended the connection", p.host))
	q.recordAway(p, wasUp, cause)
	hingeclock.Sleep(ctx, redialPause)
	return false
}

// recordAway writes an event when a connection is lost, not for every dial that fails after it.
func (q *QUIC) recordAway(p *peer, first bool, cause error) {
	if !first {
		return
	}
	q.config.Recorder.Record(q.clock(), hingeevents.LinkLost, hingeevents.Fields{
		Host:   p.host,
		Detail: cause.Error(),
	})
}
