package hingeslots

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// request is a request of this host that waits for a slot or holds one.
type request struct {
	// sequence orders this host's requests by arrival.
	sequence  uint64
	priority  int
	sentTo    hingeids.HostID
	lastSent  time.Time
	granted   bool
	pool      hingeids.HostID
	allocator hingeids.HostID
	serial    uint64
}

// Acquire requests a slot on any one of the engines, and returns false if none
// is known. The request waits at all of them, since load reports are outdated;
// the first grant is used and the other waits are withdrawn. The outcome is
// reported as a Result.
func (s *State) Acquire(
	now time.Time, engines []hingeids.ServerID, id hingeids.RequestID, priority int,
) (Output, bool) {
	var known []*engineState
	for _, engine := range engines {
		e := s.engines[engine]
		if e == nil {
			continue
		}
		known = append(known, e)
		s.number++
		e.requests[id] = &request{
			sequence: s.number,
			priority: priority,
		}
	}
	return s.stepThese(now, known...), len(known) > 0
}

// Release returns a slot, or withdraws a waiting request. It may only be called
// once the engine holds nothing for the request, or if the request was never sent
// there.
func (s *State) Release(now time.Time, id hingeids.RequestID) Output {
	var known []*engineState
	for _, e := range s.ordered {
		r := e.requests[id]
		if r == nil {
			continue
		}
		known = append(known, e)
		delete(e.requests, id)
		s.releaseAt(e, id, r)
	}
	return s.stepThese(now, known...)
}

func (s *State) releaseAt(e *engineState, id hingeids.RequestID, r *request) {
	if !r.granted {
		if r.sentTo != "" {
			s.send(e, r.sentTo, Message{
				Kind:      kindAcquire,
				ID:        id,
				Withdrawn: true,
			})
		}
		return
	}
	release := Message{
		Kind:   kindRelease,
		Serial: r.serial,
		ID:     id,
	}
	s.send(e, r.allocator, release)
	if current := s.allocatorOf(e); current != r.allocator && current != "" {
		s.send(e, current, release) // The pool may have been delegated to the current allocator since.
	}
}

// requestSlots sends the waiting requests to the allocator, again for those that
// it has not answered within acquireInterval.
func (s *State) requestSlots(now time.Time, e *engineState) {
	allocator := s.allocatorOf(e)
	if allocator == "" {
		return
	}
	var waits []waitingRequest
	for _, id := range e.waiting() {
		r := e.requests[id]
		if r.sentTo == allocator && now.Sub(r.lastSent) < acquireInterval {
			continue
		}
		if r.sentTo != "" && r.sentTo != allocator {
			s.releaseAt(e, id, r)
		}
		r.sentTo, r.lastSent = allocator, now
		waits = append(waits, waitingRequest{
			ID:       id,
			Priority: r.priority,
		})
	}
	if len(waits) == 0 {
		return
	}
	number := s.nextNumber(now)
	for chunk := range slices.Chunk(waits, maxWaitsPerMessage) {
		s.send(e, allocator, Message{
			Kind:    kindAcquire,
			Number:  number,
			Waiting: chunk,
		})
	}
}

// maxWaitsPerMessage is the maximum number of waiting requests in one message. A
// host repeats all of its waits several times a second while queues are full; one
// message each would dominate the traffic.
const maxWaitsPerMessage = 8

// waiting returns this host's requests without a slot in order of arrival, so that
// the allocator queues them in that order.
func (e *engineState) waiting() []hingeids.RequestID {
	var out []hingeids.RequestID
	for id, r := range e.requests {
		if !r.granted {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b hingeids.RequestID) int {
		return cmp.Compare(e.requests[a].sequence, e.requests[b].sequence)
	})
	return out
}

// handleGrant accepts a slot, or returns it if the request no longer waits or
// has another slot. An expired grant is ignored and will be repeated. A grant
// to an earlier instance of this host is ignored too: its request may be at the
// engine, and a release would free an occupied slot.
func (s *State) handleGrant(now time.Time, e *engineState, m Message) {
	if m.ID.Instance != s.instance {
		return
	}
	r := e.requests[m.ID]
	if r == nil || r.granted && r.serial != m.Serial {
		s.returnUnused(e, r, m)
		return
	}
	sentAt, known := s.sentAt[m.Number]
	startBy := sentAt.Add(m.Duration)
	if r.granted || !known || !now.Before(startBy) {
		return
	}
	r.granted = true
	r.pool, r.allocator, r.serial = m.Pool, m.From.Host, m.Serial
	s.releaseOthers(e, m.ID)
	s.out.Results = append(s.out.Results, Result{
		ID:      m.ID,
		Engine:  e.ID,
		Granted: true,
		StartBy: startBy,
	})
}

// releaseOthers withdraws the request at all engines but the one that granted it.
func (s *State) releaseOthers(granted *engineState, id hingeids.RequestID) {
	for _, e := range s.ordered {
		if r := e.requests[id]; r != nil && e != granted {
			delete(e.requests, id)
			s.releaseAt(e, id, r)
		}
	}
}

// returnUnused releases a grant that isn't used. A repeated grant from the same
// pool is the slot that the request already has; only its serial and allocator are
// updated.
func (s *State) returnUnused(e *engineState, r *request, m Message) {
	if r != nil && r.pool == m.Pool {
		r.serial, r.allocator = m.Serial, m.From.Host
		return
	}
	s.send(e, m.From.Host, Message{
		Kind:   kindRelease,
		Serial: m.Serial,
		ID:     m.ID,
	})
}

// handleRefusal withdraws a request at an engine whose queue is full. The request
// fails once no engine is left.
func (s *State) handleRefusal(e *engineState, m Message) {
	r := e.requests[m.ID]
	if r == nil || r.granted {
		return
	}
	delete(e.requests, m.ID)
	for _, o := range s.engines {
		if o.requests[m.ID] != nil {
			return
		}
	}
	s.out.Results = append(s.out.Results, Result{
		ID:     m.ID,
		Engine: e.ID,
	})
}
