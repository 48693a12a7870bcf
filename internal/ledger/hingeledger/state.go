package hingeledger

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type phase uint8

const (
	phaseClaimed phase = iota
	phaseAnswered
	phaseNotStored
	phaseReleased
)

type entryID struct {
	caller hingeids.CallerID
	key    hingeids.IdempotencyKey
}

type entry struct {
	id      entryID
	phase   phase
	digest  Digest
	request hingeids.RequestID
	until   int64
	expires int64
	// checkAt is the time at which expire next examines the entry, at or before
	// expires.
	checkAt int64
	answer  []byte
	// encoded is the entry as part of a snapshot, updated at each change. Encoding
	// all entries of a full State for a snapshot would delay the leader's heartbeats
	// beyond the election timeout.
	encoded []byte
}

// State is the deterministic state machine of the ledger: it does no I/O, reads no
// clock, and returns the same outcomes for the same commands. It is not safe for
// concurrent use.
type State struct {
	limits  Limits
	now     int64
	entries map[entryID]*entry
	callers map[hingeids.CallerID]*usage
	bytes   hingeids.Bytes
	queue   expiryQueue
	// minIncarnation is the lowest incarnation of each host that may still be running.
	minIncarnation map[hingeids.HostID]hingeids.Incarnation
}

// NewState returns an empty State.
func NewState(l Limits) *State {
	return &State{
		limits:         l,
		entries:        make(map[entryID]*entry),
		callers:        make(map[hingeids.CallerID]*usage),
		minIncarnation: make(map[hingeids.HostID]hingeids.Incarnation),
	}
}

// Apply executes an encoded command and returns the encoded outcome. The index of
// the command in the replicated log is not used.
func (s *State) Apply(_ uint64, data []byte) []byte {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return encode(Outcome{
			Kind: Malformed,
		})
	}
	return encode(s.apply(&c))
}

func (s *State) apply(c *command) Outcome {
	s.now = max(s.now, c.Time)
	s.expire()
	switch c.Verb {
	case verbClaim:
		return s.claim(&c.Claim)
	case verbFinish:
		return s.finish(&c.Claim, c.Answer)
	case verbRelease:
		return s.release(&c.Claim)
	case verbEndInstance:
		s.endInstancesBefore(c.Instance.Host, c.Instance.Incarnation+1)
		return Outcome{
			Kind: Acknowledged,
		}
	default:
		return Outcome{
			Kind: Malformed,
		}
	}
}

// claim grants the key to the first request and returns the state of the key to later
// ones.
func (s *State) claim(c *Claim) Outcome {
	if c.Request.Incarnation < s.minIncarnation[c.Request.Host] {
		return s.outcome(Withdrawn, c.Request, c.Until)
	}
	s.endInstancesBefore(c.Request.Host, c.Request.Incarnation)
	e := s.entries[entryID{caller: c.Caller, key: c.Key}]
	if e == nil {
		return s.grantNew(c)
	}
	if e.phase == phaseReleased {
		return s.grantReleased(e, c)
	}
	if e.digest != c.Digest {
		return s.outcome(OtherBody, e.request, e.until)
	}
	return s.existingOutcome(e, c)
}

// existingOutcome implements rules 1 and 3.
func (s *State) existingOutcome(e *entry, c *Claim) Outcome {
	switch e.phase {
	case phaseAnswered:
		o := s.outcome(Answered, e.request, e.until)
		o.Answer = e.answer
		return o
	case phaseNotStored:
		return s.outcome(AnsweredNotStored, e.request, e.until)
	}
	if e.request == c.Request {
		return s.outcome(Granted, e.request, e.until)
	}
	if e.request.Incarnation < s.minIncarnation[e.request.Host] || s.now > e.until {
		return s.outcome(Uncertain, e.request, e.until)
	}
	return s.outcome(InProgress, e.request, e.until)
}

func (s *State) grantNew(c *Claim) Outcome {
	e, refused := s.add(c, phaseClaimed)
	if e == nil {
		return s.outcome(refused, c.Request, c.Until)
	}
	return s.outcome(Granted, e.request, e.until)
}

// grantReleased implements rule 2.
func (s *State) grantReleased(e *entry, c *Claim) Outcome {
	if e.request == c.Request {
		return s.outcome(Withdrawn, e.request, e.until)
	}
	e.phase = phaseClaimed
	e.digest = c.Digest
	e.request = c.Request
	e.until = c.Until
	s.extendExpiry(e, c.Retention)
	e.encode()
	return s.outcome(Granted, e.request, e.until)
}

// An answer is accepted from an ended instance, too, because the answer to its own
// request is still correct.
func (s *State) finish(c *Claim, answer []byte) Outcome {
	e := s.entries[entryID{caller: c.Caller, key: c.Key}]
	if e != nil && e.phase == phaseClaimed && e.request == c.Request {
		e.phase = phaseAnswered
		s.updateUsage(e, -1)
		e.answer = answer
		if hingeids.Bytes(len(answer)) > s.limits.AnswerBytes {
			e.phase = phaseNotStored
			e.answer = nil
		}
		s.updateUsage(e, 1)
		s.extendExpiry(e, c.Retention)
		e.encode()
	}
	return Outcome{
		Kind: Acknowledged,
	}
}

// A release that arrives before its own claim creates a released entry, so that the
// late claim is refused (rule 2).
func (s *State) release(c *Claim) Outcome {
	e := s.entries[entryID{caller: c.Caller, key: c.Key}]
	if e == nil {
		s.add(c, phaseReleased)
	} else if e.phase == phaseClaimed && e.request == c.Request {
		e.phase = phaseReleased
		e.encode()
	}
	return Outcome{
		Kind: Acknowledged,
	}
}

// endInstancesBefore implements rule 3.
func (s *State) endInstancesBefore(host hingeids.HostID, i hingeids.Incarnation) {
	if i > s.minIncarnation[host] {
		s.minIncarnation[host] = i
	}
}

func (s *State) outcome(k Kind, holder hingeids.RequestID, until int64) Outcome {
	return Outcome{
		Kind:   k,
		Holder: holder,
		Until:  until,
	}
}
