package hingesoak

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// relay forwards the datagrams between the processes, and drops those between hosts that are cut off from each other.
//
// Each process has a link port of its own, and takes it for the port of all others. So it sends to another host's address
// and its own port, where the relay listens. The port says who sends, the address to whom.
type relay struct {
	mu      sync.Mutex
	hosts   []*process
	sockets []*net.UDPConn
	states  map[path]*pathState
	// forwarders has those of the connections that one host dials to another.
	forwarders map[path]*forwarder
}

// path is one direction between two hosts, by their addresses.
type path struct {
	from string
	to   string
}

const (
	// flowTimeout closes a flow without packets. It is longer than any idle timeout of a link.
	flowTimeout  = 8 * time.Second
	maxDatagram  = 64 << 10
	socketBuffer = 1 << 20
)

func newRelay() *relay {
	return &relay{
		states:     make(map[path]*pathState),
		forwarders: make(map[path]*forwarder),
	}
}

// add opens the sockets between a process, whose link port must be unique, and those added before.
func (r *relay) add(p *process) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.hosts {
		if err := errors.Join(r.open(p, q), r.open(q, p)); err != nil {
			return err
		}
	}
	r.hosts = append(r.hosts, p)
	return nil
}

// open opens the socket for the connections that one process dials to another. The caller holds the lock.
func (r *relay) open(from, to *process) error {
	address := netip.MustParseAddr(to.settings.IP)
	in, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(from.settings.LinkPort))))
	if err != nil {
		return eris.Wrap(err, "open relay socket")
	}
	_ = in.SetReadBuffer(socketBuffer)
	r.sockets = append(r.sockets, in)
	f := &forwarder{
		in:     in,
		target: net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(to.settings.LinkPort))),
		there:  r.stateOf(from.settings.IP, to.settings.IP),
		back:   r.stateOf(to.settings.IP, from.settings.IP),
	}
	r.forwarders[path{
		from: from.settings.IP,
		to:   to.settings.IP,
	}] = f
	go f.run()
	return nil
}

func (r *relay) stateOf(from, to string) *pathState {
	key := path{
		from: from,
		to:   to,
	}
	if r.states[key] == nil {
		r.states[key] = new(pathState)
	}
	return r.states[key]
}

// setCuts cuts or joins paths.
func (r *relay) setCuts(paths []path, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range paths {
		r.stateOf(p.from, p.to).cut.Store(cut)
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range r.sockets {
		_ = in.Close()
	}
}

// forwarder forwards what arrives at one socket, with a socket of its own for each sender's address, and the replies.
type forwarder struct {
	in      *net.UDPConn
	target  *net.UDPAddr
	there   *pathState
	back    *pathState
	flows   sync.Map
	silence silence
}

func (f *forwarder) run() {
	b := make([]byte, maxDatagram)
	for {
		n, sender, err := f.in.ReadFromUDPAddrPort(b)
		if err != nil {
			// The run has ended. Flows end by their timeouts.
			return
		}
		if f.silence.drops(b[:n]) {
			continue
		}
		out, found := f.flows.Load(sender)
		if !found {
			c, err := net.DialUDP("udp4", nil, f.target)
			if err != nil {
				continue
			}
			out = c
			f.flows.Store(sender, c)
			go f.reply(sender, c)
		}
		f.there.pass(b[:n], func(b []byte) {
			// An error means that no process listens. The packet is lost, as on a network.
			_, _ = out.(*net.UDPConn).Write(b)
		})
	}
}

// reply forwards the packets of a flow back to its sender.
func (f *forwarder) reply(sender netip.AddrPort, out *net.UDPConn) {
	defer func() {
		f.flows.Delete(sender)
		_ = out.Close()
	}()
	_ = out.SetReadBuffer(socketBuffer)
	b := make([]byte, maxDatagram)
	for {
		_ = out.SetReadDeadline(time.Now().Add(flowTimeout))
		n, err := out.Read(b)
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			return
		case err == nil && !f.silence.drops(b[:n]):
			f.back.pass(b[:n], func(b []byte) {
				// An error means that the run has ended.
				_, _ = f.in.WriteToUDPAddrPort(b, sender)
			})
		}
	}
}
