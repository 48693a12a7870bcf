package hingeplacer

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

const (
	methodPlace  hingelink.Method = "placer.place"
	methodReport hingelink.Method = "placer.report"
	// methodCall asks for a replica, methodPlaced is the answer, methodEnd tells how the request ended. They are
	// datagrams: a call between hosts costs sixty times as much, and these come with every request of a plain service.
	methodCall   hingelink.Method = "placer.call"
	methodPlaced hingelink.Method = "placer.placed"
	methodEnd    hingelink.Method = "placer.end"
	// methodProbe is answered at once, with nothing.
	methodProbe hingelink.Method = "placer.probe"
)

// Want is a stream that asks for engines, as it travels: times are spans, since
// the clocks of two hosts differ.
type Want struct {
	Service  hingeids.Service    `cbor:"1,keyasint"`
	ID       hingefleet.StreamID `cbor:"2,keyasint"`
	Prompt   hingeids.Tokens     `cbor:"3,keyasint"`
	Expected hingeids.Tokens     `cbor:"4,keyasint"`
	// Waited is how long ago the caller's request came.
	Waited   time.Duration `cbor:"5,keyasint"`
	Target   time.Duration `cbor:"6,keyasint"`
	Patience time.Duration `cbor:"7,keyasint"`
	Left     time.Duration `cbor:"8,keyasint"`
	Moved    bool          `cbor:"9,keyasint,omitempty"`
	// Cached says that the prompt's KV cache is there and a decode engine is all that is wanted.
	Cached bool                `cbor:"11,keyasint,omitempty"`
	Avoid  []hingeids.ServerID `cbor:"10,keyasint,omitempty"`
	// Zone is the owner's availability zone.
	Zone hingeids.Zone `cbor:"12,keyasint,omitempty"`
	// Gap is the longest pause between events that counts as on time; zero if any does.
	Gap time.Duration `cbor:"13,keyasint,omitempty"`
	// Charge is what the stream counts for its customer's quota, nothing if it has been counted.
	Charge hingequota.Charge `cbor:"14,keyasint,omitzero"`
	// Priority is the customer's or the route's; 0 goes first.
	Priority int `cbor:"15,keyasint,omitempty"`
	// Print is the request's, Ends are the servers that ended under this attempt.
	Print hingeids.Fingerprint `cbor:"16,keyasint,omitempty"`
	Ends  []hingepoison.Crash  `cbor:"17,keyasint,omitempty"`
}

func (w Want) wanted(now time.Time, owner hingeids.HostID) hingefleet.StreamRequest {
	return hingefleet.StreamRequest{
		ID:             w.ID,
		Owner:          owner,
		Zone:           w.Zone,
		PromptTokens:   w.Prompt,
		ExpectedTokens: w.Expected,
		Arrived:        now.Add(-w.Waited),
		Target:         w.Target,
		MaxEventGap:    w.Gap,
		MaxWait:        w.Patience,
		Deadline:       now.Add(w.Left),
		Moved:          w.Moved,
		Cached:         w.Cached,
		Avoid:          w.Avoid,
		Priority:       w.Priority,
	}
}

// Placement is the placer's answer. It says where servers are, since the placer may have heard of them before the owner.
type Placement struct {
	Prefill   hingeids.ServerID `cbor:"1,keyasint,omitempty"`
	PrefillAt string            `cbor:"11,keyasint,omitempty"`
	Decode    hingeids.ServerID `cbor:"2,keyasint,omitempty"`
	DecodeAt  string            `cbor:"12,keyasint,omitempty"`
	// Refused says that nothing is granted; RetryAfter is when to come back.
	Refused    bool          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Later says that nothing is decided yet: the owner asks again at once.
	Later bool `cbor:"9,keyasint,omitempty"`
	// NotHere says that this host doesn't place now.
	NotHere bool `cbor:"5,keyasint,omitempty"`
	// Alone says that the own host placed without the others' streams in sight.
	Alone  bool          `cbor:"6,keyasint,omitempty"`
	Waited time.Duration `cbor:"7,keyasint,omitempty"`
	Peak   int           `cbor:"8,keyasint,omitempty"`
	// Short is what there was too little of, where it is refused for want of room.
	Short hingefleet.Shortage `cbor:"10,keyasint,omitempty"`
	Cause Cause               `cbor:"13,keyasint,omitempty"`
	// Suspect says that servers have ended under the request; a whole answer is to be told (Owner.Passed).
	Suspect bool `cbor:"14,keyasint,omitempty"`
}

// Cause is why a request is refused.
type Cause uint8

// The causes: no room; a customer that has used its quota; a quota of which whoever decides doesn't know enough; a request that
// ends servers.
const (
	NoRoom Cause = iota
	OverQuota
	QuotaUnknown
	Poison
)

// causeOf is the cause of a refusal for a quota.
func causeOf(v hingequota.Decision) Cause {
	if v.Over {
		return OverQuota
	}
	return QuotaUnknown
}

