package keeper

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/weights"
)

const (
	// manifestTimeout bounds one reading of a manifest of a few kilobytes.
	manifestTimeout = 800 * time.Millisecond
	// manifestPause is the pause after a reading that failed.
	manifestPause = 150 * time.Millisecond
	// quietTime is how long a copy may stand still before its manifest is read
	// again: a spoilt one would never be met.
	quietTime = 1500 * time.Millisecond
)

// fetch copies one version until it is whole or ctx ends.
func (k *Keeper) fetch(ctx context.Context, model string, version uint64) {
	began := time.Now()
	for ctx.Err() == nil {
		manifest := k.manifest(ctx, model, version)
		if manifest == nil {
			return
		}
		set := k.adopt(ctx, manifest, model)
		if set == nil {
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

// copy fetches a version by the swarm. It returns nil if ctx ended, or if the
// copy stands still and the origin now describes the version otherwise.
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

// watchCopy cancels a copy whose manifest turns out to be spoilt.
func (k *Keeper) watchCopy(ctx context.Context, cancel context.CancelFunc, manifest *weights.Manifest) {
	last := -1
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(quietTime):
		}
		have, total := k.node.Progress(manifest.Digest())
		if have > last {
			last = have
			continue
		}
		version, _ := strconv.ParseUint(manifest.Version, 10, 64)
		k.deps.Logger.Warn("copy stands still, reading its manifest again", "version", version, "have", have, "total", total)
		again := k.manifest(ctx, manifest.Model, version)
		if again != nil && again.Digest() != manifest.Digest() {
			cancel()
			return
		}
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
		select {
		case <-ctx.Done():
		case <-time.After(manifestPause):
		}
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
