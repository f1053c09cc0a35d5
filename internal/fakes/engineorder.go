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

// stage records the digest of a staged chunk.
func (e *Engine) stage(w http.ResponseWriter, r *http.Request) {
	manifest, err := core.ParseDigest(r.PathValue("manifest"))
	index, indexErr := strconv.Atoi(r.PathValue("index"))
	if err != nil || indexErr != nil || index < 0 {
		writeError(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	hasher := blake3.New()
	if _, err := io.Copy(hasher, http.MaxBytesReader(w, r.Body, backing.MaxChunkBytes)); err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	var digest core.Digest
	copy(digest[:], hasher.Sum(nil))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged.put(manifest, index, digest)
	w.WriteHeader(http.StatusNoContent)
}

// order handles an order. Orders run one at a time.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	incarnation := e.currentIncarnation()
	var order endpoint.Order
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order) != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if e.currentIncarnation() != incarnation {
		abortConnection()
	}
	if highest, accepted := e.acceptFence(order.Fence); !accepted {
		document := httpcall.ErrorDocument{Code: endpoint.CodeFenced, HighestFence: uint64(highest)}
		httpcall.WriteError(w, http.StatusConflict, document)
		return
	}
	if !e.needsLoad(order) {
		e.finishOrder(w, order, e.Serving())
		return
	}
	digests, err := e.chunkDigests(order)
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, codeBadManifest)
		return
	}
	e.loadWeights(w, r, order, digests, incarnation)
}

// acceptFence raises the highest fencing number seen and reports whether the
// order may run. An engine that ignores fencing only counts a stale number.
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

// loadWeights ends the running attempts and loads the staged chunks.
func (e *Engine) loadWeights(w http.ResponseWriter, r *http.Request, order endpoint.Order, digests []core.Digest, incarnation uint64) {
	if !e.startLoad(incarnation) {
		abortConnection()
	}
	_ = e.sleep(context.WithoutCancel(r.Context()), e.config.LoadDuration)
	serving, loaded := e.finishLoad(incarnation, order.Model, digests)
	if !loaded {
		abortConnection()
	}
	e.finishOrder(w, order, serving)
}

// currentIncarnation returns the number of the engine's process, which a crash
// increments. An order is dropped once its incarnation has ended.
func (e *Engine) currentIncarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// startLoad returns false if the engine crashed since the order arrived.
func (e *Engine) startLoad(incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return false
	}
	e.loading = true
	e.serving = core.ModelRef{}
	e.cache = newPrefixCache(e.config, e.rand)
	e.counts.Loads++
	e.endAttempts(errEndedByLoad)
	return true
}

// finishLoad returns false if the engine crashed during the load.
func (e *Engine) finishLoad(incarnation uint64, model core.ModelRef, digests []core.Digest) (core.ModelRef, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
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

func (e *Engine) finishOrder(w http.ResponseWriter, order endpoint.Order, serving core.ModelRef) {
	e.mu.Lock()
	e.adapters = slices.Clone(order.Adapters)
	if order.Role != "" {
		e.role = order.Role
	}
	outcome := endpoint.OrderOutcome{Serving: serving, Adapters: e.adapters, Role: e.role}
	e.mu.Unlock()
	httpcall.WriteJSON(w, outcome)
}
