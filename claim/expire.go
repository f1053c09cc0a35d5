package claim

import (
	"context"
	"time"
)

// maxDeletes bounds the entries deleted after one write.
const maxDeletes = 2

// deleteExpired removes the oldest entries once their claims have expired,
// strictly in order and never the last one. Without an answer to a delete it
// stops until the next time.
func (o *Owner) deleteExpired(ctx context.Context) {
	now := o.config.Now()
	for range maxDeletes {
		if len(o.known) < 2 || !o.deletable(o.known[0], now) {
			return
		}
		if err := o.log.remove(ctx, o.known[0]); err != nil {
			return
		}
		o.known = o.known[1:]
	}
}

// deletable reports whether an entry's claims have expired and every owner
// that does not know the entry has ceased to trust its own view of the log. The
// second matters for an entry whose write was delayed.
func (o *Owner) deletable(e knownEntry, now time.Time) bool {
	expired := now.Sub(e.at) >= o.config.TTL+o.config.ClockSkew
	return expired && now.Sub(e.seenAt) > o.trustTime()
}
