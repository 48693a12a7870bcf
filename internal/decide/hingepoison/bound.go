package hingepoison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// bound enforces maxSuspects (rule 6). It removes a quarter at once to amortize the sorting.
func (d *Detector) bound() {
	if len(d.suspects) <= maxSuspects {
		return
	}
	for _, fp := range leastSuspect(d.suspects, maxSuspects/4, func(s *suspect) (int, time.Time) {
		return len(s.crashes), s.lastCrash
	}) {
		d.forget(fp)
	}
}

// leastSuspect returns the n entries with the fewest crashes, of those with as many the ones whose last crash is the longest ago.
func leastSuspect[T any](all map[hingeids.Fingerprint]T, n int, evidence func(T) (crashes int, last time.Time)) []hingeids.Fingerprint {
	order := slices.SortedFunc(maps.Keys(all), func(a, b hingeids.Fingerprint) int {
		crashes, last := evidence(all[a])
		otherCrashes, otherLast := evidence(all[b])
		return cmp.Or(cmp.Compare(crashes, otherCrashes), last.Compare(otherLast), cmp.Compare(a, b))
	})
	return order[:n]
}

func (d *Detector) forget(fp hingeids.Fingerprint) {
	s := d.suspects[fp]
	for id := range s.crashes {
		d.remove(fp, s, id)
	}
	delete(d.suspects, fp)
}

func (d *Detector) remove(fp hingeids.Fingerprint, s *suspect, id hingeids.ServerID) {
	delete(s.crashes, id)
	rest := slices.DeleteFunc(d.onServer[id], func(other hingeids.Fingerprint) bool {
		return other == fp
	})
	if len(rest) == 0 {
		delete(d.onServer, id)
		return
	}
	d.onServer[id] = rest
}
