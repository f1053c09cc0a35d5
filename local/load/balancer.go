package load

import "sync/atomic"

// balancer spreads calls over the entries in turn.
type balancer struct {
	entries []string
	turn    atomic.Uint64
}

// pick returns the number of the entry for a call.
func (b *balancer) pick() int {
	return int(b.turn.Add(1) % uint64(len(b.entries)))
}

// other returns the entry for the n-th resend of a call.
func (b *balancer) other(first, resend int) int {
	return (first + resend) % len(b.entries)
}

func (b *balancer) url(entry int, path string) string {
	return "http://" + b.entries[entry] + path
}
