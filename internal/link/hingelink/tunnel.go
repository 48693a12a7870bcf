package hingelink

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// TunnelHandler handles the request for a tunnel. The reply is sent to the requester. If the handler also returns a
// connection, the tunnel leads to it, and the link closes it when the tunnel ends.
type TunnelHandler func(ctx context.Context, from hingeids.HostID, body []byte) (reply []byte, conn net.Conn, err error)

// tunnelReset is the stream error code of a tunnel whose connection was reset at its far end.
const tunnelReset quic.StreamErrorCode = 2

// ErrTunnelLost is in the errors of a tunnel that failed between the two hosts, not behind the far one.
var ErrTunnelLost = eris.New("tunnel to another host was lost")

// HandleTunnel sets the handler for tunnels of a method. It must not be called after Run.
func (q *QUIC) HandleTunnel(method Method, h TunnelHandler) {
	q.tunnels[method] = h
}

// OpenTunnel requests a tunnel through a host (rule 8). The connection is nil if the host opened none; the reply says why.
func (q *QUIC) OpenTunnel(ctx context.Context, to hingeids.HostID, method Method, body []byte) ([]byte, net.Conn, error) {
	p := q.peerForCall(to)
	if p == nil || p.cutOutgoing.Load() {
		return nil, nil, notRun(eris.Errorf("host %s can't be called", to))
	}
	s, err := p.openStream(ctx)
	if err != nil {
		return nil, nil, notRun(eris.Wrapf(err, "open a stream for tunnel %s to host %s", method, to))
	}
	stop := context.AfterFunc(ctx, func() {
		cancelStream(s)
	})
	reply, opened, err := q.requestTunnel(p, s, method, body)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil || !opened {
		stop()
		cancelStream(s)
		return reply, nil, err
	}
	p.tunnels.Add(1)
	return reply, &tunnelConn{
		peer:   p,
		stream: s,
		local:  q.socket.LocalAddr(),
		remote: p.address,
	}, nil
}

func (q *QUIC) requestTunnel(p *peer, s *quic.Stream, method Method, body []byte) (reply []byte, opened bool, err error) {
	if _, err := writeMessage(s, q.header(method), body); err != nil {
		return nil, false, notRun(eris.Wrapf(err, "request tunnel %s of host %s", method, p.host))
	}
	var header responseHeader
	reply, err = readMessage(s, &header, func(int) error {
		return nil
	})
	if err != nil || p.cutIncoming.Load() {
		return nil, false, notRun(eris.Wrapf(orCut(err), "no response to tunnel %s from host %s", method, p.host))
	}
	q.observe(header.Stamp)
	if header.Failure != nil {
		return nil, false, header.Failure.error(p.host)
	}
	return reply, header.Opened, nil
}

// serveTunnel handles one request for a tunnel, and copies between the stream and the connection until one of them ends.
func (q *QUIC) serveTunnel(p *peer, s *quic.Stream, h TunnelHandler, body []byte) {
	reply, conn, err := h(s.Context(), p.host, body)
	header := responseHeader{
		Stamp:  q.stamp(),
		Opened: conn != nil && err == nil,
	}
	if err != nil {
		header.Failure = newFailure(err)
		reply = nil
	}
	_, err = writeMessage(s, &header, reply)
	if conn == nil {
		_ = s.Close()
		s.CancelRead(streamCancelled)
		return
	}
	if err != nil {
		_ = conn.Close()
		cancelStream(s)
		return
	}
	copyTunnel(s, conn)
}

// copyTunnel returns when both directions have ended. An end of the connection that isn't clean is passed on as a reset,
// so that an answer that ends with its connection never looks complete when it isn't.
func copyTunnel(s *quic.Stream, conn net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The requester ends a tunnel by resetting the stream.
		_, _ = io.Copy(conn, s)
		_ = conn.Close()
	}()
	// A requester that is gone closes the stream's context also while the connection is silent.
	stop := context.AfterFunc(s.Context(), func() {
		_ = conn.Close()
	})
	_, err := io.Copy(s, conn)
	stop()
	if err != nil {
		s.CancelWrite(tunnelReset)
	} else {
		_ = s.Close()
	}
	// What the requester still sends can have no effect.
	s.CancelRead(tunnelReset)
	<-done
}

// tunnelConn is the requester's end of a tunnel.
type tunnelConn struct {
	peer   *peer
	closed atomic.Bool
	stream *quic.Stream
	local  net.Addr
	remote net.Addr
}

var _ net.Conn = (*tunnelConn)(nil)

func (t *tunnelConn) Read(b []byte) (int, error) {
	n, err := t.stream.Read(b)
	return n, t.error(err)
}

func (t *tunnelConn) Write(b []byte) (int, error) {
	n, err := t.stream.Write(b)
	return n, t.error(err)
}

// error translates a stream's error: a reset behind the far host is that of a connection.
func (t *tunnelConn) error(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() && !isConnectionLost(err) {
		return err
	}
	var r *quic.StreamError
	if t.closed.Load() || errors.As(err, &r) && !r.Remote {
		return net.ErrClosed
	}
	if r != nil && r.ErrorCode == tunnelReset {
		return &net.OpError{
			Op:   "tunnel",
			Net:  "tcp4",
			Addr: t.remote,
			Err:  syscall.ECONNRESET,
		}
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, eris.Wrap(ErrTunnelLost, err.Error()))
}

// isConnectionLost reports whether the connection to the other host is lost; its idle timeout is a timeout too.
func isConnectionLost(err error) bool {
	var idle *quic.IdleTimeoutError
	return errors.As(err, &idle)
}

// Close ends the tunnel and what is behind it.
func (t *tunnelConn) Close() error {
	if t.closed.CompareAndSwap(false, true) {
		t.peer.tunnels.Add(-1)
		cancelStream(t.stream)
	}
	return nil
}

func (t *tunnelConn) LocalAddr() net.Addr {
	return t.local
}

func (t *tunnelConn) RemoteAddr() net.Addr {
	return t.remote
}

func (t *tunnelConn) SetDeadline(at time.Time) error {
	return t.stream.SetDeadline(at)
}

func (t *tunnelConn) SetReadDeadline(at time.Time) error {
	return t.stream.SetReadDeadline(at)
}

func (t *tunnelConn) SetWriteDeadline(at time.Time) error {
	return t.stream.SetWriteDeadline(at)
}
