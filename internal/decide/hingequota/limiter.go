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
	// has usage in the window. A wrong decision costs little, until its next message.
	silentAfter = 800 * time.Millisecond
	// forgetAfter is how long after its last message a host is forgotten. Until then a host that was removed withholds its even share
	// of each quota from the others.
	forgetAfter = 2 * time.Minute
	// partitionTime is how long a partitioned side admits requests on the share that the leader withholds for it. The side starts counting
	// seconds after the leader last received its messages, and has to stop a window before the leader forgets it.
	partitionTime = forgetAfter - 20*time.Second
)

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
	params Params
	hosts  hosts
	// startedAt is the time of the last call of Start. leads says that the leader owns the limiter, which may then admit up to the whole of
	// each quota.
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

// NewLimiter returns a limiter that isn't counting yet; see Start.
func NewLimiter(p Params) *Limiter {
	return &Limiter{
		params: p,
	}
}

// Start discards all usage and starts counting, as the leader or as a substitute that receives no leader's messages.
func (l *Limiter) Start(now time.Time, leads bool) {
	l.startedAt = now
	l.leads = leads
	l.accounts = make(map[hingeids.CallerID]*account)
	l.reporters = make(map[hingeids.HostID]*reporter)
	l.nearLimit = make(map[hingeids.CallerID]time.Time)
	l.reported = 0
	l.history = 0
	l.partitioned = 0
}

// Stop stops counting and discards all usage.
func (l *Limiter) Stop() {
	l.accounts, l.reporters, l.nearLimit = nil, nil, nil
}

// Started reports whether the limiter is counting, as the leader or as a substitute.
func (l *Limiter) Started(leads bool) bool {
	return l.accounts != nil && l.leads == leads
}

// Observe records a message from a host and reports whether the host has to report all its usage (HandleReport).
func (l *Limiter) Observe(now time.Time, h hingeids.HostID) (needsReport bool) {
	r := l.reporters[h]
	if r == nil {
		r = &reporter{
			lastSeen: now,
		}
		l.reporters[h] = r
		return true
	}
	// A host without usage in the window reports by itself what it has admitted without a placer since.
	if now.Sub(r.lastSeen) > silentAfter && r.lastSeen.Sub(r.lastUsage) <= l.params.Window {
		r.complete = false
	}
	r.lastSeen = now
	return !r.complete
}

// HandleReport accepts a host's report of all its usage within the window, oldest first. history is how far back the report goes.
func (l *Limiter) HandleReport(now time.Time, h hingeids.HostID, usages []Usage, history time.Duration) {
	l.Observe(now, h)
	byCustomer := make(map[hingeids.CallerID][]usage)
	for _, u := range usages {
		if u.Charge.Free() || u.Age > l.params.Window {
			continue
		}
		byCustomer[u.Charge.Customer] = append(byCustomer[u.Charge.Customer], usage{
			id:       u.Charge.ID,
			at:       l.since(now) - int64(u.Age),
			cost:     u.Charge.Cost,
			reporter: h,
		})
	}
	if len(usages) > 0 {
		l.reporters[h].lastUsage = now.Add(-usages[len(usages)-1].Age)
	}
	for c, list := range byCustomer {
		a := l.account(c)
		sum := a.merge(list)
		if !l.leads {
			a.baseline += sum
		}
	}
	r := l.reporters[h]
	if !r.complete {
		r.complete = true
		l.clearSilent(h)
		l.countPartitioned(now)
	}
	if !r.everReported {
		r.everReported = true
		l.history += min(history, l.params.Window)
		l.reported++
	}
}

func (l *Limiter) clearSilent(h hingeids.HostID) {
	for _, a := range l.accounts {
		a.clearSilent(h)
	}
}

// since converts a time to that of usage.at.
func (l *Limiter) since(now time.Time) int64 {
	return int64(now.Sub(l.startedAt))
}

func (l *Limiter) account(c hingeids.CallerID) *account {
	a := l.accounts[c]
	if a == nil {
		a = &account{}
		l.accounts[c] = a
	}
	return a
}

