package claim

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
)

const (
	// jobBacklog is the number of jobs that may wait for the event loop.
	jobBacklog = 1024
	// syncInterval is the greatest age of the known end of the log.
	syncInterval = time.Second
	// storePause is how long requests are refused without trying after the
	// store failed.
	storePause = 250 * time.Millisecond
)

// Owner answers the requests for one shard. Claim and Report are safe for
// concurrent use while Run runs. Two owners of one shard may run at once.
type Owner struct {
	config OwnerConfig
	jobs   chan *job
	done   chan struct{}

	// The rest belongs to the event loop.
	log      *shardLog
	state    *state
	replayed bool
	next     uint64       // Sequence of the next entry.
	known    []knownEntry // Entries of the log, oldest first.
	knownAt  time.Time    // When next was known to be the end of the log.
	// voids are claims that hold their key though no caller was told so.
	voids map[string]core.Digest
	// unsettled holds, by batch, claims that were refused though their
	// entry may be in the log.
	unsettled map[string]unsettledBatch
	// restore holds claims that the store lost.
	restore     map[core.Digest]*heldKey
	refuseUntil time.Time
}

// NewOwner returns an owner that answers once Run is called.
func NewOwner(config OwnerConfig) *Owner {
	config = config.withDefaults()
	return &Owner{
		config:    config,
		jobs:      make(chan *job, jobBacklog),
		done:      make(chan struct{}),
		log:       newShardLog(config),
		state:     newState(config.TTL),
		voids:     make(map[string]core.Digest),
		unsettled: make(map[string]unsettledBatch),
	}
}

// Claim asks for the single run of a key. It blocks until the claim is in the
// log or refused, or ctx ends. With an error nothing will run under the claim:
// the caller must not run the call. A caller that gets Granted and cannot run
// the call reports it with NotRun.
func (o *Owner) Claim(ctx context.Context, r Request) (Verdict, error) {
	a := o.do(ctx, newClaimJob(r))
	return a.verdict, a.err
}

// Report records how a granted call ended. It blocks until the outcome is in
// the log or ctx ends, and may be repeated. It returns ErrNotRecorded when the
// store does not take it.
func (o *Owner) Report(ctx context.Context, outcome Outcome) error {
	return o.do(ctx, newOutcomeJob(outcome)).err
}

func (o *Owner) do(ctx context.Context, j *job) answer {
	select {
	case o.jobs <- j:
	case <-ctx.Done():
		return answer{err: ctx.Err()}
	case <-o.done:
		return answer{err: ErrStopped}
	}
	select {
	case a := <-j.answers:
		return a
	case <-ctx.Done():
		return o.abandon(j, ctx.Err())
	case <-o.done:
		return o.abandon(j, ErrStopped)
	}
}

func (o *Owner) abandon(j *job, err error) answer {
	if j.abandon() {
		return answer{err: err}
	}
	return <-j.answers
}

// Run answers requests until ctx ends. Claims that are then granted but not
// told to their callers stay held until they expire.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	var due time.Time
	var pending []*job
	for {
		if err := o.collect(ctx, &pending, due); err != nil {
			o.refuse(pending, o.config.BatchInterval)
			return nil
		}
		before := o.log.writes
		started := time.Now()
		pending = o.flush(ctx, pending)
		writes := time.Duration(o.log.writes - before)
		due = started.Add(writes * o.config.BatchInterval)
	}
}

// collect waits for jobs until the next write is due.
func (o *Owner) collect(ctx context.Context, pending *[]*job, dueAt time.Time) error {
	if err := o.waitForWork(ctx, pending); err != nil {
		return err
	}
	due := time.NewTimer(time.Until(dueAt))
	defer due.Stop()
	for {
		select {
		case j := <-o.jobs:
			*pending = append(*pending, j)
			if len(*pending) >= maxBatchRecords {
				return o.waitUntilDue(ctx, due)
			}
		case <-due.C:
			o.drain(pending)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitForWork blocks until there is a job, or records of the owner's own
// should be written.
func (o *Owner) waitForWork(ctx context.Context, pending *[]*job) error {
	if len(*pending) > 0 {
		return nil
	}
	var own <-chan time.Time
	if o.hasOwnRecords() {
		timer := time.NewTimer(storePause)
		defer timer.Stop()
		own = timer.C
	}
	select {
	case j := <-o.jobs:
		*pending = append(*pending, j)
		return nil
	case <-own:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *Owner) waitUntilDue(ctx context.Context, due *time.Timer) error {
	select {
	case <-due.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain takes the jobs that are there without waiting.
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
