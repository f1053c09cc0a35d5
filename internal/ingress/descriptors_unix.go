//go:build unix

package ingress

import "syscall"

// reservedDescriptors are kept for connections to endpoints, to the store and between processes, as
// far as that is at most half of all.
const reservedDescriptors = 1024

// DefaultMaxConns returns the default bound of the connections of callers.
func DefaultMaxConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return fallbackMaxConns
	}
	descriptors := int(limit.Cur) //nolint:gosec // It is at most 1<<20.
	return max(descriptors-reservedDescriptors, descriptors/2, 1)
}
