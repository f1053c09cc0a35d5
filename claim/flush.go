package claim

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/backing"
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
	var unavailable *backing.UnavailableError
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
