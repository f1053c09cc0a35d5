package claim

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/backing"
)

// maxAttempts bounds the writes of one flush. If other processes write first
// every time, the jobs are refused.
const maxAttempts = 8

// flush completes the jobs, with at most one committed entry. It returns the
// jobs that the entry had no room for.
func (o *Owner) flush(ctx context.Context, jobs []*job) []*job {
	now := o.config.Now()
	if now.Before(o.refuseUntil) {
		o.refuse(jobs, o.refuseUntil.Sub(now))
		return nil
	}
	for range maxAttempts {
		if err := o.sync(ctx, syncInterval); err != nil {
			o.handleStoreFailure(err, jobs)
			return nil
		}
		d, remaining := o.draftEntry(jobs)
		if d.empty() {
			return remaining
		}
		err := o.write(ctx, d)
		switch {
		case d.committed:
			o.completeJobs(d)
			o.deleteExpired(ctx)
			return remaining
		case err != nil:
			o.recordUncertainBatch(d)
			o.handleStoreFailure(err, jobs)
			return nil
		}
	}
	o.refuse(jobs, o.config.BatchInterval)
	return nil
}

// write tries to append the draft to the log. If it returns nil and the draft is
// not committed, another entry was written first and has been read.
func (o *Owner) write(ctx context.Context, d *draft) error {
	entry := logEntry{sequence: o.nextSequence, batch: d.batch}
	started := o.config.BootNow()
	version, err := o.log.create(ctx, entry)
	if err == nil {
		entry.version = version
		if !o.viewIsFresh() {
			o.replayed = false
			return errStaleView
		}
		o.applyEntry(entry, d)
		o.syncedAt = started
		return nil
	}
	var unavailable *backing.UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	return o.readBack(ctx, d, err)
}

// maxViewAge is how long an owner may rely on its view of the log's end.
func (o *Owner) maxViewAge() time.Duration {
	return o.config.TTL / 2
}

// viewIsFresh reports whether an entry that was just written is certainly at the
// end of the log. After a long pause it may not be: another owner's entry with
// the same sequence number may have been written and deleted meanwhile.
func (o *Owner) viewIsFresh() bool {
	return o.config.BootNow().Sub(o.syncedAt) < o.maxViewAge()
}

// readBack reads the log after a failed write. It returns cause if the write
// may still take effect.
func (o *Owner) readBack(ctx context.Context, d *draft, cause error) error {
	nextBefore := o.nextSequence
	if err := o.syncMatching(ctx, 0, d); err != nil {
		return cause
	}
	if d.committed || o.nextSequence > nextBefore {
		return nil
	}
	return cause
}

func (o *Owner) handleStoreFailure(err error, jobs []*job) {
	o.refuseUntil = o.config.Now().Add(storeBackoff)
	o.config.Logger.Warn("claims refused", "shard", o.config.Shard, "error", err)
	o.refuse(jobs, storeBackoff)
}

// refuse completes the jobs without a write.
func (o *Owner) refuse(jobs []*job, retryAfter time.Duration) {
	for _, j := range jobs {
		if j.outcome != nil {
			j.complete(jobResult{err: ErrNotRecorded})
			continue
		}
		j.complete(jobResult{verdict: Verdict{Kind: Refused, RetryAfter: retryAfter}})
	}
}
