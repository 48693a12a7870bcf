package hingequota

import "time"

// hostCountTTL is how long the highest host count is kept: as long as a silent host is assumed to be running.
const hostCountTTL = forgetAfter

// hosts keeps the highest recent count of the hosts that share a quota. On each side of a partition only that side's hosts are seen; shares
// computed from these counts would add up to more than the quota.
type hosts struct {
	most int
	at   time.Time
}

// count records the number of hosts seen now and returns the number to compute shares with, at least 1.
func (h *hosts) count(now time.Time, n int) int {
	if n >= h.most || now.Sub(h.at) > hostCountTTL {
		h.most = n
		h.at = now
	}
	return max(h.most, 1)
}
