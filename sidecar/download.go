package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/weights"
)

// download is the state of one version's download, guarded by Reconciler.mu.
type download struct {
	cancel      context.CancelFunc
	set         *weights.Set // nil until it is complete.
	completedAt time.Time    // When set was completed, by Deps.Now.
	// haveChunks and totalChunks are as of the last poll of the progress.
	haveChunks, totalChunks int
	// firstHaveChunks are those of the first poll, at beganAt; progressedAt is the time of
	// the last poll that found more. Times are those of Deps.Now.
	firstHaveChunks       int
	beganAt, progressedAt time.Time
	// stalled is set while no chunks arrive.
	stalled bool
}

// The least downloaded fractions of a version's chunks with which its download
// continues after a newer version was declared, while it progresses and while it is
// stalled.
const (
	continueFraction        = 0.25
	continueStalledFraction = 0.75
)

// hasFraction reports whether at least the given fraction of the chunks is
// downloaded.
func (d *download) hasFraction(fraction float64) bool {
	return d.totalChunks > 0 && float64(d.haveChunks) >= fraction*float64(d.totalChunks)
}

// prefetchFromPeers starts the download before the engine answers, if another engine
// has loaded the declared version. A new engine takes a second to start, and has no
// version loaded then. If no other engine has loaded the version, the chunks that are
// staged at the engine may make the download unnecessary.
func (r *Reconciler) prefetchFromPeers(ctx context.Context, view *directory.View, service *directory.Service, declared directory.DeclaredVersion) {
	if r.loadedElsewhere(view, declared.Version) {
		r.reconcileDownloads(ctx, view, service, declared, &EngineState{LoadedVersion: declared.Previous().Version})
	}
}

// shouldFinishPrevious reports whether the download of the previous version should
// continue. It never does once it is too late for the version to be of use. Else it does if
// it is complete or has reached continueStalledFraction, or it progresses
// and has reached continueFraction, or the declared version's download is stalled.
// If the previous one is stalled too, or has not started, the last case requires that
// another engine has loaded the previous version: otherwise the two downloads would
// share the origin once it answers again. The caller holds r.mu.
func (r *Reconciler) shouldFinishPrevious(now time.Time, declared directory.DeclaredVersion, loadedElsewhere bool) bool {
	previousVersion := declared.Previous().Version
	previousDownload := r.downloads[previousVersion]
	declaredDownload := r.downloads[declared.Version]
	declaredStalled := declaredDownload != nil && declaredDownload.stalled
	completeAt := now
	if previousDownload != nil {
		completeAt = previousDownload.earliestCompletion(now)
	}
	switch {
	case previousDownload != nil && previousDownload.set != nil:
		return true
	case !r.isWorthLoading(declared, previousVersion, completeAt):
		return false
	case previousDownload == nil || previousDownload.stalled && !previousDownload.hasFraction(continueStalledFraction):
		return declaredStalled && loadedElsewhere
	case previousDownload.hasFraction(continueFraction):
		return true
	default:
		return declaredStalled
	}
}

// loadedElsewhere reports whether another engine has loaded a version.
func (r *Reconciler) loadedElsewhere(view *directory.View, version uint64) bool {
	return slices.ContainsFunc(r.serviceEngines(view), func(e *directory.Endpoint) bool {
		return e.Address != r.config.EngineAddr && e.LoadedVersion == version
	})
}

// reconcileDownloads keeps the download of the declared version and, while the engine
// is behind both and shouldFinishPrevious agrees, that of the previous one. Complete
// downloads stay until a newer one is complete. Other downloads are dropped.
func (r *Reconciler) reconcileDownloads(ctx context.Context, view *directory.View, service *directory.Service, declared directory.DeclaredVersion, state *EngineState) {
	previous := declared.Previous().Version
	behind := state.LoadedVersion < previous
	loadedElsewhere := behind && r.loadedElsewhere(view, previous)
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := []uint64{declared.Version}
	finishPrevious := behind && r.shouldFinishPrevious(r.deps.Now(), declared, loadedElsewhere)
	if finishPrevious {
		wanted = append(wanted, previous)
	}
	newestComplete := r.newestComplete()
	for version, d := range r.downloads {
		keepPrevious := version == previous && (finishPrevious || d.set != nil)
		if version == declared.Version || version == newestComplete || keepPrevious {
			continue
		}
		d.cancel()
		if d.set != nil {
			r.node.Drop(d.set.Digest())
		}
		delete(r.downloads, version)
	}
	for _, version := range wanted {
		if version == 0 || r.downloads[version] != nil {
			continue
		}
		downloadCtx, cancel := context.WithCancel(ctx)
		r.downloads[version] = &download{cancel: cancel}
		go r.runDownload(downloadCtx, service.Model, version)
	}
}

// newestComplete returns the newest version whose download is complete, 0 if there is
// none. The caller holds r.mu.
func (r *Reconciler) newestComplete() uint64 {
	newest := uint64(0)
	for version, d := range r.downloads {
		if d.set != nil {
			newest = max(newest, version)
		}
	}
	return newest
}

// downloadedAt returns when the download of a version completed, and whether it has.
func (r *Reconciler) downloadedAt(version uint64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.downloads[version]
	if d == nil || d.set == nil {
		return time.Time{}, false
	}
	return d.completedAt, true
}

func (r *Reconciler) downloadedSet(version uint64) *weights.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.downloads[version]; d != nil {
		return d.set
	}
	return nil
}

// ErrNoWeightStore reports that there is no cache in front of the origin.
var ErrNoWeightStore = eris.New("there is no weight store")

// noWeightStore is the swarm's chunk source for a missing cache in front of the
// origin.
type noWeightStore struct{}

// Chunk implements backing.ChunkSource.
func (noWeightStore) Chunk(context.Context, core.Digest, int) ([]byte, error) {
	return nil, ErrNoWeightStore
}
