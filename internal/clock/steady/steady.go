// Package steady reads a clock that never goes back and that includes the time during which the host
// was suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an unspecified start. The monotonic clock of package time stops while a
// host is suspended, so that data received before would appear fresh after it, although other hosts
// kept running for seconds. Now panics if the system has no such clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All kernels that the program supports have this clock.
		panic("boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
