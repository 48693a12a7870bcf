package hingelink

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// DefaultKeepAlive is the interval of keep-alives. It allows for four consecutive
	// lost packets within the idle timeout.
	DefaultKeepAlive = 300 * time.Millisecond
	// MaxKeepAlive is the longest interval of keep-alives that Config.KeepAlive may
	// return.
	MaxKeepAlive = 1200 * time.Millisecond
	// idleFactor is the idle timeout, in intervals of keep-alives: the time after which
	// a connection that receives nothing is closed. A longer one makes calls hang on a
	// connection whose packets a middlebox drops; a shorter one makes a pause of the
	// peer process fail calls as MayHaveRun.
	idleFactor = 5
	// dialTimeout is the maximum time of a handshake. It also bounds how long the
	// first calls to an unreachable host take to fail, as calls wait for a dial in
	// progress.
	dialTimeout = time.Second
	// redialInterval is the time between dials to an unreachable host.
	redialInterval = 200 * time.Millisecond
	// maxConcurrentCalls is the maximum number of calls in progress per peer.
	// Further calls wait at the peer, so that one host can't exhaust the memory of
	// another.
	maxConcurrentCalls = 256
	// maxConcurrentBodyBytes is the maximum total size of the call bodies in progress
	// over all peers, since maxConcurrentCalls alone allows 1 GiB per peer.
	maxConcurrentBodyBytes = 8 * MaxCall
)

// protocolName is the ALPN protocol name, so that the handshake fails with a
// peer that uses another version of the wire format.
const protocolName = "swifthinge/1"

