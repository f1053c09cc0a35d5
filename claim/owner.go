package claim

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
)

const (
	// jobBacklog is the number of jobs that may wait for the event loop.
	jobBacklog = 1024
	// syncInterval is the age of an owner's view of the log from which a flush
	// reads the log again.
	syncInterval = time.Second
	// storeBackoff is how long requests are refused without a store call after
	// the store failed.
	storeBackoff = 250 * time.Millisecond
)

// Owner answers the requests for one shard. Claim and Report are safe for
// concurrent use while Run runs. Two owners of one shard may run at once.
type Owner struct {
	config OwnerConfig
	jobs   chan *job
	done   chan struct{}

	// Only the event loop uses the fields below.
	log            *shardLog
	state          *shardState
	replayed       bool
	nextSequence   uint64         // Sequence number of the next entry.
	appliedEntries []appliedEntry // Entries still in the log, oldest first.
	syncedAt       time.Time      // When nextSequence was the end of the log, by OwnerConfig.BootNow.
	// pendingVoids maps claim identifiers to keys. These claims hold their keys
	// although their callers were not granted them, and are to be voided.
	pendingVoids map[string]core.Digest
	// uncertainBatches holds, by batch identifier, claims that were refused
	// although their entry may be in the log.
	uncertainBatches map[string]uncertainBatch
	// lostClaims holds, by key, claims that the store lost and that are to be
	// written again.
	lostClaims  map[core.Digest]*activeClaim
	refuseUntil time.Time
}

// NewOwner returns an owner that answers once Run is called.
func NewOwner(config OwnerConfig) *Owner {
	config = config.withDefaults()
	return &Owner{
		config:           config,
		jobs:             make(chan *job, jobBacklog),
		done:             make(chan struct{}),
		log:              newShardLog(config),
		state:            newShardState(config.TTL),
		pendingVoids:     make(map[string]core.Digest),
		uncertainBatches: make(map[string]uncertainBatch),
	}
}

// Claim claims a key for the only run of its call. It blocks until the claim is
// in the log or refused, or ctx ends. After an error the caller must not run the
// call: nothing runs under the claim. A caller that gets Granted and cannot run
// the call reports NotRun.
func (o *Owner) Claim(ctx context.Context, r Request) (Verdict, error) {
	result := o.submit(ctx, newClaimJob(r))
	return result.verdict, result.err
}

// Report records how a granted call ended. It blocks until the outcome is in
// the log or ctx ends, and may be repeated. It returns ErrNotRecorded if the
// outcome cannot be written.
func (o *Owner) Report(ctx context.Context, outcome Outcome) error {
	return o.submit(ctx, newOutcomeJob(outcome)).err
}

func (o *Owner) submit(ctx context.Context, j *job) jobResult {
	select {
	case o.jobs <- j:
	case <-ctx.Done():
		return jobResult{err: ctx.Err()}
	case <-o.done:
		return jobResult{err: ErrStopped}
	}
	select {
	case result := <-j.results:
		return result
	case <-ctx.Done():
		return o.abandon(j, ctx.Err())
	case <-o.done:
		return o.abandon(j, ErrStopped)
	}
}

func (o *Owner) abandon(j *job, err error) jobResult {
	if j.abandon() {
		return jobResult{err: err}
	}
	return <-j.results
}

// Run answers requests until ctx ends. Claims that are in the log by then but whose
// callers got no verdict keep their keys until they expire.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	var nextWriteAt time.Time
	var pending []*job
	for {
		if err := o.collectJobs(ctx, &pending, nextWriteAt); err != nil {
			o.refuse(pending, o.config.BatchInterval)
			return nil
		}
		writesBefore := o.log.writes
		started := time.Now()
		pending = o.flush(ctx, pending)
		writes := time.Duration(o.log.writes - writesBefore)
		nextWriteAt = started.Add(writes * o.config.BatchInterval)
	}
}

// collectJobs waits for jobs until the next write is due.
func (o *Owner) collectJobs(ctx context.Context, pending *[]*job, nextWriteAt time.Time) error {
	if err := o.waitForWork(ctx, pending); err != nil {
		return err
	}
	writeTimer := time.NewTimer(time.Until(nextWriteAt))
	defer writeTimer.Stop()
	for {
		select {
		case j := <-o.jobs:
			*pending = append(*pending, j)
			if len(*pending) >= maxBatchRecords {
				return o.waitUntilDue(ctx, writeTimer)
			}
		case <-writeTimer.C:
			o.drain(pending)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitForWork blocks until there is a job or the owner's own records, which void
// and restore claims, are due.
func (o *Owner) waitForWork(ctx context.Context, pending *[]*job) error {
	if len(*pending) > 0 {
		return nil
	}
	var ownRecordsDue <-chan time.Time
	if o.hasOwnRecords() {
		timer := time.NewTimer(storeBackoff)
		defer timer.Stop()
		ownRecordsDue = timer.C
	}
	select {
	case j := <-o.jobs:
		*pending = append(*pending, j)
		return nil
	case <-ownRecordsDue:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *Owner) waitUntilDue(ctx context.Context, writeTimer *time.Timer) error {
	select {
	case <-writeTimer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain takes queued jobs without blocking, up to a full batch.
func (o *Owner) drain(pending *[]*job) {
	for len(*pending) < maxBatchRecords {
		select {
		case j := <-o.jobs:
			*pending = append(*pending, j)
		default:
			return
		}
	}
}
