// Package hingeplacer has one host place the streams of all entry hosts, so that
// they don't each guess what the others have just sent to the same engine.
//
//  1. The host that leads the configuration group places. It is an adviser and no
//     authority: two that place at once for a moment waste room, and break nothing.
//     While a control host hears no leader it places on the engines of its own
//     zone, which hosts of other zones leave to it as well: a zone that is cut off
//     goes on with all that it can reach.
//  2. It keeps nothing on disk. Owners report all their streams at each change and
//     twice a second, so a new placer knows the fleet within its first warmUp.
//     A question is answered within holdTime, if need be by "later", and one that is out for
//     longer than a round trip is followed by the question whether the placer lives: one that is
//     suspended or cut off is left within a quarter of a second, whatever its queue.
//  3. An entry host that reaches no placer places for itself, by the same decisions,
//     on its own streams and a share of the engines' memory: the
//     share that is its own if all entry hosts do the same.
//  4. One goroutine, the loop, owns the fleets and the queues.
//  5. It gives requests of plain services their replicas too, from one queue for each service (hingequeue): what one
//     host learns of a replica, and what it has sent there, is known to all with the next request.
//  6. It counts what customers use of their quotas (hingequota), with the question that is asked anyway. Each owner keeps
//     what its own requests have used, and tells a placer that doesn't know it.
//  7. It finds the requests that end servers (hingepoison), with the questions and reports that come anyway. Each owner keeps
//     the ends that it has seen, and tells them to another placer too.
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
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// stepEvery is how often waiting wants are looked at when nothing happens.
	stepEvery = 20 * time.Millisecond
	// idleEvery is the same when nothing waits; only what is over is forgotten then.
	idleEvery = 250 * time.Millisecond
	// warmUp is how long a new placer listens before it grants: owners report
	// within 20 ms of hearing of it.
	warmUp = 120 * time.Millisecond
	// holdTime is how long a question waits for its decision. An owner that
	// hears nothing for it and a round trip asks somebody else; at the peak of 17,000 requests a second
	// with a tenth of them waiting, it makes 7,000 small calls a second.
	holdTime = 250 * time.Millisecond
	// inboxSize bounds what waits for the loop.
	inboxSize = 1024
)

// Servers gives the backend servers of every service that may be used now. Its lists are made anew when they change.
type Servers interface {
	Engines() map[hingeids.Service][]hingefleet.Engine
	Replicas() map[hingeids.Service][]hingebalance.Replica
	// Address gives the address of a server, if it is known.
	Address(id hingeids.ServerID) (string, bool)
	// Quota gives a customer's quota.
	Quota(c hingeids.CallerID) hingecustomers.Quota
	// Entries is how many entry hosts there are.
	Entries() int
	// Poison gives what the list of the requests that end servers says of one, as it was agreed on.
	Poison(p hingeids.Fingerprint) hingepoison.Listed
	// Leads reports whether this host was elected to place for all, rather than to place while nobody leads.
	Leads() bool
}

// Agreement keeps the list of the requests that end servers.
type Agreement interface {
	// Agree has a record put on the list, and waits for nothing.
	Agree(r hingepoison.Record)
}

// Placer places streams while Leads says so.
type Placer struct {
	servers Servers
	// agreement is nil on a host that can't have anything agreed on: it tells the next placer what it has seen.
	agreement Agreement
	leads     func() bool
	clock     func() time.Time
	demands   hingeboard.Cell[map[hingeids.Service]hingefleet.Demand]
	inbox     chan func(now time.Time)
	done      chan struct{}

	fleets   map[hingeids.Service]*hingefleet.Fleet
	waiting  map[hingefleet.StreamID]asker[Placement]
	sequence map[hingeids.HostID]uint64
	// ledSince is when this host began to place, zero while it doesn't.
	ledSince time.Time
	// streams and calls are when streams and requests of plain services are looked at.
	streams look
	calls   look

	queues map[hingeids.Service]*hingequeue.Queue
	asking map[hingequeue.CallID]asker[CallPlacement]
	// book counts what customers use of their quotas; it is swept at sweepAt.
	book    *hingequota.Limiter
	sweepAt time.Time
	// poisons finds requests that end servers; unagreed are those found that aren't on the list.
	poisons  *hingepoison.Detector
	unagreed map[hingeids.Fingerprint]unagreed
	told     []toldEnd
	// today gives the time of day, by which all hosts read the list.
	today    func() time.Time
	recorder *hingeevents.Recorder
}

// asker is who waits for a placement.
type asker[T any] struct {
	answer func(T)
	owner  hingeids.HostID
	// charge is what the request counts for its customer's quota while it waits, and for good once it is placed.
	charge hingequota.Charge
	// suspect says that servers have ended under the request.
	suspect bool
}

