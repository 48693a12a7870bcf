package hingelink

import (
	"net"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// unusedAfter is how long a host that was met may go uncalled and unreached
// before it is forgotten. Callers ask again within seconds, so one that nobody
// called for half a minute isn't wanted any more.
const unusedAfter = 30 * time.Second

// known gives a peer, or nil.
func (q *QUIC) known(host hingeids.HostID) *peer {
	q.peersMu.RLock()
	defer q.peersMu.RUnlock()
	return q.peers[host]
}

// meet gives a peer, and makes it where the membership is open. Rule 6.
func (q *QUIC) meet(host hingeids.HostID) *peer {
	if p := q.known(host); p != nil || q.config.AddressOf == nil || host == q.config.Self || host == "" {
		return p
	}
	text, err := q.config.AddressOf(host)
	if err != nil {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp", text)
	if err != nil {
		return nil
	}
	q.peersMu.Lock()
	defer q.peersMu.Unlock()
	if p := q.peers[host]; p != nil {
		return p
	}
	p := newPeer(host, address)
	q.peers[host] = p
	return p
}

// use gives a peer that is about to be called, and sees to it that a connection is kept up.
func (q *QUIC) use(host hingeids.HostID) *peer {
	p := q.meet(host)
	if p == nil {
		return nil
	}
	p.usedAt.Store(q.clock().UnixNano())
	q.peersMu.RLock()
	kept := p.kept
	q.peersMu.RUnlock()
	if kept {
		return p
	}
	q.peersMu.Lock()
	defer q.peersMu.Unlock()
	if p.kept || q.running == nil || q.running.Err() != nil {
		return p
	}
	p.kept = true
	p.set(nil, nil)
	q.serving.Go(func() {
		q.maintain(q.running, p)
	})
	return p
}

// forget ends the care for a host that was met and isn't wanted any more.
func (q *QUIC) forget(p *peer) bool {
	if _, configured := q.config.Peers[p.host]; configured || q.config.AddressOf == nil {
		return false
	}
	if q.clock().UnixNano()-p.usedAt.Load() < int64(unusedAfter) {
		return false
	}
	q.peersMu.Lock()
	defer q.peersMu.Unlock()
	p.kept = false
	delete(q.peers, p.host)
	return true
}
