// Package bootclock reads the time since the VM started (CLOCK_BOOTTIME). Unlike the wall clock it is never
// stepped, and unlike the monotonic clock it keeps running while the VM is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"fuchsiabridge.example/common/eventlogger"
)

// Now returns the time since the VM started as a time.Time. It may be compared only with other values
// from this package. If the clock cannot be read, Now logs the error and returns the wall-clock time.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "call", "clock_gettime")
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// ToRuntimeTime converts t, an instant of this package's clock, to the Go runtime's clock, for use as a
// deadline of a connection or a context.
func ToRuntimeTime(t time.Time) time.Time { return time.Now().Add(t.Sub(Now())) }
