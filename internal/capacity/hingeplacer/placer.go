// Package hingeplacer assigns the streams and requests of all entry hosts to servers on one host, the placer, so
// that entry hosts don't send to the same engine without knowledge of each other's requests. The entry host that
// a request arrived at is its owner.
//
//  1. The leader of the configuration group is the placer. Its placements are advice: two placers at the same time
//     waste capacity, but violate nothing. A control host that has no leader places on the engines of its own zone,
//     and hosts of other zones don't use these engines meanwhile. A partitioned zone thus continues with all servers
//     that it can reach.
//  2. The placer stores nothing on disk. Owners report all their streams on each change and twice a second, so a new
//     placer knows all streams within warmUp. A stream request is answered within holdTimeout, with Placement.Undecided
//     if there is no decision. An owner that has no answer after more than a round trip probes the placer, so it abandons
//     a suspended or partitioned placer within a quarter of a second, however long the queue is.
//  3. An entry host that reaches no placer places locally, with the same algorithm. It then sees only its own streams
//     and uses its share of the engines' memory, so that all entry hosts can do so at once.
//  4. One goroutine, the loop, owns the fleets and the queues.
//  5. The placer also chooses the replicas for requests to plain services, from one queue per service (hingequeue).
//     What one host observes of a replica, or sends there, counts for the next request of any host.
//  6. The placer counts the usage of customer quotas (hingequota), from the placement requests. Each owner keeps the
//     usage of its own requests and reports it to a placer that doesn't know it.
//  7. The placer detects requests that crash servers (hingepoison), from placement requests and reports. Each owner
//     keeps the crashes that it observed and also reports them to a new placer.
//  8. Hosts have retry budgets of their own (hingeretry). Where there are so many hosts that the part of each would be
//     smaller than one retry, the elected leader has the budget, and hosts request each retry from it.
//  9. The placer obeys what servers state in their answers (hingenotice). It learns of it with the
//     outcome of each request. Each owner keeps what it was told itself, reports it to a placer that
//     doesn't know it, and sends nothing to a server that has told it that it leaves, or that it
//     wants no requests for a while, whatever placer chose it. The pause concerns this host alone, so
//     its requests name the servers that they must not be placed on.
package hingeplacer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// stepInterval is the interval between steps while requests are queued.
	stepInterval = 20 * time.Millisecond
	// idleInterval is the interval between steps while nothing is queued. They only remove expired state.
	idleInterval = 250 * time.Millisecond
	// warmUp is how long a new placer collects reports before it assigns engines. Owners report within 20 ms of
	// learning of it.
	warmUp = 120 * time.Millisecond
	// holdTimeout is how long a stream request is held for its decision. An owner without an answer after this time and
	// a round trip tries another placer. A shorter time would mean more repeated requests: at 17,000 requests a second of
	// which a tenth wait, this one means 7,000 a second.
	holdTimeout = 250 * time.Millisecond
	inboxSize   = 1024
)

// Servers provides the usable backend servers of every service.
type Servers interface {
	// EngineFeed returns a new feed of the engines of a service.
	EngineFeed(s hingeids.Service) EngineFeed
	// Replicas returns the replicas of a service. The list isn't modified later; while it is the same, so are they.
	Replicas(s hingeids.Service) []hingebalance.Replica
	// ServerCount returns the number of servers of a service.
	ServerCount(s hingeids.Service) int
	// Address returns the address of a server, and whether it is known.
	Address(id hingeids.ServerID) (string, bool)
	// Quota returns the quota of a customer.
	Quota(c hingeids.CallerID) hingecustomers.Quota
	// EntryHosts returns the number of entry hosts.
	EntryHosts() int
	// PoisonEntry returns the poison list's entry for a fingerprint.
	PoisonEntry(fingerprint hingeids.Fingerprint) hingepoison.Listed
	// IsElectedLeader reports whether this host is the elected leader. A control host without a leader also places, for
	// its zone.
	IsElectedLeader() bool
}

// Proposer replicates the poison list, the list of requests that crash servers.
type Proposer interface {
	// Propose proposes a record for the list. It doesn't block and reports no result.
	Propose(r hingepoison.Record)
}

