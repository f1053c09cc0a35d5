package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

// maxRestages limits how often the chunks are staged again for one swap.
const maxRestages = 3

// swapTask brings one complete model into service: it stages the chunks, drains
// the calls, loads the model, verifies the status and admits calls again. It is
// idempotent.
type swapTask struct {
	controller *controller
	model      core.ModelRef
	adapters   []string
	role       string
	fence      core.Fence
	drainGrace time.Duration
}

// run performs the swap and reports the result to the controller.
func (s *swapTask) run(ctx context.Context) {
	s.controller.finishSwap(s, s.swap(ctx))
}

func (s *swapTask) swap(ctx context.Context) error {
	if err := s.controller.weightManager.stage(ctx, s.controller.engine, s.model.Manifest); err != nil {
		return eris.Wrap(err, "stage chunks")
	}
	s.controller.drain(ctx, s.drainGrace, true)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := s.restage(ctx); err != nil {
		return eris.Wrap(err, "stage chunks again")
	}
	// The process may have been paused during the drain, and an order with a
	// higher fencing number may have arrived since.
	if err := s.controller.fenceGuard.admit(s.fence); err != nil {
		return err
	}
	s.controller.state.setServing(core.ModelRef{})
	if err := s.load(ctx); err != nil {
		return err
	}
	return s.verify(ctx)
}

// restage stages the chunks again if the engine lost them in a restart during
// the drain. An engine must not be ordered to load a manifest of which it lacks
// chunks.
func (s *swapTask) restage(ctx context.Context) error {
	total := s.controller.weightManager.chunkCount(s.model.Manifest)
	for range maxRestages {
		status, err := s.controller.engine.Status(ctx)
		if err != nil {
			return err
		}
		if status.StagedChunks(s.model.Manifest) >= total {
			return nil
		}
		if err := s.controller.weightManager.stage(ctx, s.controller.engine, s.model.Manifest); err != nil {
			return err
		}
	}
	return ErrNotStaged
}

func (s *swapTask) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, engineLoadTimeout)
	defer cancel()
	manifest, err := s.controller.weightManager.encodedManifest(s.model.Manifest)
	if err != nil {
		return err
	}
	_, err = s.controller.engine.Order(ctx, endpoint.Order{
		Fence:    s.fence,
		Model:    s.model,
		Manifest: manifest,
		Adapters: s.adapters,
		Role:     s.role,
	})
	return eris.Wrap(err, "order the engine to load")
}

// verify checks that the engine serves the model. An engine that does not check
// fencing may meanwhile have executed another sender's order, so the agent's own
// fencing number is checked again afterwards.
func (s *swapTask) verify(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.controller.engine.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "read back the engine's status")
	}
	if status.Serving != s.model {
		return &ServingError{Want: s.model, Got: status.Serving}
	}
	if !s.controller.checksFencing {
		if err := s.controller.fenceGuard.admit(s.fence); err != nil {
			return err
		}
	}
	s.controller.state.setServing(s.model)
	s.controller.weightManager.dropUnused(s.model.Manifest)
	return nil
}
