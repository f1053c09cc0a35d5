package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// errStale reports an owner that was paused for so long that its view of the
// log cannot be trusted.
var errStale = eris.New("the known end of the log is too old")

// sync reads the entries after the known end of the log, unless the end was
// known more recently than maxAge ago.
func (o *Owner) sync(ctx context.Context, maxAge time.Duration) error {
	return o.syncDraft(ctx, maxAge, nil)
}

// syncDraft is sync that marks d when its entry is found.
func (o *Owner) syncDraft(ctx context.Context, maxAge time.Duration, d *draft) error {
	now := o.config.Now()
	age := now.Sub(o.knownAt)
	if o.replayed && age >= 0 && age < maxAge {
		return nil
	}
	o.dropUnsettled(now)
	if !o.replayed || age < 0 || age >= o.config.TTL {
		return o.replay(ctx, now, d)
	}
	return o.catchUp(ctx, now, d)
}

// checkedEntries is the number of known entries that catchUp reads again to
// see whether the store lost part of the log.
const checkedEntries = 2

// catchUp reads the log from its last known entries on. Without these the
// store has lost part of the log, or they have expired.
func (o *Owner) catchUp(ctx context.Context, now time.Time, d *draft) error {
	checked := o.known[max(len(o.known)-checkedEntries, 0):]
	from := o.next - uint64(len(checked))
	entries, err := o.log.read(ctx, from)
	if err != nil {
		return err
	}
	if !startsWith(entries, checked) {
		return o.replay(ctx, now, d)
	}
	o.applyAll(entries[len(checked):], now, d)
	o.knownAt = now
	return nil
}

func startsWith(entries []logEntry, known []knownEntry) bool {
	if len(entries) < len(known) {
		return false
	}
	for i, k := range known {
		if entries[i].sequence != k.sequence || entries[i].batch.GetId() != k.batch {
			return false
		}
	}
	return true
}

// replay builds the state from the whole log. Claims that this owner knows
// and the log lost are kept and written again.
func (o *Owner) replay(ctx context.Context, now time.Time, d *draft) error {
	entries, err := o.log.read(ctx, 0)
	if err != nil {
		return err
	}
	before := o.state
	o.state = newState(o.config.TTL)
	o.known = nil
	o.next = 0
	o.applyAll(entries, now, d)
	o.restoreLost(before, entries, now)
	o.replayed = true
	o.knownAt = now
	return nil
}

// applyAll applies entries in order. An entry after a gap was written by an
// owner that did not know that the store had lost entries: it counts once the
// log reaches it. A gap after an expired entry is left by an owner that wrote
// after a long pause, and is passed over.
func (o *Owner) applyAll(entries []logEntry, now time.Time, d *draft) {
	for _, entry := range entries {
		if n := len(o.known); n > 0 && entry.sequence != o.next {
			if now.Sub(o.known[n-1].at) < o.config.TTL {
				return
			}
		}
		o.applyEntry(entry, d)
	}
}

// restoreLost keeps the claims of before that the log does not mention.
func (o *Owner) restoreLost(before *state, entries []logEntry, now time.Time) {
	o.restore = make(map[core.Digest]*heldKey)
	mentioned := mentionedClaims(entries)
	for key := range before.keys {
		held := before.lookup(key, now)
		if held == nil || mentioned[held.claim] || o.state.lookup(key, now) != nil {
			continue
		}
		o.restore[key] = held
		o.state.hold(key, held)
	}
	if len(o.restore) > 0 {
		o.config.Logger.Warn("store lost claims", "shard", o.config.Shard, "claims", len(o.restore))
	}
}

func mentionedClaims(entries []logEntry) map[string]bool {
	claims := make(map[string]bool)
	for _, entry := range entries {
		for _, r := range entry.batch.GetRecords() {
			claims[r.GetClaim()] = true
		}
	}
	return claims
}

// dropUnsettled forgets batches whose claims have expired.
func (o *Owner) dropUnsettled(now time.Time) {
	for id, lost := range o.unsettled {
		if now.Sub(lost.at) > o.config.TTL {
			delete(o.unsettled, id)
		}
	}
}
