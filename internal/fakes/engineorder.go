package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/zeebo/blake3"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const maxOrderBytes = 2 * backing.MaxManifestBytes

// stage keeps the digest of a chunk.
func (e *Engine) stage(w http.ResponseWriter, r *http.Request) {
	manifest, err := core.ParseDigest(r.PathValue("manifest"))
	index, indexErr := strconv.Atoi(r.PathValue("index"))
	if err != nil || indexErr != nil || index < 0 {
		refuse(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	hasher := blake3.New()
	if _, err := io.Copy(hasher, http.MaxBytesReader(w, r.Body, backing.MaxChunkBytes)); err != nil {
		refuse(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	var digest core.Digest
	copy(digest[:], hasher.Sum(nil))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged.put(manifest, index, digest)
	w.WriteHeader(http.StatusNoContent)
}

// order runs one order at a time.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	life := e.life()
	var order endpoint.Order
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order) != nil {
		refuse(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	e.ordering.Lock()
	defer e.ordering.Unlock()
	if e.life() != life {
		abort()
	}
	if highest, accepted := e.acceptFence(order.Fence); !accepted {
		document := httpcall.ErrorDocument{Code: endpoint.CodeFenced, HighestFence: uint64(highest)}
		httpcall.WriteError(w, http.StatusConflict, document)
		return
	}
	if !e.needsLoad(order) {
		e.finish(w, order, e.Serving())
		return
	}
	digests, err := e.chunkDigests(order)
	if err != nil {
		refuse(w, http.StatusUnprocessableEntity, codeBadManifest)
		return
	}
	e.swap(w, r, order, digests, life)
}

// acceptFence raises the highest fencing number seen. An engine that ignores
// fencing only counts an old number.
func (e *Engine) acceptFence(fence core.Fence) (core.Fence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence >= e.fence {
		e.fence = fence
		return e.fence, true
	}
	if e.config.ChecksFencing {
		return e.fence, false
	}
	e.counts.StaleOrders++
	return e.fence, true
}

func (e *Engine) needsLoad(order endpoint.Order) bool {
	return !order.Model.IsZero() && order.Model != e.Serving()
}

func (e *Engine) chunkDigests(order endpoint.Order) ([]core.Digest, error) {
	if got := core.SumDigest(order.Manifest); got != order.Model.Manifest {
		return nil, &ManifestMismatchError{Want: order.Model.Manifest, Got: got}
	}
	return e.config.ChunkDigests(order.Manifest)
}

// swap ends the running attempts and loads the staged chunks.
func (e *Engine) swap(w http.ResponseWriter, r *http.Request, order endpoint.Order, digests []core.Digest, life uint64) {
	if !e.beginLoad(life) {
		abort()
	}
	_ = e.sleep(context.WithoutCancel(r.Context()), e.config.Load)
	serving, loaded := e.endLoad(life, order.Model, digests)
	if !loaded {
		abort()
	}
	e.finish(w, order, serving)
}

// life numbers the engine's process. A request ends with the life in which it
// arrived.
func (e *Engine) life() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restarts
}

// beginLoad returns false when the engine crashed since the order arrived.
func (e *Engine) beginLoad(life uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarts != life {
		return false
	}
	e.loading = true
	e.serving = core.ModelRef{}
	e.cache = newPrefixCache(e.config, e.chance)
	e.counts.Loads++
	e.endRunning(errEndedBySwap)
	return true
}

// endLoad returns false when the engine crashed during the load.
func (e *Engine) endLoad(life uint64, model core.ModelRef, digests []core.Digest) (core.ModelRef, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarts != life {
		return core.ModelRef{}, false
	}
	e.loading = false
	missing, corrupt := e.staged.compare(model.Manifest, digests)
	e.counts.CorruptChunks += uint64(corrupt)
	if missing+corrupt > 0 {
		e.counts.MixedWeights++
		model = core.ModelRef{Model: model.Model, Version: MixedVersion}
	}
	e.serving = model
	return model, true
}

func (e *Engine) finish(w http.ResponseWriter, order endpoint.Order, serving core.ModelRef) {
	e.mu.Lock()
	e.adapters = slices.Clone(order.Adapters)
	if order.Role != "" {
		e.role = order.Role
	}
	outcome := endpoint.OrderOutcome{Serving: serving, Adapters: e.adapters, Role: e.role}
	e.mu.Unlock()
	httpcall.WriteJSON(w, outcome)
}
