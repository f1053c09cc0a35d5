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
	// maxStageAttempts is how often a chunk is staged before the switch fails; it
	// is retried later.
	maxStageAttempts = 3
)

// switchVersion makes the engine load a version: it stages the verified chunks,
// reads them back, announces the switch to the entries, and orders the load.
func (r *Reconciler) switchVersion(ctx context.Context, service *directory.Service, version uint64, state *EngineState) error {
	set := r.downloadedSet(version)
	if set == nil {
		return nil
	}
	began := time.Now()
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
	ordered := time.Now()
	if err := r.awaitLoaded(ctx, service, version); err != nil {
		return err
	}
	r.deps.Logger.Info("version switched", "from", state.LoadedVersion, "to", version,
		"staged_ms", ordered.Sub(began).Milliseconds(), "loaded_ms", time.Since(ordered).Milliseconds())
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
func (r *Reconciler) stageChunk(ctx context.Context, model string, set *weights.Set, i int) error {
	wantDigest := set.Manifest().Chunks[i]
	data, _ := set.Get(i)
	for attempt := 0; ; attempt++ {
		got, err := r.deps.Engine.ReadStaged(ctx, model, i)
		if err != nil && !errors.Is(err, ErrNotStaged) {
			return err
		}
		gotDigest := set.Manifest().SumChunk(got)
		if err == nil && gotDigest == wantDigest {
			return nil
		}
		if attempt == maxStageAttempts {
			return &weights.CorruptChunkError{Chunk: i, Want: wantDigest, Got: gotDigest}
		}
		if err := r.deps.Engine.Stage(ctx, model, i, data); err != nil {
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