// Placer places the streams and requests of all hosts while its leads function returns true. Place, PlaceCall,
// CompleteCall and Demands are safe for concurrent use.
type Placer struct {
	servers Servers
	// proposer is nil on a host that can't propose records; its owner reports the crashes to the next placer.
	proposer Proposer
	leads    func() bool
	// limitPart returns the part of the servers' rate limits that this placer may use (rule 9).
	limitPart func() hingenotice.Part
	clock     func() time.Time
	demands   hingeboard.Cell[map[hingeids.Service]hingefleet.Demand]
	inbox     chan func(now time.Time)
	done      chan struct{}

	fleets         map[hingeids.Service]*fleet
	pendingStreams map[hingefleet.StreamID]pendingRequest[Placement]
	lastReports    map[hingeids.HostID]reportNumber
	// ledSince is when this host became the placer, zero while it isn't.
	ledSince       time.Time
	streamSchedule schedule
	callSchedule   schedule

	queues       map[hingeids.Service]*hingequeue.Queue
	pendingCalls map[hingequeue.CallID]pendingRequest[CallPlacement]
	// limiter counts the usage of customer quotas. Its expired state is next removed at sweepAt.
	limiter *hingequota.Limiter
	sweepAt time.Time
	// detector detects requests that crash servers; unconfirmed holds the detected ones that aren't on the list yet.
	detector      *hingepoison.Detector
	unconfirmed   map[hingeids.Fingerprint]unconfirmed
	recentCrashes []recentCrash
	// wallTime returns the wall-clock time, which all hosts use for the times on the list.
	wallTime func() time.Time
	recorder *hingeevents.Recorder
	// retryBudgets has the budgets that are shared by all hosts, by service (rule 8).
	retryLimits  hingeretry.FleetLimits
	retryBudgets map[hingeids.Service]*hingeretry.Budget
}

type reportNumber struct {
	instance uint64
	sequence uint64
}

type pendingRequest[T any] struct {
	answer func(T)
	owner  hingeids.HostID
	// charge is reserved in the customer's quota while the request is queued, and used once it is placed.
	charge hingequota.Charge
	// suspect is true if servers crashed during earlier attempts of the request.
	suspect bool
}

// New returns a placer. The proposer is nil if the host can't propose poison records.
func New(s Servers, p Proposer, leads func() bool, clock func() time.Time, params hingequota.Params) *Placer {
	return &Placer{
		servers:  s,
		proposer: p,
		leads:    leads,
		limitPart: func() hingenotice.Part {
			return controlPart(s)
		},
		clock:          clock,
		inbox:          make(chan func(now time.Time), inboxSize),
		done:           make(chan struct{}),
		fleets:         make(map[hingeids.Service]*fleet),
		pendingStreams: make(map[hingefleet.StreamID]pendingRequest[Placement]),
		lastReports:    make(map[hingeids.HostID]reportNumber),
		queues:         make(map[hingeids.Service]*hingequeue.Queue),
		pendingCalls:   make(map[hingequeue.CallID]pendingRequest[CallPlacement]),
		limiter:        hingequota.NewLimiter(params),
		detector:       hingepoison.NewDetector(),
		unconfirmed:    make(map[hingeids.Fingerprint]unconfirmed),
		wallTime:       time.Now,
		retryBudgets:   make(map[hingeids.Service]*hingeretry.Budget),
	}
}

// RegisterHandlers registers the handlers for other hosts' messages. It must be called before Run.
func (p *Placer) RegisterHandlers(link hingelink.Link, recorder *hingeevents.Recorder) {
	p.recorder = recorder
	link.HandleCall(methodPlace, func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		var request StreamRequest
		if err := cbor.Unmarshal(body, &request); err != nil {
			return nil, eris.Wrap(err, "decoding a stream request")
		}
		b, err := cbor.Marshal(p.Place(ctx, from, request))
		return b, eris.Wrap(err, "encoding a placement")
	})
	p.registerCallHandlers(link, recorder)
	link.HandleCall(methodRetry, p.handleRetry)
	link.HandleCall(methodProbe, func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		return nil, nil
	})
	link.HandleCall(methodReport, func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		var r report
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, eris.Wrap(err, "decoding a report")
		}
		answer := make(chan reportReply, 1)
		if !p.post(ctx, func(now time.Time) {
			answer <- p.handleReport(now, from, r)
		}) {
			return nil, eris.New("placer has stopped")
		}
		select {
		case a := <-answer:
			b, err := cbor.Marshal(a)
			return b, eris.Wrap(err, "encoding the answer to a report")
		case <-p.done:
			return nil, eris.New("placer has stopped")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

// Demands returns the demand of each service in engines. The map is empty or nil while this host isn't the placer.
func (p *Placer) Demands() map[hingeids.Service]hingefleet.Demand {
	d := p.demands.Load()
	if d == nil {
		return nil
	}
	return *d
}

// Done is closed when Run returns.
func (p *Placer) Done() <-chan struct{} {
	return p.done
}

// Run runs the loop until the context ends. It always returns nil.
func (p *Placer) Run(ctx context.Context) error {
	defer close(p.done)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-p.inbox:
			f(p.clock())
			p.drain()
		case <-timer.C:
		}
		timer.Reset(p.step(p.clock()))
	}
}

