package hingequota

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type usage struct {
	id ChargeID
	// at is in nanoseconds since Limiter.Start.
	at   int64
	cost hingeids.QuotaUnits
	// cumulative is the sum of this entry and all earlier ones, including those that have left the window.
	cumulative hingeids.QuotaUnits
	reporter   hingeids.HostID
}

type account struct {
	// usages are sorted by time. Entries before index first have left the window.
	usages []usage
	first  int
	// sum is the usage in the window; pending is the cost of admitted requests that have no server yet.
	sum     hingeids.QuotaUnits
	pending hingeids.QuotaUnits
	// expired is the sum of all usage that has left the window, on the same scale as usage.cumulative.
	expired hingeids.QuotaUnits
	// silentUsage holds expired usage of hosts that are silent, which still counts (rule 4).
	silentUsage map[hingeids.HostID]hingeids.QuotaUnits
	silentSum   hingeids.QuotaUnits
	// baseline is the usage that hosts reported to a non-leader, which their side of a partition may keep using (rule 5).
	baseline hingeids.QuotaUnits
	// reserved is the cumulative usage that has to leave the window before every refused caller fits (rule 7).
	reserved hingeids.QuotaUnits
	// reservedForgotten is the share of the forgotten usage that has to leave the window before every refused caller fits.
	reservedForgotten float64
	// requested and admitted are the costs of recent requests and of those admitted.
	requested decayingSum
	admitted  decayingSum
	// quota is the one that the usage was last scaled to (rule 8).
	quota hingeids.QuotaUnits
}

// used returns all usage that counts against the quota.
func (a *account) used() hingeids.QuotaUnits {
	return a.sum + a.pending + a.silentSum
}

// expectedSoon extrapolates the recent request rate over the lookahead.
func (a *account) expectedSoon(now time.Time) float64 {
	return a.requested.value(now) * lookahead.Seconds() / decayTime.Seconds()
}

func (a *account) usedBefore(at int64) hingeids.QuotaUnits {
	rest := a.usages[a.first:]
	i := sort.Search(len(rest), func(i int) bool {
		return rest[i].at >= at
	})
	if i == 0 {
		return 0
	}
	return rest[i-1].cumulative - a.expired
}

// total is the cumulative sum through the newest entry.
func (a *account) total() hingeids.QuotaUnits {
	if len(a.usages) == 0 {
		return a.expired
	}
	return a.usages[len(a.usages)-1].cumulative
}

// add appends the newest usage. A time before that of the last entry is raised to it.
func (a *account) add(u usage) {
	if n := len(a.usages); n > 0 && a.usages[n-1].at > u.at {
		u.at = a.usages[n-1].at
	}
	u.cumulative = a.total() + u.cost
	a.usages = append(a.usages, u)
	a.sum += u.cost
}

// minCompact is the number of expired entries below which the list isn't compacted.
const minCompact = 32

// expire removes usage from before a time. Usage of silent hosts continues to count (rule 4).
func (a *account) expire(before int64, isSilent func(hingeids.HostID) bool) {
	for a.first < len(a.usages) && a.usages[a.first].at < before {
		u := a.usages[a.first]
		a.first++
		a.expired = u.cumulative
		a.sum -= u.cost
		if u.cost > 0 && isSilent(u.reporter) {
			a.keepSilent(u)
		}
	}
	if a.first > minCompact && a.first > len(a.usages)/2 {
		a.usages = slices.Delete(a.usages, 0, a.first)
		a.first = 0
	}
}

func (a *account) keepSilent(u usage) {
	if a.silentUsage == nil {
		a.silentUsage = make(map[hingeids.HostID]hingeids.QuotaUnits)
	}
	a.silentUsage[u.reporter] += u.cost
	a.silentSum += u.cost
}

// clearSilent removes the usage retained for a host while it was silent.
func (a *account) clearSilent(host hingeids.HostID) {
	a.silentSum -= a.silentUsage[host]
	delete(a.silentUsage, host)
}

// remove cancels a usage. It leaves an entry of zero cost, so that the cumulative sums of the others needn't be recomputed.
func (a *account) remove(id ChargeID) {
	for i := len(a.usages) - 1; i >= a.first; i-- {
		if a.usages[i].id == id {
			a.sum -= a.usages[i].cost
			a.usages[i].cost = 0
			return
		}
	}
}

// merge adds reported usages that aren't counted yet and returns their sum.
func (a *account) merge(list []usage) hingeids.QuotaUnits {
	known := make(map[ChargeID]bool, len(a.usages)-a.first)
	for _, u := range a.usages[a.first:] {
		known[u.id] = true
	}
	var sum hingeids.QuotaUnits
	for _, u := range list {
		if !known[u.id] {
			a.usages = append(a.usages, u)
			sum += u.cost
		}
	}
	a.sum += sum
	a.rebuild()
	return sum
}

// rebuild sorts the entries and recomputes their cumulative sums.
func (a *account) rebuild() {
	slices.SortStableFunc(a.usages[a.first:], func(x, y usage) int {
		return cmp.Compare(x.at, y.at)
	})
	cumulative := a.expired
	for i := a.first; i < len(a.usages); i++ {
		cumulative += a.usages[i].cost
		a.usages[i].cumulative = cumulative
	}
}

// scale reduces the usage in proportion to a lowered quota (rule 8).
func (a *account) scale(quota hingeids.QuotaUnits) {
	previous := a.quota
	a.quota = quota
	if previous == 0 || quota >= previous {
		return
	}
	factor := float64(quota) / float64(previous)
	a.sum = 0
	for i := a.first; i < len(a.usages); i++ {
		a.usages[i].cost = hingeids.QuotaUnits(factor * float64(a.usages[i].cost))
		a.sum += a.usages[i].cost
	}
	a.silentSum = 0
	for h, n := range a.silentUsage {
		a.silentUsage[h] = hingeids.QuotaUnits(factor * float64(n))
		a.silentSum += a.silentUsage[h]
	}
	a.baseline = hingeids.QuotaUnits(factor * float64(a.baseline))
	a.reserved = 0
	a.rebuild()
}

// freeAt returns the time of the entry whose expiry frees shortfall units, after those reserved for earlier refusals, and the cumulative
// usage that has expired by then. It returns false if the entries in the window don't suffice.
func (a *account) freeAt(shortfall, cost hingeids.QuotaUnits) (at int64, target hingeids.QuotaUnits, found bool) {
	// A reservation matters only where it reaches beyond the shortfall of this request.
	target = max(a.reserved+cost, a.expired+shortfall)
	rest := a.usages[a.first:]
	i := sort.Search(len(rest), func(i int) bool {
		return rest[i].cumulative >= target
	})
	if i == len(rest) {
		return 0, target, false
	}
	return rest[i].at, target, true
}
