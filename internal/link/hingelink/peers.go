package hingelink

import (
	"net"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// unusedTimeout is how long a dynamically added peer may be unused before it is
// removed. It is longer than the retry interval of callers.
const unusedTimeout = 10 * time.Second

// uptime returns the time since the link was created, which doesn't change when the wall clock is set.
func (q *QUIC) uptime() time.Duration {
	return q.clock().Sub(q.created)
}

// findPeer returns a known peer, or nil.
func (q *QUIC) findPeer(host hingeids.HostID) *peer {
	q.peersMu.RLock()
	defer q.peersMu.RUnlock()
	return q.peers[host]
}

// findOrAddPeer returns a peer and adds it first if the membership is open. It
// returns nil for a host that isn't a peer. Rule 6.
func (q *QUIC) findOrAddPeer(host hingeids.HostID) *peer {
	if p := q.findPeer(host); p != nil || q.config.AddressOf == nil || host == q.config.Self || host == "" {
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

// peerForCall returns a peer that is about to be called, or nil. It starts to maintain a connection if needed.
func (q *QUIC) peerForCall(host hingeids.HostID) *peer {
	p := q.findOrAddPeer(host)
	if p == nil {
		return nil
	}
	p.lastUsed.Store(int64(q.uptime()))
	q.peersMu.RLock()
	maintained := p.maintained
	q.peersMu.RUnlock()
	if maintained {
		return p
	}
	q.peersMu.Lock()
	defer q.peersMu.Unlock()
	if p.maintained || q.runContext == nil || q.runContext.Err() != nil {
		return p
	}
	p.maintained = true
	p.setConnection(nil, nil)
	q.tasks.Go(func() {
		q.maintain(q.runContext, p)
	})
	return p
}

// removeIfUnused removes a dynamically added peer that wasn't called for
// unusedTimeout, and reports whether it did. Rule 6.
func (q *QUIC) removeIfUnused(p *peer) bool {
	if _, configured := q.config.Peers[p.host]; configured || q.config.AddressOf == nil {
		return false
	}
	q.peersMu.Lock()
	defer q.peersMu.Unlock()
	if q.uptime()-time.Duration(p.lastUsed.Load()) < q.unusedTimeout || p.tunnels.Load() > 0 {
		return false
	}
	p.maintained = false
	delete(q.peers, p.host)
	return true
}

// isMaintained reports whether a connection to the peer is to be kept open.
func (q *QUIC) isMaintained(p *peer) bool {
	q.peersMu.RLock()
	defer q.peersMu.RUnlock()
	return p.maintained
}
