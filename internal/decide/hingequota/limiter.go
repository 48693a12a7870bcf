package hingequota

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// silentAfter is how long a host may send nothing before it counts as silent (rule 4). A host reports twice a second while it
	// has usage in the window.
	silentAfter = 800 * time.Millisecond
	// forgetAfter is how long after its last message a host is forgotten. Until then a host that was removed withholds its even share
	// of each quota from the others.
	forgetAfter = 2 * time.Minute
	// partitionTime is how long a partitioned side admits requests on the share that the leader withholds for it. The side starts counting
	// seconds after the leader last received its messages, and has to stop a window before the leader forgets it.
	partitionTime = forgetAfter - 20*time.Second
)

// reporter is a host that reports usage.
type reporter struct {
	lastSeen time.Time
	// complete says that the host has reported all its usage since it was last silent; everReported that it has reported at all.
	complete     bool
	everReported bool
	// lastUsage is the time of its latest counted request.
	lastUsage time.Time
}

// silent reports whether the host may have unreported usage.
func (r *reporter) silent(now time.Time) bool {
	return !r.complete || now.Sub(r.lastSeen) > silentAfter
}

// partitioned reports whether the host is probably partitioned and still admits requests: it fell silent while it had usage to report.
func (r *reporter) partitioned(now time.Time, window time.Duration) bool {
	return r.everReported && r.silent(now) && r.lastSeen.Sub(r.lastUsage) < window-silentAfter
}

// Limiter counts usage and decides on requests for all hosts that query it. It is not safe for concurrent use.
type Limiter struct {
	terms Params
	hosts hosts
	// startedAt is the time of Begin. leads says that the leader owns the limiter, which may then admit up to the whole of each quota.
	startedAt time.Time
	leads     bool
	accounts  map[hingeids.CallerID]*account
	reporters map[hingeids.HostID]*reporter
	// reported counts the hosts that have reported their usage. history is the sum of the times that these reports covered, at most a
	// window each.
	reported int
	history  time.Duration
	// partitioned counts the hosts that are probably partitioned.
	partitioned int
	// partitionedAt is when there last were any.
	partitionedAt time.Time
	// nearLimit maps customers near their limits to the time when this was last observed.
	nearLimit map[hingeids.CallerID]time.Time
}

// NewLimiter returns a limiter that isn't counting yet; see Begin.
func NewLimiter(t Params) *Limiter {
	return &Limiter{
		terms: t,
	}
}

// Start discards all usage and starts counting, as the leader or as a substitute that receives no leader's messages.
func (b *Limiter) Start(now time.Time, leads bool) {
	b.startedAt = now
	b.leads = leads
	b.accounts = make(map[hingeids.CallerID]*account)
	b.reporters = make(map[hingeids.HostID]*reporter)
	b.nearLimit = make(map[hingeids.CallerID]time.Time)
	b.reported = 0
	b.history = 0
	b.partitioned = 0
}

// Stop stops counting and discards all usage.
func (b *Limiter) Stop() {
	b.accounts, b.reporters, b.nearLimit = nil, nil, nil
}

// Started reports whether the limiter is counting, as the leader or as a substitute.
func (b *Limiter) Started(leads bool) bool {
	return b.accounts != nil && b.leads == leads
}

// Observe records a message from a host and reports whether the host has to report all its usage (Tell).
func (b *Limiter) Observe(now time.Time, h hingeids.HostID) (needsReport bool) {
	o := b.reporters[h]
	if o == nil {
		o = &reporter{
			lastSeen: now,
		}
		b.reporters[h] = o
		return true
	}
	// A host without usage in the window reports by itself what it has admitted alone since.
	if now.Sub(o.lastSeen) > silentAfter && o.lastSeen.Sub(o.lastUsage) <= b.terms.Window {
		o.complete = false
	}
	o.lastSeen = now
	return !o.complete
}

