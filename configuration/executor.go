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

const fenceBase = 10

func randomFraction() float64 {
	return rand.Float64()
}

// Executor campaigns for the lease of the one entry that carries plans out.
type Executor struct {
	cfg ExecutorConfig
}

// NewExecutor returns an executor. It makes no call.
func NewExecutor(cfg ExecutorConfig) *Executor {
	return &Executor{cfg: cfg.withDefaults()}
}

// Campaign blocks until this entry holds the lease or ctx ends, and survives
// outages meanwhile. The Tenure is kept alive until ctx ends, the lease is
// lost or Resign is called.
func (e *Executor) Campaign(ctx context.Context) (*Tenure, error) {
	pause := newBackOff()
	for {
		tenure, err := e.attempt(ctx)
		if tenure != nil {
			go tenure.keep(ctx)
			return tenure, nil
		}
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "campaign for the executor's lease")
		}
		if err == nil {
			pause.Reset()
			continue
		}
		wait := pause.NextBackOff()
		e.cfg.Logger.WarnContext(ctx, "executor's lease cannot be tried for",
			"error", err.Error(), "retry_ms", wait.Milliseconds())
		_ = e.cfg.Clock.wait(ctx, wait)
	}
}

// attempt waits until the lease is vacant and tries for it once. Without a
// tenure and an error, another holder came first.
func (e *Executor) attempt(ctx context.Context) (*Tenure, error) {
	if err := e.awaitVacancy(ctx); err != nil {
		return nil, err
	}
	wait := time.Duration(e.cfg.Random() * float64(e.cfg.ElectionWait))
	if err := e.cfg.Clock.wait(ctx, wait); err != nil {
		return nil, eris.Wrap(err, "wait before the election")
	}
	if held, err := e.holder(ctx); err != nil || held.Version != 0 {
		return nil, err
	}
	return e.acquire(ctx)
}

// awaitVacancy blocks while another entry holds the lease.
func (e *Executor) awaitVacancy(ctx context.Context) error {
	held, err := e.holder(ctx)
	for err == nil && held.Version != 0 {
		held, err = e.watchHolder(ctx, held.Version)
	}
	return err
}

func (e *Executor) watchHolder(ctx context.Context, version uint64) (backing.KeyValueEntry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, defaultWatchTimeout)
	defer cancel()
	entry, err := e.cfg.KeyValue.Watch(watchCtx, ExecutorKey, version)
	switch {
	case errors.Is(err, backing.ErrKeyNotFound):
		return backing.KeyValueEntry{}, nil
	case err != nil && watchCtx.Err() != nil && ctx.Err() == nil:
		return e.holder(ctx)
	case err != nil:
		return entry, eris.Wrap(err, "watch the executor's lease")
	}
	return entry, nil
}

// holder returns the key's entry, of version 0 when nobody holds it.
func (e *Executor) holder(ctx context.Context) (backing.KeyValueEntry, error) {
	return e.get(ctx, ExecutorKey)
}

func (e *Executor) get(ctx context.Context, key string) (backing.KeyValueEntry, error) {
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

// acquire takes the vacant key under a new lease and then a fencing number.
func (e *Executor) acquire(ctx context.Context) (*Tenure, error) {
	granted := e.cfg.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	lease, err := e.cfg.KeyValue.Grant(callCtx, e.cfg.TTL)
	if err != nil {
		return nil, eris.Wrap(err, "grant the executor's lease")
	}
	won, err := e.claim(ctx, lease)
	if err == nil && won {
		var fence core.Fence
		fence, err = e.nextFence(ctx)
		if err == nil {
			return newTenure(e.cfg, lease, fence, granted), nil
		}
	}
	e.revoke(ctx, lease)
	return nil, err
}

// claim writes the key. A lost answer is settled by reading back.
func (e *Executor) claim(ctx context.Context, lease backing.LeaseID) (bool, error) {
	value := e.cfg.Holder + " " + strconv.FormatUint(uint64(lease), fenceBase)
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	_, err := e.cfg.KeyValue.CompareAndSwap(callCtx, ExecutorKey, 0, []byte(value), lease)
	if err == nil {
		return true, nil
	}
	if !mayRetry(err) {
		return false, eris.Wrap(err, "claim the executor's lease")
	}
	entry, err := e.holder(ctx)
	return err == nil && string(entry.Value) == value, err
}

// nextFence raises the stored fencing number by compare-and-swap. A number
// whose answer was lost is skipped, never given out.
func (e *Executor) nextFence(ctx context.Context) (core.Fence, error) {
	for range maxAttempts {
		entry, err := e.get(ctx, FenceKey)
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

func (e *Executor) writeFence(ctx context.Context, version uint64, fence core.Fence) error {
	callCtx, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	value := strconv.AppendUint(nil, uint64(fence), fenceBase)
	_, err := e.cfg.KeyValue.CompareAndSwap(callCtx, FenceKey, version, value, 0)
	return err
}

func decodeFence(entry backing.KeyValueEntry) (core.Fence, error) {
	if entry.Version == 0 {
		return 0, nil
	}
	fence, err := strconv.ParseUint(string(entry.Value), fenceBase, 64)
	if err != nil {
		return 0, &FenceFormatError{Text: string(entry.Value)}
	}
	return core.Fence(fence), nil
}

// revoke frees the key at once, also after ctx ended. Without an answer the
// lease lapses by itself.
func (e *Executor) revoke(ctx context.Context, lease backing.LeaseID) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = e.cfg.KeyValue.Revoke(callCtx, lease)
}