// Config has the identity of a link's host and the addresses of its peers.
type Config struct {
	// Self is the ID of this host. Its certificate must have the same ID.
	Self hingeids.HostID
	// Incarnation is that of this process. Peers accept messages of one instance of a
	// host at a time. Rule 5.
	Incarnation hingeids.Incarnation
	// Listen is the UDP address to listen on, an IP address with a port.
	Listen string
	// Peers has the addresses of all hosts that may call and be called.
	Peers map[hingeids.HostID]string
	// AddressOf, if set, opens the membership: hosts that aren't in Peers may call
	// and be called too, and AddressOf returns their addresses. It must be safe for
	// concurrent use.
	AddressOf func(hingeids.HostID) (string, error)
	// TLS has this host's certificate, and in VerifyConnection the verification of
	// a peer's certificate chain; see hingekeys.LoadTLS. It may be nil only if Insecure is set.
	TLS *tls.Config
	// Insecure uses a generated certificate and doesn't verify the certificates
	// of peers, so that a peer may claim any host ID.
	Insecure bool
	// KeepAlive returns the interval of keep-alives on a connection that this host dials
	// now; nil means DefaultKeepAlive. Many hosts that dial one host may use a longer one,
	// as a keep-alive costs both ends a packet and its acknowledgment.
	KeepAlive func() time.Duration
	// AllowCut enables Cut. Only tests and debug settings set it.
	AllowCut bool
	// Recorder records events and stamps messages. It may be nil.
	Recorder *hingeevents.Recorder
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// QUIC implements Link over QUIC.
//
//  1. Each end dials its own connection to every peer and keeps it open. It sends
//     its calls and datagrams on that connection, and receives those of peers on
//     the connections that they dialled. Replies use the receiver's connection.
//  2. The end that dialled a connection sends keep-alives, and either end closes it
//     if it receives nothing for the idle timeout. The next one is dialled from a new UDP port, since a middlebox
//     that drops the packets of a connection identifies it by its ports, and would
//     drop those of a new connection from the same port too.
//  3. A call waits for a dial in progress, unless the previous dial failed. Then
//     the host counts as unreachable and calls fail immediately.
//  4. A call is one message in each direction on its own stream. It is NotRun until
//     the complete message was passed to QUIC, since a handler runs only for a
//     complete message, and MayHaveRun from then on until the response arrives.
//  5. A peer is identified by its certificate. Messages of hosts that aren't peers
//     run no handler, and neither do those of any but the current instance of a
//     host, so that a process that resumes after a suspension doesn't act while its
//     successor lives. An instance replaces the current one if it was first accepted
//     after it, or if it is unknown and has a higher number. Numbers are times of day,
//     and a clock may have been set back, so an unknown one with a lower number
//     replaces it too once no connection of the current one is open and the last was
//     closed by the end of the process or since nothing was received on it for the
//     idle timeout. Until then its messages make this host probe these connections.
//     One that was replaced before has to wait until the current one has had no
//     connection for the longest idle timeout.
//  6. With an open membership, peers are added when they call or are called. One
//     that wasn't called for unusedTimeout is removed: a host that was replaced at
//     another address doesn't return to the old one, and keep-alives of a thousand
//     hosts that once called a seed are most of its packets.
//  7. Every message carries a hybrid logical clock stamp, so that events that it
//     causes have later stamps than its sending.
//  8. A tunnel is a stream that leads to a connection which the other host opened. After the request and its response, both
//     directions carry the bytes of that connection. Its end arrives as such, a reset as one, and a failure of the link as
//     ErrTunnelLost.
type QUIC struct {
	config    Config
	clock     func() time.Time
	created   time.Time
	serverTLS *tls.Config
	socket    *net.UDPConn
	transport *quic.Transport
	peersMu   sync.RWMutex
	peers     map[hingeids.HostID]*peer
	// runContext is the context of Run. Connections to peers that are added later use it too.
	runContext context.Context
	calls      map[Method]CallHandler
	datagrams  map[Method]DatagramHandler
	tunnels    map[Method]TunnelHandler
	bodyMemory *semaphore.Weighted
	tasks      sync.WaitGroup
	done       chan struct{}

	unusedTimeout time.Duration
}

var _ Link = (*QUIC)(nil)

// NewInsecure returns the link of a host on a platform that provides no keys. Connections are
// encrypted with generated certificates, but peers aren't authenticated.
func NewInsecure(
	self hingeids.Instance, listen string, addressOf func(hingeids.HostID) (string, error),
	keepAlive func() time.Duration, r *hingeevents.Recorder,
) (*QUIC, error) {
	return NewQUIC(Config{
		Self:        self.Host,
		Incarnation: self.Incarnation,
		Listen:      listen,
		AddressOf:   addressOf,
		KeepAlive:   keepAlive,
		Insecure:    true,
		Recorder:    r,
	})
}

// NewQUIC validates the configuration and opens the listening socket. Run must be called afterwards; it closes the socket.
func NewQUIC(c Config) (*QUIC, error) {
	if !c.Insecure && (c.TLS == nil || c.TLS.VerifyConnection == nil) {
		return nil, eris.Errorf("link of host %s: TLS configuration is missing or doesn't verify peers", c.Self)
	}
	if c.TLS == nil {
		own, err := insecureTLS(c.Self)
		if err != nil {
			return nil, err
		}
		c.TLS = own
	}
	if name := ownName(c.TLS); name != c.Self {
		return nil, eris.Errorf("link of host %s: own certificate is for host %q", c.Self, name)
	}
	q := &QUIC{
		config:     c,
		clock:      c.Clock,
		peers:      make(map[hingeids.HostID]*peer, len(c.Peers)),
		calls:      make(map[Method]CallHandler),
		datagrams:  make(map[Method]DatagramHandler),
		tunnels:    make(map[Method]TunnelHandler),
		bodyMemory: semaphore.NewWeighted(maxConcurrentBodyBytes),
		done:       make(chan struct{}),

		unusedTimeout: unusedTimeout,
	}
	if q.clock == nil {
		q.clock = time.Now
	}
	q.created = q.clock()
	q.serverTLS = q.acceptTLS()
	if err := q.addPeers(); err != nil {
		return nil, err
	}
	if err := q.listen(); err != nil {
		return nil, err
	}
	return q, nil
}

func (q *QUIC) addPeers() error {
	for host, address := range q.config.Peers {
		if host == q.config.Self {
			continue
		}
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return eris.Wrapf(err, "resolve link address of host %s", host)
		}
		q.peers[host] = newPeer(host, a)
	}
	return nil
}

