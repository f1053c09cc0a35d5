package keeper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/directory"
)

// due returns the version that the engine should load now.
func (k *Keeper) due(now time.Time, view *directory.View, declared directory.Declared, state *EngineState) (uint64, bool) {
	at, version, ok := k.turn(view, declared, state)
	if !ok {
		return 0, false
	}
	early := state.Held == 0 || (idle(state) && version == declared.Version)
	return version, early || !now.Before(at)
}

// turn returns when the engine changes its version, and to which. It reports
// false while there is nothing to change to.
func (k *Keeper) turn(view *directory.View, declared directory.Declared, state *EngineState) (at time.Time, version uint64, ok bool) {
	if state.Held >= declared.Version {
		return time.Time{}, 0, false
	}
	place, count := k.place(view)
	if whole, ok := k.whole(declared.Version); ok {
		at := declared.Since.Add(turnAt(k.config.VersionBound, whole.Sub(declared.Since), place, count, false))
		if last := k.lastChance(declared, state); last.Before(at) {
			at = last
		}
		return at, declared.Version, true
	}
	if whole, ok := k.whole(declared.Previous); ok && declared.Previous > state.Held {
		at := declared.PreviousSince.Add(turnAt(k.config.VersionBound, whole.Sub(declared.PreviousSince), place, count, true))
		return at, declared.Previous, true
	}
	return time.Time{}, 0, false
}

// lastChance is when an engine that is behind the previous version too must
// change, so that it never serves it.
func (k *Keeper) lastChance(declared directory.Declared, state *EngineState) time.Time {
	if declared.PreviousSince.IsZero() || state.Held >= declared.Previous {
		return declared.Since.Add(k.config.VersionBound)
	}
	return declared.PreviousSince.Add(time.Duration(lastTurn * float64(k.config.VersionBound)))
}

func idle(state *EngineState) bool {
	return state.Running+state.Waiting == 0
}

// place returns the engine's place among those of its service, in an order
// that mixes the regions.
func (k *Keeper) place(view *directory.View) (place, count int) {
	var all []string
	for _, e := range k.engines(view) {
		all = append(all, e.Address)
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), strings.Compare(a, b))
	})
	return max(slices.Index(all, k.config.Endpoint), 0), len(all)
}
