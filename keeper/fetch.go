package keeper

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/weights"
)

const (
	// manifestTimeout bounds one reading of a manifest of a few kilobytes: 70
	// agents that read it at once beside 32 chunks fill an origin of 6 Mbit/s
	// for 1.9 s.
	manifestTimeout = 2500 * time.Millisecond
	// manifestPause is the least mean pause after a reading that failed.
	manifestPause = 150 * time.Millisecond
	// progressTick is how often the progress of a copy is noted.
	progressTick = 100 * time.Millisecond
	// tellTick is how often the progress of a copy is logged.
	tellTick = time.Second
	// quietTime is how long a copy may stand still before its manifest is read
	// again: a spoilt one would never be met.
	quietTime = 1500 * time.Millisecond
)

// fetch copies one version until it is whole or ctx ends.
func (k *Keeper) fetch(ctx context.Context, model string, version uint64) {
	began := time.Now()
	delay.For(ctx, k.readingTurn(version))
	for ctx.Err() == nil {
		manifest := k.manifest(ctx, model, version)
		if manifest == nil {
			return
		}
		set := k.adopt(ctx, manifest, model)
		if set == nil && k.awaitCopy(ctx) {
			set = k.copy(ctx, manifest)
		}
		if set == nil {
			continue
		}
		k.deps.Logger.Info("weights whole", "model", model, "version", version, "took_ms", time.Since(began).Milliseconds())
		k.mu.Lock()
		if f := k.fetches[version]; f != nil {
			f.set = set
			f.whole = time.Now()
		}
		k.mu.Unlock()
		return
	}
}

// awaitCopy waits until a copy may begin. It returns false if ctx ended.
func (k *Keeper) awaitCopy(ctx context.Context) bool {
	for ctx.Err() == nil && !k.mayCopy.Load() {
		delay.For(ctx, settleQuiet/4)
	}
	return ctx.Err() == nil
}

// copy fetches a version by the swarm. It returns nil if ctx ended, or if the
// copy stood still and has to begin anew.
func (k *Keeper) copy(ctx context.Context, manifest *weights.Manifest) *weights.Set {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.watchCopy(limited, cancel, manifest)
	set, err := k.node.Fetch(limited, manifest, k.peers)
	if err != nil && ctx.Err() == nil {
		k.deps.Logger.Warn("copy given up", "version", manifest.Version, "error", err)
	}
	return set
}

// watchCopy notes the progress of a copy. One that stands still ends once the
// origin answers again: its manifest may be spoilt, and after an outage the
// fetchers of the swarm have all taken one another for lost. It then begins
// anew with the chunks that it has.
func (k *Keeper) watchCopy(ctx context.Context, cancel context.CancelFunc, manifest *weights.Manifest) {
	version, _ := strconv.ParseUint(manifest.Version, 10, 64)
	last, since := -1, time.Now()
	told := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressTick):
		}
		have, total := k.node.Progress(manifest.Digest())
		if have > last {
			last, since = have, time.Now()
		}
		stalled := time.Since(since) >= quietTime
		k.noteProgress(version, have, total, stalled)
		if time.Since(told) >= tellTick {
			told = time.Now()
			k.deps.Logger.Info("copy goes on", "version", version, "have", have, "total", total)
		}
		if !stalled {
			continue
		}
		k.deps.Logger.Warn("copy stands still, waiting for the origin", "version", version, "have", have, "total", total)
		if again := k.manifest(ctx, manifest.Model, version); again != nil {
			k.deps.Logger.Info("origin answers, going on with the copy", "version", version, "same", again.Digest() == manifest.Digest())
		}
		cancel()
		return
	}
}

// noteProgress keeps how far the copy of a version is.
func (k *Keeper) noteProgress(version uint64, have, total int, stalled bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.fetches[version]; f != nil {
		f.have, f.total = have, total
		f.stalled = f.stalled && have == 0 || stalled
	}
}

// noteStalled keeps that nothing comes for a version; the chunks that are there
// stay.
func (k *Keeper) noteStalled(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.fetches[version]; f != nil {
		f.stalled = true
	}
}

// manifest reads a manifest until the origin gives one. It returns nil if ctx
// ended. One that is spoilt does not fit its chunks, and is found by watchCopy.
func (k *Keeper) manifest(ctx context.Context, model string, version uint64) *weights.Manifest {
	for ctx.Err() == nil {
		m, err := k.readManifest(ctx, model, version)
		if err == nil {
			return m
		}
		k.deps.Logger.Warn("reading a manifest failed", "model", model, "version", version, "error", err)
		k.noteStalled(version)
		delay.For(ctx, k.readingPause())
	}
	return nil
}

func (k *Keeper) readManifest(ctx context.Context, model string, version uint64) (*weights.Manifest, error) {
	limited, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	return k.deps.Origin.Manifest(limited, model, version)
}

// adopt returns the set that lies whole and sound at the engine, or nil.
func (k *Keeper) adopt(ctx context.Context, manifest *weights.Manifest, model string) *weights.Set {
	set := weights.NewSet(manifest)
	for i := range manifest.Chunks {
		data, err := k.deps.Engine.Staged(ctx, model, i)
		if err == nil {
			err = set.Put(i, data)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, ErrNotStaged) {
			k.deps.Logger.Info("staged weights are not those of the version", "version", manifest.Version, "chunk", i, "error", err)
		}
		return nil
	}
	k.node.Add(set)
	return set
}
