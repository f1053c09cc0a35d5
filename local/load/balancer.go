package load

import "sync/atomic"

// balancer distributes calls over the entries by round robin.
type balancer struct {
	entries []string
	calls   atomic.Uint64
}

// next returns the index of the entry for the next call.
func (b *balancer) next() int {
	return int(b.calls.Add(1) % uint64(len(b.entries)))
}

// resendEntry returns the index of the entry for resend resendNumber of a call whose
// first send went to firstEntry.
func (b *balancer) resendEntry(firstEntry, resendNumber int) int {
	return (firstEntry + resendNumber) % len(b.entries)
}

func (b *balancer) url(entry int, path string) string {
	return "http://" + b.entries[entry] + path
}
