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
	// keepAlive is how often a connection without traffic shows that it lives.
	// Five of them fit into idleTime, so four lost packets in a row close nothing.
	keepAlive = 300 * time.Millisecond
	// idleTime is how long a connection may hear nothing before it is given up.
	// Longer, and calls hang on a flow that a middlebox has forgotten; shorter,
	// and a pause of the other process (a slow disk, a full run queue) breaks
	// calls whose verdict is then "may have run".
	idleTime = 1500 * time.Millisecond
	// dialTime bounds a handshake. Calls wait for it, so it is the longest that
	// a call takes to learn that a host is away for the first time.
	dialTime = time.Second
	// redialPause is the time between dials to a host that is away: 5 packets a
	// second and host, and a host that is back is noticed within it.
	redialPause = 200 * time.Millisecond
	// callsAtOnce bounds one peer's calls in progress. The peer waits at its own
	// side beyond that, so one host's burst can't take all of another's memory.
	callsAtOnce = 256
	// bodyBytesAtOnce bounds the bodies of calls in progress over all peers: eight
	// of the largest, against 256 calls of 4 MB from each of six peers.
	bodyBytesAtOnce = 8 * MaxCall
)

// protocolName is agreed on in the handshake, so that another version of the
// wire format is refused there rather than misread.
const protocolName = "swifthinge/1"

// Config says who this end is and where the others are.
type Config struct {
	// Self names this host; its certificate must carry the same name.
	Self hingeids.HostID
	// Incarnation is this life of the process. Peers refuse what an earlier
	// life of a host says once they have heard from a later one.
	Incarnation hingeids.Incarnation
	// Listen is the UDP address to listen at, IP number and port.
	Listen string
	// Peers are the addresses of all hosts that may call and be called.
	Peers map[hingeids.HostID]string
	// AddressOf, if set, opens the membership: a host that isn't among Peers may
	// call, and is called at the address that AddressOf gives for it.
	AddressOf func(hingeids.HostID) (string, error)
	// TLS holds this host's certificate and, in VerifyConnection, how the chain of
	// a peer's is verified; see hingekeys.LoadTLS. It may be nil only if Insecure is set.
	TLS *tls.Config
	// Insecure makes a certificate in memory and believes any name a peer
	// gives. Only tests and the demo set it.
	Insecure bool
	// AllowCut lets Cut refuse traffic. Only tests and debug settings set it.
	AllowCut bool
	// Recorder may be nil.
	Recorder *hingeevents.Recorder
	// Clock reads the present time; nil means the system's clock.
	Clock func() time.Time
}

// QUIC is the Link over QUIC.
//
//  1. Each end dials its own connection to every peer and keeps it up. Its calls
//     and datagrams go out on that one; what comes in on connections that peers
//     dialled is theirs.
//  2. Every connection sends keep-alives, and one that hears nothing for idleTime
//     is given up. The next is dialled from a new UDP port: a middlebox that
//     has lost track of a flow knows it by its ports, and would swallow a
//     new connection on the old ones too.
//  3. A call waits for a dial in progress, unless the dial before it failed: then
//     the host counts as away and calls are refused at once.
//  4. A call is one message each way on a stream of its own. It is NotRun until
//     the whole message was handed to QUIC, since a handler runs only on a whole
//     message; from then on it is MayHaveRun until its answer is here.
//  5. A peer is who its certificate says. One that is not among the peers, or
//     an earlier life of a host heard from since, gets no handler run.
//  6. Where the membership is open, hosts are met as they call or are called. One
//     that wasn't called for unusedAfter and can't be reached is forgotten: a host
//     that was replaced at another address never comes back to the old one.
//  7. Every message carries a hybrid logical clock stamp, so that what it
//     causes sorts after it in the time line.
type QUIC struct {
	config    Config
	clock     func() time.Time
	serverTLS *tls.Config
	socket    *net.UDPConn
	transport *quic.Transport
	peersMu   sync.RWMutex
	peers     map[hingeids.HostID]*peer
	// running is the context of Run; met hosts are kept up under it.
	running   context.Context
	calls     map[Method]CallHandler
	datagrams map[Method]DatagramHandler
	bodies    *semaphore.Weighted
	serving   sync.WaitGroup
	done      chan struct{}
}

var _ Link = (*QUIC)(nil)

// NewInsecure makes the link of a host on a platform that gives its processes no keys: links are
// encrypted with certificates made in memory, and whoever can send packets is believed.
func NewInsecure(
	self hingeids.Instance, listen string, addressOf func(hingeids.HostID) (string, error), r *hingeevents.Recorder,
) (*QUIC, error) {
	return NewQUIC(Config{
		Self:        self.Host,
		Incarnation: self.Incarnation,
		Listen:      listen,
		AddressOf:   addressOf,
		Insecure:    true,
		Recorder:    r,
	})
}