// HandleReport accepts a host's report of all its usage within the window, oldest first. history is how far back the report goes.
func (b *Limiter) HandleReport(now time.Time, h hingeids.HostID, usages []Usage, history time.Duration) {
	b.Observe(now, h)
	byCustomer := make(map[hingeids.CallerID][]usage)
	for _, u := range usages {
		if u.Charge.Free() || u.Age > b.terms.Window {
			continue
		}
		byCustomer[u.Charge.Customer] = append(byCustomer[u.Charge.Customer], usage{
			id:       u.Charge.ID,
			at:       b.since(now) - int64(u.Age),
			cost:     u.Charge.Cost,
			reporter: h,
		})
	}
	if len(usages) > 0 {
		b.reporters[h].lastUsage = now.Add(-usages[len(usages)-1].Age)
	}
	for c, list := range byCustomer {
		a := b.account(c)
		sum := a.merge(list)
		if !b.leads {
			a.baseline += sum
		}
	}
	o := b.reporters[h]
	if !o.complete {
		o.complete = true
		b.clearSilent(h)
		b.countPartitioned(now)
	}
	if !o.everReported {
		o.everReported = true
		b.history += min(history, b.terms.Window)
		b.reported++
	}
}

// clearSilent removes the usage retained for a host while it was silent.
func (b *Limiter) clearSilent(h hingeids.HostID) {
	for _, a := range b.accounts {
		a.clearSilent(h)
	}
}

// since converts a time to that of usage.at.
func (b *Limiter) since(now time.Time) int64 {
	return int64(now.Sub(b.startedAt))
}

func (b *Limiter) account(c hingeids.CallerID) *account {
	a := b.accounts[c]
	if a == nil {
		a = &account{}
		b.accounts[c] = a
	}
	return a
}

// Admit decides on a request; hosts is the number of hosts known now, and maxWait how long the caller waits at most. The cost of an
// admitted request is pending until Settle.
func (b *Limiter) Admit(now time.Time, c Charge, q hingecustomers.Quota, hosts int, maxWait time.Duration) Decision {
	if c.Free() || !q.Limited() {
		return Decision{
			Admitted: true,
		}
	}
	a := b.account(c.Customer)
	b.expire(now, a)
	quota := b.terms.quota(q)
	hosts = b.hosts.count(now, hosts)
	a.scale(quota)
	limit := b.limit(now, c, a, quota, hosts)
	a.requested.add(now, float64(c.Cost))
	if a.used()+c.Cost <= limit {
		a.pending += c.Cost
		a.admitted.add(now, float64(c.Cost))
		b.recordNearLimit(now, c.Customer, a, quota)
		return Decision{
			Admitted: true,
		}
	}
	if a.used()+c.Cost <= quota {
		return Decision{
			RetryAfter: b.knownAfter(now, c, a, quota, a.used()+c.Cost-limit, hosts),
		}
	}
	b.nearLimit[c.Customer] = now
	return Decision{
		Over:       true,
		RetryAfter: b.retryAfter(now, a, c.Cost, limit, maxWait),
	}
}

// limit returns the usage up to which the charge is admitted.
func (b *Limiter) limit(now time.Time, c Charge, a *account, quota hingeids.QuotaUnits, hosts int) hingeids.QuotaUnits {
	if now.Sub(b.startedAt) < graceTime && !c.NearLimit {
		return quota
	}
	margin := float64(b.terms.margin(quota))
	if !b.leads {
		share := min(float64(len(b.reporters))/float64(max(hosts, 1)), 1)
		budget := max(a.baseline, hingeids.QuotaUnits(share*float64(quota)))
		if now.Sub(b.startedAt) > partitionTime {
			budget = 0
		}
		return min(budget+hingeids.QuotaUnits(share*partitionMarginShare*margin), quota)
	}
	missing, forgotten := b.unknown(now, hosts)
	if missing+forgotten < maxUnknown && b.partitioned == 0 && b.stable(now) {
		return quota + hingeids.QuotaUnits(leaderMarginShare*margin)
	}
	unknown := max((missing+forgotten)*float64(quota)-unknownMarginShare*margin, 0)
	silent := max(b.partitionedShare(hosts)*float64(quota)-float64(a.silentSum), 0)
	return quota - hingeids.QuotaUnits(unknown+silent)
}