// New makes a placer; a is nil if its host can't have anything agreed on.
func New(s Servers, a Agreement, leads func() bool, clock func() time.Time, t hingequota.Params) *Placer {
	return &Placer{
		servers:   s,
		agreement: a,
		leads:     leads,
		clock:     clock,
		inbox:     make(chan func(now time.Time), inboxSize),
		done:      make(chan struct{}),
		fleets:    make(map[hingeids.Service]*hingefleet.Fleet),
		waiting:   make(map[hingefleet.StreamID]asker[Placement]),
		sequence:  make(map[hingeids.HostID]uint64),
		queues:    make(map[hingeids.Service]*hingequeue.Queue),
		asking:    make(map[hingequeue.CallID]asker[CallPlacement]),
		book:      hingequota.NewLimiter(t),
		poisons:   hingepoison.NewDetector(),
		unagreed:  make(map[hingeids.Fingerprint]unagreed),
		today:     time.Now,
	}
}

// Handle sets the handlers of other hosts' calls.
func (p *Placer) Handle(link hingelink.Link, recorder *hingeevents.Recorder) {
	p.recorder = recorder
	link.HandleCall(methodPlace, func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		var w Want
		if err := cbor.Unmarshal(body, &w); err != nil {
			return nil, eris.Wrap(err, "a stream to be placed")
		}
		b, err := cbor.Marshal(p.Place(ctx, from, w))
		return b, eris.Wrap(err, "placement")
	})
	p.handleCalls(link, recorder)
	link.HandleCall(methodProbe, func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		return nil, nil
	})
	link.HandleCall(methodReport, func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		var r report
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, eris.Wrap(err, "report of streams")
		}
		answer := make(chan reported, 1)
		if !p.post(ctx, func(now time.Time) {
			answer <- p.take(now, from, r)
		}) {
			return nil, eris.New("the placer has ended")
		}
		select {
		case a := <-answer:
			b, err := cbor.Marshal(a)
			return b, eris.Wrap(err, "answer to a report")
		case <-p.done:
			return nil, eris.New("the placer has ended")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

// Demands gives what comes for each service, in engines; nothing while this host doesn't place.
func (p *Placer) Demands() map[hingeids.Service]hingefleet.Demand {
	d := p.demands.Load()
	if d == nil {
		return nil
	}
	return *d
}

// Done closes when Run has ended.
func (p *Placer) Done() <-chan struct{} {
	return p.done
}

// Run runs the loop until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	defer close(p.done)
	timer := time.NewTimer(idleEvery)
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

// step decides on what has come or is due, and gives when something is due again. Each of the two kinds is looked at when
// one of its own comes, or its own time is over: requests of plain services come many times as often as streams, whose
// step looks at every engine, and would else have it done a thousand times a second while streams wait.
func (p *Placer) step(now time.Time) time.Duration {
	if !p.leads() {
		p.stepDown(now)
		return idleEvery
	}
	p.stepQuotas(now)
	if p.ledSince.IsZero() {
		p.ledSince = now
		p.streams = look{}
		p.calls = look{}
	}
	if p.streams.isDue(now) {
		p.streams.done(now, p.stepStreams(now))
	}
	if p.calls.isDue(now) {
		p.calls.done(now, p.stepCalls(now))
	}
	return min(p.streams.next.Sub(now), p.calls.next.Sub(now))
}

// look is when something is looked at.
type look struct {
	// came says that something has come since the last time.
	came bool
	next time.Time
}

func (l *look) isDue(now time.Time) bool {
	return l.came || !now.Before(l.next)
}

// done notes a look, after which so many still wait.
func (l *look) done(now time.Time, waiting int) {
	l.came = false
	l.next = now.Add(idleEvery)
	if waiting > 0 {
		l.next = now.Add(stepEvery)
	}
}

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

// Place waits for the decision on a stream. If the context ends first, the
// stream is forgotten: its caller is gone.
func (p *Placer) Place(ctx context.Context, owner hingeids.HostID, w Want) Placement {
	answer := make(chan Placement, 1)
	if !p.post(ctx, func(now time.Time) {
		p.offer(now, owner, w, func(a Placement) {
			answer <- a
		})
	}) {
		return Placement{
			NotHere: true,
		}
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case a := <-answer:
		return a
	case <-p.done:
		return Placement{
			NotHere: true,
		}
	case <-hold.C:
	case <-ctx.Done():
	}
	return p.withdraw(w, answer)
}

// withdraw takes a want back that nobody waits for any more, unless it was decided meanwhile.
func (p *Placer) withdraw(w Want, answer <-chan Placement) Placement {
	taken := make(chan Placement, 1)
	// The loop ends with its own context, which is never that of a want.
	if !p.post(context.Background(), func(now time.Time) {
		select {
		case a := <-answer:
			taken <- a
		default:
			p.cancel(now, w)
			taken <- Placement{
				Later: true,
			}
		}
	}) {
		return Placement{
			NotHere: true,
		}
	}
	select {
	case a := <-taken:
		return a
	case <-p.done:
		return Placement{
			NotHere: true,
		}
	}
}

func (p *Placer) offer(now time.Time, owner hingeids.HostID, w Want, answer func(Placement)) {
	if !p.leads() {
		answer(Placement{
			NotHere: true,
		})
		return
	}
	j := p.judge(now, w.Service, w.Print, w.Ends)
	switch {
	case j.Settling:
		p.settle(func(now time.Time) {
			w.Ends = nil
			p.offer(now, owner, w, answer)
		})
		return
	case j.Refused:
		answer(Placement{
			Refused:    true,
			RetryAfter: j.RetryAfter,
			Cause:      Poison,
		})
		return
	}
	if v := p.admit(now, owner, w.Charge, w.Left); !v.Admitted {
		answer(Placement{
			Refused:    true,
			RetryAfter: v.RetryAfter,
			Cause:      causeOf(v),
		})
		return
	}
	p.streams.came = true
	p.waiting[w.ID] = asker[Placement]{
		answer:  answer,
		owner:   owner,
		charge:  w.Charge,
		suspect: j.Suspect,
	}
	p.fleet(w.Service).Enqueue(now, w.wanted(now, owner))
}

func (p *Placer) cancel(now time.Time, w Want) {
	if x, waits := p.waiting[w.ID]; waits {
		delete(p.waiting, w.ID)
		p.book.Settle(now, x.owner, x.charge, false)
	}
	p.fleet(w.Service).Cancel(w.ID)
}

func (p *Placer) fleet(s hingeids.Service) *hingefleet.Fleet {
	f := p.fleets[s]
	if f == nil {
		f = hingefleet.New()
		p.fleets[s] = f
	}
	return f
}

// take brings an owner's report in. An older one that was overtaken is passed over.
func (p *Placer) take(now time.Time, owner hingeids.HostID, r report) reported {
	answer := p.takeUses(now, owner, r)
	p.takeEnds(now, r)
	if r.Sequence < p.sequence[owner] {
		return answer
	}
	p.sequence[owner] = r.Sequence
	p.streams.came = true
	for s := range r.Streams {
		p.fleet(s)
	}
	// What a note says of a stream is lost once a report says that the stream is further.
	for _, n := range r.Notes {
		p.fleet(n.Service).RecordOutcome(now, n.Note)
	}
	for s, f := range p.fleets {
		f.HandleReport(now, owner, r.Streams[s])
	}
	return answer
}

// stepStreams decides on the streams that wait, and gives how many still do.
func (p *Placer) stepStreams(now time.Time) int {
	if now.Sub(p.ledSince) < warmUp {
		return 1
	}
	engines := p.servers.Engines()
	left := 0
	demands := make(map[hingeids.Service]hingefleet.Demand, len(p.fleets))
	defer p.demands.Store(&demands)
	for s, f := range p.fleets {
		demands[s] = f.Demand(now)
		f.SetEngines(engines[s])
		if len(engines[s]) == 0 {
			p.handBack(now, f)
			continue
		}
		for _, d := range f.Step(now) {
			p.decided(now, d)
		}
		left += f.QueueLength()
	}
	return left
}

// handBack gives what waits in a fleet back to its owners. A control host that has just
// started has heard of no engine yet; its owners have.
func (p *Placer) handBack(now time.Time, f *hingefleet.Fleet) {
	for _, id := range f.DrainQueue() {
		p.answer(now, id, Placement{
			NotHere: true,
		})
	}
}

// stepDown hands all that waits back to its owners.
func (p *Placer) stepDown(now time.Time) {
	p.demands.Store(&map[hingeids.Service]hingefleet.Demand{})
	p.ledSince = time.Time{}
	for id := range p.waiting {
		p.answer(now, id, Placement{
			NotHere: true,
		})
	}
	clear(p.fleets)
	p.stopCalls(now)
	p.book.Stop()
}

// decided tells an owner what was decided on its stream.
func (p *Placer) decided(now time.Time, d hingefleet.Decision) {
	p.answer(now, d.ID, Placement{
		Prefill:    d.Assignment.Prefill,
		PrefillAt:  p.address(d.Assignment.Prefill),
		Decode:     d.Assignment.Decode,
		DecodeAt:   p.address(d.Assignment.Decode),
		Refused:    d.Refused,
		RetryAfter: d.RetryAfter,
		Waited:     d.Waited,
		Peak:       d.Peak,
		Short:      d.Shortage,
	})
}

func (p *Placer) answer(now time.Time, id hingefleet.StreamID, a Placement) {
	x, waits := p.waiting[id]
	if !waits {
		return
	}
	delete(p.waiting, id)
	p.book.Settle(now, x.owner, x.charge, a.Decode != "")
	a.Suspect = x.suspect
	x.answer(a)
}

// address gives a server's address, empty if it isn't known.
func (p *Placer) address(id hingeids.ServerID) string {
	a, _ := p.servers.Address(id)
	return a
}
