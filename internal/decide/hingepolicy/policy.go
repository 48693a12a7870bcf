// Package hingepolicy combines admission, placement and retry into one policy for
// the engine simulation, as the request path does for real engines.
//
//  1. A new request is offered to the admission queue with the placement's
//     latency forecast.
//  2. After each event that may have freed capacity, requests are dequeued in the
//     order of the queue for as long as the placement can start them.
//  3. Free decode slots go to requests whose KV cache is ready, then to the queue.
//  4. A request whose KV cache was evicted is requeued and prefilled again within
//     the retry budget. Beyond the budget it is refused.
package hingepolicy

import (
	"strconv"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeadmit"
	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Policy is the policy of one entry host. It implements hingemodel.Policy and
// isn't safe for concurrent use.
type Policy struct {
	workload          hingemodel.Workload
	cluster           hingemodel.Cluster
	queue             *hingeadmit.Queue
	view              *hingeplace.View
	requests          map[hingeids.RequestID]*hingemodel.Request
	placementRequests map[hingeids.RequestID]*hingeplace.Request
	allocator         *allocator
}

// New returns a policy of one entry host with the given weights.
func New(wl hingemodel.Workload, c hingemodel.Cluster, w hingeplace.Weights) *Policy {
	p := hingeplace.Defaults()
	p.Weights = w
	p.CacheBytesPerToken = 1
	p.LinkRate = func(_, _ hingeids.Zone) hingeids.BytesPerSecond {
		return hingeids.BytesPerSecond(c.LinkRate)
	}
	policy := &Policy{
		workload:          wl,
		cluster:           c,
		queue:             hingeadmit.New(hingeadmit.Defaults()),
		view:              hingeplace.NewView(p),
		requests:          make(map[hingeids.RequestID]*hingemodel.Request),
		placementRequests: make(map[hingeids.RequestID]*hingeplace.Request),
		allocator:         newAllocator(c.Slots),
	}
	return policy
}

func serverOf(e hingemodel.EngineID) hingeids.ServerID {
	return hingeids.ServerID(strconv.Itoa(int(e)))
}

func engineOf(s hingeids.ServerID) hingemodel.EngineID {
	n, _ := strconv.Atoi(string(s))
	return hingemodel.EngineID(n)
}

// HandleArrival offers a new request to the queue. Rule 1.
func (p *Policy) HandleArrival(now time.Time, q *hingemodel.Request, actions *hingemodel.Actions) {
	r := &hingeplace.Request{
		ID:                 q.ID,
		Class:              q.Class.Name,
		Priority:           q.Class.Priority,
		CanWait:            q.Class.CanWait,
		Prompt:             q.Prompt,
		TokenGap:           q.Class.TokenGap,
		FirstTokenDeadline: q.Arrived.Add(q.Class.FirstToken),
		Prefix: []hingeplace.Block{
			{
				Hash:   uint64(q.Prefix),
				Tokens: q.PrefixTokens,
			},
		},
	}
	admit, forecast := p.admissionRequest(now, q, r)
	if refused := p.queue.Offer(now, admit, forecast); refused != nil {
		actions.Refuse(q, refused.RetryAfter)
		return
	}
	p.requests[q.ID] = q
	p.placementRequests[q.ID] = r
	p.dispatch(now, actions)
}

func (p *Policy) admissionRequest(
	now time.Time, q *hingemodel.Request, r *hingeplace.Request,
) (hingeadmit.Request, hingeadmit.Forecast) {
	firstToken, tokenGap, slots := p.view.Forecast(now, r)
	forecast := hingeadmit.Forecast{
		FirstToken: firstToken,
		TokenGap:   tokenGap,
		Slots:      slots,
	}
	request := hingeadmit.Request{
		ID:         q.ID,
		Arrived:    q.Arrived,
		Caller:     q.Caller,
		Priority:   q.Class.Priority,
		CanWait:    q.Class.CanWait,
		FirstToken: q.Class.FirstToken,
		TokenGap:   q.Class.TokenGap,
		Deadline:   q.Deadline(),
		Work:       p.view.SlotCost(r),
		AnswerTime: p.view.SlotTime(r),
		JitterSeed: q.ID.Sequence,
	}
	return request, forecast
}

// HandleEvent updates the state of the request or the engine and dispatches.
func (p *Policy) HandleEvent(now time.Time, e hingemodel.Event, actions *hingemodel.Actions) {
	switch e.Kind {
	case hingemodel.PrefillDone:
		p.view.HandlePrefillDone(now, e.Request.ID, e.Cached)
	case hingemodel.Evicted:
		p.requeueEvicted(now, e)
	case hingemodel.Finished:
		p.allocator.release(e.Request)
		p.view.HandleCompletion(now, e.Request.ID, e.Output)
		p.remove(e.Request.ID)
	case hingemodel.Cancelled:
		p.allocator.release(e.Request)
		p.queue.Cancel(e.Request.ID)
		p.view.HandleCompletion(now, e.Request.ID, 0)
		p.remove(e.Request.ID)
	case hingemodel.TokenGap:
		p.view.HandleTokenGap(now, serverOf(e.Engine), e.TokenGap)
	case hingemodel.PrefixStored, hingemodel.PrefixDropped:
		p.view.HandleCacheEvent(serverOf(e.Engine), hingeplace.Block{
			Hash:   uint64(e.Prefix),
			Tokens: e.Tokens,
		}, e.Kind == hingemodel.PrefixStored)
	}
	p.dispatch(now, actions)
}

// requeueEvicted requeues a request whose KV cache was evicted. Rule 4.
func (p *Policy) requeueEvicted(now time.Time, e hingemodel.Event) {
	p.view.HandleEviction(now, e.Request.ID)
	admit, forecast := p.admissionRequest(now, e.Request, p.placementRequests[e.Request.ID])
	p.queue.Requeue(now, admit, forecast)
}

func (p *Policy) remove(id hingeids.RequestID) {
	delete(p.requests, id)
	delete(p.placementRequests, id)
}

// HandleReport passes a load report to the placement as an announcement.
func (p *Policy) HandleReport(now time.Time, r hingemodel.LoadReport, actions *hingemodel.Actions) {
	a := hingeannounce.Announcement{
		Server:      serverOf(r.Engine),
		Incarnation: 1,
		Kind:        hingeannounce.Decode,
		Slots:       hingeids.Slots(p.cluster.Slots),
		Load: hingeannounce.Load{
			Running:      r.Running,
			Queued:       r.Queued,
			QueuedTokens: r.QueuedTokens,
		},
	}
	if int(r.Engine) < p.workload.Prefill {
		a.Kind = hingeannounce.Prefill
	}
	p.view.HandleAnnouncement(now, r.MeasuredAt, a)
	p.dispatch(now, actions)
}

// Tick refuses requests that have waited too long, and dispatches.
func (p *Policy) Tick(now time.Time, actions *hingemodel.Actions) {
	p.dispatch(now, actions)
}

// dispatch refuses requests that have waited too long, then assigns free capacity.
// Rules 2 and 3.
func (p *Policy) dispatch(now time.Time, actions *hingemodel.Actions) {
	for _, expired := range p.queue.Expire(now) {
		actions.Refuse(p.requests[expired.Request.ID], expired.Err.RetryAfter)
		p.remove(expired.Request.ID)
	}
	for _, id := range p.view.ReadyRequests() {
		p.bindSlot(now, id, actions)
	}
	for {
		var d hingeplace.Decision
		next, ok := p.queue.Next(now, func(r hingeadmit.Request) bool {
			d = p.view.Place(now, p.placementRequests[r.ID])
			return d.Action == hingeplace.Start || d.Action == hingeplace.Local && p.acquireSlot(now, r.ID, d.Decode)
		})
		if !ok {
			return
		}
		p.start(now, p.placementRequests[next.ID], d, actions)
	}
}

// bindSlot transfers a ready KV cache to an engine with a free slot. If another
// host has taken the slot, the allocator refuses it and another engine is tried.
// Rule 3.
func (p *Policy) bindSlot(now time.Time, id hingeids.RequestID, actions *hingemodel.Actions) {
	for {
		s, ok := p.view.Bind(now, id)
		if !ok {
			return
		}
		if p.acquireSlot(now, id, s) {
			actions.Transfer(p.requests[id], engineOf(s), p.requests[id].Class.Priority)
			return
		}
		p.view.Unbind(now, id)
	}
}

// acquireSlot requests a slot from the allocator. If the engine has none, it is
// marked as full in the view.
func (p *Policy) acquireSlot(now time.Time, id hingeids.RequestID, s hingeids.ServerID) bool {
	if p.allocator.grant(p.requests[id], engineOf(s)) {
		return true
	}
	p.view.HandleSlotRefusal(now, s)
	return false
}

func (p *Policy) start(now time.Time, r *hingeplace.Request, d hingeplace.Decision, actions *hingemodel.Actions) {
	p.view.HandleStart(now, r, d)
	if d.Action == hingeplace.Local {
		actions.Local(p.requests[r.ID], engineOf(d.Decode))
		return
	}
	actions.Prefill(p.requests[r.ID], engineOf(d.Prefill), r.Priority)
}