// Admit decides on a request; hosts is the number of hosts known now, and maxWait how long the caller waits at most. The cost of an
// admitted request is pending until Settle.
func (l *Limiter) Admit(now time.Time, c Charge, q hingecustomers.Quota, hosts int, maxWait time.Duration) Decision {
	if c.Free() || !q.Limited() {
		return Decision{
			Admitted: true,
		}
	}
	a := l.account(c.Customer)
	l.expire(now, a)
	quota := l.params.quota(q)
	hosts = l.hosts.count(now, hosts)
	a.scale(quota)
	limit := l.limit(now, c, a, quota, hosts)
	a.requested.add(now, float64(c.Cost))
	if a.used()+c.Cost <= limit {
		a.pending += c.Cost
		a.admitted.add(now, float64(c.Cost))
		l.recordNearLimit(now, c.Customer, a, quota)
		return Decision{
			Admitted: true,
		}
	}
	if a.used()+c.Cost <= quota {
		return Decision{
			RetryAfter: l.knownAfter(now, c, a, quota, a.used()+c.Cost-limit, hosts),
		}
	}
	l.nearLimit[c.Customer] = now
	return Decision{
		Over:       true,
		RetryAfter: l.retryAfter(now, a, c.Cost, limit, maxWait),
	}
}

// limit returns the usage up to which the charge is admitted.
func (l *Limiter) limit(now time.Time, c Charge, a *account, quota hingeids.QuotaUnits, hosts int) hingeids.QuotaUnits {
	if now.Sub(l.startedAt) < graceTime && !c.NearLimit {
		return quota
	}
	margin := float64(l.params.margin(quota))
	if !l.leads {
		share := min(float64(len(l.reporters))/float64(max(hosts, 1)), 1)
		budget := max(a.baseline, hingeids.QuotaUnits(share*float64(quota)))
		if now.Sub(l.startedAt) > partitionTime {
			budget = 0
		}
		return min(budget+hingeids.QuotaUnits(share*partitionMarginShare*margin), quota)
	}
	missing, forgotten := l.unknown(now, hosts)
	if missing+forgotten < maxUnknown && l.partitioned == 0 && l.stable(now) {
		return quota + hingeids.QuotaUnits(leaderMarginShare*margin)
	}
	unknown := max((missing+forgotten)*float64(quota)-unknownMarginShare*margin, 0)
	silent := max(l.partitionedShare(hosts)*float64(quota)-float64(a.silentSum), 0)
	return quota - hingeids.QuotaUnits(unknown+silent)
}

// stable reports whether a whole window has passed since the last change of placer and the last partition.
func (l *Limiter) stable(now time.Time) bool {
	return now.Sub(hingeclock.Later(l.startedAt, l.partitionedAt)) > l.params.Window
}

// partitionedShare returns the share of all hosts that are probably partitioned (rule 4).
func (l *Limiter) partitionedShare(hosts int) float64 {
	return float64(l.partitioned) / float64(max(hosts, len(l.reporters), 1))
}

// countPartitioned counts the hosts that are probably partitioned. It takes time linear in the hosts and runs a few times a second.
func (l *Limiter) countPartitioned(now time.Time) {
	l.partitioned = 0
	for _, r := range l.reporters {
		if r.partitioned(now, l.params.Window) {
			l.partitioned++
		}
	}
	if l.partitioned > 0 {
		l.partitionedAt = now
	}
}

// unknown returns the shares of the window's usage that aren't reported (rule 3): missing is that of hosts without a report, which may still
// grow; forgotten is that of hosts which started within the window, and expires.
func (l *Limiter) unknown(now time.Time, hosts int) (missing, forgotten float64) {
	all := float64(max(hosts, l.reported, 1))
	missing = 1 - float64(l.reported)/all
	return missing, l.forgottenShare(hosts) * (1 - l.forgottenExpired(now))
}

// forgottenShare returns the share of a window's usage that hosts had no record of when they reported.
func (l *Limiter) forgottenShare(hosts int) float64 {
	all := float64(max(hosts, l.reported, 1))
	return (float64(l.reported) - l.history.Seconds()/l.params.Window.Seconds()) / all
}

// forgottenExpired returns the share of the forgotten usage that has left the window.
func (l *Limiter) forgottenExpired(now time.Time) float64 {
	elapsed := now.Sub(l.startedAt).Seconds() / l.params.Window.Seconds()
	return max(min(elapsed, 1)-forgottenHold, 0) / (1 - forgottenHold)
}

// forgottenExpiredAt returns the time at which a share of the forgotten usage has left the window.
func (l *Limiter) forgottenExpiredAt(share float64) time.Time {
	elapsed := forgottenHold + (1-forgottenHold)*min(share, 1)
	return l.startedAt.Add(time.Duration(elapsed * float64(l.params.Window)))
}

