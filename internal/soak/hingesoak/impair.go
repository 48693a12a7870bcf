package hingesoak

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// impairment is what a path does to its packets besides the cuts of losses.
type impairment struct {
	// dropped is the share of the packets that are lost; 1 cuts the path.
	dropped float64
	delay   time.Duration
}

// pathState is the state of one direction between two hosts.
type pathState struct {
	cut atomic.Bool

	mu sync.Mutex
	// impairments are in force together: of the shares the largest, of the delays the sum.
	impairments []*impairment
}

// pass forwards a packet with send, at once or later, or drops it.
func (p *pathState) pass(b []byte, send func(b []byte)) {
	dropped, delay := p.sum()
	switch {
	case p.cut.Load() || dropped > 0 && rand.Float64() < dropped:
	case delay > 0:
		packet := slices.Clone(b)
		time.AfterFunc(delay, func() {
			send(packet)
		})
	default:
		send(b)
	}
}

func (p *pathState) sum() (dropped float64, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.impairments {
		dropped = max(dropped, i.dropped)
		delay += i.delay
	}
	return dropped, delay
}

// impair impairs paths until the returned function is called.
func (r *relay) impair(paths []path, i impairment) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range paths {
		r.stateOf(p.from, p.to).add(&i)
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range paths {
			r.stateOf(p.from, p.to).remove(&i)
		}
	}
}

func (p *pathState) add(i *impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairments = append(p.impairments, i)
}

func (p *pathState) remove(i *impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairments = slices.DeleteFunc(p.impairments, func(other *impairment) bool {
		return other == i
	})
}

// silence drops the packets of connections that were open at a moment, in both directions and for good, and forwards those of
// newer connections. It tells them apart by the connection IDs of QUIC's short headers, whose first four bytes are random.
type silence struct {
	mu     sync.Mutex
	seen   map[uint32]bool
	silent map[uint32]bool
}

const (
	// longHeader is set in the first byte of the packets of a handshake, which belong to a new connection.
	longHeader       = 0x80
	shortHeaderBytes = 5
)

// drops reports whether a packet is one of a silent connection.
func (s *silence) drops(b []byte) bool {
	if len(b) < shortHeaderBytes || b[0]&longHeader != 0 {
		return false
	}
	id := binary.BigEndian.Uint32(b[1:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[id] {
		return true
	}
	if s.seen == nil {
		s.seen = make(map[uint32]bool)
	}
	s.seen[id] = true
	return false
}

// begin silences all connections that have sent packets.
func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.silent = make(map[uint32]bool)
	}
	for id := range s.seen {
		s.silent[id] = true
	}
	s.seen = nil
}

// silenceOpen silences the open connections that use paths, whichever host has dialled them.
func (r *relay) silenceOpen(paths []path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range paths {
		back := path{
			from: p.to,
			to:   p.from,
		}
		for _, key := range []path{p, back} {
			if f := r.forwarders[key]; f != nil {
				f.silence.begin()
			}
		}
	}
}
