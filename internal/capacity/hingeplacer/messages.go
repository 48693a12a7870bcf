package hingeplacer

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

const (
	methodPlace  hingelink.Method = "placer.place"
	methodReport hingelink.Method = "placer.report"
	// methodCall requests a replica, methodPlaced carries the answer, and methodCompletion the outcome of the request.
	// These are datagrams, which cost less than calls, since there are several for each request to a plain service.
	methodCall       hingelink.Method = "placer.call"
	methodPlaced     hingelink.Method = "placer.placed"
	methodCompletion hingelink.Method = "placer.end"
	// methodProbe checks that a placer responds. Its answer is empty.
	methodProbe hingelink.Method = "placer.probe"
)

// StreamRequest is the message by which an owner requests engines for a stream. Times are durations, since the clocks of
// two hosts differ.
type StreamRequest struct {
	Service        hingeids.Service    `cbor:"1,keyasint"`
	ID             hingefleet.StreamID `cbor:"2,keyasint"`
	PromptTokens   hingeids.Tokens     `cbor:"3,keyasint"`
	ExpectedTokens hingeids.Tokens     `cbor:"4,keyasint"`
	// Waited is the time since the caller's request arrived.
	Waited         time.Duration `cbor:"5,keyasint"`
	Target         time.Duration `cbor:"6,keyasint"`
	MaxWait        time.Duration `cbor:"7,keyasint"`
	TimeToDeadline time.Duration `cbor:"8,keyasint"`
	Moved          bool          `cbor:"9,keyasint,omitempty"`
	// Cached is true if the prompt's KV cache exists and only a decode engine is needed.
	Cached bool                `cbor:"11,keyasint,omitempty"`
	Avoid  []hingeids.ServerID `cbor:"10,keyasint,omitempty"`
	// Zone is the owner's availability zone.
	Zone hingeids.Zone `cbor:"12,keyasint,omitempty"`
	// MaxEventGap is the longest time between two events that is on time, zero for no limit.
	MaxEventGap time.Duration `cbor:"13,keyasint,omitempty"`
	// Charge is the stream's cost to its customer's quota, empty if it is already counted.
	Charge hingequota.Charge `cbor:"14,keyasint,omitzero"`
	// Priority is that of the customer or the route; 0 is the highest.
	Priority int `cbor:"15,keyasint,omitempty"`
	// Fingerprint is the request's fingerprint. Crashes are the server crashes during this attempt.
	Fingerprint hingeids.Fingerprint `cbor:"16,keyasint,omitempty"`
	Crashes     []hingepoison.Crash  `cbor:"17,keyasint,omitempty"`
	// MayRetry is true if the stream may be sent again once it may have run. Resumed is true if the caller has a part
	// of the answer from another host.
	MayRetry bool `cbor:"18,keyasint,omitempty"`
	Resumed  bool `cbor:"19,keyasint,omitempty"`
	// Backoffs are engines that want no requests of the owner for a while.
	Backoffs []hingeids.ServerID `cbor:"20,keyasint,omitempty"`
	// Parts are the shared parts of the prompt (hingepoison.PartsOf).
	Parts []hingeids.Fingerprint `cbor:"21,keyasint,omitempty"`
}

// fleetRequest converts the message to a request of the fleet, with times on this host's clock.
func (r StreamRequest) fleetRequest(now time.Time, owner hingeids.HostID) hingefleet.StreamRequest {
	return hingefleet.StreamRequest{
		ID:             r.ID,
		Owner:          owner,
		Zone:           r.Zone,
		PromptTokens:   r.PromptTokens,
		ExpectedTokens: r.ExpectedTokens,
		Arrived:        now.Add(-r.Waited),
		Target:         r.Target,
		MaxEventGap:    r.MaxEventGap,
		MaxWait:        r.MaxWait,
		Deadline:       now.Add(r.TimeToDeadline),
		Moved:          r.Moved,
		Cached:         r.Cached,
		Avoid:          slices.Concat(r.Avoid, r.Backoffs),
		Priority:       r.Priority,
		MayRetry:       r.MayRetry,
		Resumed:        r.Resumed,
	}
}

