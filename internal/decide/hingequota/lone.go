package hingequota

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Lone is what an entry host lets through that hears no placer at all. It is rule 5 for one host, with one difference: an even
// part of the margin is less than a stream where hosts are many. So a request that doesn't fit into what is left of
// the part is let through by lot, as often as all hosts together have room for such requests.
type Lone struct {
	terms  Terms
	ledger *Ledger
	hosts  hosts
	// since is the first request that found no placer, zero while one answers.
	since time.Time
	// basis is what each customer had used in the window at that time.
	basis map[hingeids.CallerID]hingeids.Units
}

// NewLone makes the decision of a host with a ledger.
func NewLone(t Terms, l *Ledger) *Lone {
	return &Lone{
		terms:  t,
		ledger: l,
	}
}

// Heard notes that a placer answered.
func (l *Lone) Heard() {
	l.since = time.Time{}
	l.basis = nil
}

// Admit decides on a request of one of so many hosts, and notes it in the ledger. The lot is between 0 and 1, drawn for this request.
func (l *Lone) Admit(now time.Time, c Charge, q hingecustomers.Quota, hosts int, lot float64) Verdict {
	if c.Free() || !q.Bounded() {
		return Verdict{
			Admitted: true,
		}
	}
	if !l.fits(now, c, q, l.hosts.count(now, hosts), lot) {
		return Verdict{
			RetryAfter: unknownRetry,
		}
	}
	l.ledger.Add(now, c)
	return Verdict{
		Admitted: true,
	}
}

func (l *Lone) fits(now time.Time, c Charge, q hingecustomers.Quota, hosts int, lot float64) bool {
	if l.since.IsZero() {
		l.since = now
		l.basis = make(map[hingeids.CallerID]hingeids.Units)
	}
	if now.Sub(l.since) < graceTime {
		return lot < l.ledger.share(now, c.Customer)
	}
	l.ledger.expire(now)
	quota := l.terms.quota(q)
	even := float64(quota) / float64(max(hosts, 1))
	part := partedShare * float64(l.terms.margin(quota)) / float64(max(hosts, 1))
	used := l.ledger.used(c.Customer, now.Add(-l.terms.Window))
	own := max(float64(l.basisOf(c.Customer)), even)
	if now.Sub(l.since) > apartFor {
		own = 0
	}
	left := own + part - float64(used)
	return left > lot*float64(c.Cost)
}

// basisOf is what a customer had used in the window before the host was alone. It is worked out at the first question after the
// grace, from what the ledger still holds, so that it is rather too low.
func (l *Lone) basisOf(c hingeids.CallerID) hingeids.Units {
	b, there := l.basis[c]
	if !there {
		for _, u := range l.ledger.uses {
			if u.charge.Customer == c && u.at.Before(l.since) {
				b += u.charge.Cost
			}
		}
		l.basis[c] = b
	}
	return b
}