func (q *QUIC) listen() error {
	a, err := net.ResolveUDPAddr("udp", q.config.Listen)
	if err != nil {
		return eris.Wrapf(err, "resolve listening address of host %s", q.config.Self)
	}
	q.socket, err = net.ListenUDP("udp", a)
	if err != nil {
		return eris.Wrapf(err, "link of host %s: open UDP socket", q.config.Self)
	}
	q.transport = &quic.Transport{
		Conn: q.socket,
	}
	return nil
}

// Addr returns the listening address.
func (q *QUIC) Addr() *net.UDPAddr {
	return q.socket.LocalAddr().(*net.UDPAddr)
}

// Self returns the ID of the link's host.
func (q *QUIC) Self() hingeids.HostID {
	return q.config.Self
}

// HandleCall sets the handler for calls of a method. It must not be called after Run.
func (q *QUIC) HandleCall(method Method, h CallHandler) {
	q.calls[method] = h
}

// HandleDatagram sets the handler for datagrams of a method. The datagrams of one
// connection are handled sequentially, so handlers must not block. It must not be
// called after Run.
func (q *QUIC) HandleDatagram(method Method, h DatagramHandler) {
	q.datagrams[method] = h
}

// Done returns a channel that is closed when Run has returned and no handler runs any more.
func (q *QUIC) Done() <-chan struct{} {
	return q.done
}

// Run maintains connections to all peers and serves theirs until the context ends.
func (q *QUIC) Run(ctx context.Context) error {
	defer close(q.done)
	defer func() {
		// The transport is closed last, so that peers are notified that their
		// connections are closed and don't wait for the idle timeout.
		q.tasks.Wait()
		_ = q.transport.Close()
		_ = q.socket.Close()
	}()
	listener, err := q.transport.Listen(q.serverTLS, acceptConfig())
	if err != nil {
		return eris.Wrapf(err, "link of host %s: listen", q.config.Self)
	}
	group, ctx := errgroup.WithContext(ctx)
	q.peersMu.Lock()
	q.runContext = ctx
	for _, p := range q.peers {
		p.maintained = true
		q.tasks.Go(func() {
			q.maintain(ctx, p)
		})
	}
	q.peersMu.Unlock()
	group.Go(func() error {
		return q.accept(ctx, listener)
	})
	return group.Wait()
}

// acceptConfig returns the configuration of accepted connections. The two ends use the shorter of
// their idle timeouts.
func acceptConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        maxIdleTimeout,
		MaxIncomingStreams:    maxConcurrentCalls,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
	}
}

// dialConfig returns the configuration of a connection that is dialled.
func (q *QUIC) dialConfig() *quic.Config {
	interval := DefaultKeepAlive
	if q.config.KeepAlive != nil {
		interval = min(max(q.config.KeepAlive(), DefaultKeepAlive), MaxKeepAlive)
	}
	c := acceptConfig()
	c.KeepAlivePeriod = interval
	c.MaxIdleTimeout = idleFactor * interval
	return c
}

// Direction is the direction of traffic between this host and a peer.
type Direction uint8

// Outgoing is from this host to the peer, Incoming from the peer to this host.
const (
	Outgoing Direction = iota
	Incoming
)

// Cut blocks traffic with a peer in one direction, or unblocks it if cut is false.
// Blocking Outgoing makes calls fail and drops responses and datagrams; blocking
// Incoming drops everything from the peer. It returns an error if AllowCut isn't
// set or the host isn't a peer.
func (q *QUIC) Cut(host hingeids.HostID, d Direction, cut bool) error {
	if !q.config.AllowCut {
		return eris.New("cutting links is not allowed by the settings")
	}
	p := q.findPeer(host)
	if p == nil {
		return eris.Errorf("host %s is not a peer", host)
	}
	if d == Outgoing {
		p.cutOutgoing.Store(cut)
	} else {
		p.cutIncoming.Store(cut)
	}
	return nil
}