// Placement is the placer's answer. It includes the servers' addresses, since the owner may not know these servers yet.
type Placement struct {
	Prefill        hingeids.ServerID `cbor:"1,keyasint,omitempty"`
	PrefillAddress string            `cbor:"11,keyasint,omitempty"`
	Decode         hingeids.ServerID `cbor:"2,keyasint,omitempty"`
	DecodeAddress  string            `cbor:"12,keyasint,omitempty"`
	// Refused is true if the stream gets no engines. RetryAfter is then the time after which to retry.
	Refused    bool          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Undecided is true if there is no decision yet. The owner then repeats its request at once.
	Undecided bool `cbor:"9,keyasint,omitempty"`
	// NotPlacer is true if the host that answers isn't the placer.
	NotPlacer bool `cbor:"5,keyasint,omitempty"`
	// Local is true if the owner placed the stream locally, without knowledge of other hosts' streams.
	Local  bool          `cbor:"6,keyasint,omitempty"`
	Waited time.Duration `cbor:"7,keyasint,omitempty"`
	Peak   int           `cbor:"8,keyasint,omitempty"`
	// Shortage is the missing resource if the stream was refused for lack of capacity.
	Shortage hingefleet.Shortage `cbor:"10,keyasint,omitempty"`
	Cause    Cause               `cbor:"13,keyasint,omitempty"`
	// Suspect is true if servers crashed during earlier attempts. The owner must report a complete answer
	// (Owner.RecordCompletion).
	Suspect bool `cbor:"14,keyasint,omitempty"`
}

// Cause is the reason for a refusal.
type Cause uint8

// The causes are: lack of capacity, an exhausted quota, a quota whose usage isn't known well enough to decide, and
// a request that crashes servers.
const (
	NoCapacity Cause = iota
	OverQuota
	QuotaUnknown
	Poison
)

func causeOf(d hingequota.Decision) Cause {
	if d.Over {
		return OverQuota
	}
	return QuotaUnknown
}

type serviceOutcome struct {
	Service       hingeids.Service         `cbor:"1,keyasint"`
	OutcomeReport hingefleet.OutcomeReport `cbor:"2,keyasint"`
	// Parts are the shared parts of the prompt of a stream that is complete.
	Parts []hingeids.Fingerprint `cbor:"3,keyasint,omitempty"`
}

// report is an owner's message on its streams, its quota usage and the crashes that it observed.
type report struct {
	Sequence uint64                                     `cbor:"1,keyasint"`
	Streams  map[hingeids.Service][]hingefleet.Progress `cbor:"2,keyasint,omitempty"`
	Outcomes []serviceOutcome                           `cbor:"3,keyasint,omitempty"`
	// Usages is the quota usage of the owner's requests within the window. Complete is true if the report includes it,
	// and CountedFor is the time for which the owner has counted.
	Usages     []hingequota.Usage `cbor:"4,keyasint,omitempty"`
	Complete   bool               `cbor:"5,keyasint,omitempty"`
	CountedFor time.Duration      `cbor:"6,keyasint,omitempty"`
	// Refunds are the charges of requests that were counted and didn't run.
	Refunds []hingequota.Charge `cbor:"7,keyasint,omitempty"`
	// Crashes are server crashes, and Completions are complete answers to suspected requests, that the placer hasn't
	// received yet.
	Crashes     []hingepoison.Crash      `cbor:"8,keyasint,omitempty"`
	Completions []hingepoison.Completion `cbor:"9,keyasint,omitempty"`
	// Statements are what servers have stated in answers to the owner, as far as the placer hasn't received it yet.
	Statements []hingenotice.Statement `cbor:"10,keyasint,omitempty"`
	// Instance is that of the owner's process. Sequence numbers its reports.
	Instance uint64 `cbor:"11,keyasint"`
	// statementsUpTo is the owner's number of changes up to which Statements has them.
	statementsUpTo uint64
}

