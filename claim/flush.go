package claim

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/platform"
)

// maxAttempts bounds the writes of one flush; another process that wins every
// time makes the jobs refused.
const maxAttempts = 8

// flush answers the jobs, with at most one landed entry. It returns the jobs
// that the entry had no room for.
func (o *Owner) flush(ctx context.Context, jobs []*job) []*job {
	now := o.config.Now()
	if now.Before(o.refuseUntil) {
		o.refuse(jobs, o.refuseUntil.Sub(now))
		return nil
	}
	for range maxAttempts {
		if err := o.sync(ctx, syncInterval); err != nil {
			o.storeFailed(err, jobs)
			return nil
		}
		d, later := o.draft(jobs)
		if d.empty() {
			return later
		}
		err := o.write(ctx, d)
		switch {
		case d.landed:
			o.settle(d)
			o.deleteExpired(ctx)
			return later
		case err != nil:
			o.keepUnsettled(d)
			o.storeFailed(err, jobs)
			return nil
		}
	}
	o.refuse(jobs, o.config.BatchInterval)
	return nil
}

// write tries to put the draft at the end of the log. Without an error and
// without landing, another entry came first and has been read.
func (o *Owner) write(ctx context.Context, d *draft) error {
	entry := logEntry{sequence: o.next, batch: d.batch}
	started := o.config.Now()
	version, err := o.log.create(ctx, entry)
	if err == nil {
		entry.version = version
		if !o.trusted() {
			o.replayed = false
			return errStale
		}
		o.applyEntry(entry, d)
		o.knownAt = started
		return nil
	}
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	return o.readBack(ctx, d, err)
}

// trustTime is how long the known end of the log may be relied on.
func (o *Owner) trustTime() time.Duration {
	return o.config.TTL / 2
}

// trusted reports whether an entry that was just written is surely at the end
// of the log. It is not after a long pause, when an entry of another owner at
// the same place may have come and gone.
func (o *Owner) trusted() bool {
	return o.config.Now().Sub(o.knownAt) < o.trustTime()
}

// readBack reads the log after a failed write. It returns cause if the write
// may still take effect.
func (o *Owner) readBack(ctx context.Context, d *draft, cause error) error {
	next := o.next
	if err := o.syncDraft(ctx, 0, d); err != nil {
		return cause
	}
	if d.landed || o.next > next {
		return nil
	}
	return cause
}

// draft answers the jobs that need no write and drafts an entry for the rest.
func (o *Owner) draft(jobs []*job) (*draft, []*job) {
	now := o.config.Now()
	o.state.sweep(now)
	d := newDraft(o.config.NewID(), now)
	o.draftOwn(d)
	for i, j := range jobs {
		if d.full() {
			return d, jobs[i:]
		}
		if j.state.Load() == jobWaiting {
			o.draftJob(d, j, now)
		}
	}
	return d, nil
}

func (o *Owner) draftJob(d *draft, j *job, now time.Time) {
	if j.outcome != nil {
		if o.state.open(j.key, j.claim) {
			d.add(j.outcome, j)
			return
		}
		j.answer(answer{})
		return
	}
	held := o.state.lookup(j.key, now)
	if held == nil {
		held = d.taken[j.key]
	}
	switch {
	case held != nil:
		j.answer(answer{verdict: held.verdict(j.request.RequestDigest)})
	case len(o.state.keys)+len(d.taken) >= o.config.MaxKeys:
		o.refuse([]*job{j}, time.Second)
	default:
		d.taken[j.key] = &heldKey{claim: j.claim, request: j.request.RequestDigest, at: now}
		d.add(claimedRecord(j.key, j.claim, j.request.RequestDigest, now), j)
	}
}

func (o *Owner) hasOwnRecords() bool {
	return len(o.voids)+len(o.restore) > 0
}

// draftOwn adds the claims to be restored and voided.
func (o *Owner) draftOwn(d *draft) {
	for key, held := range o.restore {
		if d.full() {
			return
		}
		d.restored = append(d.restored, key)
		d.add(claimedRecord(key, held.claim, held.request, held.at), nil)
		if held.ended != nil {
			d.add(endedRecord(key, held.claim, held.ended), nil)
		}
	}
	for claim, key := range o.voids {
		if d.full() {
			return
		}
		if o.state.open(key, claim) {
			d.add(voidedRecord(key, claim), nil)
		} else {
			delete(o.voids, claim)
		}
	}
}

// settle answers the jobs of an entry that is in the log.
func (o *Owner) settle(d *draft) {
	for _, key := range d.restored {
		delete(o.restore, key)
	}
	for i, j := range d.jobs {
		if j == nil {
			continue
		}
		if j.outcome != nil {
			j.answer(answer{})
			continue
		}
		o.settleClaim(j, d.effective[i])
	}
}

// settleClaim grants a claim whose record took the key. Nobody runs a grant
// that its caller did not wait for, so it is voided.
func (o *Owner) settleClaim(j *job, effective bool) {
	if !effective {
		j.answer(answer{verdict: Verdict{Kind: Held}})
		return
	}
	if !j.answer(answer{verdict: Verdict{Kind: Granted}}) {
		o.voids[j.claim] = j.key
	}
}

// keepUnsettled remembers the claims of a draft that may land later.
func (o *Owner) keepUnsettled(d *draft) {
	claims := make(map[string]core.Digest)
	for _, j := range d.jobs {
		if j != nil && j.request != nil {
			claims[j.claim] = j.key
		}
	}
	o.unsettled[d.batch.GetId()] = unsettledBatch{at: o.config.Now(), claims: claims}
}

func (o *Owner) storeFailed(err error, jobs []*job) {
	o.refuseUntil = o.config.Now().Add(storePause)
	o.config.Logger.Warn("claims refused", "shard", o.config.Shard, "error", err)
	o.refuse(jobs, storePause)
}

// refuse ends the jobs without a write.
func (o *Owner) refuse(jobs []*job, retryAfter time.Duration) {
	for _, j := range jobs {
		if j.outcome != nil {
			j.answer(answer{err: ErrNotRecorded})
			continue
		}
		j.answer(answer{verdict: Verdict{Kind: Refused, RetryAfter: retryAfter}})
	}
}

// applyEntry changes the state by an entry. d is the draft being written, if
// any.
func (o *Owner) applyEntry(entry logEntry, d *draft) {
	id := entry.batch.GetId()
	effective := o.applyRecords(entry.batch.GetRecords())
	o.next = entry.sequence + 1
	o.known = append(o.known, knownEntry{
		sequence: entry.sequence,
		version:  entry.version,
		batch:    id,
		at:       entry.at(),
		seenAt:   o.config.Now(),
	})
	if d != nil && d.batch.GetId() == id {
		d.landed = true
		d.effective = effective
	}
	if lost, ok := o.unsettled[id]; ok {
		delete(o.unsettled, id)
		for claim, key := range lost.claims {
			o.voids[claim] = key
		}
	}
}

func (o *Owner) applyRecords(records []*claimpb.Record) []bool {
	effective := make([]bool, len(records))
	for i, r := range records {
		effective[i] = o.state.apply(r)
	}
	return effective
}
