// Package clock reads CLOCK_BOOTTIME, which continues to advance while a VM is
// suspended, unlike the monotonic clock of package time. It supports Linux only.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the VM booted, including time suspended. It panics
// with an *UnsupportedError if the kernel lacks CLOCK_BOOTTIME.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux since 2.6.39.
		panic(&UnsupportedError{Cause: err})
	}
	return time.Duration(ts.Nano())
}

// UnsupportedError reports a kernel without CLOCK_BOOTTIME.
type UnsupportedError struct{ Cause error }

func (e *UnsupportedError) Error() string {
	return "CLOCK_BOOTTIME is not available: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsupportedError) Unwrap() error { return e.Cause }
