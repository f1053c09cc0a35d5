package agent

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/wire"
)

const (
	statusTimeout       = 3 * time.Second
	engineLoadTimeout   = 2 * time.Minute
	statusInterval      = time.Second
	statusRetryInterval = 200 * time.Millisecond
	defaultDrainGrace   = 30 * time.Second
)

// controller executes the orders of the lease holder. It alone sends orders to
// the endpoint, and it opens the scheduler to calls only while the endpoint
// serves one complete model.
type controller struct {
	engine        endpoint.Engine
	checksFencing bool
	sched         *scheduler
	state         *endpointState
	fenceGuard    *fenceGuard
	weightManager *weightManager
	reporter      *reporter
	logger        *slog.Logger
	startTask     func(func(ctx context.Context))

	mu           sync.Mutex // Guards the fields below.
	swapping     bool
	swapCount    uint64 // Swaps started so far.
	drainOrdered bool   // Ordered out of service.
	// undoDrain ends the drain in progress; nil before the first one.
	undoDrain context.CancelFunc
	adapters  []string
	role      string
}

// handleOrder answers one order and reports whether it was accepted. An
// accepted order is executed in the background; repeating it has no further
// effect.
func (c *controller) handleOrder(stream *wire.Stream, req *wire.OrderRequest) bool {
	response := &wire.OrderResponse{Accepted: true}
	if code, err := c.accept(req); err != nil || code != "" {
		response.Accepted = false
		response.Code = code
		if err != nil {
			response.Detail = err.Error()
		}
	}
	response.HighestFence = uint64(c.fenceGuard.highestSeen())
	_ = stream.Send(response)
	return response.Accepted
}

// accept starts an order, or returns the code of the refusal.
func (c *controller) accept(req *wire.OrderRequest) (string, error) {
	if err := c.fenceGuard.admit(core.Fence(req.GetFence())); err != nil {
		return CodeStaleFence, err
	}
	switch order := req.GetOrder().(type) {
	case *wire.OrderRequest_Prefetch:
		if c.engine == nil {
			return CodeUnknownOrder, nil
		}
		return "", c.weightManager.prefetch(wire.ModelRefFromProto(order.Prefetch.GetModel()))
	case *wire.OrderRequest_Serve:
		return c.acceptServe(order.Serve, core.Fence(req.GetFence()))
	case *wire.OrderRequest_Drain:
		c.acceptDrain(order.Drain)
		return "", nil
	case *wire.OrderRequest_Resume:
		c.acceptResume()
		return "", nil
	}
	return CodeUnknownOrder, nil
}

func (c *controller) acceptServe(order *wire.ServeOrder, fence core.Fence) (string, error) {
	model := wire.ModelRefFromProto(order.GetModel())
	if c.engine == nil {
		return CodeUnknownOrder, nil
	}
	if !c.weightManager.complete(model.Manifest) {
		return CodeWeightsIncomplete, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.swapping {
		return CodeOtherOrderRunning, nil
	}
	c.swapping = true
	c.swapCount++
	swap := &swapTask{
		controller: c,
		model:      model,
		adapters:   order.GetAdapters(),
		role:       order.GetEngineRole(),
		fence:      fence,
		drainGrace: time.Duration(order.GetStreamGraceMs()) * time.Millisecond,
	}
	c.startTask(swap.run)
	return "", nil
}

func (c *controller) acceptDrain(order *wire.DrainOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainOrdered {
		return
	}
	c.drainOrdered = true
	undone, undo := context.WithCancel(context.Background())
	c.undoDrain = undo
	grace := time.Duration(order.GetStreamGraceMs()) * time.Millisecond
	c.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(undone, cancel)()
		c.drain(ctx, grace, order.GetMove())
	})
}

func (c *controller) acceptResume() {
	c.mu.Lock()
	c.drainOrdered = false
	if c.undoDrain != nil {
		c.undoDrain()
	}
	c.mu.Unlock()
	c.openIfServing()
}