// step runs the steps that are due and returns the time until the next one. Streams have a schedule of their own: their
// step reads the state of every engine, and requests to plain services are far more frequent.
func (p *Placer) step(now time.Time) time.Duration {
	if !p.leads() {
		p.stepDown(now)
		return idleInterval
	}
	p.stepQuotas(now)
	if p.ledSince.IsZero() {
		p.ledSince = now
		p.streamSchedule = schedule{}
		p.callSchedule = schedule{}
	}
	if p.streamSchedule.isDue(now) {
		p.streamSchedule.reschedule(now, p.stepStreams(now))
	}
	if p.callSchedule.isDue(now) {
		p.callSchedule.reschedule(now, p.stepCalls(now))
	}
	return min(p.streamSchedule.next.Sub(now), p.callSchedule.next.Sub(now))
}

// schedule schedules the steps of one kind of request.
type schedule struct {
	// changed is true if a message has arrived since the last step.
	changed bool
	next    time.Time
}

func (s *schedule) isDue(now time.Time) bool {
	return s.changed || !now.Before(s.next)
}

// reschedule is called after a step, with the number of requests that are still queued.
func (s *schedule) reschedule(now time.Time, waiting int) {
	s.changed = false
	s.next = now.Add(idleInterval)
	if waiting > 0 {
		s.next = now.Add(stepInterval)
	}
}

// drain runs what is in the inbox, up to a bound.
func (p *Placer) drain() {
	for range inboxSize {
		select {
		case f := <-p.inbox:
			f(p.clock())
		default:
			return
		}
	}
}

// post passes f to the loop and blocks while the inbox is full. It returns false if the loop or the context ends first.
func (p *Placer) post(ctx context.Context, f func(now time.Time)) bool {
	select {
	case p.inbox <- f:
		return true
	case <-p.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// handleReport handles an owner's report and returns the answer. The streams of a report that arrives out of order are
// ignored.
func (p *Placer) handleReport(now time.Time, owner hingeids.HostID, r report) reportReply {
	answer := p.handleUsage(now, owner, r)
	p.handleCrashes(now, r)
	// The link orders the processes of a host.
	last := p.lastReports[owner]
	if r.Instance == last.instance && r.Sequence < last.sequence {
		return answer
	}
	p.lastReports[owner] = reportNumber{
		instance: r.Instance,
		sequence: r.Sequence,
	}
	p.handleStatements(now, r.Statements)
	p.streamSchedule.changed = true
	for s := range r.Streams {
		p.fleet(s)
	}
	// The outcomes come first: a fleet ignores the outcome of a prefill once its stream has made progress.
	for _, outcome := range r.Outcomes {
		p.handlePartCompletions(now, outcome.Service, outcome.Parts)
		p.fleet(outcome.Service).RecordOutcome(now, outcome.OutcomeReport)
	}
	for s, f := range p.fleets {
		f.HandleReport(now, owner, r.Streams[s])
	}
	return answer
}

// stepDown returns all queued requests to their owners and discards the state of the placer.
func (p *Placer) stepDown(now time.Time) {
	p.demands.Store(&map[hingeids.Service]hingefleet.Demand{})
	p.ledSince = time.Time{}
	for id := range p.pendingStreams {
		p.answer(now, id, Placement{
			NotPlacer: true,
		})
	}
	clear(p.fleets)
	clear(p.retryBudgets)
	p.returnAllCalls(now)
	p.limiter.Stop()
}

// address returns an empty string for an unknown server.
func (p *Placer) address(id hingeids.ServerID) string {
	a, _ := p.servers.Address(id)
	return a
}
