// Package bootclock reads a clock that counts the time during which the machine is
// suspended and ignores steps of the time of day. Go's monotonic clock stands still
// during a suspension.
//
// Go's timers, and with them context deadlines, run on the monotonic clock.
package bootclock
