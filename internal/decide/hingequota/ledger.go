package hingequota

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Ledger records the usage of one host's requests within the window (rule 3). It is not safe for concurrent use.
type Ledger struct {
	window time.Duration
	// since is the start of the process, from which on the ledger is complete.
	since   time.Time
	entries []ledgerEntry
	// nearLimit holds the customers that the placer reported as near their limits; completeAt is when it last sent a complete list.
	nearLimit  map[hingeids.CallerID]limitReport
	completeAt time.Time
}

// limitReport is the placer's last report on a customer near its limit.
type limitReport struct {
	share float64
	at    time.Time
}

type ledgerEntry struct {
	charge Charge
	at     time.Time
}

// NewLedger returns the ledger of a process that starts now.
func NewLedger(now time.Time, p Params) *Ledger {
	return &Ledger{
		window:    p.Window,
		since:     now,
		nearLimit: make(map[hingeids.CallerID]limitReport),
	}
}

// Add records the charge of a request that was placed on a server.
func (l *Ledger) Add(now time.Time, c Charge) {
	l.expire(now)
	l.entries = append(l.entries, ledgerEntry{
		charge: c,
		at:     now,
	})
}

// Remove cancels the charge of a request that did not run.
func (l *Ledger) Remove(id ChargeID) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].charge.ID == id {
			l.entries = slices.Delete(l.entries, i, i+1)
			return
		}
	}
}

func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.entries) && now.Sub(l.entries[n].at) > l.window {
		n++
	}
	l.entries = slices.Delete(l.entries, 0, n)
}

// Empty reports whether there is no usage within the window.
func (l *Ledger) Empty(now time.Time) bool {
	l.expire(now)
	return len(l.entries) == 0
}

// Usages returns the usage within the window, oldest first, and for how long before now the ledger is complete.
func (l *Ledger) Usages(now time.Time) ([]Usage, time.Duration) {
	l.expire(now)
	out := make([]Usage, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, Usage{
			Charge: e.charge,
			Age:    now.Sub(e.at),
		})
	}
	return out, now.Sub(l.since)
}

func (l *Ledger) used(c hingeids.CallerID, since time.Time) hingeids.QuotaUnits {
	var sum hingeids.QuotaUnits
	for _, e := range l.entries {
		if e.charge.Customer == c && !e.at.Before(since) {
			sum += e.charge.Cost
		}
	}
	return sum
}

// SetNearLimit merges the placer's list of customers near their limits; all says that the list is complete.
func (l *Ledger) SetNearLimit(now time.Time, list []NearLimit, all bool) {
	if all {
		l.completeAt = now
	}
	for _, n := range list {
		l.nearLimit[n.Customer] = limitReport{
			share: n.Share,
			at:    now,
		}
	}
	for c, n := range l.nearLimit {
		if now.Sub(n.at) > l.window {
			delete(l.nearLimit, c)
		}
	}
}

// nearLimitTTL is how long the absence of a customer from the placer's list is relied on. It covers the interval between reports and an
// election; a customer that isn't near its limit needs longer to use up a quarter of its quota at its full rate.
const nearLimitTTL = 3 * time.Second

// share returns the share of a customer's requests to admit without a placer (rule 6): 1 unless the customer was near its limit, and 0 if the
// last complete list is older than nearLimitTTL.
func (l *Ledger) share(now time.Time, c hingeids.CallerID) float64 {
	if now.Sub(l.completeAt) > nearLimitTTL {
		return 0
	}
	if r, known := l.nearLimit[c]; known && now.Sub(r.at) <= l.window {
		return r.share
	}
	return 1
}

// MayBeNearLimit reports whether a customer may be near its limit, by the last list from the placer.
func (l *Ledger) MayBeNearLimit(now time.Time, c hingeids.CallerID) bool {
	r, known := l.nearLimit[c]
	return now.Sub(l.completeAt) > nearLimitTTL || known && now.Sub(r.at) <= l.window
}
