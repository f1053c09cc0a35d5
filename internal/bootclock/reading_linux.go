package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// reading returns the reading of CLOCK_BOOTTIME.
func reading() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux that Go supports has this clock.
		panic("bootclock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
