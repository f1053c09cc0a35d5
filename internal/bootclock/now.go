package bootclock

import "time"

// origin is the time of day at the start of the process, without a monotonic reading.
var origin = time.Now().Round(0)

// originReading is the reading of the clock at origin.
var originReading = reading()

// Now returns a time that differs from an earlier one of this process by the time that
// has passed between them, suspensions included. It carries no monotonic reading, so
// that it may not be compared with time.Now, and it never goes back. A call is a system
// call.
func Now() time.Time {
	return origin.Add(reading() - originReading)
}

// Since returns the time that has passed since earlier, a time that Now returned.
func Since(earlier time.Time) time.Duration {
	return Now().Sub(earlier)
}
