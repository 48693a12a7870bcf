package hingequota

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Ledger is what the requests of one host have used within the window (rule 3). It is not safe for concurrent use.
type Ledger struct {
	window time.Duration
	// since is from when on the ledger knows everything: the start of its process.
	since time.Time
	uses  []ledgerUse
	// tight are the customers that the placer named as tight, toldAt is when it last named all of them.
	tight  map[hingeids.CallerID]told
	toldAt time.Time
}

// told is what the placer said last of a tight customer.
type told struct {
	share float64
	at    time.Time
}

type ledgerUse struct {
	charge Charge
	at     time.Time
}

// NewLedger makes the ledger of a process that begins now.
func NewLedger(now time.Time, t Terms) *Ledger {
	return &Ledger{
		window: t.Window,
		since:  now,
		tight:  make(map[hingeids.CallerID]told),
	}
}

// Add notes a request that was given a server.
func (l *Ledger) Add(now time.Time, c Charge) {
	l.expire(now)
	l.uses = append(l.uses, ledgerUse{
		charge: c,
		at:     now,
	})
}

// Remove takes a request back that has not run.
func (l *Ledger) Remove(id ChargeID) {
	for i := len(l.uses) - 1; i >= 0; i-- {
		if l.uses[i].charge.ID == id {
			l.uses = slices.Delete(l.uses, i, i+1)
			return
		}
	}
}

// expire forgets what has left the window.
func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.uses) && now.Sub(l.uses[n].at) > l.window {
		n++
	}
	l.uses = slices.Delete(l.uses, 0, n)
}

// Empty reports whether nothing was used within the window.
func (l *Ledger) Empty(now time.Time) bool {
	l.expire(now)
	return len(l.uses) == 0
}

// Uses gives all that was used within the window, the oldest first, and for how long before now the ledger knows all.
func (l *Ledger) Uses(now time.Time) ([]Use, time.Duration) {
	l.expire(now)
	out := make([]Use, 0, len(l.uses))
	for _, u := range l.uses {
		out = append(out, Use{
			Charge: u.charge,
			Age:    now.Sub(u.at),
		})
	}
	return out, now.Sub(l.since)
}

// used is what a customer has used since a time.
func (l *Ledger) used(c hingeids.CallerID, since time.Time) hingeids.Units {
	var sum hingeids.Units
	for _, u := range l.uses {
		if u.charge.Customer == c && !u.at.Before(since) {
			sum += u.charge.Cost
		}
	}
	return sum
}

// SetTight takes the customers that are tight, as the placer tells them; all says that it knows enough to name all.
func (l *Ledger) SetTight(now time.Time, list []Tight, all bool) {
	if all {
		l.toldAt = now
	}
	for _, t := range list {
		l.tight[t.Customer] = told{
			share: t.Share,
			at:    now,
		}
	}
	for c, t := range l.tight {
		if now.Sub(t.at) > l.window {
			delete(l.tight, c)
		}
	}
}

// toldLasts is how long it is good to know who isn't tight: a host reports twice a second, and may hear of no placer for the time of an
// election. A customer that isn't tight takes longer to use up a quarter of its quota at its full rate.
const toldLasts = 3 * time.Second

// share is the part of a customer's requests that was let through when the placer told last (rule 6): all of them unless it was
// tight, and none if the placer hasn't told of late.
func (l *Ledger) share(now time.Time, c hingeids.CallerID) float64 {
	if now.Sub(l.toldAt) > toldLasts {
		return 0
	}
	if t, there := l.tight[c]; there && now.Sub(t.at) <= l.window {
		return t.share
	}
	return 1
}

// Doubts reports whether a customer may have little left, going by what was told last.
func (l *Ledger) Doubts(now time.Time, c hingeids.CallerID) bool {
	t, there := l.tight[c]
	return now.Sub(l.toldAt) > toldLasts || there && now.Sub(t.at) <= l.window
}