// knownAfter returns the retry delay of a request that is refused only because of unknown usage. Forgotten usage is assumed to leave the
// window at a constant rate, and callers refused earlier fit first.
func (l *Limiter) knownAfter(now time.Time, c Charge, a *account, quota, shortfall hingeids.QuotaUnits, hosts int) time.Duration {
	all := l.forgottenShare(hosts) * float64(quota)
	if !l.leads || all <= 0 || l.forgottenExpired(now) >= 1 {
		return unknownRetryAfter
	}
	a.reservedForgotten = max(l.forgottenExpired(now)+float64(shortfall)/all, a.reservedForgotten+float64(c.Cost)/all)
	return max(l.forgottenExpiredAt(a.reservedForgotten).Sub(now), minRetryAfter)
}

// retryAfter returns the delay until the request fits (rule 7). It reserves nothing for a caller that can't wait that long.
func (l *Limiter) retryAfter(now time.Time, a *account, cost, limit hingeids.QuotaUnits, maxWait time.Duration) time.Duration {
	at, target, found := a.freeAt(a.used()+cost-limit, cost)
	if !found {
		return l.params.Window
	}
	after := time.Duration(at-l.since(now)) + l.params.Window
	if after < maxWait {
		a.reserved = target
	}
	return max(after, minRetryAfter)
}

// Settle ends the pending state of an admitted request: it is counted if it was placed on a server, and dropped otherwise.
func (l *Limiter) Settle(now time.Time, h hingeids.HostID, c Charge, placed bool) {
	if c.Free() || l.accounts == nil {
		return
	}
	a := l.accounts[c.Customer]
	if a == nil || a.pending < c.Cost {
		// It was admitted under an unlimited quota or before the last call of Start.
		return
	}
	a.pending -= c.Cost
	if r := l.reporters[h]; r != nil && placed {
		r.lastUsage = now
	}
	if placed {
		a.add(usage{
			id:       c.ID,
			at:       l.since(now),
			cost:     c.Cost,
			reporter: h,
		})
	}
}

// Return cancels the charge of a request that was placed on a server but did not run.
func (l *Limiter) Return(c Charge) {
	if a := l.accounts[c.Customer]; a != nil {
		a.remove(c.ID)
	}
}

func (l *Limiter) expire(now time.Time, a *account) {
	a.expire(l.since(now)-int64(l.params.Window), func(h hingeids.HostID) bool {
		r := l.reporters[h]
		return r != nil && r.silent(now)
	})
}

func (l *Limiter) recordNearLimit(now time.Time, c hingeids.CallerID, a *account, quota hingeids.QuotaUnits) {
	used := float64(a.used())
	// After a change of placer or a power loss callers retry all at once, so that the recent rate is no estimate.
	settled := now.Sub(l.startedAt) > l.params.Window
	if used > nearLimitShare*float64(quota) || settled && used+a.expectedSoon(now) > float64(quota) {
		l.nearLimit[c] = now
	}
}

// NearLimit returns the customers near their limits, sorted, and whether enough hosts have reported for the list to be complete. During
// graceTime it returns none: admission then depends on the shares that hosts received earlier, and new ones would add sampling errors.
func (l *Limiter) NearLimit(now time.Time, hosts int) (list []NearLimit, all bool) {
	if now.Sub(l.startedAt) < graceTime {
		return nil, false
	}
	out := make([]NearLimit, 0, len(l.nearLimit))
	for c := range l.nearLimit {
		n := NearLimit{
			Customer: c,
			Share:    1,
		}
		if a := l.accounts[c]; a != nil && a.requested.value(now) > 0 {
			n.Share = min(a.admitted.value(now)/a.requested.value(now), l.fitsSoon(now, a)/a.expectedSoon(now))
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y NearLimit) int {
		return cmp.Compare(x.Customer, y.Customer)
	})
	missing, forgotten := l.unknown(now, l.hosts.count(now, hosts))
	return out, missing+forgotten < maxUnknownComplete
}

// fitsSoon returns the units of a customer's requests that will fit within the lookahead.
func (l *Limiter) fitsSoon(now time.Time, a *account) float64 {
	expiring := a.usedBefore(l.since(now) - int64(l.params.Window) + int64(lookahead))
	return max(float64(a.quota-a.used()+expiring), 0)
}

// RemoveExpired removes expired state. The placer calls it a few times a second.
func (l *Limiter) RemoveExpired(now time.Time) {
	for h, r := range l.reporters {
		if now.Sub(r.lastSeen) > forgetAfter {
			delete(l.reporters, h)
			l.clearSilent(h)
		}
	}
	l.countPartitioned(now)
	for c, at := range l.nearLimit {
		if now.Sub(at) > l.params.Window {
			delete(l.nearLimit, c)
		}
	}
	for c, a := range l.accounts {
		l.expire(now, a)
		if a.used() == 0 && a.baseline == 0 {
			delete(l.accounts, c)
		}
	}
}
