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
//  3. What can still be on time goes first, in the order of arrival. What is late
//     goes only where more room is left, since a late answer is worth a fraction of a timely
//     one and must not make the next one late.
//  4. A stream that moves from a broken engine goes before all others: its caller
//     has part of the answer, and its prefill has been paid once.
//  5. What can't be served in time, nor later before its caller loses patience, is refused
//     at once, with the time after which the work ahead of it will have drained. While as
//     much arrives as drains, late wants never get a turn before new ones; to let them
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
	// Waited is how long the decision took, Peak the predicted peak of the
	// decode engine in hundredths of its memory; for the log.
	Waited time.Duration
	Peak   int
}

// Progress is what the owner of a stream reports of it.
type Progress struct {
	ID       StreamID          `cbor:"1,keyasint"`
	Decode   hingeids.ServerID `cbor:"2,keyasint"`
	Prompt   hingeids.Tokens   `cbor:"3,keyasint"`
	Expected hingeids.Tokens   `cbor:"4,keyasint"`
	// Made is the tokens that have come; zero before the first.
	Made hingeids.Tokens `cbor:"5,keyasint,omitempty"`
}

// stream is a stream in flight.
type stream struct {
	owner    hingeids.HostID
	prefill  hingeids.ServerID
	decode   hingeids.ServerID
	prompt   hingeids.Tokens
	expected hingeids.Tokens
	made     hingeids.Tokens
	// madeAt is when made was true, or when the first token is expected.
	madeAt time.Time
	// granted is when it was placed here; zero once its owner has reported it.
	granted time.Time
}

// engine is an engine with what was learned of it.
type engine struct {
	Engine
	// tokensPerSecond is the pace of one stream, learned from reports.
	tokensPerSecond float64
	prompts         prompts
	health          health
	// readAt is when a decode engine was given a prompt to work last.
	readAt time.Time
}

const (
	// startPace is a stream's pace before anything was learned, in tokens a second: a step
	// of 0.6 to 0.7 ms, as engines of today's two deployments take it.
	startPace = 1500
	// paceWeight is the weight of a new reading of the pace. One reading spans
	// half a second; five of them move the pace to two thirds of a change.
	paceWeight = 0.2
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
)

// Fleet is the engines of one service and the streams on them.
type Fleet struct {
	engines map[hingeids.ServerID]*engine
	streams map[StreamID]*stream
	queue   []*Want
	owners  map[hingeids.HostID]time.Time
	// arrivals are the newest wants, for rule 5.
	arrivals []time.Time
	// tried are the wants that found no room in the present step.
	tried   []attempt
	scratch []load
	demand  demand
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
		owners:  make(map[hingeids.HostID]time.Time),
		heard:   make(map[hingeids.Zone]time.Time),
		silent:  make(map[hingeids.Zone]bool),
	}
}

// SetEngines takes the engines that may be used now; what was learned of those
// that stay is kept.
func (f *Fleet) SetEngines(list []Engine) {
	old := f.engines
	f.engines = make(map[hingeids.ServerID]*engine, len(list))
	for _, e := range list {
		k := old[e.Server]
		if k == nil {
			k = &engine{
				tokensPerSecond: startPace,
				prompts:         newPrompts(),
			}
		}
		k.Engine = e
		f.engines[e.Server] = k
	}
}

// Report takes what an owner says of all its streams (rule 8).
func (f *Fleet) Report(now time.Time, owner hingeids.HostID, list []Progress) {
	f.owners[owner] = now
	listed := make(map[StreamID]bool, len(list))
	for _, p := range list {
		listed[p.ID] = true
		f.progress(now, owner, p)
	}
	for id, s := range f.streams {
		if s.owner == owner && !listed[id] && s.granted.IsZero() {
			f.forget(id)
		}
	}
}

// forget drops a stream and what it has waiting at an engine that prefills.
func (f *Fleet) forget(id StreamID) {
	if s := f.streams[id]; s != nil {
		f.dropPrompt(id, s)
	}
	delete(f.streams, id)
}

func (f *Fleet) dropPrompt(id StreamID, s *stream) {
	if e := f.engines[s.prefill]; e != nil {
		e.prompts.drop(id)
	}
}

func (f *Fleet) progress(now time.Time, owner hingeids.HostID, p Progress) {
	s := f.streams[p.ID]
	if s == nil || s.decode != p.Decode {
		f.forget(p.ID)
		s = &stream{
			madeAt: now,
		}
		f.streams[p.ID] = s
	}
	if e := f.engines[p.Decode]; e != nil && p.Made > s.made && s.made > 0 {
		e.learnPace(now.Sub(s.madeAt), p.Made-s.made)
	}
	s.owner = owner
	s.decode = p.Decode
	s.prompt = p.Prompt
	s.expected = p.Expected
	s.granted = time.Time{}
	if p.Made > 0 {
		f.dropPrompt(p.ID, s)
		s.made = p.Made
		s.madeAt = now
	}
}

func (e *engine) learnPace(took time.Duration, made hingeids.Tokens) {
	// Shorter spans measure the events' own rhythm more than the pace.
	if took < 100*time.Millisecond {
		return
	}
	reading := float64(made) / took.Seconds()
	e.tokensPerSecond += paceWeight * (reading - e.tokensPerSecond)
}

// Cancel forgets a stream or a want whose caller is gone.
func (f *Fleet) Cancel(id StreamID) {
	f.forget(id)
	for i, w := range f.queue {
		if w.ID == id {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return
		}
	}
}

// Streams counts the streams believed to be in flight, Waiting the wants.
func (f *Fleet) Streams() int {
	return len(f.streams)
}

// Waiting counts the wants that wait.
func (f *Fleet) Waiting() int {
	return len(f.queue)
}
