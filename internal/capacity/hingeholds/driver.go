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

// Config has the dependencies of a Holds.
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

// New returns the Holds of a process and registers its handler on the link.
func New(c Config) *Collector {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	h := &Collector{
		config:   c,
		state:    NewState(),
		ctx:      context.Background(),
		inFlight: make(map[any]bool),
	}
	h.loop = hingeboard.NewLoop(c.Clock, h)
	c.Link.HandleCall(methodKnown, h.handleKnown)
	return h
}

// Run processes steps and results until the context is cancelled.
func (h *Collector) Run(ctx context.Context) error {
	h.loop.Post(func(time.Time) {
		h.ctx = ctx
	})
	return h.loop.Run(ctx)
}

// Done returns a channel that is closed when Run has returned.
func (h *Collector) Done() <-chan struct{} {
	return h.loop.Done()
}

// SetEngines replaces the list of announced engines. Engine.Mine marks those that
// this host has to poll.
func (h *Collector) SetEngines(engines []Engine) {
	h.loop.Post(func(now time.Time) {
		h.state.SetEngines(now, engines)
	})
}

// SetRecord replaces the record of host instances from the configuration log.
func (h *Collector) SetRecord(r hingemembers.Registry) {
	h.loop.Post(func(time.Time) {
		h.state.SetRecord(r)
	})
}

// Abandon has an engine release the allocations of an own request whose caller has
// disconnected or whose response failed. The cancel is retried until it succeeds.
func (h *Collector) Abandon(engine hingeids.ServerID, id hingeids.RequestID) {
	h.loop.Post(func(now time.Time) {
		h.state.Abandon(now, engine, id)
	})
}

// Step runs one step of the State and starts the calls that it requests. The loop
// calls it; the result is the time of the next step.
func (h *Collector) Step(now time.Time) time.Time {
	out, next := h.state.Step(now)
	for _, e := range out.Polls {
		h.startOnce(e, func(ctx context.Context) func(time.Time) {
			return h.poll(ctx, e)
		})
	}
	for _, q := range out.Queries {
		go h.queryOwner(h.ctx, q)
	}
	for _, c := range out.Cancels {
		h.startOnce(c, func(ctx context.Context) func(time.Time) {
			return h.cancel(ctx, c)
		})
	}
	for _, c := range out.Stuck {
		h.record(now, hingeevents.HoldStuck, c)
	}
	for _, c := range out.Released {
		if h.config.OnReleased != nil {
			h.config.OnReleased(c.Engine, c.ID)
		}
	}
	return next
}

// startOnce starts a call unless one with the same key is in progress, so that calls
// to a slow engine don't accumulate.
func (h *Collector) startOnce(key any, call func(ctx context.Context) func(now time.Time)) {
	if h.inFlight[key] {
		return
	}
	h.inFlight[key] = true
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		apply := call(ctx)
		h.loop.Post(func(now time.Time) {
			delete(h.inFlight, key)
			if apply != nil {
				apply(now)
			}
		})
	}(h.ctx)
}

func (h *Collector) poll(ctx context.Context, e Engine) func(now time.Time) {
	allocations, err := h.config.Engines.Allocations(ctx, e.ID)
	if err != nil {
		return nil
	}
	return func(now time.Time) {
		h.state.HandleAllocations(now, e, allocations)
	}
}

func (h *Collector) cancel(ctx context.Context, c Cancellation) func(now time.Time) {
	if err := h.config.Engines.Cancel(ctx, c.Engine, c.ID); err != nil {
		return nil // Rule 6: the state retries it.
	}
	return func(now time.Time) {
		h.state.HandleCancelled(c)
		h.record(now, hingeevents.HoldCancelled, c)
	}
}

func (h *Collector) record(now time.Time, n hingeevents.Number, c Cancellation) {
	h.config.Events.Record(now, n, hingeevents.Fields{
		Request: c.ID,
		Server:  c.Engine,
	})
}

// knownReply is an entry host's reply to a Question: its current instance and
// the queried requests that are in its table.
type knownReply struct {
	Instance hingeids.Instance    `cbor:"1,keyasint"`
	IDs      []hingeids.RequestID `cbor:"2,keyasint"`
}

func (h *Collector) queryOwner(ctx context.Context, q OwnershipQuery) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := cbor.Marshal(q.IDs)
	if err != nil {
		panic(err) // Encoding a list of request IDs can't fail.
	}
	answer, err := h.config.Link.Call(ctx, q.Host, methodKnown, body)
	if err != nil {
		return // Rule 5: without a reply nothing is cancelled.
	}
	var k knownReply
	if cbor.Unmarshal(answer, &k) != nil || k.Instance.Host != q.Host {
		return
	}
	h.loop.Post(func(now time.Time) {
		h.state.HandleQueryReply(now, k.Instance, q.IDs, k.IDs)
	})
}

// handleKnown replies which of the queried requests are in this host's table. Rule 4.
func (h *Collector) handleKnown(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var ids []hingeids.RequestID
	if err := cbor.Unmarshal(body, &ids); err != nil {
		return nil, eris.Wrap(err, "decode request IDs of an ownership query")
	}
	k := knownReply{
		Instance: h.config.Owner.Instance(),
	}
	for _, id := range ids {
		if h.config.Owner.Owns(id) {
			k.IDs = append(k.IDs, id)
		}
	}
	answer, err := cbor.Marshal(k)
	return answer, eris.Wrap(err, "encode reply to an ownership query")
}
