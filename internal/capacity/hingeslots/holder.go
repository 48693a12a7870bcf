package hingeslots

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// request is a request of this host that waits for a slot or has one.
type request struct {
	// order is when it came, among this host's.
	order    uint64
	priority int
	askedTo  hingeids.HostID
	askedAt  time.Time
	granted  bool
	pool     hingeids.HostID
	granter  hingeids.HostID
	serial   uint64
}

// Acquire asks for a slot on any one of some engines. It waits at all of them, so
// that a choice made from a load report that was out of date costs little; the
// first that grants serves, the others are given up. The answer is a Result. It
// reports false if none of the engines is known.
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
			order:    s.number,
			priority: priority,
		}
	}
	return s.stepThese(now, known...), len(known) > 0
}

// Release gives a slot back, or gives up waiting. It may only be called once
// the engine holds nothing for the request, or if it was never sent there.
func (s *State) Release(now time.Time, id hingeids.RequestID) Output {
	var known []*engineState
	for _, e := range s.ordered {
		r := e.requests[id]
		if r == nil {
			continue
		}
		known = append(known, e)
		delete(e.requests, id)
		s.letGo(e, id, r)
	}
	return s.stepThese(now, known...)
}

func (s *State) letGo(e *engineState, id hingeids.RequestID, r *request) {
	if !r.granted {
		if r.askedTo != "" {
			s.send(e, r.askedTo, Message{
				Kind: kindAcquire,
				ID:   id,
				Gone: true,
			})
		}
		return
	}
	release := Message{
		Kind:   kindRelease,
		Serial: r.serial,
		ID:     id,
	}
	s.send(e, r.granter, release)
	if now := s.granterOf(e); now != r.granter && now != "" {
		s.send(e, now, release) // The book may have moved there.
	}
}

// hold asks the granter again for what still waits.
func (s *State) hold(now time.Time, e *engineState) {
	granter := s.granterOf(e)
	if granter == "" {
		return
	}
	var waits []wait
	for _, id := range e.waiting() {
		r := e.requests[id]
		if r.askedTo == granter && now.Sub(r.askedAt) < acquireEvery {
			continue
		}
		if r.askedTo != "" && r.askedTo != granter {
			s.letGo(e, id, r)
		}
		r.askedTo, r.askedAt = granter, now
		waits = append(waits, wait{
			ID:       id,
			Priority: r.priority,
		})
	}
	if len(waits) == 0 {
		return
	}
	number := s.ask(now)
	for some := range slices.Chunk(waits, waitsInOne) {
		s.send(e, granter, Message{
			Kind:   kindAcquire,
			Number: number,
			Waits:  some,
		})
	}
}

// waitsInOne is how many waiting requests are asked for in one message. While
// queues are full a host asks for all of its own several times a second; one
// message each would then outnumber all others.
const waitsInOne = 8

// waiting gives this host's requests without a slot in the order they came, so
// that those that come together are queued in that order.
func (e *engineState) waiting() []hingeids.RequestID {
	var out []hingeids.RequestID
	for id, r := range e.requests {
		if !r.granted {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b hingeids.RequestID) int {
		return cmp.Compare(e.requests[a].order, e.requests[b].order)
	})
	return out
}

// takeGrant takes a slot, or gives it back if the request waits no more or has
// another. A grant that comes too late is left: the granter repeats it.
//
// A grant to an earlier life of this host is left too: that life may have sent
// its request to the engine, and a release would free a slot that is taken up.
func (s *State) takeGrant(now time.Time, e *engineState, m Message) {
	if m.ID.Instance != s.life {
		return
	}
	r := e.requests[m.ID]
	if r == nil || r.granted && r.serial != m.Serial {
		s.giveBack(e, r, m)
		return
	}
	sent, known := s.sentAt[m.Number]
	startBy := sent.Add(m.For)
	if r.granted || !known || !now.Before(startBy) {
		return
	}
	r.granted = true
	r.pool, r.granter, r.serial = m.Pool, m.From.Host, m.Serial
	s.letOthersGo(e, m.ID)
	s.out.Results = append(s.out.Results, Result{
		ID:      m.ID,
		Engine:  e.ID,
		Granted: true,
		StartBy: startBy,
	})
}

// letOthersGo gives up waiting at the other engines.
func (s *State) letOthersGo(granted *engineState, id hingeids.RequestID) {
	for _, e := range s.ordered {
		if r := e.requests[id]; r != nil && e != granted {
			delete(e.requests, id)
			s.letGo(e, id, r)
		}
	}
}

// giveBack returns a grant that isn't used. One repeated by the same granter
// from the same pool is the slot that the request already has.
func (s *State) giveBack(e *engineState, r *request, m Message) {
	if r != nil && r.pool == m.Pool {
		r.serial, r.granter = m.Serial, m.From.Host
		return
	}
	s.send(e, m.From.Host, Message{
		Kind:   kindRelease,
		Serial: m.Serial,
		ID:     m.ID,
	})
}

// takeRefuse gives up waiting at an engine whose queue is full; the request is
// refused once none is left.
func (s *State) takeRefuse(e *engineState, m Message) {
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
