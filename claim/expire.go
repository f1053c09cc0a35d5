package claim

import (
	"context"
	"time"
)

// maxDeletesPerFlush bounds the entries deleted after one write.
const maxDeletesPerFlush = 2

// deleteExpired removes the oldest entries once their claims have expired,
// strictly in order and never the last one. After a failed delete it stops until
// the next flush.
func (o *Owner) deleteExpired(ctx context.Context) {
	now := o.config.Now()
	for range maxDeletesPerFlush {
		if len(o.appliedEntries) < 2 || !o.deletable(o.appliedEntries[0], now) {
			return
		}
		if err := o.log.remove(ctx, o.appliedEntries[0]); err != nil {
			return
		}
		o.appliedEntries = o.appliedEntries[1:]
	}
}

// deletable reports whether an entry's claims have expired and every owner that
// has not read the entry no longer relies on its view of the log. The second
// condition matters for an entry whose write was delayed.
func (o *Owner) deletable(e appliedEntry, now time.Time) bool {
	expired := now.Sub(e.draftedAt) >= o.config.TTL+o.config.ClockSkew
	return expired && o.config.BootNow().Sub(e.appliedAt) > o.maxViewAge()
}
