package hingeplacer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// registerCallHandlers registers the handlers for other hosts' requests to plain services (rule 5).
func (p *Placer) registerCallHandlers(link hingelink.Link, recorder *hingeevents.Recorder) {
	link.HandleDatagram(methodCall, func(from hingeids.HostID, body []byte) {
		var c CallRequest
		if !decodeMessage(recorder, from, body, &c) {
			return
		}
		p.tryPost(func(now time.Time) {
			p.enqueueCall(now, from, c, func(a CallPlacement) {
				link.Reply(from, methodPlaced, encodeMessage(callReply{
					ID:        c.ID,
					Placement: a,
				}))
			})
		})
	})
	link.HandleDatagram(methodCompletion, func(from hingeids.HostID, body []byte) {
		var completion callCompletion
		if decodeMessage(recorder, from, body, &completion) {
			p.CompleteCall(completion)
		}
	})
}

// decodeMessage decodes a message of another host. It records an event and returns false if that fails.
func decodeMessage(recorder *hingeevents.Recorder, from hingeids.HostID, body []byte, into any) bool {
	err := cbor.Unmarshal(body, into)
	if err != nil {
		recorder.Record(time.Now(), hingeevents.MessageUnread, hingeevents.Fields{
			Host:   from,
			Detail: err.Error(),
		})
	}
	return err == nil
}

func encodeMessage(m any) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		// All message types of this package can be encoded.
		panic(err)
	}
	return b
}

// tryPost passes f to the loop, or drops it if the inbox is full. It is for messages that their senders
// retransmit or can lose.
func (p *Placer) tryPost(f func(now time.Time)) {
	select {
	case p.inbox <- f:
	default:
	}
}

// PlaceCall blocks until a request has a replica or is refused. If the context ends first, the request is cancelled.
func (p *Placer) PlaceCall(ctx context.Context, c CallRequest) CallPlacement {
	answer := make(chan CallPlacement, 1)
	if !p.post(ctx, func(now time.Time) {
		p.enqueueCall(now, "", c, func(a CallPlacement) {
			answer <- a
		})
	}) {
		return CallPlacement{
			NotPlacer: true,
		}
	}
	select {
	case a := <-answer:
		return a
	case <-p.done:
	case <-ctx.Done():
		p.CompleteCall(cancellation(c))
	}
	return CallPlacement{
		NotPlacer: true,
	}
}

// cancellation returns the completion that cancels a request, whether it is queued or already has a replica.
func cancellation(c CallRequest) callCompletion {
	return callCompletion{
		Service: c.Service,
		Completion: hingequeue.Completion{
			ID:      c.ID,
			Outcome: hingebalance.Unknown,
		},
		Refund: c.Charge,
	}
}

// enqueueCall enqueues a request. A retransmitted request keeps its place in the queue, or its replica.
func (p *Placer) enqueueCall(now time.Time, owner hingeids.HostID, c CallRequest, answer func(CallPlacement)) {
	if !p.leads() {
		answer(CallPlacement{
			NotPlacer: true,
		})
		return
	}
	if _, found := p.pendingCalls[c.ID]; found {
		answer(CallPlacement{
			Queued: true,
		})
		return
	}
	q := p.queue(c.Service)
	if server, placed := q.AssignedReplica(c.ID); placed {
		answer(CallPlacement{
			Server:  server,
			Address: p.address(server),
		})
		return
	}
	admitted := p.checkNew(now, owner, newRequest{
		Service:        c.Service,
		Fingerprint:    c.Fingerprint,
		Crashes:        c.Crashes,
		Charge:         c.Charge,
		TimeToDeadline: c.TimeToDeadline,
		FirstAttempt:   len(c.Avoid) == 0,
	})
	switch {
	case admitted.Settling:
		p.retryLater(func(now time.Time) {
			c.Crashes = nil
			p.enqueueCall(now, owner, c, answer)
		})
		return
	case admitted.Refused:
		answer(CallPlacement{
			Refused:    true,
			RetryAfter: admitted.RetryAfter,
			Cause:      admitted.Cause,
		})
		return
	}
	p.callSchedule.changed = true
	p.pendingCalls[c.ID] = pendingRequest[CallPlacement]{
		answer:  answer,
		owner:   owner,
		charge:  c.Charge,
		suspect: admitted.Suspect,
	}
	q.Enqueue(now, c.queueRequest(now))
}

// CompleteCall handles the completion of a request. A request that is still queued is removed.
func (p *Placer) CompleteCall(c callCompletion) {
	p.tryPost(func(now time.Time) {
		p.callSchedule.changed = true
		q := p.queue(c.Service)
		if a, found := p.pendingCalls[c.Completion.ID]; found {
			delete(p.pendingCalls, c.Completion.ID)
			p.limiter.Settle(now, a.owner, a.charge, false)
			q.Cancel(c.Completion.ID)
			return
		}
		p.limiter.Return(c.Refund)
		q.RecordCompletion(now, c.Completion)
	})
}

// queue creates a service's queue on first use.
func (p *Placer) queue(s hingeids.Service) *hingequeue.Queue {
	q := p.queues[s]
	if q == nil {
		q = hingequeue.New(uint64(len(p.queues)))
		p.queues[s] = q
	}
	return q
}

// stepCalls assigns replicas to queued requests and returns the number that remain queued.
func (p *Placer) stepCalls(now time.Time) int {
	queued := 0
	for s, q := range p.queues {
		replicas := p.servers.Replicas(s)
		q.SetReplicas(replicas)
		q.SetPart(p.limitPart())
		if len(replicas) == 0 {
			p.returnQueuedCalls(now, q)
			continue
		}
		for _, d := range q.Step(now) {
			p.answerCall(now, d.ID, CallPlacement{
				Server:     d.Server,
				Address:    p.address(d.Server),
				Refused:    d.Refused,
				RetryAfter: d.RetryAfter,
			})
		}
		queued += q.Waiting()
	}
	return queued
}

// returnQueuedCalls returns the requests of a queue without replicas to their owners. A control host that has just
// started doesn't know the replicas yet, but an owner may.
func (p *Placer) returnQueuedCalls(now time.Time, q *hingequeue.Queue) {
	for _, id := range q.RemoveAll() {
		p.answerCall(now, id, CallPlacement{
			NotPlacer: true,
		})
	}
}

// answerCall answers a queued request and settles its charge.
func (p *Placer) answerCall(now time.Time, id hingequeue.CallID, a CallPlacement) {
	request, found := p.pendingCalls[id]
	if !found {
		return
	}
	delete(p.pendingCalls, id)
	p.limiter.Settle(now, request.owner, request.charge, a.Server != "")
	a.Suspect = request.suspect
	request.answer(a)
}

func (p *Placer) returnAllCalls(now time.Time) {
	for _, q := range p.queues {
		p.returnQueuedCalls(now, q)
	}
	clear(p.queues)
}
