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

// resendEntry returns the index of the entry for the n-th resend of a call that was
// first sent to the entry first.
func (b *balancer) resendEntry(first, resend int) int {
	return (first + resend) % len(b.entries)
}

func (b *balancer) url(entry int, path string) string {
	return "http://" + b.entries[entry] + path
}
