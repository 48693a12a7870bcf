package hingenotice

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// keepTime is how long a statement applies that no answer repeats. A server that gets no requests for so long
	// states it anew in its first answer.
	keepTime = 10 * time.Minute
	// sweepInterval is the interval between searches for expired restrictions.
	sweepInterval = time.Minute
)

// Restriction is what one server has stated. Nil states nothing.
type Restriction struct {
	Limiter
	// leavingAt is when the server last stated that it leaves, zero if it doesn't.
	leavingAt time.Time
}

// Update records the notice of an answer and reports whether the restriction has changed. sentAt is when the request
// was sent, zero if unknown.
func (r *Restriction) Update(now, sentAt time.Time, n Notice) bool {
	limitChanged := r.Limiter.Update(now, sentAt, n.RateLimit)
	leavingChanged := r.updateLeaving(now, sentAt, n.Leaving)
	return limitChanged || leavingChanged
}

func (r *Restriction) updateLeaving(now, sentAt time.Time, leaving bool) bool {
	left := !r.leavingAt.IsZero()
	switch {
	case leaving:
		r.leavingAt = now
	case left && sentAt.Before(r.leavingAt.Add(transitTime)):
		return false
	default:
		r.leavingAt = time.Time{}
	}
	return left != leaving
}

// Leaving reports whether the server has stated that it leaves. It gets a request again if it is still there after
// keepTime.
func (r *Restriction) Leaving(now time.Time) bool {
	return r != nil && !r.leavingAt.IsZero() && now.Sub(r.leavingAt) < keepTime
}

// HeldUntil returns the time before which no request may be sent.
func (r *Restriction) HeldUntil(now time.Time) time.Time {
	switch {
	case r == nil:
		return time.Time{}
	case r.Leaving(now):
		return hingeclock.Later(r.leavingAt.Add(keepTime), r.Limiter.HeldUntil(now))
	}
	return r.Limiter.HeldUntil(now)
}

// Rate returns the rate at which this placer may send requests, and false if nothing restricts it.
func (r *Restriction) Rate(now time.Time) (perSecond float64, restricted bool) {
	switch {
	case r == nil:
		return 0, false
	case r.Leaving(now):
		return 0, true
	}
	return r.Limiter.Rate()
}

// RecordSend records a request to the server.
func (r *Restriction) RecordSend(now time.Time) {
	if r != nil {
		r.Limiter.RecordSend(now)
	}
}

// empty reports whether nothing restricts the server.
func (r *Restriction) empty() bool {
	return !r.Limited() && r.leavingAt.IsZero()
}

// notice returns the notice that states the restriction.
func (r *Restriction) notice() Notice {
	return Notice{
		RateLimit: r.rate,
		Leaving:   !r.leavingAt.IsZero(),
	}
}

// Restrictions holds the restrictions of the servers of one service. They are kept while a server is missing from the
// list of usable servers, since they apply when it returns. It is not safe for concurrent use.
type Restrictions struct {
	part    Part
	servers map[hingeids.ServerID]*tracked
	sweepAt time.Time
}

type tracked struct {
	Restriction
	updatedAt time.Time
}

// Get returns the restriction of a server, nil if there is none.
func (r *Restrictions) Get(id hingeids.ServerID) *Restriction {
	if t := r.servers[id]; t != nil {
		return &t.Restriction
	}
	return nil
}

// Update records the notice of an answer, and reports whether the restriction of the server has changed. sentAt is as
// for Restriction.Update.
func (r *Restrictions) Update(now, sentAt time.Time, id hingeids.ServerID, n Notice) bool {
	t := r.servers[id]
	switch {
	case t == nil && n == Notice{}:
		return false
	case t == nil:
		r.sweep(now)
		t = &tracked{}
		t.SetPart(id, r.part)
		if r.servers == nil {
			r.servers = make(map[hingeids.ServerID]*tracked)
		}
		r.servers[id] = t
	}
	t.updatedAt = now
	changed := t.Update(now, sentAt, n)
	if t.empty() {
		delete(r.servers, id)
	}
	return changed
}

// Scan calls visit for each restricted server, with the rate at which this placer may send requests to it.
func (r *Restrictions) Scan(now time.Time, visit func(id hingeids.ServerID, perSecond float64)) {
	for id, t := range r.servers {
		if rate, restricted := t.Rate(now); restricted {
			visit(id, rate)
		}
	}
}

// SetPart sets the part of the rate limits that may be used. It returns the servers whose restrictions have changed.
func (r *Restrictions) SetPart(p Part) []hingeids.ServerID {
	if r.part == p {
		return nil
	}
	r.part = p
	var changed []hingeids.ServerID
	for id, t := range r.servers {
		t.SetPart(id, p)
		changed = append(changed, id)
	}
	return changed
}

func (r *Restrictions) sweep(now time.Time) {
	if now.Before(r.sweepAt) {
		return
	}
	r.sweepAt = now.Add(sweepInterval)
	for id, t := range r.servers {
		if now.Sub(t.updatedAt) > keepTime {
			delete(r.servers, id)
		}
	}
}
