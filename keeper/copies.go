package keeper

import (
	"context"
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

// fetchEarly begins a copy before the engine answers, if peers can give it. A
// new engine needs a second to start, and holds nothing then. Where no peer
// holds the version, what lies staged at the engine may spare the copy.
func (k *Keeper) fetchEarly(ctx context.Context, view *directory.View, service *directory.Service, declared directory.Declared) {
	for _, e := range view.Living() {
		if e.Service == k.config.Service && e.Address != k.config.Endpoint && e.Held == declared.Version {
			k.fetchMissing(ctx, service, declared, &EngineState{Held: declared.Previous})
			return
		}
	}
}

// worthEnding reports whether a copy of the version before the declared one
// should go on: a good part of it is there, so that the origin has sent most of
// it, or the declared one stands still. k.mu is held.
func (k *Keeper) worthEnding(declared directory.Declared) bool {
	before := k.fetches[declared.Previous]
	if before != nil && (before.set != nil || 4*before.have >= before.total && before.total > 0) {
		return true
	}
	newest := k.fetches[declared.Version]
	return newest != nil && newest.stalled
}

// fetchMissing keeps copies of the declared version and, while the engine is
// behind both, of the one before. Older copies are dropped.
func (k *Keeper) fetchMissing(ctx context.Context, service *directory.Service, declared directory.Declared, state *EngineState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := []uint64{declared.Version}
	previous := state.Held < declared.Previous && k.worthEnding(declared)
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
