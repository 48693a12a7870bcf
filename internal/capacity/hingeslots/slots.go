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

// heldTimeout bounds a question to an engine or a message that goes as a call.
const heldTimeout = 2 * time.Second

// retryFull is when a caller refused by a full queue may come back: about the
// time in which a full queue drains by a quarter.
const retryFull = 2 * time.Second

// Engines asks engines what they hold. It is implemented by the path to engines.
type Engines interface {
	// Held gives the ids of all requests for which the engine holds memory, from a
	// state of the engine not older than the call.
	Held(ctx context.Context, engine hingeids.ServerID) ([]hingeids.RequestID, error)
}

// Config says whose slots these are and what they work with.
type Config struct {
	Life hingeids.Instance
	// Hosts are the entry hosts of this host's zone from the settings, itself among them.
	Hosts   []hingeids.HostID
	Link    hingelink.Link
	Engines Engines
	Events  *hingeevents.Recorder
	// Clock reads the present time; time.Now if nil.
	Clock func() time.Time
}

// Grant is the right to put one request on one engine.
type Grant struct {
	Request hingeids.RequestID
	Engine  hingeids.ServerID
	// StartBy is when the request must have been sent; check Startable at the last
	// moment. One that can't start in time is released and asked for anew.
	StartBy time.Time
}

// Startable reports whether the request may still be sent.
func (g Grant) Startable(now time.Time) bool {
	return now.Before(g.StartBy)
}

// Slots drives a State.
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

// New makes the slots of one process and sets its handlers on the link.
func New(c Config) *Slots {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	s := &Slots{
		config:  c,
		state:   NewState(c.Life, c.Hosts),
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

// Run works until the context ends.
func (s *Slots) Run(ctx context.Context) error {
	s.loop.Post(func(time.Time) {
		s.ctx = ctx
	})
	return s.loop.Run(ctx)
}

// Done closes when Run has ended.
func (s *Slots) Done() <-chan struct{} {
	return s.loop.Done()
}

// SetEngines takes the decode engines of this host's zone.
func (s *Slots) SetEngines(engines []Engine) {
	s.loop.Post(func(now time.Time) {
		s.engines = engines
		s.state.SetEngines(now, engines)
	})
}

// SetView takes what the members know. It has to come at least twice in the time
// of a life lease, since it carries this host's standing.
func (s *Slots) SetView(v View) {
	s.loop.Post(func(time.Time) {
		s.view = v
		s.state.SetView(v)
	})
}

// HasOpened reports whether a pool of this engine, in this life of it, was ever
// open at this host. Before that there is nothing to grant, and a request placed
// there would lose its KV cache waiting.
func (s *Slots) HasOpened(e Engine) bool {
	opened := s.opened.Load()
	return opened != nil && (*opened)[e]
}

// publishOpened publishes which engines have opened, when one more has.
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

// SetLife begins a new life, after the old one was found to be over. Whatever the
// old one held or waited for is no longer this host's.
func (s *Slots) SetLife(l hingeids.Instance) {
	s.loop.Post(func(now time.Time) {
		s.state = NewState(l, s.config.Hosts)
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

// Acquire waits for a slot on any one of some engines; two are enough. Its errors
// are *hingeverdict.Error with NotRun: without a grant nothing was sent to an engine.
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
		s.do(now, out)
	})
	if !posted {
		return Grant{}, notRun(hingeverdict.CodeShuttingDown, 0, "slots have ended")
	}
	select {
	case r := <-answer:
		if !r.Granted && r.Engine == "" {
			return Grant{}, notRun(hingeverdict.CodeNotReady, retryFull, "none of the engines is known here now")
		}
		if !r.Granted {
			return Grant{}, notRun(hingeverdict.CodeQueueFull, retryFull, "too many wait for a slot")
		}
		return Grant{
			Request: id,
			Engine:  r.Engine,
			StartBy: r.StartBy,
		}, nil
	case <-ctx.Done():
		s.Release(id)
		return Grant{}, notRun(hingeverdict.CodeDeadline, 0, "no slot in time")
	case <-s.loop.Done():
		return Grant{}, notRun(hingeverdict.CodeShuttingDown, 0, "slots have ended")
	}
}

func notRun(c hingeverdict.Code, retry time.Duration, why string) error {
	return hingeverdict.New(hingeverdict.NotRun, c, retry, eris.New(why))
}

// Release gives a slot back, or gives up waiting. Call it only once the engine
// has said that it holds nothing for the request any more, or if the request was
// never sent to it; else the slot is granted again while it is still taken up.
func (s *Slots) Release(id hingeids.RequestID) {
	s.loop.Post(func(now time.Time) {
		delete(s.waiting, id)
		s.do(now, s.state.Release(now, id))
	})
}

// Step is the controller's turn in the loop.
func (s *Slots) Step(now time.Time) time.Time {
	s.do(now, s.state.Step(now))
	s.publishOpened()
	return now.Add(stepEvery)
}

func (s *Slots) do(now time.Time, out Output) {
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
	for _, e := range out.AskHeld {
		go s.askHeld(s.ctx, now, e)
	}
}

func eventOf(r Result) hingeevents.Number {
	if r.Granted {
		return hingeevents.SlotGranted
	}
	return hingeevents.SlotRefused
}

// send sends a datagram, or a call where a book makes it too large for one.
func (s *Slots) send(o Outgoing) {
	body, err := cbor.Marshal(o.Message)
	if err != nil {
		panic(err) // Only types that CBOR can't hold fail, and these are ours.
	}
	if len(body) <= hingelink.MaxDatagram {
		s.config.Link.Send(o.To, methodDatagram, body)
		return
	}
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, heldTimeout)
		defer cancel()
		_, _ = s.config.Link.Call(ctx, o.To, methodDatagram, body) // Lost like a datagram.
	}(s.ctx)
}

func (s *Slots) receive(from hingeids.HostID, body []byte) {
	var m Message
	if cbor.Unmarshal(body, &m) != nil || m.From.Host != from {
		return
	}
	s.loop.Post(func(now time.Time) {
		s.do(now, s.state.Receive(now, m))
	})
}

func (s *Slots) askHeld(ctx context.Context, asked time.Time, e Engine) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	ids, err := s.config.Engines.Held(ctx, e.ID)
	if err != nil {
		return // It is asked again; until then nothing is taken to be free.
	}
	s.loop.Post(func(now time.Time) {
		s.do(now, s.state.TakeHeld(now, asked, e, ids))
	})
}
