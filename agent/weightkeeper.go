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
	swarmAskTimeout   = 3 * time.Second
	peerRefresh       = 2 * time.Second
	fetchRetryBackoff = 200 * time.Millisecond
)

// ErrNoManifest reports a manifest that the agent does not hold.
var ErrNoManifest = eris.New("manifest is not held")

// weightKeeper fetches the weights that the orders name and keeps the
// verified chunk sets.
type weightKeeper struct {
	node       *swarm.Node
	entries    *entryTable
	origin     backing.ChunkSource
	policy     string
	logger     *slog.Logger
	background func(func(ctx context.Context))

	mu     sync.Mutex // Guards the fields below.
	target core.ModelRef
	cancel context.CancelFunc
	held   []core.Digest // Manifests with a set at the node.
}

// prefetch starts the transfer of a model; a transfer of another one ends.
func (w *weightKeeper) prefetch(model core.ModelRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target == model {
		return nil
	}
	if w.cancel != nil {
		w.cancel()
	}
	w.target = model
	w.held = append(w.held, model.Manifest)
	if w.complete(model.Manifest) {
		w.cancel = nil
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.background(func(stop context.Context) {
		end := context.AfterFunc(stop, cancel)
		defer end()
		defer cancel()
		w.fetch(ctx, model)
	})
	return nil
}

// fetch tries until the set is complete or ctx ends.
func (w *weightKeeper) fetch(ctx context.Context, model core.ModelRef) {
	for ctx.Err() == nil {
		err := w.fetchOnce(ctx, model)
		if err == nil {
			return
		}
		w.logger.Warn("transfer failed", "model", model.Model, "version", model.Version, "error", err.Error())
		delay.For(ctx, fetchRetryBackoff)
	}
}

func (w *weightKeeper) fetchOnce(ctx context.Context, model core.ModelRef) error {
	answer, err := w.askSwarm(ctx, &wire.SwarmRequest{Manifest: model.Manifest[:], WantManifest: true})
	if err != nil {
		return eris.Wrap(err, "ask for the manifest")
	}
	manifest, err := weights.DecodeManifest(answer.GetManifest(), model.Manifest)
	if err != nil {
		return eris.Wrap(err, "decode the manifest")
	}
	if w.policy == core.PolicyBaseline {
		return w.drawFromOrigin(ctx, manifest)
	}
	targets := newTargetList(answer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.refreshTargets(ctx, model.Manifest, targets)
	_, err = w.node.Fetch(ctx, manifest, targets.peers)
	return err
}

// drawFromOrigin fetches every chunk from the origin, as the baseline does.
func (w *weightKeeper) drawFromOrigin(ctx context.Context, manifest *weights.Manifest) error {
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

// refreshTargets keeps the targets of a transfer new until ctx ends.
func (w *weightKeeper) refreshTargets(ctx context.Context, manifest core.Digest, targets *targetList) {
	tick := time.NewTicker(peerRefresh)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		answer, err := w.askSwarm(ctx, &wire.SwarmRequest{Manifest: manifest[:], TargetsHash: targets.hash()})
		if err == nil {
			targets.update(answer)
		}
	}
}

func (w *weightKeeper) askSwarm(ctx context.Context, req *wire.SwarmRequest) (*wire.SwarmResponse, error) {
	session, err := w.entries.session("")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, swarmAskTimeout)
	defer cancel()
	answer := &wire.SwarmResponse{}
	err = session.Ask(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Swarm{Swarm: req}}, answer)
	return answer, err
}

// complete reports whether all chunks of a manifest are held and verified.
func (w *weightKeeper) complete(manifest core.Digest) bool {
	set, ok := w.node.Set(manifest)
	return ok && set.Complete()
}

// chunks returns the number of chunks of a held manifest.
func (w *weightKeeper) chunks(manifest core.Digest) int {
	set, ok := w.node.Set(manifest)
	if !ok {
		return 0
	}
	return set.Len()
}

// stage hands every chunk that the engine does not have yet to it.
func (w *weightKeeper) stage(ctx context.Context, engine endpoint.Engine, manifest core.Digest) error {
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

// encodedManifest returns the manifest of a held set, or ErrNoManifest.
func (w *weightKeeper) encodedManifest(manifest core.Digest) ([]byte, error) {
	set, ok := w.node.Set(manifest)
	if !ok {
		return nil, ErrNoManifest
	}
	return set.Manifest().Encode(), nil
}

// keepOnly drops every set but the one served and the one being fetched.
func (w *weightKeeper) keepOnly(manifest core.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = slices.DeleteFunc(w.held, func(d core.Digest) bool {
		if d == manifest || d == w.target.Manifest {
			return false
		}
		w.node.Drop(d)
		return true
	})
}

// progress returns the model being fetched with the chunks held and the
// chunks in all.
func (w *weightKeeper) progress() (model core.ModelRef, have, total int) {
	w.mu.Lock()
	model = w.target
	w.mu.Unlock()
	if w.node == nil {
		return model, 0, 0
	}
	have, total = w.node.Progress(model.Manifest)
	return model, have, total
}
