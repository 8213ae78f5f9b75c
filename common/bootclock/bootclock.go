// Package bootclock reads a clock that neither jumps nor stands still while the VM is
// suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"fuchsiabridge.example/common/eventlogger"
)

// Now returns the time since the VM's start as an instant; it is comparable only with
// others of this package.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "call", "clock_gettime")
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Local returns the instant of the runtime's clock that is as far from now as t is, for
// deadlines of connections and contexts.
func Local(t time.Time) time.Time { return time.Now().Add(t.Sub(Now())) }
