package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// errStaleView reports an owner that was paused for so long that its view of the
// log is not reliable.
var errStaleView = eris.New("the owner's view of the log is too old")

// sync applies the entries after the last applied one, unless the owner's view
// of the log is younger than maxAge.
func (o *Owner) sync(ctx context.Context, maxAge time.Duration) error {
	return o.syncMatching(ctx, maxAge, nil)
}

// syncMatching does the same as sync, and marks d as committed if it finds d's
// entry.
func (o *Owner) syncMatching(ctx context.Context, maxAge time.Duration, d *draft) error {
	startedAt := o.config.BootNow()
	age := startedAt.Sub(o.syncedAt)
	if o.replayed && age < maxAge {
		return nil
	}
	now := o.config.Now()
	o.expireUncertainBatches(startedAt)
	var err error
	if !o.replayed || age >= o.config.TTL {
		err = o.replay(ctx, now, d)
	} else {
		err = o.catchUp(ctx, now, d)
	}
	if err == nil {
		o.syncedAt = startedAt
	}
	return err
}

// overlapEntries is the number of applied entries that catchUp reads again to
// detect that the store lost part of the log.
const overlapEntries = 2

// catchUp reads the log from the last applied entries on. If they are missing,
// the store has lost part of the log or they have expired, and the whole log is
// replayed.
func (o *Owner) catchUp(ctx context.Context, now time.Time, d *draft) error {
	overlap := o.appliedEntries[max(len(o.appliedEntries)-overlapEntries, 0):]
	from := o.nextSequence - uint64(len(overlap))
	entries, err := o.log.read(ctx, from)
	if err != nil {
		return err
	}
	if !startsWith(entries, overlap) {
		return o.replay(ctx, now, d)
	}
	o.applyAll(entries[len(overlap):], now, d)
	return nil
}

func startsWith(entries []logEntry, known []appliedEntry) bool {
	if len(entries) < len(known) {
		return false
	}
	for i, k := range known {
		if entries[i].sequence != k.sequence || entries[i].batch.GetId() != k.batchID {
			return false
		}
	}
	return true
}

// replay rebuilds the state from the whole log. Claims that this owner knows
// and the log lost are kept and written again.
func (o *Owner) replay(ctx context.Context, now time.Time, d *draft) error {
	entries, err := o.log.read(ctx, 0)
	if err != nil {
		return err
	}
	previous := o.state
	o.state = newShardState(o.config.TTL)
	o.appliedEntries = nil
	o.nextSequence = 0
	o.applyAll(entries, now, d)
	o.restoreLostClaims(previous, entries, now)
	o.replayed = true
	return nil
}

// applyAll applies entries in order. An entry after a gap was written by an
// owner that did not know that the store had lost entries: it takes effect once
// the gap is filled. A gap after an expired entry was left by an owner that wrote
// after a long pause, and is skipped.
func (o *Owner) applyAll(entries []logEntry, now time.Time, d *draft) {
	for _, entry := range entries {
		if n := len(o.appliedEntries); n > 0 && entry.sequence != o.nextSequence {
			if now.Sub(o.appliedEntries[n-1].draftedAt) < o.config.TTL {
				return
			}
		}
		o.applyEntry(entry, d)
	}
}

// restoreLostClaims keeps the claims of the previous state that are missing from
// the log.
func (o *Owner) restoreLostClaims(previous *shardState, entries []logEntry, now time.Time) {
	o.lostClaims = make(map[core.Digest]*activeClaim)
	logged := loggedClaimIDs(entries)
	for key := range previous.claims {
		holder := previous.lookup(key, now)
		if holder == nil || logged[holder.id] || o.state.lookup(key, now) != nil {
			continue
		}
		o.lostClaims[key] = holder
		o.state.put(key, holder)
	}
	if len(o.lostClaims) > 0 {
		o.config.Logger.Warn("key-value service lost claims, writing them again", "shard", o.config.Shard, "claims", len(o.lostClaims))
	}
}

func loggedClaimIDs(entries []logEntry) map[string]bool {
	ids := make(map[string]bool)
	for _, entry := range entries {
		for _, r := range entry.batch.GetRecords() {
			ids[r.GetClaim()] = true
		}
	}
	return ids
}

// expireUncertainBatches forgets batches whose claims have expired.
func (o *Owner) expireUncertainBatches(now time.Time) {
	for id, batch := range o.uncertainBatches {
		if now.Sub(batch.failedAt) > o.config.TTL {
			delete(o.uncertainBatches, id)
		}
	}
}
