// Package hingeclock provides the clock for lease expiry and helpers for waiting.
//
// A host can be suspended for seconds. Its monotonic clock doesn't count that
// time, so a lease that is checked against it looks valid after the other voters
// have elected another leader. The wall clock can be set, also backward. The boot
// clock counts suspended time and is never set.
package hingeclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted, including suspended time, as
// an offset from the Unix epoch. It isn't a wall-clock time. The result has no
// monotonic clock reading, so that Sub compares boot times.
func BootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39. Without it leases can't be checked safely.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
