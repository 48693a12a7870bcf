package hingeplacer

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
)

// Place blocks until there is a decision on a stream, for at most the hold timeout. If the context ends first, the
// request is cancelled.
func (p *Placer) Place(ctx context.Context, owner hingeids.HostID, r StreamRequest) Placement {
	answer := make(chan Placement, 1)
	if !p.post(ctx, func(now time.Time) {
		p.enqueueStream(now, owner, r, func(a Placement) {
			answer <- a
		})
	}) {
		return Placement{
			NotPlacer: true,
		}
	}
	hold := time.NewTimer(holdTimeout)
	defer hold.Stop()
	select {
	case a := <-answer:
		return a
	case <-p.done:
		return Placement{
			NotPlacer: true,
		}
	case <-hold.C:
	case <-ctx.Done():
	}
	return p.withdraw(r, answer)
}

// withdraw removes a request from its queue. If there is a decision by then, withdraw returns it.
func (p *Placer) withdraw(r StreamRequest, answer <-chan Placement) Placement {
	result := make(chan Placement, 1)
	// The request's context may have ended. post and the wait below end with the loop.
	if !p.post(context.Background(), func(now time.Time) {
		select {
		case a := <-answer:
			result <- a
		default:
			p.cancelStream(now, r)
			result <- Placement{
				Undecided: true,
			}
		}
	}) {
		return Placement{
			NotPlacer: true,
		}
	}
	select {
	case a := <-result:
		return a
	case <-p.done:
		return Placement{
			NotPlacer: true,
		}
	}
}

// enqueueStream enqueues a request, or answers it at once if it is refused.
func (p *Placer) enqueueStream(now time.Time, owner hingeids.HostID, r StreamRequest, answer func(Placement)) {
	if !p.leads() {
		answer(Placement{
			NotPlacer: true,
		})
		return
	}
	admitted := p.checkNew(now, owner, newRequest{
		Service:        r.Service,
		Fingerprint:    r.Fingerprint,
		Parts:          r.Parts,
		Crashes:        r.Crashes,
		Charge:         r.Charge,
		TimeToDeadline: r.TimeToDeadline,
		FirstAttempt:   len(r.Avoid) == 0 && !r.Moved && !r.Cached,
	})
	switch {
	case admitted.Settling:
		p.retryLater(func(now time.Time) {
			r.Crashes = nil
			p.enqueueStream(now, owner, r, answer)
		})
		return
	case admitted.Refused:
		answer(Placement{
			Refused:    true,
			RetryAfter: admitted.RetryAfter,
			Cause:      admitted.Cause,
		})
		return
	}
	p.streamSchedule.changed = true
	p.pendingStreams[r.ID] = pendingRequest[Placement]{
		answer:  answer,
		owner:   owner,
		charge:  r.Charge,
		suspect: admitted.Suspect,
	}
	p.fleet(r.Service).Enqueue(now, r.fleetRequest(now, owner))
}

// cancelStream removes a request and releases its charge.
func (p *Placer) cancelStream(now time.Time, r StreamRequest) {
	if request, found := p.pendingStreams[r.ID]; found {
		delete(p.pendingStreams, r.ID)
		p.limiter.Settle(now, request.owner, request.charge, false)
	}
	p.fleet(r.Service).Cancel(r.ID)
}

// fleet is the fleet of a service with the feed of its engines.
type fleet struct {
	*hingefleet.Fleet
	feed EngineFeed
}

// fleet creates a service's fleet on first use.
func (p *Placer) fleet(s hingeids.Service) *fleet {
	f := p.fleets[s]
	if f == nil {
		f = &fleet{
			Fleet: hingefleet.New(),
			feed:  p.servers.EngineFeed(s),
		}
		p.fleets[s] = f
	}
	return f
}

// stepStreams assigns engines to queued streams and returns the number that remain queued.
func (p *Placer) stepStreams(now time.Time) int {
	if now.Sub(p.ledSince) < warmUp {
		return 1
	}
	queued := 0
	demands := make(map[hingeids.Service]hingefleet.Demand, len(p.fleets))
	defer p.demands.Store(&demands)
	for s, f := range p.fleets {
		demands[s] = f.Demand(now)
		f.ApplyChanges(f.feed.Next())
		f.SetPart(p.limitPart())
		if f.EngineCount() == 0 {
			p.returnQueuedStreams(now, f)
			continue
		}
		for _, d := range f.Step(now) {
			p.answerDecision(now, d)
		}
		queued += f.QueueLength()
	}
	return queued
}

// returnQueuedStreams returns the queued streams of a fleet without engines to their owners. A control host that has
// just started doesn't know the engines yet, but an owner may.
func (p *Placer) returnQueuedStreams(now time.Time, f *fleet) {
	for _, id := range f.DrainQueue() {
		p.answer(now, id, Placement{
			NotPlacer: true,
		})
	}
}

func (p *Placer) answerDecision(now time.Time, d hingefleet.Decision) {
	p.answer(now, d.ID, Placement{
		Prefill:        d.Assignment.Prefill,
		PrefillAddress: p.address(d.Assignment.Prefill),
		Decode:         d.Assignment.Decode,
		DecodeAddress:  p.address(d.Assignment.Decode),
		Refused:        d.Refused,
		RetryAfter:     d.RetryAfter,
		Waited:         d.Waited,
		Peak:           d.Peak,
		Shortage:       d.Shortage,
	})
}

// answer answers a queued stream and settles its charge.
func (p *Placer) answer(now time.Time, id hingefleet.StreamID, a Placement) {
	request, found := p.pendingStreams[id]
	if !found {
		return
	}
	delete(p.pendingStreams, id)
	p.limiter.Settle(now, request.owner, request.charge, a.Decode != "")
	a.Suspect = request.suspect
	request.answer(a)
}
