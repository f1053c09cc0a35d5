package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/weights"
)

// fetch is the state of one version's copy, guarded by the keeper's mutex.
type fetch struct {
	cancel context.CancelFunc
	set    *weights.Set // nil until it is whole.
	whole  time.Time    // When it was.
	// have and total count the chunks, as of the last look at the progress.
	have, total int
	// stalled says that nothing came for a while.
	stalled bool
}

// The parts of a version's chunks from which on its copy goes on although a
// newer version was declared.
const (
	wellUnderWay = 0.25
	mostlyThere  = 0.75
)

// has reports whether at least a part of the chunks is there.
func (f *fetch) has(part float64) bool {
	return f.total > 0 && float64(f.have) >= part*float64(f.total)
}

// fetchEarly begins a copy before the engine answers, if peers can give it. A
// new engine needs a second to start, and holds nothing then. Where no peer
// holds the version, what lies staged at the engine may spare the copy.
func (k *Keeper) fetchEarly(ctx context.Context, view *directory.View, service *directory.Service, declared directory.Declared) {
	if k.heldElsewhere(view, declared.Version) {
		k.fetchMissing(ctx, view, service, declared, &EngineState{Held: declared.Previous})
	}
}

// worthEnding reports whether a copy of the version before the declared one
// should go on: it is nearly there, or it moves on and is well under way, or the
// declared one stands still. One that stands still too is of use only if another
// engine holds that version: else it would only share the origin with the
// declared one once the origin is back. k.mu is held.
func (k *Keeper) worthEnding(declared directory.Declared, heldElsewhere bool) bool {
	before := k.fetches[declared.Previous]
	newest := k.fetches[declared.Version]
	newestStalled := newest != nil && newest.stalled
	switch {
	case before != nil && before.set != nil:
		return true
	case before == nil || before.stalled && !before.has(mostlyThere):
		return newestStalled && heldElsewhere
	case before.has(wellUnderWay):
		return true
	default:
		return newestStalled
	}
}

// heldElsewhere reports whether another engine holds a version.
func (k *Keeper) heldElsewhere(view *directory.View, version uint64) bool {
	return slices.ContainsFunc(k.engines(view), func(e *directory.Endpoint) bool {
		return e.Address != k.config.Endpoint && e.Held == version
	})
}

// fetchMissing keeps copies of the declared version and, while the engine is
// behind both, of the one before. Older copies are dropped.
func (k *Keeper) fetchMissing(ctx context.Context, view *directory.View, service *directory.Service, declared directory.Declared, state *EngineState) {
	behind := state.Held < declared.Previous
	held := behind && k.heldElsewhere(view, declared.Previous)
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := []uint64{declared.Version}
	previous := behind && k.worthEnding(declared, held)
	if previous {
		wanted = append(wanted, declared.Previous)
	}
	for version, f := range k.fetches {
		keep := version == declared.Version || (version == declared.Previous && (previous || f.set != nil))
		if keep {
			continue
		}
		f.cancel()
		if f.set != nil {
			k.node.Drop(f.set.Digest())
		}
		delete(k.fetches, version)
	}
	for _, version := range wanted {
		if version == 0 || k.fetches[version] != nil {
			continue
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		k.fetches[version] = &fetch{cancel: cancel}
		go k.fetch(fetchCtx, service.Model, version)
	}
}

// whole returns when the copy of a version was whole, and whether it is.
func (k *Keeper) whole(version uint64) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.fetches[version]
	if f == nil || f.set == nil {
		return time.Time{}, false
	}
	return f.whole, true
}

func (k *Keeper) set(version uint64) *weights.Set {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.fetches[version]; f != nil {
		return f.set
	}
	return nil
}

// ErrNoStore reports that there is no cache in front of the origin.
var ErrNoStore = eris.New("there is no weight store")

// noStore stands where the swarm may use a cache in front of the origin.
type noStore struct{}

// Chunk implements backing.ChunkSource.
func (noStore) Chunk(context.Context, core.Digest, int) ([]byte, error) {
	return nil, ErrNoStore
}
