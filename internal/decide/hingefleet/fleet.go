// Package hingefleet assigns streams to prefill and decode engines in services where the memory of
// the decode engines is the bottleneck. It has no clock, no sockets and no goroutines; a Fleet isn't
// safe for concurrent use.
//
// It is designed for streams whose KV cache grows with every token until they finish, answer lengths
// that are only known from inaccurate hints, bursts of twice the mean rate for several seconds, and
// engines that crash or become slow. A decode engine that runs out of memory preempts a stream, which
// has to be prefilled again and pauses meanwhile. A prefilled KV cache that no decode engine accepts
// expires within half a second.
//
//  1. A stream starts prefill only when decode memory is reserved for its whole duration. An engine
//     has capacity if its predicted peak memory stays below its limit. The prediction accounts for
//     streams finishing at different times; reserving the maximum for each stream would admit about
//     half as many.
//  2. Of the engines with capacity, the one with the lowest predicted peak is chosen, since its free
//     memory absorbs answers that are longer than their hints. An engine in the availability zone of
//     the request is preferred unless it is much fuller: when a zone is cut off, streams that cross
//     its border break.
//  3. Requests that can still be on time go first, ordered by priority and then by arrival. Late
//     requests are assigned only to engines with more free memory, since a late answer is worth a
//     fraction of a timely one and must not delay the next request.
//  4. A stream that moves from a failed engine goes before all others: its caller already has part of
//     the answer, and its prefill has been paid for once.
//  5. A request that can't be served on time, nor later within its caller's maximum wait, is refused
//     at once, with the time after which the work ahead of it is expected to be finished. While
//     requests arrive as fast as streams finish, late requests may wait only in short bursts: once
//     most of them have waited without being assigned, further ones are refused, so that their callers
//     have time to retry.
//  6. An engine that can't be reached or fails a large share of its requests is ejected for a time
//     that doubles with each consecutive ejection, and then probed with one stream until an answer
//     begins; otherwise all queued requests would go to it, as the emptiest engine. An unreachable
//     engine makes its whole zone suspect, and each engine of the zone is probed. Single failures
//     don't eject an engine, since healthy engines have them too. An engine far slower than the others
//     gets streams only if no other has capacity.
//  7. If no prefill engine can be reached, or none is free in time, a decode engine prefills the
//     prompt itself, at half the speed: a zone that is cut off may have engines of one role only. The
//     engine's other streams pause meanwhile, so a prompt whose prefill would make them late goes only
//     to an engine without streams.
//  8. The state of streams comes from reports of the hosts that own them. Between two reports a
//     stream is assumed to progress at its engine's rate.
//  9. Decode rates, prefill rates and prompt lengths are learned at run time. Engines differ by a
//     factor of a hundred, so figures from one deployment don't apply to another.
//  10. While most decode engines are idle, an idle one prefills the prompt itself if its first token is
//     then due within half of the target. The links then carry no KV cache, and none can expire between
//     two engines. The next streams go to other idle engines, so that none pauses for a prompt. A moved
//     or resumed stream still uses a prefill engine, since its caller is waiting for the next event, and
//     so does one that may not be retried: a prefill alone may be repeated when its engine fails.
//  11. An engine that names a rate limit in its answers gets no prompt and no stream before the limit
//     allows it, and one that states that it leaves gets none (hingenotice). That is no failure of the
//     engine. One that wants no requests of a host for a while is in the Avoid list of that host's
//     requests.
package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// StreamID identifies a stream across all hosts.
type StreamID string

// Role is the role of an engine.
type Role uint8

// The roles.
const (
	Prefill Role = iota + 1
	Decode
)

// Engine describes an engine as the directory and the configuration do.
type Engine struct {
	Server hingeids.ServerID
	Zone   hingeids.Zone
	Role   Role
	Slots  hingeids.Slots
	Memory hingeids.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens hingeids.Tokens
}

// StreamRequest is a stream that requests engines.
type StreamRequest struct {
	ID    StreamID
	Owner hingeids.HostID
	// Zone is the availability zone of the host that received the request.
	Zone hingeids.Zone
	// PromptTokens is the number of tokens to prefill, including those of an interrupted answer.
	PromptTokens hingeids.Tokens
	// ExpectedTokens is the estimated number of tokens still to be generated.
	ExpectedTokens hingeids.Tokens
	// Arrived is when the caller's request arrived, Target the permitted time until its first
	// event.
	Arrived time.Time
	Target  time.Duration
	// MaxEventGap is the longest time between two events that counts as on time; zero means no limit.
	MaxEventGap time.Duration
	// MaxWait is how long after Arrived the caller waits for the first event.
	MaxWait  time.Duration
	Deadline time.Time
	// Moved reports that an engine failed in the middle of the answer.
	Moved bool
	// Cached reports that the prompt's KV cache exists, but expires shortly: only a decode engine
	// is needed, and the decision can't be deferred.
	Cached bool
	// MayRetry reports that the request may be sent again once it may have run, Resumed that its
	// caller has a part of the answer from another host.
	MayRetry bool
	Resumed  bool
	// Avoid lists engines that have failed this request.
	Avoid []hingeids.ServerID
	// Priority orders requests among those that can be on time, and among those that can't; 0 goes
	// first.
	Priority int
}

