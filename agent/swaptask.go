package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

// stageAttempts bounds how often chunks are handed over for one swap.
const stageAttempts = 3

// swapTask brings one whole model into service: stage, drain, load, check,
// rejoin. Repeating it is safe.
type swapTask struct {
	control  *control
	model    core.ModelRef
	adapters []string
	role     string
	fence    core.Fence
	grace    time.Duration
}

// run carries out the swap and reports its end to the control.
func (s *swapTask) run(ctx context.Context) {
	s.control.finishSwap(s, s.swap(ctx))
}

func (s *swapTask) swap(ctx context.Context) error {
	if err := s.control.weights.stage(ctx, s.control.engine, s.model.Manifest); err != nil {
		return eris.Wrap(err, "stage chunks")
	}
	s.control.quiesce(ctx, s.grace, true)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := s.restage(ctx); err != nil {
		return eris.Wrap(err, "stage chunks again")
	}
	// A paused agent may have been overtaken while it drained.
	if err := s.control.fences.admit(s.fence); err != nil {
		return err
	}
	s.control.state.setServing(core.ModelRef{})
	if err := s.load(ctx); err != nil {
		return err
	}
	return s.check(ctx)
}

// restage hands the chunks over again if the engine lost them, as one does
// that restarted while its calls drained. An engine must not be ordered to
// load a manifest that it does not hold whole.
func (s *swapTask) restage(ctx context.Context) error {
	total := s.control.weights.chunks(s.model.Manifest)
	for range stageAttempts {
		status, err := s.control.engine.Status(ctx)
		if err != nil {
			return err
		}
		if status.StagedChunks(s.model.Manifest) >= total {
			return nil
		}
		if err := s.control.weights.stage(ctx, s.control.engine, s.model.Manifest); err != nil {
			return err
		}
	}
	return ErrNotStaged
}

func (s *swapTask) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	manifest, err := s.control.weights.encodedManifest(s.model.Manifest)
	if err != nil {
		return err
	}
	_, err = s.control.engine.Order(ctx, endpoint.Order{
		Fence:    s.fence,
		Model:    s.model,
		Manifest: manifest,
		Adapters: s.adapters,
		Role:     s.role,
	})
	return eris.Wrap(err, "order the engine to load")
}

// check reads back what the engine says it serves. Engines that do not check
// fencing may have obeyed someone else meanwhile, so that the agent's own
// fence is checked again after it.
func (s *swapTask) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.control.engine.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "read back the engine's status")
	}
	if status.Serving != s.model {
		return &ServingError{Want: s.model, Got: status.Serving}
	}
	if !s.control.checksFencing {
		if err := s.control.fences.admit(s.fence); err != nil {
			return err
		}
	}
	s.control.state.setServing(s.model)
	s.control.weights.keepOnly(s.model.Manifest)
	return nil
}
