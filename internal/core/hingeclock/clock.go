// Package hingeclock reads the clock that leases are judged by.
//
// A host can be suspended for seconds. Its steady clock doesn't count that time,
// so a lease judged by it looks valid long after the others have elected another
// leader; the time of day can be set, backward too. The boot clock counts
// suspended time and is never set.
package hingeclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot gives the time since the machine started, as a time whose differences
// count suspended time too. It isn't a time of day. The result carries no
// reading of the steady clock, so that Sub compares boot times.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be trusted.
		panic("no boot clock: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