// NewQUIC opens the listening socket. Run must follow, and closes it.
func NewQUIC(c Config) (*QUIC, error) {
	if !c.Insecure && (c.TLS == nil || c.TLS.VerifyConnection == nil) {
		return nil, eris.Errorf("link of host %s: no certificate to show or no way to verify a peer's", c.Self)
	}
	if c.TLS == nil {
		own, err := insecureTLS(c.Self)
		if err != nil {
			return nil, err
		}
		c.TLS = own
	}
	if name := ownName(c.TLS); name != c.Self {
		return nil, eris.Errorf("link of host %s: its certificate is for host %q", c.Self, name)
	}
	q := &QUIC{
		config:    c,
		clock:     c.Clock,
		peers:     make(map[hingeids.HostID]*peer, len(c.Peers)),
		calls:     make(map[Method]CallHandler),
		datagrams: make(map[Method]DatagramHandler),
		bodies:    semaphore.NewWeighted(bodyBytesAtOnce),
		done:      make(chan struct{}),
	}
	if q.clock == nil {
		q.clock = time.Now
	}
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
			return eris.Wrapf(err, "link address of host %s", host)
		}
		q.peers[host] = newPeer(host, a)
	}
	return nil
}

func (q *QUIC) listen() error {
	a, err := net.ResolveUDPAddr("udp", q.config.Listen)
	if err != nil {
		return eris.Wrapf(err, "link address of host %s", q.config.Self)
	}
	q.socket, err = net.ListenUDP("udp", a)
	if err != nil {
		return eris.Wrapf(err, "link of host %s", q.config.Self)
	}
	q.transport = &quic.Transport{
		Conn: q.socket,
	}
	return nil
}

// Addr is where this end listens.
func (q *QUIC) Addr() *net.UDPAddr {
	return q.socket.LocalAddr().(*net.UDPAddr)
}

// Self names the host at this end.
func (q *QUIC) Self() hingeids.HostID {
	return q.config.Self
}

// HandleCall sets the handler of a method. Not to be called once Run has begun.
func (q *QUIC) HandleCall(method Method, h CallHandler) {
	q.calls[method] = h
}

// HandleDatagram sets the handler of a method. Handlers of one peer's datagrams
// run one after the other, so they must not wait. Not to be called once Run has begun.
func (q *QUIC) HandleDatagram(method Method, h DatagramHandler) {
	q.datagrams[method] = h
}

// Done closes when Run has ended and no handler runs any more.
func (q *QUIC) Done() <-chan struct{} {
	return q.done
}

// Run keeps the connections up and serves peers until the context ends.
func (q *QUIC) Run(ctx context.Context) error {
	defer close(q.done)
	defer func() {
		// The transport goes last, so that peers are told of the end and need
		// not wait out the idle time.
		q.serving.Wait()
		_ = q.transport.Close()
		_ = q.socket.Close()
	}()
	listener, err := q.transport.Listen(q.serverTLS, quicConfig())
	if err != nil {
		return eris.Wrapf(err, "link of host %s", q.config.Self)
	}
	group, ctx := errgroup.WithContext(ctx)
	q.peersMu.Lock()
	q.running = ctx
	for _, p := range q.peers {
		p.kept = true
		q.serving.Go(func() {
			q.maintain(ctx, p)
		})
	}
	q.peersMu.Unlock()
	group.Go(func() error {
		return q.accept(ctx, listener)
	})
	return group.Wait()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTime,
		MaxIdleTimeout:        idleTime,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    callsAtOnce,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
	}
}

// Direction is one way between this host and a peer.
type Direction uint8

// Outgoing is from this host to the peer, Incoming from the peer to this host.
const (
	Outgoing Direction = iota
	Incoming
)

// Cut makes this end refuse traffic with a peer in one direction, or takes the
// cut back. A cut Outgoing refuses calls and loses answers and datagrams to the
// peer; a cut Incoming loses all that the peer says. It fails unless AllowCut is set.
func (q *QUIC) Cut(host hingeids.HostID, d Direction, cut bool) error {
	if !q.config.AllowCut {
		return eris.New("links can be cut only where the settings allow it for tests")
	}
	p := q.known(host)
	if p == nil {
		return eris.Errorf("no host %s among the peers", host)
	}
	if d == Outgoing {
		p.cutOutgoing.Store(cut)
	} else {
		p.cutIncoming.Store(cut)
	}
	return nil
}
