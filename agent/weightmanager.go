package agent

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/weights/swarm"
	"github.com/snipestep/snipestep/wire"
)

const (
	swarmRequestTimeout   = 3 * time.Second
	targetRefreshInterval = 2 * time.Second
	fetchRetryDelay       = 200 * time.Millisecond
)

// ErrNoManifest reports a manifest whose chunks the agent does not have.
var ErrNoManifest = eris.New("agent does not have all chunks of the manifest")

// weightManager fetches the weights that orders name, and manages the verified
// chunk sets.
type weightManager struct {
	node      *swarm.Node
	entries   *entryTable
	origin    backing.ChunkSource
	policy    string
	logger    *slog.Logger
	startTask func(func(ctx context.Context))

	mu        sync.Mutex // Guards the fields below.
	target    core.ModelRef
	cancel    context.CancelFunc
	manifests []core.Digest // Manifests with a chunk set at the node.
}

// prefetch starts the transfer of a model and cancels that of another one.
func (w *weightManager) prefetch(model core.ModelRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target == model {
		return nil
	}
	if w.cancel != nil {
		w.cancel()
	}
	w.target = model
	w.manifests = append(w.manifests, model.Manifest)
	if w.complete(model.Manifest) {
		w.cancel = nil
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.startTask(func(taskCtx context.Context) {
		stopAfterFunc := context.AfterFunc(taskCtx, cancel)
		defer stopAfterFunc()
		defer cancel()
		w.fetch(ctx, model)
	})
	return nil
}

// fetch retries until the chunk set is complete or ctx ends.
func (w *weightManager) fetch(ctx context.Context, model core.ModelRef) {
	for ctx.Err() == nil {
		err := w.fetchOnce(ctx, model)
		if err == nil {
			return
		}
		w.logger.Warn("fetching weights failed", "model", model.Model, "version", model.Version, "error", err.Error())
		delay.For(ctx, fetchRetryDelay)
	}
}

func (w *weightManager) fetchOnce(ctx context.Context, model core.ModelRef) error {
	response, err := w.requestSwarm(ctx, &wire.SwarmRequest{Manifest: model.Manifest[:], WantManifest: true})
	if err != nil {
		return eris.Wrap(err, "request the manifest")
	}
	manifest, err := weights.DecodeManifest(response.GetManifest(), model.Manifest)
	if err != nil {
		return eris.Wrap(err, "decode the manifest")
	}
	if w.policy == core.PolicyBaseline {
		return w.fetchFromOrigin(ctx, manifest)
	}
	targets := newTargetList(response)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.refreshTargets(ctx, model.Manifest, targets)
	_, err = w.node.Fetch(ctx, manifest, targets.peers)
	return err
}

// fetchFromOrigin fetches every chunk from the origin, as the baseline policy
// does.
func (w *weightManager) fetchFromOrigin(ctx context.Context, manifest *weights.Manifest) error {
	set := weights.NewSet(manifest)
	for i := range manifest.Chunks {
		data, err := w.origin.Chunk(ctx, manifest.Digest(), i)
		if err != nil {
			return err
		}
		if err := set.Put(i, data); err != nil {
			return err
		}
	}
	w.node.Add(set)
	return nil
}

// refreshTargets updates the targets of a transfer until ctx ends.
func (w *weightManager) refreshTargets(ctx context.Context, manifest core.Digest, targets *targetList) {
	tick := time.NewTicker(targetRefreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		response, err := w.requestSwarm(ctx, &wire.SwarmRequest{Manifest: manifest[:], TargetsHash: targets.hash()})
		if err == nil {
			targets.update(response)
		}
	}
}

func (w *weightManager) requestSwarm(ctx context.Context, req *wire.SwarmRequest) (*wire.SwarmResponse, error) {
	session, err := w.entries.session("")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, swarmRequestTimeout)
	defer cancel()
	response := &wire.SwarmResponse{}
	err = session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Swarm{Swarm: req}}, response)
	return response, err
}

// complete reports whether all chunks of a manifest are verified and stored.
func (w *weightManager) complete(manifest core.Digest) bool {
	set, ok := w.node.Set(manifest)
	return ok && set.Complete()
}

// chunkCount returns the number of chunks of a manifest, or 0 if the node has no
// complete chunk set of it.
func (w *weightManager) chunkCount(manifest core.Digest) int {
	set, ok := w.node.Set(manifest)
	if !ok {
		return 0
	}
	return set.Len()
}

// stage uploads every chunk of a manifest to the engine.
func (w *weightManager) stage(ctx context.Context, engine endpoint.Engine, manifest core.Digest) error {
	set, ok := w.node.Set(manifest)
	if !ok {
		return ErrNoManifest
	}
	for i := range set.Manifest().Chunks {
		data, ok := set.Get(i)
		if !ok {
			return ErrNoManifest
		}
		if err := engine.StageChunk(ctx, manifest, i, data); err != nil {
			return err
		}
	}
	return nil
}

// encodedManifest returns the encoding of a manifest, or ErrNoManifest if the
// node has no complete chunk set of it.
func (w *weightManager) encodedManifest(manifest core.Digest) ([]byte, error) {
	set, ok := w.node.Set(manifest)
	if !ok {
		return nil, ErrNoManifest
	}
	return set.Manifest().Encode(), nil
}

// dropUnused drops every chunk set except those of the served manifest and of
// the target.
func (w *weightManager) dropUnused(serving core.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manifests = slices.DeleteFunc(w.manifests, func(d core.Digest) bool {
		if d == serving || d == w.target.Manifest {
			return false
		}
		w.node.Drop(d)
		return true
	})
}

// progress returns the model of the last prefetch order, the number of its
// verified chunks and the number of all its chunks.
func (w *weightManager) progress() (model core.ModelRef, have, total int) {
	w.mu.Lock()
	model = w.target
	w.mu.Unlock()
	if w.node == nil {
		return model, 0, 0
	}
	have, total = w.node.Progress(model.Manifest)
	return model, have, total
}