type reportReply struct {
	// NeedsUsage requests the whole quota usage with the next report.
	NeedsUsage bool `cbor:"1,keyasint,omitempty"`
	// NearLimit are the customers near their limits.
	NearLimit []hingequota.NearLimit `cbor:"2,keyasint,omitempty"`
	// Complete is true if NearLimit lists all such customers.
	Complete bool `cbor:"3,keyasint,omitempty"`
}

// CallRequest is the message by which an owner requests a replica of a plain service.
type CallRequest struct {
	Service hingeids.Service  `cbor:"1,keyasint"`
	ID      hingequeue.CallID `cbor:"2,keyasint"`
	Zone    hingeids.Zone     `cbor:"3,keyasint,omitempty"`
	// TimeToSoftDeadline is the time until the answer is late, zero if it already is. TimeToDeadline is the time until
	// the request's deadline.
	TimeToSoftDeadline time.Duration `cbor:"4,keyasint,omitempty"`
	TimeToDeadline     time.Duration `cbor:"5,keyasint"`
	// MaxWait is the maximum wait announced by the caller, zero if there is none.
	MaxWait time.Duration       `cbor:"7,keyasint,omitempty"`
	Avoid   []hingeids.ServerID `cbor:"6,keyasint,omitempty"`
	// Charge is the request's cost to its customer's quota, empty if it is already counted.
	Charge hingequota.Charge `cbor:"8,keyasint,omitzero"`
	// Priority is that of the customer or the route; 0 is the highest.
	Priority int `cbor:"9,keyasint,omitempty"`
	// Fingerprint is the request's fingerprint. Crashes are the server crashes during this attempt.
	Fingerprint hingeids.Fingerprint `cbor:"10,keyasint,omitempty"`
	Crashes     []hingepoison.Crash  `cbor:"11,keyasint,omitempty"`
	// Backoffs are replicas that want no requests of the owner for a while.
	Backoffs []hingeids.ServerID `cbor:"12,keyasint,omitempty"`
}

func (c CallRequest) withElapsed(elapsed time.Duration) CallRequest {
	c.TimeToSoftDeadline = max(c.TimeToSoftDeadline-elapsed, 0)
	c.TimeToDeadline -= elapsed
	return c
}

// queueRequest converts the message to a request of the queue, with times on this host's clock.
func (c CallRequest) queueRequest(now time.Time) hingequeue.CallRequest {
	return hingequeue.CallRequest{
		ID:           c.ID,
		Zone:         c.Zone,
		SoftDeadline: now.Add(c.TimeToSoftDeadline),
		Deadline:     now.Add(c.TimeToDeadline),
		MaxWait:      c.MaxWait,
		Avoid:        slices.Concat(c.Avoid, c.Backoffs),
		Priority:     c.Priority,
	}
}

// CallPlacement is the placer's answer to a CallRequest.
type CallPlacement struct {
	Server hingeids.ServerID `cbor:"1,keyasint,omitempty"`
	// Address is the server's address, empty if the placer doesn't know it.
	Address    string        `cbor:"7,keyasint,omitempty"`
	Refused    bool          `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	NotPlacer  bool          `cbor:"4,keyasint,omitempty"`
	// Queued is true if the request is still queued. It answers a retransmission.
	Queued bool `cbor:"6,keyasint,omitempty"`
	// Local is true if the owner chose the replica locally, without knowledge of other hosts' requests.
	Local bool  `cbor:"5,keyasint,omitempty"`
	Cause Cause `cbor:"8,keyasint,omitempty"`
	// Suspect is true if servers crashed during earlier attempts. The owner must report a complete answer
	// (Owner.RecordCompletion).
	Suspect bool `cbor:"9,keyasint,omitempty"`
}

type callReply struct {
	ID        hingequeue.CallID `cbor:"1,keyasint"`
	Placement CallPlacement     `cbor:"2,keyasint"`
}

type callCompletion struct {
	Service    hingeids.Service      `cbor:"1,keyasint"`
	Completion hingequeue.Completion `cbor:"2,keyasint"`
	// Refund is the request's charge if the request was never sent to its replica.
	Refund hingequota.Charge `cbor:"3,keyasint,omitzero"`
}
