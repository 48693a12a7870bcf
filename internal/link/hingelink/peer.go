package hingelink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

type peer struct {
	host        hingeids.HostID
	address     *net.UDPAddr
	cutOutgoing atomic.Bool
	cutIncoming atomic.Bool
	instances   instances
	// lastUsed is the link's uptime in nanoseconds at the last call or datagram to the peer.
	lastUsed atomic.Int64
	// tunnels is the number of open tunnels through the peer. Its connection is in use while there are any.
	tunnels atomic.Int64
	// accepted is the latest connection that the peer opened to this host.
	accepted atomic.Pointer[quic.Conn]
	// maintained means that a goroutine keeps a connection to the peer open.
	// Guarded by QUIC.peersMu.
	maintained bool

	mu          sync.Mutex
	conn        *quic.Conn
	unavailable error
	changed     chan struct{}
}

func newPeer(host hingeids.HostID, address *net.UDPAddr) *peer {
	return &peer{
		host:    host,
		address: address,
		changed: make(chan struct{}),
	}
}

// setConnection sets the connection, or the reason why there is none. Both are
// nil while a dial is in progress.
func (p *peer) setConnection(conn *quic.Conn, unavailable error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	p.unavailable = unavailable
	close(p.changed)
	p.changed = make(chan struct{})
}

// state returns the connection, a channel that is closed when the state changes,
// and the reason if there is no connection.
func (p *peer) state() (conn *quic.Conn, changed <-chan struct{}, unavailable error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, p.changed, p.unavailable
}

// openStream opens a stream to the peer and waits for a dial in progress. Rule 3. A connection that has just been closed
// opens none; the next state is then awaited.
func (p *peer) openStream(ctx context.Context) (*quic.Stream, error) {
	for {
		conn, changed, unavailable := p.state()
		if unavailable != nil {
			return nil, unavailable
		}
		if conn != nil {
			s, err := conn.OpenStreamSync(ctx)
			if err == nil || ctx.Err() != nil {
				return s, err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dialled is an outgoing connection with its own socket.
type dialled struct {
	conn      *quic.Conn
	transport *quic.Transport
	socket    *net.UDPConn
}

// close closes the connection and its socket. It notifies the peer, which
// otherwise would wait for the idle timeout.
func (d *dialled) close(code quic.ApplicationErrorCode) {
	if d.conn != nil {
		_ = d.conn.CloseWithError(code, "")
	}
	_ = d.transport.Close()
	_ = d.socket.Close()
}

// dial opens a connection from a new UDP port. Rule 2.
func (q *QUIC) dial(ctx context.Context, p *peer) (*dialled, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{
		IP: q.Addr().IP,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "open a socket to dial host %s", p.host)
	}
	d := &dialled{
		transport: &quic.Transport{
			Conn: socket,
		},
		socket: socket,
	}
	d.conn, err = d.transport.Dial(ctx, p.address, q.dialTLS(p.host), q.dialConfig())
	if err != nil {
		d.close(0)
		return nil, eris.Wrapf(err, "dial host %s at %s", p.host, p.address)
	}
	return d, nil
}

// maintain keeps a connection to the peer open until the context ends or the
// peer is removed. Rules 1 and 2.
func (q *QUIC) maintain(ctx context.Context, p *peer) {
	defer p.setConnection(nil, eris.Errorf("link of host %s is closed", q.config.Self))
	wasConnected := true
	for ctx.Err() == nil {
		d, err := q.dial(ctx, p)
		if err != nil {
			p.setConnection(nil, err)
			q.recordLost(p, wasConnected, err)
			wasConnected = false
			if q.removeIfUnused(p) {
				return
			}
			hingeclock.Sleep(ctx, redialInterval)
			continue
		}
		wasConnected = q.serveConnection(ctx, p, d, wasConnected)
		if !q.isMaintained(p) {
			return
		}
	}
}

// serveConnection serves one connection until it is closed, and reports whether
// it lasted. A peer that rejects the certificate closes the connection right
// after the handshake. It is then redialled after a pause and recorded only once,
// so that repeated rejections neither cause a busy loop nor evict other events.
func (q *QUIC) serveConnection(ctx context.Context, p *peer, d *dialled, wasConnected bool) (lasted bool) {
	c := &connection{
		conn: d.conn,
	}
	code := quic.ApplicationErrorCode(0)
	defer func() {
		p.instances.connectionClosed(q.clock(), c, closeCause(d.conn))
		d.close(code)
	}()
	start := q.clock()
	p.setConnection(d.conn, nil)
	q.tasks.Go(func() {
		q.serveDatagrams(p, c, d.conn)
	})
	unused := time.NewTicker(q.unusedTimeout / 4)
	defer unused.Stop()
	for open := true; open; {
		select {
		case <-d.conn.Context().Done():
			open = false
		case <-unused.C:
			if q.removeIfUnused(p) {
				return true
			}
		case <-ctx.Done():
			code = closedByProcessEnd
			return true
		}
	}
	cause := context.Cause(d.conn.Context())
	if q.clock().Sub(start) > redialInterval {
		p.setConnection(nil, nil)
		q.recordLost(p, true, cause)
		return true
	}
	p.setConnection(nil, eris.Wrapf(cause, "host %s closed the connection after the handshake", p.host))
	q.recordLost(p, wasConnected, cause)
	hingeclock.Sleep(ctx, redialInterval)
	return false
}

// recordLost records an event only for the first failure since the peer was
// connected.
func (q *QUIC) recordLost(p *peer, first bool, cause error) {
	if !first {
		return
	}
	q.config.Recorder.Record(q.clock(), hingeevents.LinkLost, hingeevents.Fields{
		Host:   p.host,
		Detail: cause.Error(),
	})
}
