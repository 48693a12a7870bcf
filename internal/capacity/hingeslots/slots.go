package hingeslots

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const methodDatagram hingelink.Method = "slots.datagram"

// callTimeout bounds a query to an engine, and a message that is sent as a call.
const callTimeout = 2 * time.Second

// queueFullRetryDelay is the retry delay for a request that was refused by a full
// queue. A full queue drains by about a quarter in this time.
const queueFullRetryDelay = 2 * time.Second

// Engines queries engines for the requests they hold. Its methods are called
// concurrently.
type Engines interface {
	// Held returns the IDs of all requests for which the engine holds memory. The
	// list must not be older than the call.
	Held(ctx context.Context, engine hingeids.ServerID) ([]hingeids.RequestID, error)
}

// Config holds the identity of a host and the dependencies of its Slots.
type Config struct {
	Instance hingeids.Instance
	// Hosts are all entry hosts of this host's zone from the settings, including
	// this one.
	Hosts   []hingeids.HostID
	Link    hingelink.Link
	Engines Engines
	Events  *hingeevents.Recorder
	// Clock returns the current time. It defaults to time.Now.
	Clock func() time.Time
}

// Grant is the permission to send one request to one engine.
type Grant struct {
	Request hingeids.RequestID
	Engine  hingeids.ServerID
	// StartBy is the time before which the request must be sent; check Startable
	// just before sending. A grant that can't be used in time has to be released.
	StartBy time.Time
}

// Startable reports whether the request may still be sent.
func (g Grant) Startable(now time.Time) bool {
	return now.Before(g.StartBy)
}

// Slots runs a State and exchanges its messages. Its methods are safe for
// concurrent use.
type Slots struct {
	config  Config
	state   *State
	engines []Engine
	view    View
	waiting map[hingeids.RequestID]chan Result
	opened  hingeboard.Cell[map[Engine]bool]
	loop    *hingeboard.Loop
	ctx     context.Context
}

// New returns the Slots of a process and registers their handlers on the link.
func New(c Config) *Slots {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	s := &Slots{
		config:  c,
		state:   NewState(c.Instance, c.Hosts),
		waiting: make(map[hingeids.RequestID]chan Result),
		ctx:     context.Background(),
	}
	s.loop = hingeboard.NewLoop(c.Clock, s)
	c.Link.HandleDatagram(methodDatagram, s.receive)
	c.Link.HandleCall(methodDatagram, func(_ context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		s.receive(from, body)
		return nil, nil
	})
	return s
}

// Run processes messages until the context is canceled.
func (s *Slots) Run(ctx context.Context) error {
	s.loop.Post(func(time.Time) {
		s.ctx = ctx
	})
	return s.loop.Run(ctx)
}

// Done returns a channel that is closed when Run has returned.
func (s *Slots) Done() <-chan struct{} {
	return s.loop.Done()
}

// SetEngines sets the decode engines of this host's zone.
func (s *Slots) SetEngines(engines []Engine) {
	s.loop.Post(func(now time.Time) {
		s.engines = engines
		s.state.SetEngines(now, engines)
	})
}

// SetView sets the membership view. It has to be called at least twice per lease
// duration, since the view carries the end of this host's lease.
func (s *Slots) SetView(v View) {
	s.loop.Post(func(time.Time) {
		s.view = v
		s.state.SetView(v)
	})
}

// HasOpened reports whether a pool of this engine incarnation was ever open at
// this host. Until then there are no slots to grant, and a request placed there
// would lose its KV cache while it waits.
func (s *Slots) HasOpened(e Engine) bool {
	opened := s.opened.Load()
	return opened != nil && (*opened)[e]
}

// publishOpened publishes the set of engines with a pool that was ever open, if it
// has changed.
func (s *Slots) publishOpened() {
	before := s.opened.Load()
	now := s.state.openEngines()
	if before != nil {
		for _, e := range s.engines {
			if (*before)[e] {
				now[e] = true
			}
		}
		if maps.Equal(*before, now) {
			return
		}
	}
	s.opened.Store(&now)
}

// SetInstance starts a new instance after the previous one has ended. All slots and
// waiting requests of the previous instance are dropped.
func (s *Slots) SetInstance(instance hingeids.Instance) {
	s.loop.Post(func(now time.Time) {
		s.state = NewState(instance, s.config.Hosts)
		s.state.SetEngines(now, s.engines)
		s.state.SetView(s.view)
		for id, ch := range s.waiting {
			delete(s.waiting, id)
			ch <- Result{
				ID: id,
			}
		}
	})
}

