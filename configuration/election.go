package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

const decimalBase = 10

func randomFraction() float64 {
	return rand.Float64()
}

// Election campaigns for the lease of the one entry that executes plans.
type Election struct {
	cfg ElectionConfig
}

// NewElection returns an election. It makes no call.
func NewElection(cfg ElectionConfig) *Election {
	return &Election{cfg: cfg.withDefaults()}
}

// Campaign blocks until this entry holds the lease or ctx ends, and retries
// through outages. The lease is kept alive until ctx ends, it is lost or Release
// is called.
func (e *Election) Campaign(ctx context.Context) (*ExecutorLease, error) {
	backOff := newBackOff()
	for {
		lease, err := e.tryAcquire(ctx)
		if lease != nil {
			go lease.keepAlive(ctx)
			return lease, nil
		}
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "campaign for the executor's lease")
		}
		if err == nil {
			backOff.Reset()
			continue
		}
		delay := backOff.NextBackOff()
		e.cfg.Logger.WarnContext(ctx, "executor's lease cannot be acquired",
			"error", err.Error(), "retry_ms", delay.Milliseconds())
		_ = e.cfg.Clock.wait(ctx, delay)
	}
}

// tryAcquire waits until the lease is free and tries to acquire it once. If it
// returns neither a lease nor an error, another entry acquired it first.
func (e *Election) tryAcquire(ctx context.Context) (*ExecutorLease, error) {
	if err := e.waitUntilFree(ctx); err != nil {
		return nil, err
	}
	delay := time.Duration(e.cfg.Random() * float64(e.cfg.MaxElectionDelay))
	if err := e.cfg.Clock.wait(ctx, delay); err != nil {
		return nil, eris.Wrap(err, "wait before the election")
	}
	if entry, err := e.readHolder(ctx); err != nil || entry.Version != 0 {
		return nil, err
	}
	return e.acquire(ctx)
}

// waitUntilFree blocks while another entry holds the lease.
func (e *Election) waitUntilFree(ctx context.Context) error {
	entry, err := e.readHolder(ctx)
	for err == nil && entry.Version != 0 {
		entry, err = e.watchHolder(ctx, entry.Version)
	}
	return err
}

func (e *Election) watchHolder(ctx context.Context, version uint64) (backing.KeyValueEntry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, defaultWatchTimeout)
	defer cancel()
	entry, err := e.cfg.KeyValue.Watch(watchCtx, ExecutorKey, version)
	switch {
	case errors.Is(err, backing.ErrKeyNotFound):
		return backing.KeyValueEntry{}, nil
	case err != nil && watchCtx.Err() != nil && ctx.Err() == nil:
		return e.readHolder(ctx)
	case err != nil:
		return entry, eris.Wrap(err, "watch the executor's lease")
	}
	return entry, nil
}

// readHolder returns the value of ExecutorKey, with version 0 if the lease is
// free.
func (e *Election) readHolder(ctx context.Context) (backing.KeyValueEntry, error) {
	return e.read(ctx, ExecutorKey)
}

func (e *Election) read(ctx context.Context, key string) (backing.KeyValueEntry, error) {
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	entry, err := e.cfg.KeyValue.Get(callCtx, key)
	if errors.Is(err, backing.ErrKeyNotFound) {
		return backing.KeyValueEntry{}, nil
	}
	if err != nil {
		return backing.KeyValueEntry{}, eris.Wrapf(err, "read %s", key)
	}
	return entry, nil
}

// acquire writes the free key under a new lease and then takes a fencing number.
func (e *Election) acquire(ctx context.Context) (*ExecutorLease, error) {
	grantedAt := e.cfg.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	leaseID, err := e.cfg.KeyValue.Grant(callCtx, e.cfg.TTL)
	if err != nil {
		return nil, eris.Wrap(err, "grant the executor's lease")
	}
	won, err := e.writeHolder(ctx, leaseID)
	if err == nil && won {
		var fence core.Fence
		fence, err = e.nextFence(ctx)
		if err == nil {
			return newExecutorLease(e.cfg, leaseID, fence, grantedAt), nil
		}
	}
	e.revoke(ctx, leaseID)
	return nil, err
}

// writeHolder writes the key and reports whether this entry now holds it. If the
// response is lost, it reads the key back.
func (e *Election) writeHolder(ctx context.Context, leaseID backing.LeaseID) (bool, error) {
	value := e.cfg.HolderID + " " + strconv.FormatUint(uint64(leaseID), decimalBase)
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	_, err := e.cfg.KeyValue.CompareAndSwap(callCtx, ExecutorKey, 0, []byte(value), leaseID)
	if err == nil {
		return true, nil
	}
	if !mayRetry(err) {
		return false, eris.Wrap(err, "acquire the executor's lease")
	}
	entry, err := e.readHolder(ctx)
	return err == nil && string(entry.Value) == value, err
}

// nextFence increments the stored fencing number by compare-and-swap. A number that
// was stored but whose response was lost is skipped, never issued.
func (e *Election) nextFence(ctx context.Context) (core.Fence, error) {
	for range maxAttempts {
		entry, err := e.read(ctx, FenceKey)
		if err != nil {
			return 0, err
		}
		highest, err := decodeFence(entry)
		if err != nil {
			return 0, err
		}
		next := max(highest, e.cfg.MinFence()) + 1
		err = e.writeFence(ctx, entry.Version, next)
		if err == nil {
			return next, nil
		}
		if !mayRetry(err) {
			return 0, eris.Wrap(err, "write the fencing number")
		}
	}
	return 0, &ContentionError{Key: FenceKey}
}

func (e *Election) writeFence(ctx context.Context, version uint64, fence core.Fence) error {
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	value := strconv.AppendUint(nil, uint64(fence), decimalBase)
	_, err := e.cfg.KeyValue.CompareAndSwap(callCtx, FenceKey, version, value, 0)
	return err
}

func decodeFence(entry backing.KeyValueEntry) (core.Fence, error) {
	if entry.Version == 0 {
		return 0, nil
	}
	fence, err := strconv.ParseUint(string(entry.Value), decimalBase, 64)
	if err != nil {
		return 0, &FenceFormatError{Text: string(entry.Value)}
	}
	return core.Fence(fence), nil
}

// revoke frees the key at once, even after ctx ended. If the call fails, the
// lease expires by itself.
func (e *Election) revoke(ctx context.Context, leaseID backing.LeaseID) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = e.cfg.KeyValue.Revoke(callCtx, leaseID)
}
