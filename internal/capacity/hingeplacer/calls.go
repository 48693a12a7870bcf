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

// handleCalls sets the handlers of other hosts' requests of plain services (rule 5).
func (p *Placer) handleCalls(link hingelink.Link, recorder *hingeevents.Recorder) {
	link.HandleDatagram(methodCall, func(from hingeids.HostID, body []byte) {
		var c Call
		if !readMessage(recorder, from, body, &c) {
			return
		}
		p.postOrLose(func(now time.Time) {
			p.offerCall(now, from, c, func(a CallPlacement) {
				link.Reply(from, methodPlaced, message(callPlaced{
					ID:        c.ID,
					Placement: a,
				}))
			})
		})
	})
	link.HandleDatagram(methodEnd, func(from hingeids.HostID, body []byte) {
		var e callEnd
		if readMessage(recorder, from, body, &e) {
			p.EndCall(e)
		}
	})
}

// readMessage reads what another host sent, or records that it can't be read.
func readMessage(recorder *hingeevents.Recorder, from hingeids.HostID, body []byte, into any) bool {
	err := cbor.Unmarshal(body, into)
	if err != nil {
		recorder.Record(time.Now(), hingeevents.MessageUnread, hingeevents.Fields{
			Host:   from,
			Detail: err.Error(),
		})
	}
	return err == nil
}

// message encodes a message.
func message(m any) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		// Only our own types stand in it, and all can be encoded.
		panic(err)
	}
	return b
}

// postOrLose hands the loop something that its sender sends again, or makes good otherwise, if it is lost.
func (p *Placer) postOrLose(f func(now time.Time)) {
	select {
	case p.inbox <- f:
	default:
	}
}

// PlaceCall waits for a request's replica. If the context ends first, the request is forgotten.
func (p *Placer) PlaceCall(ctx context.Context, c Call) CallPlacement {
	answer := make(chan CallPlacement, 1)
	if !p.post(ctx, func(now time.Time) {
		p.offerCall(now, "", c, func(a CallPlacement) {
			answer <- a
		})
	}) {
		return CallPlacement{
			NotHere: true,
		}
	}
	select {
	case a := <-answer:
		return a
	case <-p.done:
	case <-ctx.Done():
		p.EndCall(withdrawn(c))
	}
	return CallPlacement{
		NotHere: true,
	}
}

// withdrawn is the end of a request that nobody waits for any more, wherever it is.
func withdrawn(c Call) callEnd {
	return callEnd{
		Service: c.Service,
		End: hingequeue.Completion{
			ID:      c.ID,
			Outcome: hingebalance.Unknown,
		},
		Returned: c.Charge,
	}
}

// offerCall takes a request, or one that is asked again because its answer is late: it keeps its turn, or its replica.
func (p *Placer) offerCall(now time.Time, owner hingeids.HostID, c Call, answer func(CallPlacement)) {
	if !p.leads() {
		answer(CallPlacement{
			NotHere: true,
		})
		return
	}
	if _, waits := p.asking[c.ID]; waits {
		answer(CallPlacement{
			Waits: true,
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
	j := p.judge(now, c.Service, c.Print, c.Ends)
	switch {
	case j.Settling:
		p.settle(func(now time.Time) {
			c.Ends = nil
			p.offerCall(now, owner, c, answer)
		})
		return
	case j.Refused:
		answer(CallPlacement{
			Refused:    true,
			RetryAfter: j.RetryAfter,
			Cause:      Poison,
		})
		return
	}
	if v := p.admit(now, owner, c.Charge, c.Left); !v.Admitted {
		answer(CallPlacement{
			Refused:    true,
			RetryAfter: v.RetryAfter,
			Cause:      causeOf(v),
		})
		return
	}
	p.calls.came = true
	p.asking[c.ID] = asker[CallPlacement]{
		answer:  answer,
		owner:   owner,
		charge:  c.Charge,
		suspect: j.Suspect,
	}
	q.Enqueue(now, c.wanted(now))
}

// EndCall takes how a request ended at its replica. One that still waits is forgotten.
func (p *Placer) EndCall(e callEnd) {
	p.postOrLose(func(now time.Time) {
		p.calls.came = true
		q := p.queue(e.Service)
		if a, waits := p.asking[e.End.ID]; waits {
			delete(p.asking, e.End.ID)
			p.book.Settle(now, a.owner, a.charge, false)
			q.Cancel(e.End.ID)
			return
		}
		p.book.Return(e.Returned)
		q.RecordCompletion(now, e.End)
	})
}

func (p *Placer) queue(s hingeids.Service) *hingequeue.Queue {
	q := p.queues[s]
	if q == nil {
		q = hingequeue.New(uint64(len(p.queues)))
		p.queues[s] = q
	}
	return q
}

// stepCalls decides on the requests that wait, and gives how many still do.
func (p *Placer) stepCalls(now time.Time) int {
	replicas := p.servers.Replicas()
	left := 0
	for s, q := range p.queues {
		q.SetReplicas(replicas[s])
		if len(replicas[s]) == 0 {
			p.handBackCalls(now, q)
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
		left += q.Waiting()
	}
	return left
}

// handBackCalls gives what waits in a queue back to its owners. A control host that has just
// started has heard of no replica yet; its owners have.
func (p *Placer) handBackCalls(now time.Time, q *hingequeue.Queue) {
	for _, id := range q.RemoveAll() {
		p.answerCall(now, id, CallPlacement{
			NotHere: true,
		})
	}
}

func (p *Placer) answerCall(now time.Time, id hingequeue.CallID, a CallPlacement) {
	x, waits := p.asking[id]
	if !waits {
		return
	}
	delete(p.asking, id)
	p.book.Settle(now, x.owner, x.charge, a.Server != "")
	a.Suspect = x.suspect
	x.answer(a)
}

// stopCalls hands all requests back that wait here.
func (p *Placer) stopCalls(now time.Time) {
	for _, q := range p.queues {
		p.handBackCalls(now, q)
	}
	clear(p.queues)
}
