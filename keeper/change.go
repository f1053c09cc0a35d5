package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/weights"
)

const (
	// announceTime lets the entries hear that the engine closes before it is
	// ordered to: one report and the longest way.
	// Bytes that turned bad in so short a time are not the system's fault.
	announceTime = 70 * time.Millisecond
	// changeTimeout bounds one change: the longest stream and the load.
	changeTimeout = 8 * time.Second
	// changePoll is how often a change is looked at.
	changePoll = 30 * time.Millisecond
	// stageAttempts is how often a chunk is staged before the change is given
	// up for now.
	stageAttempts = 3
)

// change makes the engine load a version: it lays the verified chunks down,
// reads them back, tells the entries, and orders the load.
func (k *Keeper) change(ctx context.Context, service *directory.Service, version uint64, state *EngineState) error {
	set := k.set(version)
	if set == nil {
		return nil
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := k.stage(ctx, service.Model, set); err != nil {
		return err
	}
	k.closing.Store(true)
	defer k.closing.Store(false)
	if state.Held != 0 {
		time.Sleep(announceTime)
	}
	if err := k.deps.Engine.Load(ctx, service.Model, version, state.Orders); err != nil {
		return err
	}
	ordered := time.Now()
	if err := k.awaitHeld(ctx, service, version); err != nil {
		return err
	}
	k.deps.Logger.Info("version changed", "from", state.Held, "to", version,
		"staged_ms", ordered.Sub(began).Milliseconds(), "loaded_ms", time.Since(ordered).Milliseconds())
	return nil
}

// stage lays down what does not lie there sound yet, and checks all of it.
func (k *Keeper) stage(ctx context.Context, model string, set *weights.Set) error {
	for i := range set.Len() {
		if err := k.stageChunk(ctx, model, set, i); err != nil {
			return err
		}
	}
	return nil
}

// stageChunk lays a chunk down until it is read back as it should be.
func (k *Keeper) stageChunk(ctx context.Context, model string, set *weights.Set, i int) error {
	want := set.Manifest().Chunks[i]
	data, _ := set.Get(i)
	for attempt := 0; ; attempt++ {
		got, err := k.deps.Engine.Staged(ctx, model, i)
		if err != nil && !errors.Is(err, ErrNotStaged) {
			return err
		}
		found := set.Manifest().SumChunk(got)
		if err == nil && found == want {
			return nil
		}
		if attempt == stageAttempts {
			return &weights.CorruptChunkError{Chunk: i, Want: want, Got: found}
		}
		if err := k.deps.Engine.Stage(ctx, model, i, data); err != nil {
			return err
		}
	}
}

// awaitHeld blocks until the engine serves a version.
func (k *Keeper) awaitHeld(ctx context.Context, service *directory.Service, version uint64) error {
	for {
		state, err := k.deps.Engine.State(ctx, service.Engine.Layers)
		if err == nil && state.Held == version && !state.Busy {
			k.state.Store(&state)
			return nil
		}
		if err == nil && !state.Busy && state.Held != version {
			return ErrOrderRefused
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(changePoll):
		}
	}
}
