package hingegroup

import (
	"context"
	"sync"

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
	// partSize is the size of the parts of a message that doesn't fit into one call,
	// such as a large snapshot.
	partSize = 1 << 20
	// maxMessageSize limits the memory that a peer's incomplete message may use.
	maxMessageSize = 256 << 20
)

// senders has one goroutine for each peer. It also reassembles received messages that
// were sent in parts.
type senders struct {
	group      *Group
	mu         sync.Mutex
	ctx        context.Context
	queues     map[hingeids.HostID]chan []byte
	incomplete map[hingeids.HostID][]byte
	goroutines sync.WaitGroup
}

func newSenders(g *Group) *senders {
	return &senders{
		group:      g,
		queues:     make(map[hingeids.HostID]chan []byte),
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

// send sends messages as datagrams where they fit, and queues the others (rule 2).
func (s *senders) send(messages []hingelog.Message) {
	for _, m := range messages {
		b := encode(m)
		if len(b) <= hingelink.MaxDatagram {
			s.group.link.Send(m.To.Host, s.group.method("log"), b)
			continue
		}
		select {
		case s.queue(m.To.Host) <- b:
		default:
		}
	}
}

func (s *senders) queue(to hingeids.HostID) chan []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.queues[to]; q != nil {
		return q
	}
	q := make(chan []byte, maxQueuedMessages)
	s.queues[to] = q
	ctx := s.ctx
	s.spawn(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-q:
				s.call(ctx, to, b)
			}
		}
	})
	return q
}

// call sends one message, in parts if it is too large for one call. After a failed call the
// message is dropped; the log sends it again.
func (s *senders) call(ctx context.Context, to hingeids.HostID, b []byte) {
	if len(b) <= partSize*3 {
		callCtx, stop := context.WithTimeout(ctx, s.group.settings.ElectionTimeout)
		defer stop()
		_, _ = s.group.link.Call(callCtx, to, s.group.method("log"), b)
		return
	}
	for offset := 0; offset < len(b); offset += partSize {
		p := part{
			Offset: offset,
			Total:  len(b),
			Bytes:  b[offset:min(offset+partSize, len(b))],
		}
		callCtx, stop := context.WithTimeout(ctx, s.group.settings.ElectionTimeout)
		_, err := s.group.link.Call(callCtx, to, s.group.method("part"), encode(p))
		stop()
		if err != nil {
			return
		}
	}
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
