// Package hingefleet decides which engines a stream gets, and when, where the
// memory of decode engines binds. It has no clock, no sockets and no goroutines.
//
// The load it is made for: streams whose KV cache grows with every token until they end,
// an answer length known by a hint that is often far off, bursts of twice the mean
// rate for some seconds, engines that die or turn slow. The harm: a decode
// engine that runs out of memory preempts a stream, which is prefilled again (a
// prefill costs as much as the stream earns) and pauses in front of its caller;
// and a prefill whose KV cache finds no room lapses within half a second.
//
//  1. A stream starts prefill only with decode memory reserved for its whole
//     life. An engine has room if the memory predicted for it, at the moment where that is
//     highest, stays under its limit. Streams end at different times, so that
//     twice as many fit as if each was counted with its longest.
//  2. Among the engines with room the one with the lowest such peak is
//     taken: the room that is left is what absorbs hints that were too low. An engine of the
//     availability zone that the stream comes from is preferred while it isn't much fuller: when
//     a zone is cut off, streams that cross its border fall silent, others go on.
//  3. What can still be on time goes first, in the order of priority and then of arrival. What is late
//     goes only where more room is left, since a late answer is worth a fraction of a timely
//     one and must not make the next one late.
//  4. A stream that moves from a broken engine goes before all others: its caller
//     has part of the answer, and its prefill has been paid once.
//  5. What can't be served in time, nor later before its caller loses patience, is refused
//     at once, with the time after which the work ahead of it will have drained. While as
//     much arrives as drains, late wants get a turn before new ones only where a burst is short; once
//     most of them have waited in vain, to let others
//     wait would only use up the time that their callers have to come back.
//  6. An engine that can't be reached, or fails a good part of what it is sent, is
//     left alone for a while, doubled each time in a row, and then tried with one stream
//     until it has begun to answer: to all that waits it looks like the emptiest of all. One that
//     can't be reached casts doubt on its whole zone, of which each engine is
//     tried so. Single failures come from
//     good engines too, and to leave those alone would take a sixth of the memory
//     away for one lost answer. One that is far slower than the others gets work
//     only if no other has room.
//  7. Where no engine that prefills can be reached, or none in time, a decode engine works
//     the prompt itself, at half the pace: a zone that is cut off has engines of one role only, as
//     often as not. Its streams pause meanwhile, so that a prompt whose reading would make them late
//     goes only where there are none.
//  8. What is believed of streams comes from the hosts that own them; between two
//     reports a stream is taken to go on at its engine's pace.
//  9. How fast engines make and read tokens, and how long prompts are, is learned from what they do:
//     engines differ by a factor of a hundred, and no figure of one deployment stands for another.
package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// StreamID names a stream over all hosts.
type StreamID string

// Role is the part that an engine plays.
type Role uint8

// The roles.
const (
	Prefill Role = iota + 1
	Decode
)

// Engine is what is known of an engine from the directory and the configuration.
type Engine struct {
	Server hingeids.ServerID
	Zone   hingeids.Zone
	Role   Role
	Slots  hingeids.Slots
	Memory hingeids.Tokens
	// Event is the tokens that one event of a stream carries.
	Event hingeids.Tokens
}

// Want is a stream that asks for engines.
type Want struct {
	ID    StreamID
	Owner hingeids.HostID
	// Zone is the availability zone that the stream comes from.
	Zone hingeids.Zone
	// Prompt is the tokens to be prefilled, those of an answer that broke off included.
	Prompt hingeids.Tokens
	// Expected is the tokens that the answer will still have, as far as anybody knows.
	Expected hingeids.Tokens
	// Arrived is when the caller's request came, Target the time to its first event.
	Arrived time.Time
	Target  time.Duration
	// Gap is the longest pause between two events that counts as on time; zero if any does.
	Gap time.Duration
	// Patience is how long after Arrived the caller waits for a first event.
	Patience time.Duration
	Deadline time.Time
	// Moved says that an engine broke off in the middle of the answer.
	Moved bool
	// Cached says that the prompt's KV cache is there, for a moment: a decode
	// engine is all that is wanted, and at once.
	Cached bool
	// Avoid are engines that have failed this request.
	Avoid []hingeids.ServerID
	// Priority ranks wants that can be on time, or that can't, among each other; 0 goes first.
	Priority int
}

// Grant names the engines of a stream.
type Grant struct {
	// Prefill is empty where the decode engine works the prompt itself (rule 7), or has it.
	Prefill hingeids.ServerID
	Decode  hingeids.ServerID
}

// Decision is the answer to a Want.
type Decision struct {
	ID    StreamID
	Owner hingeids.HostID
	Grant Grant
	// Refused says that nothing was granted, RetryAfter when to come back.
	Refused    bool
	RetryAfter time.Duration
	// Short is what there was too little of, where it is refused.
	Short Shortage
	// Waited is how long the decision took, Peak the predicted peak of the
	// decode engine in hundredths of its memory; for the log.
	Waited time.Duration
	Peak   int
}

