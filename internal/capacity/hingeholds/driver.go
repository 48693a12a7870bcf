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

// callTimeout bounds a question to an engine or an owner.
const callTimeout = time.Second

// Engines reaches engines. It is implemented by the path to engines.
type Engines interface {
	// Held gives what the engine holds, from a state not older than the call.
	Held(ctx context.Context, engine hingeids.ServerID) ([]Hold, error)
	// Cancel gives up all that the engine holds for a request. No error means that
	// the engine said it holds nothing for it any more.
	Cancel(ctx context.Context, engine hingeids.ServerID, id hingeids.RequestID) error
}

// Owner is this host's table of its requests.
type Owner interface {
	// Life is the life that this host leads now. It changes only after every
	// caller of the old one has been answered finally.
	Life() hingeids.Instance
	// Knows reports whether the host still answers for a request of this life.
	Knows(id hingeids.RequestID) bool
}

// Config says what the holds work with.
type Config struct {
	Link    hingelink.Link
	Engines Engines
	Owner   Owner
	Events  *hingeevents.Recorder
	// Clock reads the present time; time.Now if nil.
	Clock func() time.Time
	// OnGone is told, in the loop, when nothing is held for an own request that was
	// abandoned. It must not block.
	OnGone func(engine hingeids.ServerID, id hingeids.RequestID)
}

// Holds drives a State.
type Holds struct {
	config Config
	state  *State
	loop   *hingeboard.Loop
	ctx    context.Context
	// busy bounds the calls to each engine: one at a time for each purpose.
	busy map[any]bool
}

// New makes the holds of one process and sets its handlers on the link.
func New(c Config) *Holds {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	h := &Holds{
		config: c,
		state:  NewState(),
		ctx:    context.Background(),
		busy:   make(map[any]bool),
	}
	h.loop = hingeboard.NewLoop(c.Clock, h)
	c.Link.HandleCall(methodKnown, h.answerKnown)
	return h
}

// Run works until the context ends.
func (h *Holds) Run(ctx context.Context) error {
	h.loop.Post(func(time.Time) {
		h.ctx = ctx
	})
	return h.loop.Run(ctx)
}

// Done closes when Run has ended.
func (h *Holds) Done() <-chan struct{} {
	return h.loop.Done()
}

// SetEngines takes which engines are announced, and which are this host's to watch.
func (h *Holds) SetEngines(engines []Engine) {
	h.loop.Post(func(now time.Time) {
		h.state.SetEngines(now, engines)
	})
}

// SetRecord takes what the configuration log says of lives.
func (h *Holds) SetRecord(r hingemembers.Record) {
	h.loop.Post(func(time.Time) {
		h.state.SetRecord(r)
	})
}

// Abandon gives up what an engine holds for an own request whose caller is gone
// or whose answer failed, and repeats that until it is so.
func (h *Holds) Abandon(engine hingeids.ServerID, id hingeids.RequestID) {
	h.loop.Post(func(now time.Time) {
		h.state.Abandon(now, engine, id)
	})
}

// Step is the controller's turn in the loop.
func (h *Holds) Step(now time.Time) time.Time {
	out, next := h.state.Step(now)
	for _, e := range out.Poll {
		h.once(e, func(ctx context.Context) func(time.Time) {
			return h.poll(ctx, e)
		})
	}
	for _, q := range out.Ask {
		go h.ask(h.ctx, q)
	}
	for _, c := range out.Cancel {
		h.once(c, func(ctx context.Context) func(time.Time) {
			return h.cancel(ctx, c)
		})
	}
	for _, c := range out.Stuck {
		h.record(now, hingeevents.HoldStuck, c)
	}
	for _, c := range out.Gone {
		if h.config.OnGone != nil {
			h.config.OnGone(c.Engine, c.ID)
		}
	}
	return next
}

// once runs a call unless the same one is still under way, so that an engine that
// answers slowly isn't asked ever more often.
func (h *Holds) once(key any, call func(ctx context.Context) func(now time.Time)) {
	if h.busy[key] {
		return
	}
	h.busy[key] = true
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		then := call(ctx)
		h.loop.Post(func(now time.Time) {
			delete(h.busy, key)
			if then != nil {
				then(now)
			}
		})
	}(h.ctx)
}

func (h *Holds) poll(ctx context.Context, e Engine) func(now time.Time) {
	holds, err := h.config.Engines.Held(ctx, e.ID)
	if err != nil {
		return nil
	}
	return func(now time.Time) {
		h.state.TakeHeld(now, e, holds)
	}
}

func (h *Holds) cancel(ctx context.Context, c Cancellation) func(now time.Time) {
	if err := h.config.Engines.Cancel(ctx, c.Engine, c.ID); err != nil {
		return nil // Rule 6: it is repeated.
	}
	return func(now time.Time) {
		h.state.TakeCancelled(c)
		h.record(now, hingeevents.HoldCancelled, c)
	}
}

func (h *Holds) record(now time.Time, n hingeevents.Number, c Cancellation) {
	h.config.Events.Record(now, n, hingeevents.Fields{
		Request: c.ID,
		Server:  c.Engine,
	})
}

// known is an owner's answer.
type known struct {
	Life hingeids.Instance    `cbor:"1,keyasint"`
	IDs  []hingeids.RequestID `cbor:"2,keyasint"`
}

func (h *Holds) ask(ctx context.Context, q Question) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := cbor.Marshal(q.IDs)
	if err != nil {
		panic(err) // Only types that CBOR can't hold fail, and these are ours.
	}
	answer, err := h.config.Link.Call(ctx, q.Host, methodKnown, body)
	if err != nil {
		return // Rule 5.
	}
	var k known
	if cbor.Unmarshal(answer, &k) != nil || k.Life.Host != q.Host {
		return
	}
	h.loop.Post(func(now time.Time) {
		h.state.TakeAnswer(now, k.Life, q.IDs, k.IDs)
	})
}

// answerKnown answers for this host's own requests. Rule 4.
func (h *Holds) answerKnown(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var ids []hingeids.RequestID
	if err := cbor.Unmarshal(body, &ids); err != nil {
		return nil, eris.Wrap(err, "holds")
	}
	k := known{
		Life: h.config.Owner.Life(),
	}
	for _, id := range ids {
		if h.config.Owner.Knows(id) {
			k.IDs = append(k.IDs, id)
		}
	}
	answer, err := cbor.Marshal(k)
	return answer, eris.Wrap(err, "holds")
}
