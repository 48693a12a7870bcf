package hingelink

import (
	"context"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

func (q *QUIC) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "link of host %s: accept a connection", q.config.Self)
		}
		p := q.findOrAddPeer(peerName(conn.ConnectionState().TLS))
		if p == nil {
			_ = conn.CloseWithError(0, "not a peer")
			continue
		}
		q.tasks.Go(func() {
			q.serve(ctx, p, conn)
		})
	}
}

// serve handles the calls and datagrams of one incoming connection until it is closed.
func (q *QUIC) serve(ctx context.Context, p *peer, conn *quic.Conn) {
	stop := context.AfterFunc(ctx, func() {
		_ = conn.CloseWithError(closedByProcessEnd, "")
	})
	defer stop()
	p.accepted.Store(conn)
	defer p.accepted.CompareAndSwap(conn, nil)
	c := &connection{
		conn: conn,
	}
	defer func() {
		p.instances.connectionClosed(q.clock(), c, closeCause(conn))
	}()
	q.tasks.Go(func() {
		q.serveDatagrams(p, c, conn)
	})
	for {
		s, err := conn.AcceptStream(conn.Context())
		if err != nil {
			// The streams fail before the connection has the cause of its end, which decides whether the process at
			// its other end has ended (rule 5).
			<-conn.Context().Done()
			return
		}
		q.tasks.Go(func() {
			q.serveCall(p, c, s)
		})
	}
}

func (q *QUIC) serveDatagrams(p *peer, c *connection, conn *quic.Conn) {
	for {
		raw, err := conn.ReceiveDatagram(conn.Context())
		if err != nil {
			return
		}
		var header callHeader
		body, err := decodeDatagram(raw, &header)
		if err != nil || p.cutIncoming.Load() || !q.acceptInstance(p, c, header.Incarnation) {
			continue
		}
		q.observe(header.Stamp)
		if h := q.datagrams[header.Method]; h != nil {
			h(p.host, body)
		}
	}
}

// serveCall handles one call. The stream's context ends when the caller cancels
// the call or the connection is lost.
func (q *QUIC) serveCall(p *peer, c *connection, s *quic.Stream) {
	var header callHeader
	reserved := int64(0)
	defer func() {
		q.bodyMemory.Release(reserved)
	}()
	body, err := readMessage(s, &header, func(size int) error {
		if err := q.bodyMemory.Acquire(s.Context(), int64(size)); err != nil {
			return err
		}
		reserved = int64(size)
		return nil
	})
	if err != nil || p.cutIncoming.Load() {
		cancelStream(s)
		return
	}
	if h := q.tunnels[header.Method]; h != nil && q.acceptInstance(p, c, header.Incarnation) {
		q.observe(header.Stamp)
		q.serveTunnel(p, s, h, body)
		return
	}
	response, err := q.handleCall(s.Context(), p, c, header, body)
	if p.cutOutgoing.Load() {
		cancelStream(s)
		return
	}
	q.writeResponse(s, response, err)
}

func (q *QUIC) handleCall(
	ctx context.Context, p *peer, c *connection, header callHeader, body []byte,
) ([]byte, error) {
	if !q.acceptInstance(p, c, header.Incarnation) {
		return nil, notRun(eris.Errorf("caller is not the accepted instance of host %s, which is still connected", p.host))
	}
	q.observe(header.Stamp)
	h := q.calls[header.Method]
	if h == nil {
		return nil, notRun(eris.Errorf("no handler for method %s", header.Method))
	}
	response, err := h(ctx, p.host, body)
	if err == nil && len(response) > MaxCall {
		err = eris.Errorf("response has %d bytes, maximum is %d", len(response), MaxCall)
	}
	return response, err
}

func (q *QUIC) writeResponse(s *quic.Stream, body []byte, handlerError error) {
	header := responseHeader{
		Stamp: q.stamp(),
	}
	if handlerError != nil {
		header.Failure = newFailure(handlerError)
		body = nil
	}
	if _, err := writeMessage(s, &header, body); err != nil {
		cancelStream(s)
		return
	}
	_ = s.Close()
}
