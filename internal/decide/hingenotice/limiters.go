package hingenotice

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// sweepInterval is the interval between searches for expired limiters.
const sweepInterval = time.Minute

// Limiters holds the limiters of the servers of one service. They are kept while a server is missing from the list of
// usable servers, since it owes them when it returns. It is not safe for concurrent use.
type Limiters struct {
	part    Part
	servers map[hingeids.ServerID]*Limiter
	sweepAt time.Time
}

// Get returns the limiter of a server, nil if it has named no limit.
func (l *Limiters) Get(id hingeids.ServerID) *Limiter {
	return l.servers[id]
}

// Update records the limit of an answer, zero if it names none, and reports whether the limit of the server has
// changed. sentAt is as for Limiter.Update.
func (l *Limiters) Update(now, sentAt time.Time, id hingeids.ServerID, stated hingeids.RequestsPerSecond) bool {
	x := l.servers[id]
	switch {
	case x == nil && stated == 0:
		return false
	case x == nil:
		x = &Limiter{}
		x.SetPart(id, l.part)
		if l.servers == nil {
			l.servers = make(map[hingeids.ServerID]*Limiter)
		}
		l.servers[id] = x
		l.sweep(now)
	}
	changed := x.Update(now, sentAt, stated)
	if !x.Limited() {
		delete(l.servers, id)
	}
	return changed
}

// Scan calls visit for each server with a limit, with the rate at which this placer may send requests to it.
func (l *Limiters) Scan(visit func(id hingeids.ServerID, perSecond float64)) {
	for id, x := range l.servers {
		if rate, limited := x.Rate(); limited {
			visit(id, rate)
		}
	}
}

// SetPart sets the part of the limits that may be used. It returns the servers whose limiters have changed.
func (l *Limiters) SetPart(p Part) []hingeids.ServerID {
	if l.part == p {
		return nil
	}
	l.part = p
	var changed []hingeids.ServerID
	for id, x := range l.servers {
		x.SetPart(id, p)
		changed = append(changed, id)
	}
	return changed
}

func (l *Limiters) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(sweepInterval)
	for id, x := range l.servers {
		if x.Limited() && now.Sub(x.statedAt) > keepTime {
			delete(l.servers, id)
		}
	}
}
