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
	// Staged bytes that are corrupted within it are not the system's fault.
	switchAnnounceDelay = 70 * time.Millisecond
	// switchTimeout bounds one switch: the longest stream and the load.
	switchTimeout = 8 * time.Second
	// switchPollInterval is the interval at which a running switch is checked.
	switchPollInterval = 30 * time.Millisecond
	// maxStageAttempts is how often a chunk is staged before the switch fails. A
	// failed switch is retried later.
	maxStageAttempts = 3
)

// switchVersion makes the engine load a version: it stages the verified chunks,
// reads them back, announces the switch to the entries, and orders the load.
func (r *Reconciler) switchVersion(ctx context.Context, service *directory.Service, version uint64, state *EngineState) error {
	set := r.downloadedSet(version)
	if set == nil {
		return nil
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	if err := r.stageChunks(ctx, service.Model, set); err != nil {
		return err
	}
	r.switching.Store(true)
	defer r.switching.Store(false)
	if state.LoadedVersion != 0 {
		time.Sleep(switchAnnounceDelay)
	}
	if err := r.deps.Engine.Load(ctx, service.Model, version, state.OrdersStarted); err != nil {
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

// stageChunks stages the missing and corrupt chunks, and verifies all of them.
func (r *Reconciler) stageChunks(ctx context.Context, model string, set *weights.Set) error {
	for i := range set.Len() {
		if err := r.stageChunk(ctx, model, set, i); err != nil {
			return err
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
