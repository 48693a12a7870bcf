package hingequota

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// LocalLimiter decides for an entry host that no placer answers, by rule 5 applied to a single host. With many hosts an even share of the
// margin is smaller than one stream, so a request that doesn't fit is admitted with a probability of the remaining share over its cost: all
// hosts together admit about what fits. It is not safe for concurrent use.
type LocalLimiter struct {
	params Params
	ledger *Ledger
	hosts  hosts
	// since is the time of the first request that no placer answered, zero while one answers.
	since time.Time
	// baseline is the usage of each customer in the window before that time.
	baseline map[hingeids.CallerID]hingeids.QuotaUnits
}

// NewLocalLimiter returns the limiter of the host that owns the ledger, to which admitted requests are added.
func NewLocalLimiter(p Params, l *Ledger) *LocalLimiter {
	return &LocalLimiter{
		params: p,
		ledger: l,
	}
}

// PlacerAnswered records that a placer answered.
func (l *LocalLimiter) PlacerAnswered() {
	l.since = time.Time{}
	l.baseline = nil
}

// Admit decides on a request and adds an admitted one to the ledger. hosts is the number of hosts known now, sample a random number in
// [0, 1) for this request.
func (l *LocalLimiter) Admit(now time.Time, c Charge, q hingecustomers.Quota, hosts int, sample float64) Decision {
	if c.Free() || !q.Limited() {
		return Decision{
			Admitted: true,
		}
	}
	if !l.fits(now, c, q, l.hosts.count(now, hosts), sample) {
		return Decision{
			RetryAfter: unknownRetryAfter,
		}
	}
	l.ledger.Add(now, c)
	return Decision{
		Admitted: true,
	}
}

func (l *LocalLimiter) fits(now time.Time, c Charge, q hingecustomers.Quota, hosts int, sample float64) bool {
	if l.since.IsZero() {
		l.since = now
		l.baseline = make(map[hingeids.CallerID]hingeids.QuotaUnits)
	}
	if now.Sub(l.since) < graceTime {
		return sample < l.ledger.share(now, c.Customer)
	}
	l.ledger.expire(now)
	quota := l.params.quota(q)
	share := float64(quota) / float64(max(hosts, 1))
	margin := partitionMarginShare * float64(l.params.margin(quota)) / float64(max(hosts, 1))
	used := l.ledger.used(c.Customer, now.Add(-l.params.Window))
	base := max(float64(l.baselineOf(c.Customer)), share)
	if now.Sub(l.since) > partitionTime {
		base = 0
	}
	remaining := base + margin - float64(used)
	return remaining > sample*float64(c.Cost)
}

// baselineOf returns a customer's usage in the window before the host lost its placer. It is computed at the first request after graceTime
// from what the ledger still holds, so that it errs on the low side.
func (l *LocalLimiter) baselineOf(c hingeids.CallerID) hingeids.QuotaUnits {
	b, known := l.baseline[c]
	if !known {
		for _, e := range l.ledger.entries {
			if e.charge.Customer == c && e.at.Before(l.since) {
				b += e.charge.Cost
			}
		}
		l.baseline[c] = b
	}
	return b
}
