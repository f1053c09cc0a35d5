package sidecar

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/weights"
)

const (
	// manifestTimeout bounds one read of a manifest of a few kilobytes: 70 agents
	// that read it at once beside 32 chunks saturate a 6 Mbit/s origin for 1.9 s.
	manifestTimeout = 2500 * time.Millisecond
	// minManifestRetryDelay is the least mean delay after a failed read.
	minManifestRetryDelay = 150 * time.Millisecond
	// progressPollInterval is the interval at which a download's progress is polled.
	progressPollInterval = 100 * time.Millisecond
	// progressLogInterval is the interval at which a download's progress is logged.
	progressLogInterval = time.Second
	// stallTimeout is how long a download may make no progress before it counts as
	// stalled.
	stallTimeout = 1500 * time.Millisecond
	// stagedSetTimeout bounds the reading of a staged set of a few megabytes from the
	// engine on the same instance. Without the set, its chunks are downloaded.
	stagedSetTimeout = 2500 * time.Millisecond
)

// runDownload downloads one version until it is complete or ctx ends.
func (r *Reconciler) runDownload(ctx context.Context, model string, version uint64) {
	startedAt := time.Now()
	delay.For(ctx, r.manifestReadDelay(version))
	for ctx.Err() == nil {
		manifest := r.awaitManifest(ctx, model, version)
		if manifest == nil {
			return
		}
		set := r.recoverStagedSet(ctx, manifest, model)
		if set == nil && r.awaitDownloadAllowed(ctx) {
			set = r.fetchChunks(ctx, manifest)
		}
		if set == nil {
			continue
		}
		r.deps.Logger.Info("weights complete", "model", model, "version", version, "took_ms", time.Since(startedAt).Milliseconds())
		r.mu.Lock()
		if d := r.downloads[version]; d != nil {
			d.set = set
			d.completedAt = r.deps.Now()
		}
		r.mu.Unlock()
		return
	}
}

// awaitDownloadAllowed waits until downloads may start. It returns false if ctx
// ended.
func (r *Reconciler) awaitDownloadAllowed(ctx context.Context) bool {
	for ctx.Err() == nil && !r.downloadAllowed.Load() {
		delay.For(ctx, membershipQuietPeriod/4)
	}
	return ctx.Err() == nil
}

// fetchChunks fetches a version through the swarm. It returns nil if ctx ended, or
// if the fetch stalled and has to be restarted.
func (r *Reconciler) fetchChunks(ctx context.Context, manifest *weights.Manifest) *weights.Set {
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.monitorDownload(fetchCtx, cancel, manifest)
	set, err := r.node.Fetch(fetchCtx, manifest, r.peers)
	if err != nil && ctx.Err() == nil {
		r.deps.Logger.Warn("fetching chunks failed", "version", manifest.Version, "error", err)
	}
	return set
}

// monitorDownload records the progress of a download. If one stalls that got no chunk at all, or
// chunks that did not match, its manifest is read again, and it is cancelled if that was
// corrupt: no other agent shares it. Otherwise there is no reason to suspect the manifest.
// All agents would read it from an origin that has just returned, and a restart closes
// connections that other agents fetch over.
func (r *Reconciler) monitorDownload(ctx context.Context, cancel context.CancelFunc, manifest *weights.Manifest) {
	version, _ := strconv.ParseUint(manifest.Version, 10, 64)
	initialHave, _ := r.node.Progress(manifest.Digest())
	maxHave, lastProgress := initialHave, time.Now()
	loggedAt := time.Now()
	corruptBefore := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressPollInterval):
		}
		have, total := r.node.Progress(manifest.Digest())
		if have > maxHave {
			maxHave, lastProgress = have, time.Now()
		}
		stalled := time.Since(lastProgress) >= stallTimeout
		r.recordProgress(version, have, total, stalled)
		corrupt := r.node.CorruptChunks(manifest.Digest())
		if time.Since(loggedAt) >= progressLogInterval {
			loggedAt = time.Now()
			r.deps.Logger.Info("copy goes on", "version", version, "have", have, "total", total, "stalled", stalled, "corrupt", corrupt)
		}
		if !stalled || (corrupt == corruptBefore && maxHave > initialHave) {
			continue
		}
		if r.isManifestReplaced(ctx, manifest, version) {
			cancel()
			return
		}
		corruptBefore, lastProgress = corrupt, time.Now()
	}
}

// isManifestReplaced reads the manifest of a stalled download again, and reports whether it
// differs.
func (r *Reconciler) isManifestReplaced(ctx context.Context, manifest *weights.Manifest, version uint64) bool {
	r.deps.Logger.Warn("copy stalled, reading the manifest again", "version", version)
	reread := r.awaitManifest(ctx, manifest.Model, version)
	if reread == nil {
		return false
	}
	replaced := reread.Digest() != manifest.Digest()
	r.deps.Logger.Info("manifest of the stalled copy read again", "version", version, "replaced", replaced)
	return replaced
}

// recordProgress records the progress of a version's download. A download that was
// marked as stalled stays so until it has a chunk.
func (r *Reconciler) recordProgress(version uint64, have, total int, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.downloads[version]; d != nil {
		now := r.deps.Now()
		if d.totalChunks == 0 {
			d.firstHaveChunks, d.beganAt = have, now
		}
		if have > d.haveChunks {
			d.progressedAt = now
		}
		d.haveChunks, d.totalChunks = have, total
		d.stalled = d.stalled && have == 0 || stalled
	}
}

// recordStall marks a version's download as stalled and keeps its chunk counts.
func (r *Reconciler) recordStall(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.downloads[version]; d != nil {
		d.stalled = true
	}
}

// awaitManifest retries until the origin returns a manifest. It returns nil if ctx
// ended. Chunks do not match a corrupt manifest; monitorDownload detects the stall.
func (r *Reconciler) awaitManifest(ctx context.Context, model string, version uint64) *weights.Manifest {
	for ctx.Err() == nil {
		manifest, err := r.fetchManifest(ctx, model, version)
		if err == nil {
			return manifest
		}
		r.deps.Logger.Warn("reading the manifest failed", "model", model, "version", version, "error", err)
		r.recordStall(version)
		delay.For(ctx, r.manifestRetryDelay())
	}
	return nil
}

func (r *Reconciler) fetchManifest(ctx context.Context, model string, version uint64) (*weights.Manifest, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	return r.deps.Origin.Manifest(timeoutCtx, model, version)
}

// recoverStagedSet returns the set that is staged at the engine and serves it to
// peers. It returns nil if the set is incomplete or corrupt, or not read within
// stagedSetTimeout.
func (r *Reconciler) recoverStagedSet(ctx context.Context, manifest *weights.Manifest, model string) *weights.Set {
	ctx, cancel := context.WithTimeout(ctx, stagedSetTimeout)
	defer cancel()
	set := weights.NewSet(manifest)
	for i := range manifest.Chunks {
		data, err := r.deps.Engine.ReadStaged(ctx, model, i)
		if err == nil {
			err = set.Put(i, data)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, ErrNotStaged) {
			r.deps.Logger.Info("staged weights cannot be reused for the version", "version", manifest.Version, "chunk", i, "error", err)
		}
		return nil
	}
	r.node.Add(set)
	return set
}
