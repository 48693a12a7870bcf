package hingelink

import (
	"bytes"
	"context"
	"errors"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// streamCancelled is the stream error code of a call that was cancelled or whose
// message could not be read.
const streamCancelled quic.StreamErrorCode = 1

// Call sends a call and waits for its response until the context ends. All its
// errors have a verdict, unless the link's own host is called. Rule 4.
func (q *QUIC) Call(ctx context.Context, to hingeids.HostID, method Method, body []byte) ([]byte, error) {
	if len(body) > MaxCall {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeTooLarge, 0,
			eris.Errorf("body of call %s has %d bytes, maximum is %d", method, len(body), MaxCall))
	}
	if to == q.config.Self {
		return q.callSelf(ctx, method, body)
	}
	p := q.peerForCall(to)
	if p == nil {
		return nil, notRun(eris.Errorf("host %s is not a peer", to))
	}
	if p.cutOutgoing.Load() {
		return nil, notRun(eris.Errorf("outgoing traffic to host %s is cut", to))
	}
	s, err := p.openStream(ctx)
	if err != nil {
		return nil, notRun(eris.Wrapf(err, "open a stream for call %s to host %s", method, to))
	}
	stop := context.AfterFunc(ctx, func() {
		cancelStream(s)
	})
	defer stop()
	response, err := q.exchange(p, s, method, body)
	if err != nil && ctx.Err() != nil {
		// The stream's error only reports the cancellation, not its cause.
		err = withCause(err, ctx.Err())
	}
	return response, err
}

func (q *QUIC) exchange(p *peer, s *quic.Stream, method Method, body []byte) ([]byte, error) {
	complete, err := writeMessage(s, q.header(method), body)
	if err != nil {
		cancelStream(s)
		return nil, errorWithoutResponse(complete, eris.Wrapf(err, "send call %s to host %s", method, p.host))
	}
	_ = s.Close()
	var header responseHeader
	response, err := readMessage(s, &header, func(int) error {
		return nil
	})
	if err != nil || p.cutIncoming.Load() {
		cancelStream(s)
		return nil, errorWithoutResponse(complete, eris.Wrapf(orCut(err), "no response to call %s from host %s", method, p.host))
	}
	q.observe(header.Stamp)
	if header.Failure != nil {
		return nil, header.Failure.error(p.host)
	}
	return response, nil
}

func (q *QUIC) callSelf(ctx context.Context, method Method, body []byte) ([]byte, error) {
	h := q.calls[method]
	if h == nil {
		return nil, notRun(eris.Errorf("no handler for method %s", method))
	}
	return h(ctx, q.config.Self, bytes.Clone(body))
}

// Send sends a datagram. It is dropped if no connection is open, if outgoing
// traffic is cut or if it is too large.
func (q *QUIC) Send(to hingeids.HostID, method Method, body []byte) {
	if to == q.config.Self {
		if h := q.datagrams[method]; h != nil {
			h(to, bytes.Clone(body))
		}
		return
	}
	p := q.peerForCall(to)
	if p == nil || p.cutOutgoing.Load() {
		return
	}
	conn, _, _ := p.state()
	q.sendOn(conn, method, body)
}

// Reply sends a datagram on the connection that a host has opened to this one. It is dropped if there is none.
func (q *QUIC) Reply(to hingeids.HostID, method Method, body []byte) {
	if to == q.config.Self {
		q.Send(to, method, body)
		return
	}
	p := q.findPeer(to)
	if p == nil || p.cutOutgoing.Load() {
		return
	}
	q.sendOn(p.accepted.Load(), method, body)
}

func (q *QUIC) sendOn(conn *quic.Conn, method Method, body []byte) {
	if conn == nil {
		return
	}
	b := buffers.Get().(*bytes.Buffer)
	defer putBuffer(b)
	if encodeDatagram(b, q.header(method), body) {
		// An error is ignored, since datagrams are unreliable.
		_ = conn.SendDatagram(b.Bytes())
	}
}

func (q *QUIC) header(method Method) *callHeader {
	return &callHeader{
		Method:      method,
		Incarnation: q.config.Incarnation,
		Stamp:       q.stamp(),
	}
}

// stamp returns the clock stamp for a message. Rule 7.
func (q *QUIC) stamp() hingeevents.Stamp {
	if q.config.Recorder == nil {
		return hingeevents.Stamp{}
	}
	return q.config.Recorder.Tick(q.clock())
}

func (q *QUIC) observe(s hingeevents.Stamp) {
	if q.config.Recorder != nil {
		q.config.Recorder.Observe(q.clock(), s)
	}
}

func cancelStream(s *quic.Stream) {
	s.CancelWrite(streamCancelled)
	s.CancelRead(streamCancelled)
}

func notRun(cause error) error {
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeLinkDown, 0, cause)
}

// errorWithoutResponse adds the verdict to the error of a call without a
// response: NotRun unless the complete message was sent. Rule 4.
func errorWithoutResponse(complete bool, cause error) error {
	if !complete {
		return notRun(cause)
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, cause)
}

func withCause(err, cause error) error {
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		return err
	}
	return hingeverdict.New(v.Verdict, v.Code, v.RetryAfter, eris.Wrap(cause, v.Cause.Error()))
}

func orCut(err error) error {
	if err == nil {
		return eris.New("incoming traffic is cut")
	}
	return err
}

func (f *failure) error(from hingeids.HostID) error {
	return hingeverdict.New(f.Verdict, f.Code, f.RetryAfter, eris.Errorf("host %s: %s", from, f.Text))
}

// newFailure encodes an error without a verdict as MayHaveRun.
func newFailure(err error) *failure {
	f := &failure{
		Verdict: hingeverdict.MayHaveRun,
		Text:    err.Error(),
	}
	var v *hingeverdict.Error
	if errors.As(err, &v) {
		f.Verdict = v.Verdict
		f.Code = v.Code
		f.RetryAfter = v.RetryAfter
	}
	if len(f.Text) > maxErrorText {
		f.Text = f.Text[:maxErrorText]
	}
	return f
}
