package hingequota

import "time"

// hostsLast is how long the highest number of hosts stands that was counted: as long as a silent host is taken to go on.
const hostsLast = forgetAfter

// hosts counts the hosts that share a quota. How many there are is known from those that are heard: on each side of a cut the
// number falls to that side's own, and if parts were worked out by it, the sides together would give out more than there is.
type hosts struct {
	most int
	at   time.Time
}

// count takes a number that was counted, and gives the one that parts are worked out by.
func (h *hosts) count(now time.Time, n int) int {
	if n >= h.most || now.Sub(h.at) > hostsLast {
		h.most = n
		h.at = now
	}
	return max(h.most, 1)
}
