// Package hingefake implements hingelink.Link in memory for tests. Calls and
// datagrams run the peer's handler synchronously, and tests can block traffic
// in either direction.
package hingefake

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// Network connects the fake links of one test. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	links     map[hingeids.HostID]*Link
	cuts      map[direction]bool
	suspended map[hingeids.HostID]bool
}

type direction struct {
	from hingeids.HostID
	to   hingeids.HostID
}

// NewNetwork returns a network without links.
func NewNetwork() *Network {
	return &Network{
		links:     make(map[hingeids.HostID]*Link),
		cuts:      make(map[direction]bool),
		suspended: make(map[hingeids.HostID]bool),
	}
}

// Link adds a host and returns its link. A second call for the same host
// replaces its link and handlers, as a restart does.
func (n *Network) Link(host hingeids.HostID) *Link {
	l := &Link{
		network:   n,
		self:      host,
		calls:     make(map[hingelink.Method]hingelink.CallHandler),
		datagrams: make(map[hingelink.Method]hingelink.DatagramHandler),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = l
	return l
}

// Remove removes a host from the network, as if its process were killed.
func (n *Network) Remove(host hingeids.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, host)
}

// Suspend makes calls to a host block until their context ends, and drops datagrams to it, until Resume is called. It
// simulates a suspended process.
func (n *Network) Suspend(host hingeids.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspended[host] = true
}

// Resume reverts Suspend.
func (n *Network) Resume(host hingeids.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.suspended, host)
}

func (n *Network) isSuspended(host hingeids.HostID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.suspended[host]
}

// Cut blocks traffic in one direction. Traffic in the other direction isn't affected.
func (n *Network) Cut(from, to hingeids.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from: from, to: to}] = true
}

// Restore reverts Cut.
func (n *Network) Restore(from, to hingeids.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, direction{from: from, to: to})
}

func (n *Network) linkTo(from, to hingeids.HostID) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[direction{from: from, to: to}] {
		return nil
	}
	return n.links[to]
}

// runs reports whether a link's host was neither removed nor replaced: a process that was killed sends no response.
func (n *Network) runs(l *Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[l.self] == l
}

// Link is the hingelink.Link of one host. It is safe for concurrent use.
type Link struct {
	network   *Network
	self      hingeids.HostID
	mu        sync.Mutex
	calls     map[hingelink.Method]hingelink.CallHandler
	datagrams map[hingelink.Method]hingelink.DatagramHandler
}

var _ hingelink.Link = (*Link)(nil)

// Self returns the ID of the link's host.
func (l *Link) Self() hingeids.HostID {
	return l.self
}

// HandleCall sets the handler for calls of a method.
func (l *Link) HandleCall(method hingelink.Method, h hingelink.CallHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[method] = h
}

// HandleDatagram sets the handler for datagrams of a method.
func (l *Link) HandleDatagram(method hingelink.Method, h hingelink.DatagramHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.datagrams[method] = h
}

func (l *Link) callHandler(method hingelink.Method) hingelink.CallHandler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[method]
}

func (l *Link) datagramHandler(method hingelink.Method) hingelink.DatagramHandler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.datagrams[method]
}

// Call runs the peer's handler. If the context is done or traffic to the peer is cut, the
// error is NotRun. If traffic from the peer is cut, or the peer was removed meanwhile, the handler runs, its response is
// lost and the error is MayHaveRun.
func (l *Link) Call(
	ctx context.Context, to hingeids.HostID, method hingelink.Method, body []byte,
) ([]byte, error) {
	peer := l.network.linkTo(l.self, to)
	if peer == nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeLinkDown, 0,
			eris.Errorf("host %s is unreachable", to))
	}
	if ctx.Err() != nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeLinkDown, 0, ctx.Err())
	}
	if l.network.isSuspended(to) {
		<-ctx.Done()
		return nil, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, ctx.Err())
	}
	if len(body) > hingelink.MaxCall {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeTooLarge, 0,
			eris.Errorf("body of call %s has %d bytes", method, len(body)))
	}
	h := peer.callHandler(method)
	if h == nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeLinkDown, 0,
			eris.Errorf("host %s has no handler for method %s", to, method))
	}
	answer, err := h(ctx, l.self, append([]byte(nil), body...))
	if l.network.linkTo(to, l.self) == nil || !l.network.runs(peer) {
		return nil, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0,
			eris.Errorf("the response of host %s was lost", to))
	}
	if err == nil && len(answer) > hingelink.MaxCall {
		return nil, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeTooLarge, 0,
			eris.Errorf("response of call %s has %d bytes", method, len(answer)))
	}
	return answer, err
}

// Reply is the same as Send, since all hosts of the network are connected.
func (l *Link) Reply(to hingeids.HostID, method hingelink.Method, body []byte) {
	l.Send(to, method, body)
}

// Send runs the peer's handler. The datagram is dropped if it is too large or
// the peer is unreachable, suspended or has no handler.
func (l *Link) Send(to hingeids.HostID, method hingelink.Method, body []byte) {
	if len(body) > hingelink.MaxDatagram {
		return
	}
	peer := l.network.linkTo(l.self, to)
	if peer == nil || l.network.isSuspended(to) {
		return
	}
	if h := peer.datagramHandler(method); h != nil {
		h(l.self, append([]byte(nil), body...))
	}
}
