package hingemodel

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Policy is the scheduling policy under test. It receives what the request path
// of an entry host sees, with delayed load reports. The methods add their
// actions to the last argument and aren't called concurrently.
type Policy interface {
	// HandleArrival handles a new request.
	HandleArrival(now time.Time, r *Request, actions *Actions)
	// HandleEvent handles an event of a request or an engine.
	HandleEvent(now time.Time, e Event, actions *Actions)
	// HandleReport handles a load report, which was measured ReportDelay ago.
	HandleReport(now time.Time, r LoadReport, actions *Actions)
	// Tick is called every TickInterval.
	Tick(now time.Time, actions *Actions)
}

// EngineID is the index of an engine: prefill engines come first, then decode
// engines.
type EngineID int

// Request is one attempt of a caller. The exported fields are what a policy may use.
type Request struct {
	ID      hingeids.RequestID
	Caller  hingeids.CallerID
	Class   *Class
	Arrived time.Time
	// Prompt is the number of prompt tokens. The first PrefixTokens of them are
	// shared by all requests with the same Prefix.
	Prompt       hingeids.Tokens
	Prefix       int
	PrefixTokens hingeids.Tokens
	// Attempt is the number of earlier attempts of the caller.
	Attempt int
	// output is the number of output tokens, which no policy knows in advance.
	output hingeids.Tokens

	state         state
	engine        EngineID
	priority      int
	queueSequence uint64
	// remaining is the number of tokens still to prefill, cached the number found
	// in the prefix cache, and computed the number prefilled and not yet counted in
	// the result.
	remaining, cached, computed float64
	// prefilled is the engine of the latest prefill.
	prefilled EngineID
	// version invalidates scheduled calls.
	version uint64
	// started is the start of the running prefill or of decoding.
	started time.Time
	// startTokens and finishTokens are values of decodeEngine.generated.
	startTokens, finishTokens float64
	// local says that the request is prefilled at its decode engine.
	local bool
}

// Deadline returns the time at which the caller cancels the request.
func (r *Request) Deadline() time.Time {
	return r.Arrived.Add(r.Class.Deadline)
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	// PrefillDone: the KV cache is ready at the prefill engine. Cached is the
	// number of tokens found in the prefix cache.
	PrefillDone EventKind = iota
	// Evicted: the KV cache was evicted before its transfer began.
	Evicted
	// DecodeStarted: the caller received the first token.
	DecodeStarted
	// Finished: the caller received the whole answer. Event.TokenGap is its mean,
	// Output the number of output tokens.
	Finished
	// Cancelled: the caller's deadline passed.
	Cancelled
	// TokenGap: Event.TokenGap is the current token gap of an engine's open streams.
	TokenGap
	// PrefixStored and PrefixDropped: the engine's prefix cache changed. They
	// arrive late, and some are lost.
	PrefixStored
	PrefixDropped
)

// Event is an event of a request or, if Request is nil, of an engine.
type Event struct {
	Kind     EventKind
	Request  *Request
	Engine   EngineID
	Cached   hingeids.Tokens
	TokenGap time.Duration
	Output   hingeids.Tokens
	Prefix   int
	Tokens   hingeids.Tokens
}

// LoadReport is an engine's report of its own load.
type LoadReport struct {
	Engine EngineID
	// MeasuredAt is the time of the measurement.
	MeasuredAt time.Time
	// Running is the number of occupied slots of a decode engine, or of running
	// prefills.
	Running int
	Queued  int
	// QueuedTokens is the number of tokens still to prefill, including those of
	// the running prefill.
	QueuedTokens hingeids.Tokens
}

type actionKind uint8

const (
	refuse actionKind = iota
	prefill
	local
	transfer
)

type action struct {
	kind     actionKind
	request  *Request
	engine   EngineID
	priority int
	after    time.Duration
}

// Actions collects the actions of a policy, which are executed in order after each
// call.
type Actions struct {
	pending []action
}

// Refuse refuses the request and asks the caller to retry after the delay.
func (actions *Actions) Refuse(r *Request, after time.Duration) {
	actions.pending = append(actions.pending, action{
		kind:    refuse,
		request: r,
		after:   after,
	})
}

// Prefill sends the request to a prefill engine, which works on the highest
// priority first.
func (actions *Actions) Prefill(r *Request, e EngineID, priority int) {
	actions.pending = append(actions.pending, action{
		kind:     prefill,
		request:  r,
		engine:   e,
		priority: priority,
	})
}

// Local sends the request to a decode engine that also prefills it. At a full
// engine the request waits for a slot.
func (actions *Actions) Local(r *Request, e EngineID) {
	actions.pending = append(actions.pending, action{
		kind:    local,
		request: r,
		engine:  e,
	})
}

// Transfer sends the request's KV cache to a decode engine. At a full engine the
// request waits for a slot, and its KV cache may be evicted meanwhile.
func (actions *Actions) Transfer(r *Request, e EngineID, priority int) {
	actions.pending = append(actions.pending, action{
		kind:     transfer,
		request:  r,
		engine:   e,
		priority: priority,
	})
}