// stable reports whether a whole window has passed since the last change of placer and the last partition.
func (b *Limiter) stable(now time.Time) bool {
	return now.Sub(hingeclock.Later(b.startedAt, b.partitionedAt)) > b.terms.Window
}

// partitionedShare returns the share of all hosts that are probably partitioned (rule 4).
func (b *Limiter) partitionedShare(hosts int) float64 {
	return float64(b.partitioned) / float64(max(hosts, len(b.reporters), 1))
}

// countPartitioned counts the hosts that are probably partitioned. It takes time linear in the hosts and runs a few times a second.
func (b *Limiter) countPartitioned(now time.Time) {
	b.partitioned = 0
	for _, o := range b.reporters {
		if o.partitioned(now, b.terms.Window) {
			b.partitioned++
		}
	}
	if b.partitioned > 0 {
		b.partitionedAt = now
	}
}

// unknown returns the shares of the window's usage that aren't reported (rule 3): missing is that of hosts without a report, which may still
// grow; forgotten is that of hosts which started within the window, and expires.
func (b *Limiter) unknown(now time.Time, hosts int) (missing, forgotten float64) {
	all := float64(max(hosts, b.reported, 1))
	missing = 1 - float64(b.reported)/all
	return missing, b.forgottenShare(hosts) * (1 - b.forgottenExpired(now))
}

// forgottenShare returns the share of a window's usage that hosts had no record of when they reported.
func (b *Limiter) forgottenShare(hosts int) float64 {
	all := float64(max(hosts, b.reported, 1))
	return (float64(b.reported) - b.history.Seconds()/b.terms.Window.Seconds()) / all
}

// forgottenExpired returns the share of the forgotten usage that has left the window.
func (b *Limiter) forgottenExpired(now time.Time) float64 {
	elapsed := now.Sub(b.startedAt).Seconds() / b.terms.Window.Seconds()
	return max(min(elapsed, 1)-forgottenHold, 0) / (1 - forgottenHold)
}

// forgottenExpiredAt returns the time at which a share of the forgotten usage has left the window.
func (b *Limiter) forgottenExpiredAt(share float64) time.Time {
	elapsed := forgottenHold + (1-forgottenHold)*min(share, 1)
	return b.startedAt.Add(time.Duration(elapsed * float64(b.terms.Window)))
}

// knownAfter returns the retry delay of a request that is refused only because of unknown usage. Forgotten usage is assumed to leave the
// window at a constant rate, and callers refused earlier fit first.
func (b *Limiter) knownAfter(now time.Time, c Charge, a *account, quota, shortfall hingeids.QuotaUnits, hosts int) time.Duration {
	all := b.forgottenShare(hosts) * float64(quota)
	if !b.leads || all <= 0 || b.forgottenExpired(now) >= 1 {
		return unknownRetryAfter
	}
	a.reservedForgotten = max(b.forgottenExpired(now)+float64(shortfall)/all, a.reservedForgotten+float64(c.Cost)/all)
	return max(b.forgottenExpiredAt(a.reservedForgotten).Sub(now), minRetryAfter)
}

// retryAfter returns the delay until the request fits (rule 7). It reserves nothing for a caller that can't wait that long.
func (b *Limiter) retryAfter(now time.Time, a *account, cost, limit hingeids.QuotaUnits, maxWait time.Duration) time.Duration {
	at, target, found := a.freeAt(a.used()+cost-limit, cost)
	if !found {
		return b.terms.Window
	}
	after := time.Duration(at-b.since(now)) + b.terms.Window
	if after < maxWait {
		a.reserved = target
	}
	return max(after, minRetryAfter)
}

