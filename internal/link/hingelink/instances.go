package hingelink

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// methodProbe is the method of datagrams that only have to be acknowledged. It has no handler.
const methodProbe Method = "link.probe"

const (
	// closedByProcessEnd is the error code of connections that a process closes because its link ends.
	closedByProcessEnd quic.ApplicationErrorCode = 1
	// maxKnownInstances is how many instances of a host are remembered in their order.
	maxKnownInstances = 8
	// maxIdleTimeout is the longest idle timeout of a connection.
	maxIdleTimeout = idleFactor * MaxKeepAlive
)

// instances decides which instance of a host is accepted. Rule 5.
type instances struct {
	mu sync.Mutex
	// known has the instances that were accepted, in the order of their first acceptance,
	// and current is the index of the one that is accepted now.
	known   []instance
	current int
	// rejected counts the rejected messages since the current instance was accepted.
	rejected int64
	// probing means that the connections of the current instance are being probed.
	probing bool
}

type instance struct {
	number hingeids.Incarnation
	// open has the open connections on which the instance has sent a message.
	open []*connection
	// ended means that the last one was closed by the end of the process or since nothing was received on it.
	ended bool
	// quietSince is when the instance was accepted or its last connection was closed.
	quietSince time.Time
}

// connection is what is known of the process at the other end of a connection.
// Guarded by instances.mu.
type connection struct {
	conn       *quic.Conn
	identified bool
	closed     bool
	// silent means that this host closed it since nothing was received on it.
	silent bool
	number hingeids.Incarnation
}

// answer is what accept returns.
type answer struct {
	accepted bool
	// event is the event to record, 0 for none.
	event hingeevents.Number
	// rejected is the number of rejected messages.
	rejected int64
	// probe has the connections to probe.
	probe []*connection
}

// acceptInstance reports whether a message of instance i that arrived on c is accepted. Rule 5.
func (q *QUIC) acceptInstance(p *peer, c *connection, i hingeids.Incarnation) bool {
	now := q.clock()
	a := p.instances.accept(now, c, i)
	if a.event != 0 {
		q.config.Recorder.Record(now, a.event, hingeevents.Fields{
			Host:  p.host,
			Count: a.rejected,
		})
	}
	if len(a.probe) > 0 {
		q.tasks.Go(func() {
			q.probe(p, a.probe)
		})
	}
	return a.accepted
}

func (s *instances) accept(now time.Time, c *connection, i hingeids.Incarnation) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{
		accepted: true,
	}
	if len(s.known) == 0 || s.known[s.current].number != i {
		if !s.succeeds(now, i) {
			return s.reject(i)
		}
		if s.rejected > 0 {
			a.event, a.rejected = hingeevents.LinkInstanceAccepted, s.rejected
		}
		s.setCurrent(now, i)
	}
	if !c.identified && !c.closed {
		c.identified = true
		c.number = i
		s.known[s.current].open = append(s.known[s.current].open, c)
	}
	return a
}

func (s *instances) reject(i hingeids.Incarnation) answer {
	s.rejected++
	a := answer{
		rejected: s.rejected,
	}
	if s.rejected == 1 {
		a.event = hingeevents.LinkInstanceRejected
	}
	if !s.probing && s.find(i) < 0 {
		a.probe = slices.Clone(s.known[s.current].open)
		s.probing = len(a.probe) > 0
	}
	return a
}

// probe closes those of a peer's connections on which nothing is received for the idle timeout, though packets are sent
// that the peer acknowledges. An accepted connection is closed later by itself, since quic-go waits for five seconds at
// least.
func (q *QUIC) probe(p *peer, list []*connection) {
	defer p.instances.probed()
	received := make([]uint64, len(list))
	for i, c := range list {
		received[i] = c.conn.ConnectionStats().PacketsReceived
	}
	for range idleFactor {
		for _, c := range list {
			if !p.cutOutgoing.Load() {
				q.sendOn(c.conn, methodProbe, nil)
			}
		}
		hingeclock.Sleep(q.runContext, DefaultKeepAlive)
	}
	for i, c := range list {
		if q.runContext.Err() == nil && c.conn.ConnectionStats().PacketsReceived == received[i] {
			p.instances.setSilent(c)
			_ = c.conn.CloseWithError(0, "nothing was received")
		}
	}
}

func (s *instances) probed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
}

func (s *instances) setSilent(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.silent = true
}

// succeeds reports whether instance i replaces the current one: it was first accepted after it, or is unknown and has a
// higher number, or the current one has ended.
func (s *instances) succeeds(now time.Time, i hingeids.Incarnation) bool {
	if len(s.known) == 0 {
		return true
	}
	at := s.find(i)
	current := s.known[s.current]
	if at > s.current || at < 0 && i > current.number {
		return true
	}
	if len(current.open) > 0 {
		return false
	}
	// An instance that was replaced may be a process that was suspended. It has to wait for the longest idle timeout,
	// since the current one may be about to open another connection.
	return at < 0 && current.ended || now.Sub(current.quietSince) > maxIdleTimeout
}

func (s *instances) find(i hingeids.Incarnation) int {
	return slices.IndexFunc(s.known, func(x instance) bool {
		return x.number == i
	})
}

func (s *instances) setCurrent(now time.Time, i hingeids.Incarnation) {
	s.rejected = 0
	s.current = s.find(i)
	if s.current < 0 {
		s.known = append(s.known, instance{
			number: i,
		})
		if len(s.known) > maxKnownInstances {
			s.known = slices.Delete(s.known, 0, 1)
		}
		s.current = len(s.known) - 1
	}
	s.known[s.current].ended = false
	s.known[s.current].quietSince = now
}

// connectionClosed must be called when a connection is closed. The cause is nil if this host closed it.
func (s *instances) connectionClosed(now time.Time, c *connection, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closed = true
	at := s.find(c.number)
	if !c.identified || at < 0 {
		return
	}
	s.known[at].open = slices.DeleteFunc(s.known[at].open, func(x *connection) bool {
		return x == c
	})
	s.known[at].ended = c.silent || endsInstance(cause)
	s.known[at].quietSince = now
}

// closeCause returns why a connection was closed, or nil if it is open.
func closeCause(conn *quic.Conn) error {
	if conn.Context().Err() == nil {
		return nil
	}
	return context.Cause(conn.Context())
}

// endsInstance reports whether the end of a connection shows that the process at its other end has ended, or that
// nothing was received from it for the idle timeout.
func endsInstance(cause error) bool {
	var idle *quic.IdleTimeoutError
	var closed *quic.ApplicationError
	return errors.As(cause, &idle) ||
		errors.As(cause, &closed) && closed.Remote && closed.ErrorCode == closedByProcessEnd
}
