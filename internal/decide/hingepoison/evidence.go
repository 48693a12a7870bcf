package hingepoison

import (
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// evidence returns the number of crashes that no other request explains, and the probability that they are a coincidence (rule 3).
func (d *Detector) evidence(now time.Time, fp hingeids.Fingerprint, s *suspect, servers func() int) (int, float64) {
	count, chance := 0, 1.0
	if len(s.crashes) < minCrashes {
		return count, chance
	}
	rate := d.rate(now, s.service, servers(), func(id hingeids.ServerID) bool {
		_, own := s.crashes[id]
		return own
	})
	for id, x := range s.crashes {
		if d.explainedByOther(fp, s, id) {
			continue
		}
		count++
		chance *= -math.Expm1(-rate * max(x.held, minHeld).Seconds())
	}
	return count, chance
}

// explainedByOther reports whether the crashed server had another request with more crashes.
func (d *Detector) explainedByOther(fp hingeids.Fingerprint, s *suspect, id hingeids.ServerID) bool {
	return slices.ContainsFunc(d.onServer[id], func(other hingeids.Fingerprint) bool {
		return other != fp && len(d.suspects[other].crashes) > len(s.crashes)
	})
}

// rate returns the crashes per server and second that aren't a request's or part's own, over rateWindow or shortWindow, whichever is higher.
func (d *Detector) rate(now time.Time, s hingeids.Service, servers int, isOwn func(hingeids.ServerID) bool) float64 {
	long, short := unseenCrashes, 0.0
	for id, at := range d.recent[s] {
		if isOwn(id) || now.Sub(at) >= rateWindow {
			continue
		}
		long++
		if now.Sub(at) < shortWindow {
			short++
		}
	}
	return max(long/rateWindow.Seconds(), short/shortWindow.Seconds()) / float64(max(servers, 1))
}