// Shortage is what a fleet has too little of.
type Shortage string

// The shortages.
const (
	ShortOfEngines Shortage = "engines"
	ShortOfMemory  Shortage = "memory"
	ShortOfPrefill Shortage = "prefill"
)

// Progress is what the owner of a stream reports of it.
type Progress struct {
	ID       StreamID          `cbor:"1,keyasint"`
	Decode   hingeids.ServerID `cbor:"2,keyasint"`
	Prompt   hingeids.Tokens   `cbor:"3,keyasint"`
	Expected hingeids.Tokens   `cbor:"4,keyasint"`
	// Made is the tokens that have come; zero before the first.
	Made hingeids.Tokens `cbor:"5,keyasint,omitempty"`
}

// engine is an engine with what was learned of it.
type engine struct {
	Engine
	// pace is the tokens that it makes a second for one stream.
	pace    estimate
	prompts prompts
	health  health
	// readAt is when a decode engine was given a prompt to work last.
	readAt time.Time
	*book
}

const (
	// prefillStart is the time from a grant to the first token beside the reading:
	// two round trips, the transfer and the first step.
	prefillStart = 30 * time.Millisecond
	// unreported is how long a grant stands without a word from its owner,
	// which reports within 20 ms when all is well.
	unreported = 1500 * time.Millisecond
	// ownerSilence is how long the streams of an owner are believed without a
	// report. A live one reports twice a second; a dead one's connections to its engines
	// are closed by then.
	ownerSilence = 2500 * time.Millisecond
	// expireEvery is how often what is over is looked for: both times above are far longer, and with
	// thousands of streams it would be most of a decision.
	expireEvery = 100 * time.Millisecond
)

// Fleet is the engines of one service and the streams on them.
type Fleet struct {
	engines map[hingeids.ServerID]*engine
	// decoders and prefillers are the engines of each role, by name.
	decoders   []*engine
	prefillers []*engine
	paces      paces
	streams    map[StreamID]*stream
	books      map[hingeids.ServerID]*book
	owners     map[hingeids.HostID]*owner
	// reports counts the reports, so that each stream knows in which it was named last.
	reports   uint64
	expiredAt time.Time
	queue     []*Want
	// arrivals are the newest wants, for rule 5.
	arrivals []time.Time
	known    rates
	knownAt  time.Time
	turns    turns
	// tried are the wants that found no room in the present step; unreadable says that all engines that
	// prefill have enough to read.
	tried      []attempt
	unreadable bool
	scratch    []load
	demand     demand
	// begun is when the first engine was known.
	begun time.Time
	// heard is when an engine of each zone was last known to answer.
	heard map[hingeids.Zone]time.Time
	// silent are the zones of which nothing was heard since an engine there couldn't be reached.
	silent map[hingeids.Zone]bool
}

// New makes an empty fleet.
func New() *Fleet {
	return &Fleet{
		engines: make(map[hingeids.ServerID]*engine),
		streams: make(map[StreamID]*stream),
		books:   make(map[hingeids.ServerID]*book),
		owners:  make(map[hingeids.HostID]*owner),
		heard:   make(map[hingeids.Zone]time.Time),
		silent:  make(map[hingeids.Zone]bool),
	}
}

// SetEngines takes the engines that may be used now; what was learned of those
// that stay is kept.
func (f *Fleet) SetEngines(list []Engine) {
	if f.same(list) {
		return
	}
	old := f.engines
	f.engines = make(map[hingeids.ServerID]*engine, len(list))
	f.decoders, f.prefillers = nil, nil
	for _, e := range list {
		k := old[e.Server]
		if k == nil {
			k = &engine{
				prompts: newPrompts(&f.paces),
			}
		}
		k.Engine = e
		k.book = f.book(e.Server)
		f.engines[e.Server] = k
		switch e.Role {
		case Decode:
			f.decoders = append(f.decoders, k)
		case Prefill:
			f.prefillers = append(f.prefillers, k)
		}
	}
	f.dropBooks()
}

// same reports whether the engines are those that are known, which they are at most steps.
func (f *Fleet) same(list []Engine) bool {
	if len(list) != len(f.engines) {
		return false
	}
	for _, e := range list {
		if k := f.engines[e.Server]; k == nil || k.Engine != e {
			return false
		}
	}
	return true
}

// paceOf is the tokens that an engine makes a second for one stream.
func (f *Fleet) paceOf(e *engine) float64 {
	return e.pace.or(f.paces.made())
}

// Streams counts the streams believed to be in flight, Waiting the wants.
func (f *Fleet) Streams() int {
	return len(f.streams)
}

// Waiting counts the wants that wait.
func (f *Fleet) Waiting() int {
	return len(f.queue)
}
