package hingequota

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// use is one request that counts.
type use struct {
	id ChargeID
	// at is nanoseconds since the book began.
	at   int64
	cost hingeids.Units
	// through is the sum of this and all uses before it, those that have left the window included.
	through hingeids.Units
	owner   hingeids.HostID
}

// account is what is counted of one customer.
type account struct {
	// uses are in the order of their times, from first on; those before have left the window.
	uses  []use
	first int
	// sum is what counts of them, pending what was admitted and waits for its server.
	sum     hingeids.Units
	pending hingeids.Units
	// out is the sum of all that has left the window: uses leave it in the order of through.
	out hingeids.Units
	// silent is what hosts have used that are silent now, beyond what stands in uses (rule 4).
	silent    map[hingeids.HostID]hingeids.Units
	silentSum hingeids.Units
	// basis is rule 5.
	basis hingeids.Units
	// promised is up to where uses have to leave the window for all who were refused to have room (rule 7).
	promised hingeids.Units
	// promisedFaded is the share of what was forgotten that has to leave the window for all who were refused to have room.
	promisedFaded float64
	// asked and passed are what was asked and let through lately.
	asked  fading
	passed fading
	// quota is the one that uses were counted under last (rule 8).
	quota hingeids.Units
}

// used is all that counts.
func (a *account) used() hingeids.Units {
	return a.sum + a.pending + a.silentSum
}

// soonAsked is what will be asked within soon, at the pace of late.
func (a *account) soonAsked(now time.Time) float64 {
	return a.asked.value(now) * soon.Seconds() / fadeTime.Seconds()
}

// before is what counts of uses from before a time.
func (a *account) before(at int64) hingeids.Units {
	rest := a.uses[a.first:]
	i := sort.Search(len(rest), func(i int) bool {
		return rest[i].at >= at
	})
	if i == 0 {
		return 0
	}
	return rest[i-1].through - a.out
}

// last is the sum through the last use.
func (a *account) last() hingeids.Units {
	if len(a.uses) == 0 {
		return a.out
	}
	return a.uses[len(a.uses)-1].through
}

// add counts a use, which is the newest.
func (a *account) add(u use) {
	if n := len(a.uses); n > 0 && a.uses[n-1].at > u.at {
		u.at = a.uses[n-1].at
	}
	u.through = a.last() + u.cost
	a.uses = append(a.uses, u)
	a.sum += u.cost
}

// leastCompacted keeps short lists from being moved for every use that leaves.
const leastCompacted = 32

// expire forgets uses from before a time. Those of silent hosts go on to count (rule 4).
func (a *account) expire(before int64, isSilent func(hingeids.HostID) bool) {
	for a.first < len(a.uses) && a.uses[a.first].at < before {
		u := a.uses[a.first]
		a.first++
		a.out = u.through
		a.sum -= u.cost
		if u.cost > 0 && isSilent(u.owner) {
			a.keepSilent(u)
		}
	}
	if a.first > leastCompacted && a.first > len(a.uses)/2 {
		a.uses = slices.Delete(a.uses, 0, a.first)
		a.first = 0
	}
}

func (a *account) keepSilent(u use) {
	if a.silent == nil {
		a.silent = make(map[hingeids.HostID]hingeids.Units)
	}
	a.silent[u.owner] += u.cost
	a.silentSum += u.cost
}

// heard forgets what a host was taken to use while it was silent.
func (a *account) heard(owner hingeids.HostID) {
	a.silentSum -= a.silent[owner]
	delete(a.silent, owner)
}

// remove takes a use back. It leaves a use of nothing behind, so that the sums through the others stay true enough.
func (a *account) remove(id ChargeID) {
	for i := len(a.uses) - 1; i >= a.first; i-- {
		if a.uses[i].id == id {
			a.sum -= a.uses[i].cost
			a.uses[i].cost = 0
			return
		}
	}
}

// merge takes uses that another host has told of, but for those that count already, and gives the sum of the new ones.
func (a *account) merge(list []use) hingeids.Units {
	there := make(map[ChargeID]bool, len(a.uses)-a.first)
	for _, u := range a.uses[a.first:] {
		there[u.id] = true
	}
	var sum hingeids.Units
	for _, u := range list {
		if !there[u.id] {
			a.uses = append(a.uses, u)
			sum += u.cost
		}
	}
	a.sum += sum
	a.rebuild()
	return sum
}

// rebuild puts uses in order and works out the sums through them.
func (a *account) rebuild() {
	slices.SortStableFunc(a.uses[a.first:], func(x, y use) int {
		return cmp.Compare(x.at, y.at)
	})
	through := a.out
	for i := a.first; i < len(a.uses); i++ {
		through += a.uses[i].cost
		a.uses[i].through = through
	}
}

// scale is rule 8.
func (a *account) scale(quota hingeids.Units) {
	before := a.quota
	a.quota = quota
	if before == 0 || quota >= before {
		return
	}
	part := float64(quota) / float64(before)
	a.sum = 0
	for i := a.first; i < len(a.uses); i++ {
		a.uses[i].cost = hingeids.Units(part * float64(a.uses[i].cost))
		a.sum += a.uses[i].cost
	}
	a.silentSum = 0
	for h, n := range a.silent {
		a.silent[h] = hingeids.Units(part * float64(n))
		a.silentSum += a.silent[h]
	}
	a.basis = hingeids.Units(part * float64(a.basis))
	a.promised = 0
	a.rebuild()
}

// roomAt gives when so much more has left the window than has now, behind what is promised already, and where that is; false if the
// uses that count don't come to it.
func (a *account) roomAt(lacking, cost hingeids.Units) (at int64, upTo hingeids.Units, known bool) {
	// Room that was promised is what lies beyond what is lacking for this one alone.
	upTo = max(a.promised+cost, a.out+lacking)
	rest := a.uses[a.first:]
	i := sort.Search(len(rest), func(i int) bool {
		return rest[i].through >= upTo
	})
	if i == len(rest) {
		return 0, upTo, false
	}
	return rest[i].at, upTo, true
}
