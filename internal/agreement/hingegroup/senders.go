package hingegroup

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

const (
	// maxQueuedMessages limits the messages queued for one peer. More would be stale by the
	// time that a slow link has sent them, and the log sends them again.
	maxQueuedMessages = 64
	// partSize is the size of the parts of a large message, such as a snapshot. Each has partTimeout, so that a link of
	// 2 Mbit/s suffices for a message of any size.
	partSize    = 256 << 10
	partTimeout = 2 * time.Second
	// maxMessageSize limits the memory that a peer's incomplete message may use.
	maxMessageSize = 256 << 20
)

// sendQueue holds the messages for one peer. Only one of them is large, be it queued or on its way.
type sendQueue struct {
	messages chan queuedMessage
	large    atomic.Bool
}

// queuedMessage is large if it is sent in parts.
type queuedMessage struct {
	to    hingelog.Member
	body  []byte
	large bool
}

// senders has one goroutine for each peer. It also reassembles received messages that
// were sent in parts.
type senders struct {
	group      *Group
	mu         sync.Mutex
	ctx        context.Context
	queues     map[hingeids.HostID]*sendQueue
	incomplete map[hingeids.HostID][]byte
	goroutines sync.WaitGroup
}

func newSenders(g *Group) *senders {
	return &senders{
		group:      g,
		queues:     make(map[hingeids.HostID]*sendQueue),
		incomplete: make(map[hingeids.HostID][]byte),
	}
}

func (s *senders) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

func (s *senders) spawn(f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		f()
	}()
}

func (s *senders) wait() {
	s.goroutines.Wait()
}

// send sends messages as datagrams where they fit, and queues the others (rule 2). While a large one is on its way to a
// member, another one is sent without its content (hingelog rule 16). It is called from the loop.
func (s *senders) send(messages []hingelog.Message) {
	for _, m := range messages {
		q := s.queue(m.To.Host)
		large := contentSize(m) > partSize
		if large && !q.large.CompareAndSwap(false, true) {
			s.group.member.log.Unsent(s.group.settings.Clock(), m)
			m.Entries = nil
			m.Snapshot = nil
			large = false
		}
		if large {
			m = s.group.member.log.TransferStarted(m)
		}
		b := encode(m)
		if len(b) <= hingelink.MaxDatagram {
			s.group.link.Send(m.To.Host, s.group.method("log"), b)
			continue
		}
		select {
		case q.messages <- queuedMessage{
			to:    m.To,
			body:  b,
			large: large,
		}:
		default:
			if large {
				q.large.Store(false)
			}
		}
	}
}

// contentSize returns the size of the entries or the snapshot in a message.
func contentSize(m hingelog.Message) int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

func (s *senders) queue(to hingeids.HostID) *sendQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.queues[to]; q != nil {
		return q
	}
	q := &sendQueue{
		messages: make(chan queuedMessage, maxQueuedMessages),
	}
	s.queues[to] = q
	ctx := s.ctx
	s.spawn(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-q.messages:
				s.transfer(ctx, q, m)
			}
		}
	})
	return q
}

// transfer sends one message. After a failed call the message is dropped; the log sends it again.
func (s *senders) transfer(ctx context.Context, q *sendQueue, m queuedMessage) {
	if !m.large {
		callCtx, stop := context.WithTimeout(ctx, s.group.settings.ElectionTimeout)
		defer stop()
		_, _ = s.group.link.Call(callCtx, m.to.Host, s.group.method("log"), m.body)
		return
	}
	delivered := s.transferParts(ctx, m)
	q.large.Store(false)
	s.group.enqueue(ctx, func(now time.Time) {
		s.group.member.log.TransferEnded(now, m.to.Host, delivered)
	})
}

func (s *senders) transferParts(ctx context.Context, m queuedMessage) bool {
	for offset := 0; offset < len(m.body); offset += partSize {
		p := part{
			Offset: offset,
			Total:  len(m.body),
			Bytes:  m.body[offset:min(offset+partSize, len(m.body))],
		}
		callCtx, stop := context.WithTimeout(ctx, partTimeout)
		_, err := s.group.link.Call(callCtx, m.to.Host, s.group.method("part"), encode(p))
		stop()
		if err != nil {
			return false
		}
	}
	return true
}

// A peer sends its parts in order, one message at a time.
type part struct {
	Offset int    `cbor:"1,keyasint"`
	Total  int    `cbor:"2,keyasint"`
	Bytes  []byte `cbor:"3,keyasint"`
}

func (s *senders) receivePart(from hingeids.HostID, body []byte) error {
	var p part
	if err := cbor.Unmarshal(body, &p); err != nil {
		return eris.Wrap(err, "decode message part")
	}
	message, err := s.reassemble(from, p)
	if err == nil && message != nil {
		s.group.receive(from, message)
	}
	return err
}

func (s *senders) reassemble(from hingeids.HostID, p part) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Offset == 0 {
		s.incomplete[from] = nil
	}
	b := s.incomplete[from]
	if p.Offset != len(b) || p.Total > maxMessageSize || len(b)+len(p.Bytes) > p.Total {
		delete(s.incomplete, from)
		return nil, eris.Errorf("message part at offset %d of %d bytes is refused: %d bytes received so far", p.Offset, p.Total, len(b))
	}
	b = append(b, p.Bytes...)
	if len(b) < p.Total {
		s.incomplete[from] = b
		return nil, nil
	}
	delete(s.incomplete, from)
	return b, nil
}
