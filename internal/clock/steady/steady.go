// Package steady reads a clock that only goes forward and counts the time in which
// the host stood still.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an unknown start. The monotonic clock of package time
// stops while a host is suspended: what was learnt before would then seem fresh
// after, though the world went on for seconds.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on each kernel that this program can run on.
		panic("boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