// note is how an engine of a service did.
type note struct {
	Service hingeids.Service         `cbor:"1,keyasint"`
	Note    hingefleet.OutcomeReport `cbor:"2,keyasint"`
}

// report is all that an owner says of its streams.
type report struct {
	Sequence uint64                                     `cbor:"1,keyasint"`
	Streams  map[hingeids.Service][]hingefleet.Progress `cbor:"2,keyasint,omitempty"`
	Notes    []note                                     `cbor:"3,keyasint,omitempty"`
	// Uses are what the owner's requests have used of quotas within the window, of which it knows for Knows; All says that they are told.
	Uses  []hingequota.Usage `cbor:"4,keyasint,omitempty"`
	All   bool               `cbor:"5,keyasint,omitempty"`
	Knows time.Duration      `cbor:"6,keyasint,omitempty"`
	// Returned are requests that were counted and have not run.
	Returned []hingequota.Charge `cbor:"7,keyasint,omitempty"`
	// Ends are servers that ended under requests, Passes suspected requests that were answered whole, of which the placer hasn't been told.
	Ends   []hingepoison.Crash      `cbor:"8,keyasint,omitempty"`
	Passes []hingepoison.Completion `cbor:"9,keyasint,omitempty"`
}

// reported is the answer to a report.
type reported struct {
	// Wants asks for all uses with the next report.
	Wants bool `cbor:"1,keyasint,omitempty"`
	// Tight are the customers that have little of their quotas left.
	Tight []hingequota.NearLimit `cbor:"2,keyasint,omitempty"`
	// All says that nobody else is tight.
	All bool `cbor:"3,keyasint,omitempty"`
}

// Call is a request of a plain service that asks for a replica, as it travels.
type Call struct {
	Service hingeids.Service  `cbor:"1,keyasint"`
	ID      hingequeue.CallID `cbor:"2,keyasint"`
	Zone    hingeids.Zone     `cbor:"3,keyasint,omitempty"`
	// InTime is how long its answer is of full worth, zero if it is late already; Left is how long its caller waits.
	InTime time.Duration `cbor:"4,keyasint,omitempty"`
	Left   time.Duration `cbor:"5,keyasint"`
	// Patience is how long the caller said that it would wait, zero if it said nothing.
	Patience time.Duration       `cbor:"7,keyasint,omitempty"`
	Avoid    []hingeids.ServerID `cbor:"6,keyasint,omitempty"`
	// Charge is what the request counts for its customer's quota, nothing if it has been counted.
	Charge hingequota.Charge `cbor:"8,keyasint,omitzero"`
	// Priority is the customer's or the route's; 0 goes first.
	Priority int `cbor:"9,keyasint,omitempty"`
	// Print is the request's, Ends are the servers that ended under this attempt.
	Print hingeids.Fingerprint `cbor:"10,keyasint,omitempty"`
	Ends  []hingepoison.Crash  `cbor:"11,keyasint,omitempty"`
}

// after gives the call as it is when some of its time has passed.
func (c Call) after(passed time.Duration) Call {
	c.InTime = max(c.InTime-passed, 0)
	c.Left -= passed
	return c
}

func (c Call) wanted(now time.Time) hingequeue.CallRequest {
	return hingequeue.CallRequest{
		ID:           c.ID,
		Zone:         c.Zone,
		SoftDeadline: now.Add(c.InTime),
		Deadline:     now.Add(c.Left),
		MaxWait:      c.Patience,
		Avoid:        c.Avoid,
		Priority:     c.Priority,
	}
}

// CallPlacement is the placer's answer.
type CallPlacement struct {
	Server hingeids.ServerID `cbor:"1,keyasint,omitempty"`
	// Address is where the server is.
	Address    string        `cbor:"7,keyasint,omitempty"`
	Refused    bool          `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	NotHere    bool          `cbor:"4,keyasint,omitempty"`
	// Waits says that the request has its turn later: the answer to a question that is asked again.
	Waits bool `cbor:"6,keyasint,omitempty"`
	// Alone says that the own host chose without the others' requests in sight.
	Alone bool  `cbor:"5,keyasint,omitempty"`
	Cause Cause `cbor:"8,keyasint,omitempty"`
	// Suspect says that servers have ended under the request; a whole answer is to be told (Owner.Passed).
	Suspect bool `cbor:"9,keyasint,omitempty"`
}

// callPlaced is a placement as it travels.
type callPlaced struct {
	ID        hingequeue.CallID `cbor:"1,keyasint"`
	Placement CallPlacement     `cbor:"2,keyasint"`
}

// callEnd is how a request of a service ended at its replica.
type callEnd struct {
	Service hingeids.Service      `cbor:"1,keyasint"`
	End     hingequeue.Completion `cbor:"2,keyasint"`
	// Returned is what the request was counted for, if it was never sent to the replica that it was given.
	Returned hingequota.Charge `cbor:"3,keyasint,omitzero"`
}