// Acquire waits for a slot on any one of the given engines; two are enough. Its
// errors are *hingeverdict.Error with NotRun, since nothing is sent to an engine
// without a grant.
func (s *Slots) Acquire(
	ctx context.Context, engines []hingeids.ServerID, id hingeids.RequestID, priority int,
) (Grant, error) {
	answer := make(chan Result, 1)
	posted := s.loop.Post(func(now time.Time) {
		s.waiting[id] = answer
		out, known := s.state.Acquire(now, engines, id, priority)
		if !known {
			delete(s.waiting, id)
			answer <- Result{
				ID: id,
			}
		}
		s.apply(now, out)
	})
	if !posted {
		return Grant{}, notRun(hingeverdict.CodeShuttingDown, 0, "slot allocation has stopped")
	}
	select {
	case r := <-answer:
		if !r.Granted && r.Engine == "" {
			return Grant{}, notRun(hingeverdict.CodeNotReady, queueFullRetryDelay, "none of the requested engines is available on this host")
		}
		if !r.Granted {
			return Grant{}, notRun(hingeverdict.CodeQueueFull, queueFullRetryDelay, "the slot queues of the requested engines are full")
		}
		return Grant{
			Request: id,
			Engine:  r.Engine,
			StartBy: r.StartBy,
		}, nil
	case <-ctx.Done():
		s.Release(id)
		return Grant{}, notRun(hingeverdict.CodeDeadline, 0, "no slot was granted before the deadline")
	case <-s.loop.Done():
		return Grant{}, notRun(hingeverdict.CodeShuttingDown, 0, "slot allocation has stopped")
	}
}

func notRun(c hingeverdict.Code, retry time.Duration, reason string) error {
	return hingeverdict.New(hingeverdict.NotRun, c, retry, eris.New(reason))
}

// Release returns a slot, or withdraws a waiting request. The engine must have
// confirmed that it holds nothing for the request, or the request was never
// sent. Otherwise an occupied slot would be granted again.
func (s *Slots) Release(id hingeids.RequestID) {
	s.loop.Post(func(now time.Time) {
		delete(s.waiting, id)
		s.apply(now, s.state.Release(now, id))
	})
}

// Step performs the periodic work and returns the time of the next step. It is
// called by the loop.
func (s *Slots) Step(now time.Time) time.Time {
	s.apply(now, s.state.Step(now))
	s.publishOpened()
	return now.Add(stepInterval)
}

func (s *Slots) apply(now time.Time, out Output) {
	for _, o := range out.Send {
		s.send(o)
	}
	for _, r := range out.Results {
		s.config.Events.Record(now, eventOf(r), hingeevents.Fields{
			Request: r.ID,
			Server:  r.Engine,
		})
		if ch := s.waiting[r.ID]; ch != nil {
			delete(s.waiting, r.ID)
			ch <- r
		}
	}
	for _, e := range out.QueryHeld {
		go s.queryHeld(s.ctx, now, e)
	}
}

func eventOf(r Result) hingeevents.Number {
	if r.Granted {
		return hingeevents.SlotGranted
	}
	return hingeevents.SlotRefused
}

// send sends a message as a datagram, or as a call if it is too large for a
// datagram.
func (s *Slots) send(o Outgoing) {
	body, err := cbor.Marshal(o.Message)
	if err != nil {
		panic(err) // Only types that CBOR can't encode fail, and Message has none.
	}
	if len(body) <= hingelink.MaxDatagram {
		s.config.Link.Send(o.To, methodDatagram, body)
		return
	}
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, _ = s.config.Link.Call(ctx, o.To, methodDatagram, body) // A failed call is treated like a lost datagram.
	}(s.ctx)
}

func (s *Slots) receive(from hingeids.HostID, body []byte) {
	var m Message
	if cbor.Unmarshal(body, &m) != nil || m.From.Host != from {
		return
	}
	s.loop.Post(func(now time.Time) {
		s.apply(now, s.state.Receive(now, m))
	})
}

func (s *Slots) queryHeld(ctx context.Context, queriedAt time.Time, e Engine) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ids, err := s.config.Engines.Held(ctx, e.ID)
	if err != nil {
		return // The query is repeated; until it succeeds no slot is freed.
	}
	s.loop.Post(func(now time.Time) {
		s.apply(now, s.state.HandleHeld(now, queriedAt, e, ids))
	})
}