// Assignment names the engines assigned to a stream.
type Assignment struct {
	// Prefill is empty if the decode engine prefills the prompt itself (rules 7 and 10) or the KV
	// cache already exists.
	Prefill hingeids.ServerID
	Decode  hingeids.ServerID
}

// Decision is the result for one StreamRequest: either an assignment or a refusal.
type Decision struct {
	ID         StreamID
	Owner      hingeids.HostID
	Assignment Assignment
	// Refused reports that no engines were assigned; RetryAfter is then the recommended delay
	// before the caller retries.
	Refused    bool
	RetryAfter time.Duration
	// Shortage is the resource that was missing, if the request is refused.
	Shortage Shortage
	// Waited is the time from the request's arrival to the decision, Peak the predicted peak
	// memory of the decode engine in percent. Both are for logs.
	Waited time.Duration
	Peak   int
}

// Shortage names a resource that a fleet lacks.
type Shortage string

// The shortages.
const (
	ShortOfEngines Shortage = "engines"
	ShortOfMemory  Shortage = "memory"
	ShortOfPrefill Shortage = "prefill"
)

// Progress is an owner's report on one of its streams.
type Progress struct {
	ID       StreamID          `cbor:"1,keyasint"`
	Decode   hingeids.ServerID `cbor:"2,keyasint"`
	Prompt   hingeids.Tokens   `cbor:"3,keyasint"`
	Expected hingeids.Tokens   `cbor:"4,keyasint"`
	// Generated is the number of tokens generated so far; zero before the first.
	Generated hingeids.Tokens `cbor:"5,keyasint,omitempty"`
}

type engine struct {
	Engine
	// measuredRate is in tokens per second and stream.
	measuredRate estimate
	prefillQueue prefillQueue
	health       health
	// restriction is nil if the engine has stated nothing (rule 11).
	restriction *hingenotice.Restriction
	// lastPrefill is when a decode engine was last assigned a prompt to prefill itself.
	lastPrefill time.Time
	position    position
	*engineStreams
}

const (
	// prefillOverhead is the time from an assignment to the first token without the prefill
	// itself: two round trips, the KV cache transfer and the first decode step.
	prefillOverhead = 30 * time.Millisecond
	// assignmentTimeout is how long an assignment is kept without a report from its owner, which
	// normally arrives within 20 ms.
	assignmentTimeout = 1500 * time.Millisecond
	// ownerTimeout is how long an owner's streams are kept without a report. A running owner
	// reports twice a second, and the connections of a crashed one are closed within this time.
	ownerTimeout = 2500 * time.Millisecond
	// expireInterval limits how often expired streams are searched for. It is far shorter than
	// both timeouts; a search in every step would dominate the cost of a decision.
	expireInterval = 100 * time.Millisecond
)

// Fleet holds the engines of one service and the streams assigned to them. It isn't safe for
// concurrent use.
type Fleet struct {
	engines map[hingeids.ServerID]*engine
	// decoders and prefillers are the engines of each role, in no order.
	decoders        []*engine
	prefillers      []*engine
	index           index
	estimates       estimates
	streams         map[StreamID]*stream
	streamsByEngine map[hingeids.ServerID]*engineStreams
	owners          map[hingeids.HostID]*owner
	// reportCount numbers the reports, so that each stream records the last one that listed it.
	reportCount uint64
	lastExpiry  time.Time
	queue       []*StreamRequest
	// arrivals are the times of the requests within arrivalWindow, for rule 5.
	arrivals      []time.Time
	cachedRates   rates
	cachedRatesAt time.Time
	lateOutcomes  lateOutcomes
	// failedAttempts are the requests for which the current step found no capacity.
	// prefillSaturated reports that all prefill engines have their maximum backlog.
	failedAttempts   []failedAttempt
	prefillSaturated bool
	scratch          []load
	demand           demand
	// startedAt is when the first engine was known.
	startedAt time.Time
	// zoneLastSeen is when an engine of each zone last answered.
	zoneLastSeen map[hingeids.Zone]time.Time
	restrictions hingenotice.Restrictions
	// evaluations counts the evaluations of an engine for a request.
	evaluations int
	// silentZones are the zones in which no engine has answered since one was unreachable.
	silentZones map[hingeids.Zone]bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		engines:         make(map[hingeids.ServerID]*engine),
		index:           newIndex(),
		streams:         make(map[StreamID]*stream),
		streamsByEngine: make(map[hingeids.ServerID]*engineStreams),
		owners:          make(map[hingeids.HostID]*owner),
		zoneLastSeen:    make(map[hingeids.Zone]time.Time),
		silentZones:     make(map[hingeids.Zone]bool),
	}
}

// decodeRateOf returns tokens per second and stream.
func (f *Fleet) decodeRateOf(e *engine) float64 {
	return e.measuredRate.valueOr(f.estimates.usualDecodeRate())
}

// StreamCount returns the number of streams in flight, according to assignments and reports.
func (f *Fleet) StreamCount() int {
	return len(f.streams)
}

// EngineCount returns the number of engines.
func (f *Fleet) EngineCount() int {
	return len(f.engines)
}

// QueueLength returns the number of queued requests.
func (f *Fleet) QueueLength() int {
	return len(f.queue)
}
