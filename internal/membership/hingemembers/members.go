package hingemembers

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// The RPC methods on the link.
const (
	methodDatagram hingelink.Method = "members.datagram"
	methodTable    hingelink.Method = "members.table"
)

// pullTimeout limits an exchange of tables; after it another peer is tried.
const pullTimeout = 2 * time.Second

// Config holds a host's identity and dependencies.
type Config struct {
	StateConfig
	Link   hingelink.Link
	Events *hingeevents.Recorder
	// Clock returns the present time; nil means time.Now.
	Clock func() time.Time
	// OnDeclaredEnded is called on its own goroutine when this host's instance has
	// been declared ended by others. It must send every caller a final response;
	// after it returns, a new instance starts, which has to be added to the registry.
	OnDeclaredEnded func(ended hingeids.Instance)
}

// Members runs a State in one goroutine. It receives the link's datagrams and publishes
// views of hosts and servers.
type Members struct {
	config         Config
	state          *State
	loop           *hingeboard.Loop
	hosts          hingeboard.Cell[View]
	servers        hingeboard.Cell[hingeannounce.View]
	hostStates     map[hingeids.HostID]HostState
	usable         map[hingeids.ServerID]bool
	publishedCount uint64
	publishedAt    time.Time
	endingInstance bool
	ctx            context.Context
}

// New returns the membership of one process and registers its handlers on the link.
func New(c Config) *Members {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	now := c.Clock()
	m := &Members{
		config:     c,
		state:      NewState(now, c.StateConfig),
		hostStates: make(map[hingeids.HostID]HostState),
		usable:     make(map[hingeids.ServerID]bool),
		ctx:        context.Background(),
	}
	m.loop = hingeboard.NewLoop(c.Clock, m)
	m.publish(now)
	c.Link.HandleDatagram(methodDatagram, m.receive)
	c.Link.HandleCall(methodTable, m.handleTable)
	return m
}

// Run runs the membership loop until the context ends.
func (m *Members) Run(ctx context.Context) error {
	m.loop.Post(func(time.Time) {
		m.ctx = ctx
	})
	return m.loop.Run(ctx)
}

// Done returns a channel that is closed when Run has returned.
func (m *Members) Done() <-chan struct{} {
	return m.loop.Done()
}

// Hosts returns the cell with the view of the entry hosts, updated at least once a round.
func (m *Members) Hosts() *hingeboard.Cell[View] {
	return &m.hosts
}

// Servers returns the cell with the view of the backend servers.
func (m *Members) Servers() *hingeboard.Cell[hingeannounce.View] {
	return &m.servers
}

// Announce applies an announcement that a backend server sent to this host.
func (m *Members) Announce(a hingeannounce.Announcement) {
	m.loop.Post(func(now time.Time) {
		m.state.Announce(now, a)
	})
}

// SetRegistry applies the registry of the configuration log.
func (m *Members) SetRegistry(r Registry) {
	m.loop.Post(func(time.Time) {
		m.state.SetRegistry(r)
	})
}

// Leave announces to all hosts that this one accepts no new work.
func (m *Members) Leave() {
	m.loop.Post(func(time.Time) {
		m.state.Leave()
	})
}

// End announces to all hosts that this instance has ended. It returns once the messages
// are sent or the loop has stopped.
func (m *Members) End() {
	done := make(chan struct{})
	posted := m.loop.Post(func(now time.Time) {
		m.state.End()
		m.Step(now)
		close(done)
	})
	if !posted {
		return
	}
	select {
	case <-done:
	case <-m.loop.Done():
	}
}

// Step runs the scheduled work, and returns when it has to run again. The loop calls it.
func (m *Members) Step(now time.Time) time.Time {
	send, next := m.state.Step(now)
	m.send(send)
	if from, due := m.state.PullTarget(now); due {
		go m.pull(m.ctx, from, m.state.Table(now))
	}
	if m.state.DeclaredEnded() && !m.endingInstance {
		m.endingInstance = true
		go m.endInstance(m.state.Instance())
	}
	if m.state.changeCount != m.publishedCount || now.Sub(m.publishedAt) >= roundInterval/2 {
		m.publish(now)
	}
	return next
}

func (m *Members) endInstance(ended hingeids.Instance) {
	if m.config.OnDeclaredEnded != nil {
		m.config.OnDeclaredEnded(ended)
	}
	m.loop.Post(func(now time.Time) {
		m.state.StartInstance(now)
		m.endingInstance = false
	})
}

func (m *Members) send(all []Outgoing) {
	for _, o := range all {
		m.config.Link.Send(o.To, methodDatagram, encode(o.Message))
	}
}

func (m *Members) receive(from hingeids.HostID, body []byte) {
	var msg Message
	if decode(body, &msg) != nil {
		return // An incompatible or broken peer; it will become suspect.
	}
	m.loop.Post(func(now time.Time) {
		m.send(m.state.Receive(now, from, msg))
	})
}

// handleTable merges a peer's table and returns the own one.
func (m *Members) handleTable(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var t Table
	if err := decode(body, &t); err != nil {
		return nil, err
	}
	answer := make(chan []byte, 1)
	posted := m.loop.Post(func(now time.Time) {
		m.state.MergeTable(now, t)
		answer <- encode(m.state.Table(now))
	})
	if !posted {
		return nil, eris.New("membership loop has stopped")
	}
	select {
	case b := <-answer:
		return b, nil
	case <-m.loop.Done():
		return nil, eris.New("membership loop has stopped")
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "waiting for the own table")
	}
}

// pull exchanges tables with a peer. After a failure, differing digests cause another
// attempt.
func (m *Members) pull(ctx context.Context, from hingeids.HostID, own Table) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	body, err := m.config.Link.Call(ctx, from, methodTable, encode(own))
	if err != nil {
		return
	}
	var t Table
	if decode(body, &t) != nil {
		return
	}
	m.loop.Post(func(now time.Time) {
		m.state.MergeTable(now, t)
	})
}

func (m *Members) publish(now time.Time) {
	m.publishedCount, m.publishedAt = m.state.changeCount, now
	hosts := m.state.View(now)
	servers := m.state.servers.View(now)
	m.recordHostEvents(now, hosts)
	m.recordServerEvents(now, servers)
	m.hosts.Store(hosts)
	m.servers.Store(servers)
}

var hostEvents = map[HostState]hingeevents.Number{
	Alive:   hingeevents.HostAlive,
	Suspect: hingeevents.HostSuspect,
	Leaving: hingeevents.HostLeaving,
	Ended:   hingeevents.HostOver,
}

func (m *Members) recordHostEvents(now time.Time, v *View) {
	for _, h := range v.Hosts {
		if m.hostStates[h.Instance.Host] == h.State {
			continue
		}
		m.hostStates[h.Instance.Host] = h.State
		m.config.Events.Record(now, hostEvents[h.State], hingeevents.Fields{
			Host: h.Instance.Host,
			Zone: h.Zone,
		})
	}
}

func (m *Members) recordServerEvents(now time.Time, v *hingeannounce.View) {
	for _, s := range v.Servers {
		if !m.usable[s.Server] {
			m.usable[s.Server] = true
			m.config.Events.Record(now, hingeevents.ServerUsable, hingeevents.Fields{
				Server: s.Server,
				Zone:   s.Zone,
			})
		}
	}
	for id := range m.usable {
		if _, ok := v.Find(id); !ok {
			delete(m.usable, id)
			m.config.Events.Record(now, hingeevents.ServerGone, hingeevents.Fields{
				Server: id,
			})
		}
	}
}
