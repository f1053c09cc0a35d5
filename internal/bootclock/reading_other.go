//go:build !linux

package bootclock

import "time"

var monotonicOrigin = time.Now()

// reading returns a reading of the monotonic clock, which may leave out suspensions.
func reading() time.Duration {
	return time.Since(monotonicOrigin)
}
