package hingeplace

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type inflightRequest struct {
	request Request
	prefill *engine
	decode  *engine
	// uncached is the expected prefill work, in tokens, that remains at
	// prefillStart.
	uncached     float64
	cached       hingeids.Tokens
	sentAt       time.Time
	prefillStart time.Time
	// readyAt is the predicted time at which the KV cache is ready; once ready is
	// set, it is the actual time.
	readyAt time.Time
	ready   bool
	// preempted is set if a prefill of a higher priority interrupted this one, so
	// that its duration says nothing about the engine's speed.
	preempted bool
	boundAt   time.Time
	// transferTime is the part of the time since boundAt that the KV cache spent
	// in transfer or waiting for the link.
	transferTime time.Duration
}

// HandleStart records that the caller carries out the decision d.
func (v *View) HandleStart(now time.Time, r *Request, d Decision) {
	f := &inflightRequest{
		request:      *r,
		sentAt:       now,
		prefillStart: now,
		cached:       d.Cached,
		uncached:     float64(r.Prompt - d.Cached),
		readyAt:      now.Add(d.prefillEnd),
	}
	v.inflight[r.ID] = f
	v.recordDemand(now, r.Priority, f.uncached)
	v.updateBusy()
	if d.Action == Local {
		f.ready = true
		v.assignSlot(now, f, v.byID[d.Decode])
		return
	}
	v.unbound = append(v.unbound, f)
	if e := v.byID[d.Prefill]; e != nil {
		f.prefill = e
		e.beginPrefill(now, f, v.config.PrefillRate/e.slowdown.prefill)
		// Rule 3: the prefix will be cached by the time the next request arrives.
		for _, b := range r.Prefix {
			v.index.add(e, b)
		}
	}
}

// HandlePrefillDone records that the KV cache is ready; found is the number of
// prompt tokens that the engine had cached. Rule 3: it corrects the index.
func (v *View) HandlePrefillDone(now time.Time, id hingeids.RequestID, found hingeids.Tokens) {
	f := v.inflight[id]
	if f == nil || f.prefill == nil || f.ready {
		return
	}
	e := f.prefill
	f.ready, f.readyAt = true, now
	v.updatePrefillFactor(now, f, found)
	e.endPrefill(now, f)
	for _, b := range f.request.Prefix {
		v.index.add(e, b)
	}
}

// updatePrefillFactor compares the duration of a prefill with the expected
// one, if it ran without preemption and is at the head of the engine's queue.
func (v *View) updatePrefillFactor(now time.Time, f *inflightRequest, found hingeids.Tokens) {
	work := float64(f.request.Prompt - found)
	elapsed := now.Sub(f.prefillStart).Seconds()
	if f.preempted || f.prefill.prefilling[0] != f || work < minSampleTokens {
		return
	}
	e := f.prefill
	e.slowdown.prefill = max(0.1, smooth(e.slowdown.prefill, elapsed*v.config.PrefillRate/work, prefillSmoothing))
}

// minSampleTokens is the smallest prefill used to measure an engine's speed.
// In shorter ones the round trip dominates.
const minSampleTokens = 200

// beginPrefill queues a prefill in the engine's own order: by priority, then
// by arrival. A running prefill is preempted by one of a higher priority.
func (e *engine) beginPrefill(now time.Time, f *inflightRequest, rate float64) {
	i := len(e.prefilling)
	for i > 0 && e.prefilling[i-1].request.Priority < f.request.Priority {
		i--
	}
	if i == 0 && len(e.prefilling) > 0 {
		first := e.prefilling[0]
		first.uncached = max(0, first.uncached-rate*now.Sub(first.prefillStart).Seconds())
		first.preempted = true
	}
	e.prefilling = slices.Insert(e.prefilling, i, f)
}

func (e *engine) endPrefill(now time.Time, f *inflightRequest) {
	first := e.prefilling[0] == f
	e.finishedPrefills = append(trimFinished(e.finishedPrefills), finished{
		start:  f.sentAt,
		end:    now,
		tokens: f.uncached,
	})
	e.prefilling = without(e.prefilling, f)
	if first && len(e.prefilling) > 0 {
		e.prefilling[0].prefillStart = now
	}
}

// ReadyRequests returns the requests whose KV cache is ready and that have no
// slot, in the order in which they bind: by priority, then by waiting time.
func (v *View) ReadyRequests() []hingeids.RequestID {
	var waiting []*inflightRequest
	for _, f := range v.unbound {
		if f.ready {
			waiting = append(waiting, f)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		return a.readyAt.Before(b.readyAt)
	})
	out := make([]hingeids.RequestID, 0, len(waiting))
	for _, f := range waiting {
		out = append(out, f.request.ID)
	}
	return out
}

// Bind assigns a decode slot, at the engine with the shortest predicted token
// gap, to a request whose KV cache is ready. Rule 5. It returns false if no
// slot is available.
func (v *View) Bind(now time.Time, id hingeids.RequestID) (hingeids.ServerID, bool) {
	f := v.inflight[id]
	if f == nil || f.decode != nil {
		return "", false
	}
	e, free := v.freeSlots(now, &f.request)
	if e == nil || free <= v.reservedSlots(now, f.request.Priority) || v.linkBusy(now, f) {
		return "", false
	}
	v.unbound = without(v.unbound, f)
	v.assignSlot(now, f, e)
	if f.prefill != nil {
		begin := now
		if f.prefill.linkFreeAt.After(begin) {
			begin = f.prefill.linkFreeAt
		}
		f.prefill.linkFreeAt = begin.Add(v.transferTime(f.prefill, e, f.request.Prompt))
		f.transferTime = f.prefill.linkFreeAt.Sub(now)
	}
	return e.id, true
}

