// Package sharedrate divides the rate of requests that an endpoint bears among entries that
// decide for themselves, and says when an endpoint is cold. It uses no I/O, no clock and no
// network: callers pass the time, which has to be monotonic.
//
// A cold endpoint bears a bounded number of requests within any one second from all entries
// together, including those that are cut off from the others. The shares are therefore equal,
// and computed from the largest number of entries that was known lately.
package sharedrate