// drain refuses new calls and blocks until none runs. After the grace period,
// resumable calls move to another endpoint if move is set.
func (c *controller) drain(ctx context.Context, grace time.Duration, move bool) {
	c.reporter.draining.Store(true)
	idle := make(chan struct{})
	c.sched.post(closeEvent{reason: CodeDraining, idle: idle})
	c.reporter.triggerReport()
	if grace <= 0 {
		grace = defaultDrainGrace
	}
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-idle:
		return
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	if move {
		c.sched.post(interruptEvent{cause: errMoved})
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// openIfServing admits calls if the endpoint serves and no order, swap or leave
// prevents it.
func (c *controller) openIfServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openIfServingLocked()
}

// openIfServingLocked is openIfServing with c.mu held.
func (c *controller) openIfServingLocked() {
	if c.swapping || c.drainOrdered || c.reporter.leaving.Load() {
		return
	}
	if c.engine != nil && c.state.serving().IsZero() {
		return
	}
	c.reporter.draining.Store(false)
	c.sched.post(openEvent{})
	c.reporter.triggerReport()
}

// rejectCalls refuses calls while the endpoint is out of service. The reason is
// the code of the refusals.
func (c *controller) rejectCalls(reason string) {
	c.reporter.draining.Store(true)
	c.sched.post(closeEvent{reason: reason, idle: make(chan struct{})})
	c.reporter.triggerReport()
}

// watchEndpoint checks the endpoint periodically and after failed calls, and
// keeps it out of service while it does not serve the expected model. It
// returns when ctx ends.
func (c *controller) watchEndpoint(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.state.checkRequested:
		case <-timer.C:
		}
		if c.checkEndpoint(ctx) {
			timer.Reset(statusInterval)
		} else {
			timer.Reset(statusRetryInterval)
		}
	}
}

// checkEndpoint compares what the engine serves with the expected model. It
// returns false while the engine does not answer or serves something else.
func (c *controller) checkEndpoint(ctx context.Context) bool {
	if c.engine == nil {
		c.state.markUp()
		c.openIfServing()
		return true
	}
	swapping, swapsBefore := c.swapState()
	if swapping {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := c.engine.Status(ctx)
	if swapping, swapsAfter := c.swapState(); swapping || swapsAfter != swapsBefore {
		return true // The status may predate a swap that has ended since.
	}
	if err != nil {
		c.rejectCalls(CodeNoEndpoint)
		return false
	}
	return c.reconcile(status)
}

// reconcile acts on the engine's status. A complete model that the engine serves
// without an order of this agent is adopted only if none is expected. If the
// engine does not serve the expected model, calls are refused and the model is
// reloaded.
func (c *controller) reconcile(status endpoint.EngineStatus) bool {
	c.fenceGuard.observe(status.Fence)
	c.state.markUp()
	c.state.setCachedPrefixes(status.CachedPrefixes)
	expected := c.state.serving()
	if !status.Serving.IsZero() && (expected.IsZero() || status.Serving == expected) {
		c.state.setServing(status.Serving)
		c.openIfServing()
		return true
	}
	if expected.IsZero() {
		return true
	}
	c.rejectCalls(CodeNoEndpoint)
	c.reloadWeights(expected)
	return false
}

// reloadWeights reloads the expected model into an engine that lost it.
func (c *controller) reloadWeights(model core.ModelRef) {
	if !c.weightManager.complete(model.Manifest) {
		c.state.setServing(core.ModelRef{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.swapping {
		return
	}
	c.swapping = true
	c.swapCount++
	swap := &swapTask{controller: c, model: model, adapters: c.adapters, role: c.role, fence: c.fenceGuard.highestSeen()}
	c.startTask(swap.run)
}

// swapState reports whether a swap is in progress, and how many have started.
func (c *controller) swapState() (swapping bool, started uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.swapping, c.swapCount
}

// finishSwap ends a swap; err is nil if the endpoint serves the model. It opens
// the scheduler before it releases the lock, so that calls are admitted as soon
// as the status reports no swap.
func (c *controller) finishSwap(s *swapTask, err error) {
	c.mu.Lock()
	c.swapping = false
	if err == nil {
		c.adapters = s.adapters
		c.role = s.role
	}
	c.openIfServingLocked()
	c.mu.Unlock()
	if err != nil && !errors.Is(err, context.Canceled) {
		c.logger.Warn("swap failed", "model", s.model.Model, "version", s.model.Version, "error", err.Error())
	}
}