// Settle ends the pending state of an admitted request: it is counted if it was placed on a server, and dropped otherwise.
func (b *Limiter) Settle(now time.Time, h hingeids.HostID, c Charge, placed bool) {
	if c.Free() || b.accounts == nil {
		return
	}
	a := b.accounts[c.Customer]
	if a == nil || a.pending < c.Cost {
		// It was admitted under an unlimited quota or before the last Begin.
		return
	}
	a.pending -= c.Cost
	if o := b.reporters[h]; o != nil && placed {
		o.lastUsage = now
	}
	if placed {
		a.add(usage{
			id:       c.ID,
			at:       b.since(now),
			cost:     c.Cost,
			reporter: h,
		})
	}
}

// Return cancels the charge of a request that was placed on a server but did not run.
func (b *Limiter) Return(c Charge) {
	if a := b.accounts[c.Customer]; a != nil {
		a.remove(c.ID)
	}
}

// expire removes usage that has left the window.
func (b *Limiter) expire(now time.Time, a *account) {
	a.expire(b.since(now)-int64(b.terms.Window), func(h hingeids.HostID) bool {
		o := b.reporters[h]
		return o != nil && o.silent(now)
	})
}

func (b *Limiter) recordNearLimit(now time.Time, c hingeids.CallerID, a *account, quota hingeids.QuotaUnits) {
	used := float64(a.used())
	// After a change of placer or a power loss callers retry all at once, so that the recent rate is no estimate.
	settled := now.Sub(b.startedAt) > b.terms.Window
	if used > nearLimitShare*float64(quota) || settled && used+a.expectedSoon(now) > float64(quota) {
		b.nearLimit[c] = now
	}
}

// NearLimit returns the customers near their limits, sorted, and whether enough hosts have reported for the list to be complete. During graceTime
// it returns none: what is admitted then depends on the shares that hosts received earlier, and shares computed from it would add sampling
// errors.
func (b *Limiter) NearLimit(now time.Time, hosts int) (list []NearLimit, all bool) {
	if now.Sub(b.startedAt) < graceTime {
		return nil, false
	}
	out := make([]NearLimit, 0, len(b.nearLimit))
	for c := range b.nearLimit {
		t := NearLimit{
			Customer: c,
			Share:    1,
		}
		if a := b.accounts[c]; a != nil && a.requested.value(now) > 0 {
			t.Share = min(a.admitted.value(now)/a.requested.value(now), b.fitsSoon(now, a)/a.expectedSoon(now))
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(x, y NearLimit) int {
		return cmp.Compare(x.Customer, y.Customer)
	})
	missing, forgotten := b.unknown(now, b.hosts.count(now, hosts))
	return out, missing+forgotten < maxUnknownComplete
}

// fitsSoon returns the units of a customer's requests that will fit within the lookahead.
func (b *Limiter) fitsSoon(now time.Time, a *account) float64 {
	expiring := a.usedBefore(b.since(now) - int64(b.terms.Window) + int64(lookahead))
	return max(float64(a.quota-a.used()+expiring), 0)
}

// RemoveExpired removes expired state. The placer calls it a few times a second.
func (b *Limiter) RemoveExpired(now time.Time) {
	for h, o := range b.reporters {
		if now.Sub(o.lastSeen) > forgetAfter {
			delete(b.reporters, h)
			b.clearSilent(h)
		}
	}
	b.countPartitioned(now)
	for c, at := range b.nearLimit {
		if now.Sub(at) > b.terms.Window {
			delete(b.nearLimit, c)
		}
	}
	for c, a := range b.accounts {
		b.expire(now, a)
		if a.used() == 0 && a.baseline == 0 {
			delete(b.accounts, c)
		}
	}
}
