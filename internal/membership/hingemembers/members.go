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

// The methods on the link.
const (
	methodDatagram hingelink.Method = "members.datagram"
	methodTable    hingelink.Method = "members.table"
)

// pullTimeout bounds an exchange of tables; another peer is tried after it.
const pullTimeout = 2 * time.Second

// Config says who a host is and what it works with.
type Config struct {
	StateConfig
	Link   hingelink.Link
	Events *hingeevents.Recorder
	// Clock reads the present time; time.Now if nil.
	Clock func() time.Time
	// OnOver is called, on a goroutine of its own, when this host learns that
	// its life is over although it did not end it. It answers every caller
	// finally; when it returns, a new life begins. The new life has to be recorded.
	OnOver func(ended hingeids.Instance)
}

// Members drives a State: one goroutine, the link's datagrams, and two cells for
// traffic.
type Members struct {
	config  Config
	state   *State
	loop    *hingeboard.Loop
	hosts   hingeboard.Cell[View]
	servers hingeboard.Cell[hingeannounce.View]
	states  map[hingeids.HostID]HostState
	usable  map[hingeids.ServerID]bool
	shown   uint64
	shownAt time.Time
	ending  bool
	ctx     context.Context
}

// New makes the members of one process and sets its handlers on the link.
func New(c Config) *Members {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	now := c.Clock()
	m := &Members{
		config: c,
		state:  NewState(now, c.StateConfig),
		states: make(map[hingeids.HostID]HostState),
		usable: make(map[hingeids.ServerID]bool),
		ctx:    context.Background(),
	}
	m.loop = hingeboard.NewLoop(c.Clock, m)
	m.publish(now)
	c.Link.HandleDatagram(methodDatagram, m.receive)
	c.Link.HandleCall(methodTable, m.answerTable)
	return m
}

// Run works until the context ends.
func (m *Members) Run(ctx context.Context) error {
	m.loop.Post(func(time.Time) {
		m.ctx = ctx
	})
	return m.loop.Run(ctx)
}

// Done closes when Run has ended.
func (m *Members) Done() <-chan struct{} {
	return m.loop.Done()
}

// Hosts is what is known of the entry hosts, renewed at least each round.
func (m *Members) Hosts() *hingeboard.Cell[View] {
	return &m.hosts
}

// Servers is what is known of the backend servers.
func (m *Members) Servers() *hingeboard.Cell[hingeannounce.View] {
	return &m.servers
}

// Announce takes an announcement that a backend server gave to this host.
func (m *Members) Announce(a hingeannounce.Announcement) {
	m.loop.Post(func(now time.Time) {
		m.state.Announce(now, a)
	})
}

// SetRecord takes what the configuration log says of lives.
func (m *Members) SetRecord(r Record) {
	m.loop.Post(func(time.Time) {
		m.state.SetRecord(r)
	})
}

// Leave tells all that this host takes no new work.
func (m *Members) Leave() {
	m.loop.Post(func(time.Time) {
		m.state.Leave()
	})
}

// End tells all that this host's life is over. It returns once the news is sent.
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

// Step is the controller's turn in the loop.
func (m *Members) Step(now time.Time) time.Time {
	send, next := m.state.Step(now)
	m.send(send)
	if from, due := m.state.Pull(now); due {
		go m.pull(m.ctx, from, m.state.Table(now))
	}
	if m.state.DeclaredOver() && !m.ending {
		m.ending = true
		go m.endLife(m.state.Life())
	}
	if m.state.changes != m.shown || now.Sub(m.shownAt) >= roundEvery/2 {
		m.publish(now)
	}
	return next
}

func (m *Members) endLife(l hingeids.Instance) {
	if m.config.OnOver != nil {
		m.config.OnOver(l)
	}
	m.loop.Post(func(now time.Time) {
		m.state.NewLife(now)
		m.ending = false
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
		return // A peer of another version, or a broken one: its silence will tell.
	}
	m.loop.Post(func(now time.Time) {
		m.send(m.state.Receive(now, from, msg))
	})
}

// answerTable takes a peer's table and answers with the own one.
func (m *Members) answerTable(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var t Table
	if err := decode(body, &t); err != nil {
		return nil, err
	}
	answer := make(chan []byte, 1)
	posted := m.loop.Post(func(now time.Time) {
		m.state.TakeTable(now, t)
		answer <- encode(m.state.Table(now))
	})
	if !posted {
		return nil, eris.New("members have ended")
	}
	select {
	case b := <-answer:
		return b, nil
	case <-m.loop.Done():
		return nil, eris.New("members have ended")
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "members table")
	}
}

// pull exchanges tables with a peer. If it fails, the digest asks again.
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
		m.state.TakeTable(now, t)
	})
}

func (m *Members) publish(now time.Time) {
	m.shown, m.shownAt = m.state.changes, now
	hosts := m.state.View(now)
	servers := m.state.servers.View(now)
	m.recordHosts(now, hosts)
	m.recordServers(now, servers)
	m.hosts.Store(hosts)
	m.servers.Store(servers)
}

var hostEvents = map[HostState]hingeevents.Number{
	Alive:   hingeevents.HostAlive,
	Suspect: hingeevents.HostSuspect,
	Leaving: hingeevents.HostLeaving,
	Over:    hingeevents.HostOver,
}

func (m *Members) recordHosts(now time.Time, v *View) {
	for _, h := range v.Hosts {
		if m.states[h.Life.Host] == h.State {
			continue
		}
		m.states[h.Life.Host] = h.State
		m.config.Events.Record(now, hostEvents[h.State], hingeevents.Fields{
			Host: h.Life.Host,
			Zone: h.Zone,
		})
	}
}

func (m *Members) recordServers(now time.Time, v *hingeannounce.View) {
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
		if _, there := v.Find(id); !there {
			delete(m.usable, id)
			m.config.Events.Record(now, hingeevents.ServerGone, hingeevents.Fields{
				Server: id,
			})
		}
	}
}
