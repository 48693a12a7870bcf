package hingeorders

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Errors that Engines.Send returns: ErrStaleFence if the engine reports that it
// has seen a higher fencing number, and ErrRefused if it refuses the order for
// another reason.
var (
	ErrStaleFence = eris.New("the engine has seen a higher fencing number")
	ErrRefused    = eris.New("the engine refused the order")
)

// Engines queries engines and sends them orders. Its methods are called
// concurrently.
type Engines interface {
	// State returns the state of an engine, which must not be older than the call.
	State(ctx context.Context, engine hingeids.ServerID) (ActualState, error)
	// Send sends an order. When the context is canceled it must close the
	// connection, so that the order can't reach the engine afterwards.
	Send(ctx context.Context, engine hingeids.ServerID, fence hingeids.Fence, o Order) error
}

// Issuer provides the leader lease of the configuration log, whose holder may
// issue orders.
type Issuer interface {
	// Holder returns the term and the expiry of the lease if this host holds it.
	Holder(now time.Time) (fence hingeids.Fence, until time.Time, ok bool)
}

// Config holds the settings and dependencies of Orders.
type Config struct {
	Settings
	Engines Engines
	Lease   Issuer
	Events  *hingeevents.Recorder
	// Clock returns the current time. It defaults to time.Now.
	Clock func() time.Time
}

// Orders runs a State and sends its orders. Its methods are safe for concurrent
// use.
type Orders struct {
	config Config
	state  *State
	loop   *hingeboard.Loop
	ctx    context.Context
}

const stepInterval = 200 * time.Millisecond

// New returns the Orders of a process.
func New(c Config) *Orders {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	o := &Orders{
		config: c,
		state:  NewState(c.Settings),
		ctx:    context.Background(),
	}
	o.loop = hingeboard.NewLoop(c.Clock, o)
	return o
}

// Run processes orders until the context is canceled.
func (o *Orders) Run(ctx context.Context) error {
	o.loop.Post(func(time.Time) {
		o.ctx = ctx
	})
	return o.loop.Run(ctx)
}

// Done returns a channel that is closed when Run has returned.
func (o *Orders) Done() <-chan struct{} {
	return o.loop.Done()
}

// SetStoreRate sets the rate of the weight store; zero means no limit.
func (o *Orders) SetStoreRate(r hingeids.BytesPerSecond) {
	o.loop.Post(func(time.Time) {
		o.state.SetStoreRate(r)
	})
}

// SetDesired sets the desired states of engines, in order of decreasing urgency.
func (o *Orders) SetDesired(desired []DesiredState) {
	o.loop.Post(func(time.Time) {
		o.state.SetDesired(desired)
	})
}

// SetEngines sets the announced engines.
func (o *Orders) SetEngines(engines []Engine) {
	o.loop.Post(func(now time.Time) {
		o.state.SetEngines(now, engines)
	})
}

// Step issues the orders that are possible now and returns the time of the next
// step. It is called by the loop.
func (o *Orders) Step(now time.Time) time.Time {
	fence, until, held := o.config.Lease.Holder(now)
	out := o.state.Step(now, Lease{
		Held:  held,
		Fence: fence,
		Until: until,
	})
	for _, e := range out.Query {
		go o.query(o.ctx, now, e)
	}
	for _, issued := range out.Send {
		o.record(now, hingeevents.OrderSent, issued)
		go o.send(o.ctx, issued)
	}
	return now.Add(stepInterval)
}

func (o *Orders) query(ctx context.Context, queriedAt time.Time, e Engine) {
	ctx, cancel := context.WithTimeout(ctx, queryInterval)
	defer cancel()
	actual, err := o.config.Engines.State(ctx, e.ID)
	if err != nil {
		return // The query is repeated.
	}
	o.loop.Post(func(now time.Time) {
		o.state.HandleState(now, queriedAt, e, actual)
	})
}

func (o *Orders) send(ctx context.Context, issued IssuedOrder) {
	ctx, cancel := context.WithTimeout(ctx, o.config.OrderTimeout)
	defer cancel()
	outcome := outcomeOf(o.config.Engines.Send(ctx, issued.Engine.ID, issued.Fence, issued.Order))
	o.loop.Post(func(now time.Time) {
		o.state.HandleOutcome(now, issued, outcome)
		if n, ok := outcomeEvents[outcome]; ok {
			o.record(now, n, issued)
		}
	})
}

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Accepted
	case errors.Is(err, ErrStaleFence):
		return StaleFence
	case errors.Is(err, ErrRefused):
		return Refused
	}
	return Unanswered
}

var outcomeEvents = map[Outcome]hingeevents.Number{
	Unanswered: hingeevents.OrderUnanswered,
	Refused:    hingeevents.OrderRefused,
	StaleFence: hingeevents.IssuerReplaced,
}

func (o *Orders) record(now time.Time, n hingeevents.Number, issued IssuedOrder) {
	o.config.Events.Record(now, n, hingeevents.Fields{
		Server: issued.Engine.ID,
		Fence:  issued.Fence,
		Detail: string(issued.Order.Kind),
	})
}