// maxLinkWait is how long a transfer may wait for its link while it holds a
// slot, if requests of a higher priority are expected.
const maxLinkWait = 20 * time.Millisecond

// linkBusy reports whether f must not join the queue of its link yet. A
// request of a higher priority can overtake transfers that wait here, but not
// those queued at the link, which also hold a decode slot.
func (v *View) linkBusy(now time.Time, f *inflightRequest) bool {
	return f.prefill != nil && f.prefill.linkFreeAt.Sub(now) > maxLinkWait && v.higherRate(now, f.request.Priority) > 0
}

// Unbind releases the slot that Bind assigned, after the slot's allocator
// refused it.
func (v *View) Unbind(now time.Time, id hingeids.RequestID) {
	f := v.inflight[id]
	if f == nil || f.decode == nil {
		return
	}
	v.releaseSlot(now, f)
	v.unbound = append(v.unbound, f)
}

// AlternativeEngine returns the second-best engine for a bound request. A slot
// that is free by the reports may be in use by now, so a request waits for a
// slot at two engines; see docs/design/04-slots-and-holds.md.
func (v *View) AlternativeEngine(now time.Time, id hingeids.RequestID) (hingeids.ServerID, bool) {
	f := v.inflight[id]
	if f == nil || f.decode == nil {
		return "", false
	}
	var best *engine
	shortest := time.Duration(math.MaxInt64)
	for _, e := range v.engines {
		if e == f.decode || f.request.Avoid[e.id] || v.capacity(now, e, &f.request) <= 0 {
			continue
		}
		if g := v.expectedGap(e, len(e.holding)+e.foreignHeld+1); g < shortest {
			shortest, best = g, e
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Rebind moves a request to the engine whose allocator granted it a slot.
func (v *View) Rebind(now time.Time, id hingeids.RequestID, s hingeids.ServerID) {
	f := v.inflight[id]
	if f == nil || f.decode == nil || f.decode.id == s {
		return
	}
	v.releaseSlot(now, f)
	if e := v.byID[s]; e != nil {
		v.assignSlot(now, f, e)
		return
	}
	v.unbound = append(v.unbound, f)
}

func (v *View) assignSlot(now time.Time, f *inflightRequest, e *engine) {
	if e == nil {
		return
	}
	if len(e.holding)+e.foreignHeld == 0 {
		e.slowdown.probed = now
	}
	f.decode, f.boundAt = e, now
	e.holding = append(e.holding, f)
	e.strictestGap = stricter(e.strictestGap, f.request.TokenGap)
}

func (v *View) releaseSlot(now time.Time, f *inflightRequest) {
	e := f.decode
	e.holding = without(e.holding, f)
	e.strictestGap = 0
	for _, h := range e.holding {
		e.strictestGap = stricter(e.strictestGap, h.request.TokenGap)
	}
	e.finishedHolds = append(trimFinished(e.finishedHolds), finished{
		start: f.boundAt,
		end:   now,
	})
	f.decode = nil
}

// maxFinished bounds the lists of finished requests, which are otherwise
// shortened only when the engine reports.
const maxFinished = 256

func trimFinished(list []finished) []finished {
	if len(list) < maxFinished {
		return list
	}
	return append(list[:0], list[len(list)/2:]...)
}

// HandleCompletion records that a request has finished with the given number of
// output tokens, or with 0 if it was cancelled or failed. It releases everything
// that the request held.
func (v *View) HandleCompletion(now time.Time, id hingeids.RequestID, output hingeids.Tokens) {
	f := v.inflight[id]
	if f == nil {
		return
	}
	delete(v.inflight, id)
	v.unbound = without(v.unbound, f)
	if f.prefill != nil && !f.ready {
		f.prefill.endPrefill(now, f)
	}
	if f.decode != nil {
		v.releaseSlot(now, f)
	}
	if output > 0 {
		v.class(f.request.Class).observe(float64(output))
	}
}

// HandleEviction records that the KV cache was evicted: the request must be
// placed again.
func (v *View) HandleEviction(now time.Time, id hingeids.RequestID) {
	v.HandleCompletion(now, id, 0)
}

// SlotCost is the cost of a request as slot time: the time for which it would
// hold a decode slot or, if more, its share of the total prefill capacity,
// converted to slot time. The scarcer resource determines the cost.
func (v *View) SlotCost(r *Request) time.Duration {
	v.index.mark(r.Prefix)
	var hit hingeids.Tokens
	var slots, rate float64
	for _, e := range v.engines {
		hit = max(hit, e.hit)
		e.hit = 0
		if e.prefills() {
			rate += v.config.PrefillRate / e.slowdown.prefill
		}
		if e.decodes() {
			slots += float64(e.slots)
		}
	}
	hold := v.SlotTime(r)
	if rate <= 0 {
		return hold
	}
	return max(hold, seconds(float64(r.Prompt-min(hit, r.Prompt))/rate*slots))
}

// SlotTime is how long a request is expected to hold a decode slot at the
// engines' present load.
func (v *View) SlotTime(r *Request) time.Duration {
	var gap time.Duration
	n := 0
	for _, e := range v.engines {
		if e.decodes() {
			gap += v.expectedGap(e, len(e.holding)+e.foreignHeld)
			n++
		}
	}
	if n == 0 {
		gap, n = v.config.GapBase, 1
	}
	return time.Duration(v.class(r.Class).mean * float64(gap) / float64(n))
}

func without(list []*inflightRequest, f *inflightRequest) []*inflightRequest {
	for i, x := range list {
		if x == f {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
