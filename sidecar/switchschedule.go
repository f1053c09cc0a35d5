package sidecar

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/directory"
)

// dueVersion returns the version that the engine should load now, and whether there
// is one. An engine that has no version loaded, or that is idle and can load the
// declared version, does not wait for its scheduled switch.
func (r *Reconciler) dueVersion(now time.Time, view *directory.View, declared directory.DeclaredVersion, state *EngineState) (uint64, bool) {
	switchAt, version, ok := r.scheduledSwitch(now, view, declared, state)
	if !ok {
		return 0, false
	}
	early := state.LoadedVersion == 0 || (idle(state) && version == declared.Version)
	return version, early || !now.Before(switchAt)
}

// scheduledSwitch returns when the engine switches its version, and to which. It
// reports false while no newer version that is worth loading is downloaded.
func (r *Reconciler) scheduledSwitch(now time.Time, view *directory.View, declared directory.DeclaredVersion, state *EngineState) (switchAt time.Time, version uint64, ok bool) {
	if state.LoadedVersion >= declared.Version {
		return time.Time{}, 0, false
	}
	position, count := r.rolloutPosition(view)
	for _, declaration := range declared.Declarations() {
		completedAt, ok := r.downloadedAt(declaration.Version)
		if !ok || declaration.Version <= state.LoadedVersion {
			continue
		}
		if !r.isWorthLoading(declared, declaration.Version, now) {
			continue
		}
		superseded := declaration.Version != declared.Version
		offset := switchOffset(r.config.VersionBound, completedAt.Sub(declaration.ScheduledFrom()), position, count, superseded)
		switchAt := declaration.ScheduledFrom().Add(offset)
		if deadline := r.switchDeadline(declared, state); deadline.Before(switchAt) {
			switchAt = deadline
		}
		return switchAt, declaration.Version, true
	}
	return time.Time{}, 0, false
}

// switchDeadline returns the latest time at which the engine switches to a newer
// version. An engine that lacks a superseded version too must switch by the latest
// switch to the first one it lacks, after which requests may no longer start on it.
func (r *Reconciler) switchDeadline(declared directory.DeclaredVersion, state *EngineState) time.Time {
	first := declared.FirstAfter(state.LoadedVersion)
	if first.Version == declared.Version {
		return declared.ScheduledFrom().Add(r.config.VersionBound)
	}
	return first.ScheduledFrom().Add(time.Duration(lastSwitchFraction * float64(r.config.VersionBound)))
}

func idle(state *EngineState) bool {
	return state.Running+state.Waiting == 0
}

// rolloutPosition returns the engine's position among those of its service, in an
// order that mixes the regions.
func (r *Reconciler) rolloutPosition(view *directory.View) (position, count int) {
	var addresses []string
	for _, e := range r.serviceEngines(view) {
		addresses = append(addresses, e.Address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), strings.Compare(a, b))
	})
	return max(slices.Index(addresses, r.config.EngineAddr), 0), len(addresses)
}
