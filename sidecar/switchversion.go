package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/weights"
)

const (
	// switchAnnounceDelay is the time between the announcement of a switch to the
	// entries and the load order: one report interval and the longest network delay.
	switchAnnounceDelay = 70 * time.Millisecond
	// corruptionGrace is how old the verification of a staged chunk may be when the engine
	// accepts the load order: corruption within it is not the system's fault.
	corruptionGrace = 3 * time.Second
	// maxVerificationAge is the same at the moment of the order, which has the rest of
	// corruptionGrace to reach the engine.
	maxVerificationAge = 2500 * time.Millisecond
	// switchTimeout bounds one switch: the longest stream and the load.
	switchTimeout = 8 * time.Second
	// switchPollInterval is the interval at which a running switch is checked.
	switchPollInterval = 30 * time.Millisecond
	// maxStageAttempts is how often a chunk is staged before the switch fails. A
	// failed switch is retried later.
	maxStageAttempts = 3
)

// switchVersion makes the engine load a version: it stages the verified chunks,
// reads them back, announces the switch to the entries, and orders the load. An engine
// that may have loaded corrupt chunks stays closed until its next switch.
func (r *Reconciler) switchVersion(ctx context.Context, service *directory.Service, version uint64, state *EngineState) error {
	set := r.downloadedSet(version)
	if set == nil {
		return nil
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	verifiedAt, err := r.stageChunks(ctx, service.Model, set)
	if err != nil {
		return err
	}
	r.switching.Store(true)
	err = r.orderVersion(ctx, service.Model, set, version, state, verifiedAt)
	var corrupt *CorruptLoadError
	if errors.As(err, &corrupt) {
		return err
	}
	defer r.switching.Store(false)
	if err != nil {
		return err
	}
	orderedAt := time.Now()
	if err := r.awaitLoaded(ctx, service, version); err != nil {
		return err
	}
	r.deps.Logger.Info("version switched", "from", state.LoadedVersion, "to", version,
		"staged_ms", orderedAt.Sub(startedAt).Milliseconds(), "loaded_ms", time.Since(orderedAt).Milliseconds())
	return nil
}

// orderVersion announces the switch to a version whose chunks are staged, and orders the load
// while their verification, begun at verifiedAt, is recent. The process may be suspended at any
// moment, for which deps.Now counts. It returns *CorruptLoadError if that happened during the
// order and the chunks turned bad.
func (r *Reconciler) orderVersion(ctx context.Context, model string, set *weights.Set, version uint64, state *EngineState, verifiedAt time.Time) error {
	if state.LoadedVersion != 0 {
		time.Sleep(switchAnnounceDelay)
	}
	for age := r.age(verifiedAt); age > maxVerificationAge; age = r.age(verifiedAt) {
		r.deps.Logger.Warn("verification of the staged chunks is too old, verifying them again", "version", version, "age_ms", age.Milliseconds())
		var err error
		if verifiedAt, err = r.stageChunks(ctx, model, set); err != nil {
			return err
		}
	}
	orderCtx, cancel := context.WithTimeout(ctx, corruptionGrace-r.age(verifiedAt))
	defer cancel()
	orderErr := r.deps.Engine.Load(orderCtx, model, version, state.OrdersStarted)
	if errors.Is(orderErr, ErrOrderRefused) || r.age(verifiedAt) <= corruptionGrace {
		return orderErr
	}
	// The order may have been accepted after the suspension, also if its answer was lost.
	if err := r.verifyStaged(ctx, model, set); err != nil {
		return &CorruptLoadError{Version: version, Cause: err}
	}
	return orderErr
}

// age returns the time since a reading of deps.Now.
func (r *Reconciler) age(t time.Time) time.Duration {
	return r.deps.Now().Sub(t)
}

// stageChunks stages the missing and corrupt chunks, and verifies all of them. It returns when
// the verification began.
func (r *Reconciler) stageChunks(ctx context.Context, model string, set *weights.Set) (time.Time, error) {
	beganAt := r.deps.Now()
	for i := range set.Len() {
		if err := r.stageChunk(ctx, model, set, i); err != nil {
			return time.Time{}, err
		}
	}
	return beganAt, nil
}

// verifyStaged returns *weights.CorruptChunkError if a staged chunk is not intact, and
// ErrNotStaged if one is missing.
func (r *Reconciler) verifyStaged(ctx context.Context, model string, set *weights.Set) error {
	for i, want := range set.Manifest().Chunks {
		staged, err := r.deps.Engine.ReadStaged(ctx, model, i)
		if err != nil {
			return err
		}
		if got := set.Manifest().SumChunk(staged); got != want {
			return &weights.CorruptChunkError{Chunk: i, Want: want, Got: got}
		}
	}
	return nil
}

// stageChunk stages a chunk until it is read back intact.
func (r *Reconciler) stageChunk(ctx context.Context, model string, set *weights.Set, chunk int) error {
	wantDigest := set.Manifest().Chunks[chunk]
	data, _ := set.Get(chunk)
	for attempt := 0; ; attempt++ {
		staged, err := r.deps.Engine.ReadStaged(ctx, model, chunk)
		if err != nil && !errors.Is(err, ErrNotStaged) {
			return err
		}
		stagedDigest := set.Manifest().SumChunk(staged)
		if err == nil && stagedDigest == wantDigest {
			return nil
		}
		if attempt == maxStageAttempts {
			return &weights.CorruptChunkError{Chunk: chunk, Want: wantDigest, Got: stagedDigest}
		}
		if err := r.deps.Engine.Stage(ctx, model, chunk, data); err != nil {
			return err
		}
	}
}

// awaitLoaded blocks until the engine has loaded a version.
func (r *Reconciler) awaitLoaded(ctx context.Context, service *directory.Service, version uint64) error {
	for {
		state, err := r.deps.Engine.State(ctx, service.Engine.Layers)
		if err == nil && state.LoadedVersion == version && !state.OrderInProgress {
			r.engineState.Store(&state)
			return nil
		}
		if err == nil && !state.OrderInProgress && state.LoadedVersion != version {
			return ErrOrderRefused
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(switchPollInterval):
		}
	}
}
