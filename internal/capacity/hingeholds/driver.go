package hingeholds

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const methodKnown hingelink.Method = "holds.known"

// callTimeout bounds a call to an engine or an entry host.
const callTimeout = time.Second

// Engines makes calls to engines. Its methods are called concurrently.
type Engines interface {
	// Allocations lists the engine's allocations, as of a time not before the call.
	Allocations(ctx context.Context, engine hingeids.ServerID) ([]Allocation, error)
	// Cancel releases all allocations of a request. A nil error means that the
	// engine has confirmed that none is left.
	Cancel(ctx context.Context, engine hingeids.ServerID, id hingeids.RequestID) error
}

// Owner is this host's table of its own requests. Its methods are called
// concurrently.
type Owner interface {
	// Instance returns the host's current instance. It changes only after every caller
	// of the previous instance has received its final response.
	Instance() hingeids.Instance
	// Owns reports whether a request of the current instance is still in the table.
	Owns(id hingeids.RequestID) bool
}

// Config has the dependencies of a Collector.
type Config struct {
	Link    hingelink.Link
	Engines Engines
	Owner   Owner
	Events  *hingeevents.Recorder
	// Clock returns the current time. The default is time.Now.
	Clock func() time.Time
	// OnReleased is called when an engine has no allocation left for an own request that
	// was abandoned. It runs in the loop and must not block.
	OnReleased func(engine hingeids.ServerID, id hingeids.RequestID)
}

// Collector runs a State in a loop and makes its calls to engines and entry hosts.
// Its methods can be called concurrently.
type Collector struct {
	config Config
	state  *State
	loop   *hingeboard.Loop
	ctx    context.Context
	// inFlight has the Engine or Cancellation of each call in progress.
	inFlight map[any]bool
}

// New returns a Collector and registers its handler on the link.
func New(c Config) *Collector {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	collector := &Collector{
		config:   c,
		state:    NewState(),
		ctx:      context.Background(),
		inFlight: make(map[any]bool),
	}
	collector.loop = hingeboard.NewLoop(c.Clock, collector)
	c.Link.HandleCall(methodKnown, collector.handleKnown)
	return collector
}

// Run processes steps and results until the context is cancelled.
func (c *Collector) Run(ctx context.Context) error {
	c.loop.Post(func(time.Time) {
		c.ctx = ctx
	})
	return c.loop.Run(ctx)
}

// Done returns a channel that is closed when Run has returned.
func (c *Collector) Done() <-chan struct{} {
	return c.loop.Done()
}

// SetEngines replaces the list of announced engines.
func (c *Collector) SetEngines(engines []Engine) {
	c.loop.Post(func(now time.Time) {
		c.state.SetEngines(now, engines)
	})
}

// SetRecord replaces the record of host instances from the configuration log.
func (c *Collector) SetRecord(r hingemembers.Registry) {
	c.loop.Post(func(time.Time) {
		c.state.SetRecord(r)
	})
}

// Abandon has an engine release the allocations of an own request whose caller has
// disconnected or whose response failed. The cancel is retried until it succeeds.
func (c *Collector) Abandon(engine hingeids.ServerID, id hingeids.RequestID) {
	c.loop.Post(func(now time.Time) {
		c.state.Abandon(now, engine, id)
	})
}

// Step runs one step of the State and starts the calls that it requests. The loop
// calls it; the result is the time of the next step.
func (c *Collector) Step(now time.Time) time.Time {
	out, next := c.state.Step(now)
	for _, e := range out.Polls {
		c.startOnce(e, func(ctx context.Context) func(time.Time) {
			return c.poll(ctx, e)
		})
	}
	for _, q := range out.Queries {
		go c.queryOwner(c.ctx, q)
	}
	for _, cancellation := range out.Cancels {
		c.startOnce(cancellation, func(ctx context.Context) func(time.Time) {
			return c.cancel(ctx, cancellation)
		})
	}
	for _, cancellation := range out.Stuck {
		c.record(now, hingeevents.HoldStuck, cancellation)
	}
	for _, cancellation := range out.Released {
		if c.config.OnReleased != nil {
			c.config.OnReleased(cancellation.Engine, cancellation.ID)
		}
	}
	return next
}

// startOnce starts a call unless one with the same key is in progress, so that calls
// to a slow engine don't accumulate.
func (c *Collector) startOnce(key any, call func(ctx context.Context) func(now time.Time)) {
	if c.inFlight[key] {
		return
	}
	c.inFlight[key] = true
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		apply := call(ctx)
		c.loop.Post(func(now time.Time) {
			delete(c.inFlight, key)
			if apply != nil {
				apply(now)
			}
		})
	}(c.ctx)
}

func (c *Collector) poll(ctx context.Context, e Engine) func(now time.Time) {
	allocations, err := c.config.Engines.Allocations(ctx, e.ID)
	if err != nil {
		return nil
	}
	return func(now time.Time) {
		c.state.HandleAllocations(now, e, allocations)
	}
}

func (c *Collector) cancel(ctx context.Context, cancellation Cancellation) func(now time.Time) {
	if err := c.config.Engines.Cancel(ctx, cancellation.Engine, cancellation.ID); err != nil {
		return nil // Rule 6: the state retries it.
	}
	return func(now time.Time) {
		c.state.HandleCancelled(cancellation)
		c.record(now, hingeevents.HoldCancelled, cancellation)
	}
}

func (c *Collector) record(now time.Time, n hingeevents.Number, cancellation Cancellation) {
	c.config.Events.Record(now, n, hingeevents.Fields{
		Request: cancellation.ID,
		Server:  cancellation.Engine,
	})
}

// knownReply is an entry host's reply to an ownership query: its current instance
// and the queried requests that are in its table.
type knownReply struct {
	Instance hingeids.Instance    `cbor:"1,keyasint"`
	IDs      []hingeids.RequestID `cbor:"2,keyasint"`
}

func (c *Collector) queryOwner(ctx context.Context, q OwnershipQuery) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := cbor.Marshal(q.IDs)
	if err != nil {
		panic(err) // Encoding a list of request IDs can't fail.
	}
	answer, err := c.config.Link.Call(ctx, q.Host, methodKnown, body)
	if err != nil {
		return // Rule 5: without a reply nothing is cancelled.
	}
	var reply knownReply
	if cbor.Unmarshal(answer, &reply) != nil || reply.Instance.Host != q.Host {
		return
	}
	c.loop.Post(func(now time.Time) {
		c.state.HandleQueryReply(now, reply.Instance, q.IDs, reply.IDs)
	})
}

// handleKnown replies which of the queried requests are in this host's table. Rule 4.
func (c *Collector) handleKnown(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var ids []hingeids.RequestID
	if err := cbor.Unmarshal(body, &ids); err != nil {
		return nil, eris.Wrap(err, "decode request IDs of an ownership query")
	}
	reply := knownReply{
		Instance: c.config.Owner.Instance(),
	}
	for _, id := range ids {
		if c.config.Owner.Owns(id) {
			reply.IDs = append(reply.IDs, id)
		}
	}
	answer, err := cbor.Marshal(reply)
	return answer, eris.Wrap(err, "encode reply to an ownership query")
}
