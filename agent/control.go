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
	statusTimeout = 3 * time.Second
	loadTimeout   = 2 * time.Minute
	watchInterval = time.Second
	retryInterval = 200 * time.Millisecond
	defaultGrace  = 30 * time.Second
)

// control carries out the orders of the lease holder. It is the only one to
// order the endpoint, and it opens the scheduler to calls only while the
// endpoint serves one whole model.
type control struct {
	engine        endpoint.Engine
	checksFencing bool
	sched         *scheduler
	state         *endpointState
	fences        *fences
	weights       *weightKeeper
	reporter      *reporter
	logger        *slog.Logger
	background    func(func(ctx context.Context))

	mu       sync.Mutex // Guards the fields below.
	swapping bool
	// swaps counts the swaps that began.
	swaps    uint64
	drained  bool // Ordered out of service.
	adapters []string
	role     string
}

// serve answers one order and reports whether it was accepted. An accepted order goes on in the background;
// repeating it has no further effect.
func (c *control) serve(st *wire.Stream, req *wire.OrderRequest) bool {
	answer := &wire.OrderResponse{Accepted: true}
	if code, err := c.accept(req); err != nil || code != "" {
		answer.Accepted = false
		answer.Code = code
		if err != nil {
			answer.Detail = err.Error()
		}
	}
	answer.HighestFence = uint64(c.fences.current())
	_ = st.Send(answer)
	return answer.Accepted
}

// accept starts an order; a code says why it was not taken.
func (c *control) accept(req *wire.OrderRequest) (string, error) {
	if err := c.fences.admit(core.Fence(req.GetFence())); err != nil {
		return CodeStaleFence, err
	}
	switch order := req.GetOrder().(type) {
	case *wire.OrderRequest_Prefetch:
		if c.engine == nil {
			return CodeUnknownOrder, nil
		}
		return "", c.weights.prefetch(wire.ToModelRef(order.Prefetch.GetModel()))
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

func (c *control) acceptServe(order *wire.ServeOrder, fence core.Fence) (string, error) {
	model := wire.ToModelRef(order.GetModel())
	if c.engine == nil {
		return CodeUnknownOrder, nil
	}
	if !c.weights.complete(model.Manifest) {
		return CodeIncomplete, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.swapping {
		return CodeOtherOrder, nil
	}
	c.swapping = true
	c.swaps++
	swap := &swapTask{
		control:  c,
		model:    model,
		adapters: order.GetAdapters(),
		role:     order.GetEngineRole(),
		fence:    fence,
		grace:    time.Duration(order.GetStreamGraceMs()) * time.Millisecond,
	}
	c.background(swap.run)
	return "", nil
}

func (c *control) acceptDrain(order *wire.DrainOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return
	}
	c.drained = true
	grace := time.Duration(order.GetStreamGraceMs()) * time.Millisecond
	c.background(func(ctx context.Context) {
		c.quiesce(ctx, grace, order.GetMove())
	})
}

func (c *control) acceptResume() {
	c.mu.Lock()
	c.drained = false
	c.mu.Unlock()
	c.reopen()
}

// quiesce refuses new calls and blocks until none runs. After the grace the
// resumable ones move to another endpoint if move is set.
func (c *control) quiesce(ctx context.Context, grace time.Duration, move bool) {
	c.reporter.draining.Store(true)
	idle := make(chan struct{})
	c.sched.post(closeEvent{reason: CodeDraining, idle: idle})
	c.reporter.urge()
	if grace <= 0 {
		grace = defaultGrace
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

// reopen lets calls in if the endpoint serves and no order forbids it.
func (c *control) reopen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reopenLocked()
}

// reopenLocked is reopen with c.mu held.
func (c *control) reopenLocked() {
	if c.swapping || c.drained || c.reporter.leaving.Load() {
		return
	}
	if c.engine != nil && c.state.serving().IsZero() {
		return
	}
	c.reporter.draining.Store(false)
	c.sched.post(openEvent{})
	c.reporter.urge()
}

// shut refuses calls while the endpoint does not answer.
func (c *control) shut(reason string) {
	c.reporter.draining.Store(true)
	c.sched.post(closeEvent{reason: reason, idle: make(chan struct{})})
	c.reporter.urge()
}

// watch looks at the endpoint after failed calls and now and then, and keeps
// it out of service while it does not serve what it should. It returns when
// ctx ends.
func (c *control) watch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.state.suspected:
		case <-timer.C:
		}
		if c.inspect(ctx) {
			timer.Reset(watchInterval)
		} else {
			timer.Reset(retryInterval)
		}
	}
}

// inspect reads what the engine serves. It returns false while the engine is
// not as it should be.
func (c *control) inspect(ctx context.Context) bool {
	if c.engine == nil {
		c.state.recovered()
		c.reopen()
		return true
	}
	swapping, before := c.swapState()
	if swapping {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := c.engine.Status(ctx)
	if swapping, after := c.swapState(); swapping || after != before {
		return true // The answer may be from before a swap that has ended since.
	}
	if err != nil {
		c.shut(CodeNoEndpoint)
		return false
	}
	return c.compare(status)
}

// compare acts on the engine's own word: a model that is served without an
// order of this agent is taken over only if it is known to be whole.
func (c *control) compare(status endpoint.EngineStatus) bool {
	c.state.recovered()
	c.state.setPrefixes(status.CachedPrefixes)
	want := c.state.serving()
	if !status.Serving.IsZero() && (want.IsZero() || status.Serving == want) {
		c.state.setServing(status.Serving)
		c.reopen()
		return true
	}
	if want.IsZero() {
		return true
	}
	c.shut(CodeNoEndpoint)
	c.reload(want)
	return false
}

// reload puts back the weights of an engine that lost them.
func (c *control) reload(model core.ModelRef) {
	if !c.weights.complete(model.Manifest) {
		c.state.setServing(core.ModelRef{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.swapping {
		return
	}
	c.swapping = true
	c.swaps++
	swap := &swapTask{control: c, model: model, adapters: c.adapters, role: c.role, fence: c.fences.current()}
	c.background(swap.run)
}

// swapState reports whether a swap is under way, and how many began so far.
func (c *control) swapState() (swapping bool, begun uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.swapping, c.swaps
}

// finishSwap ends a swap; err is nil if the endpoint serves the model. Whoever
// sees that no swap is under way finds calls let in.
func (c *control) finishSwap(s *swapTask, err error) {
	c.mu.Lock()
	c.swapping = false
	if err == nil {
		c.adapters = s.adapters
		c.role = s.role
	}
	c.reopenLocked()
	c.mu.Unlock()
	if err != nil && !errors.Is(err, context.Canceled) {
		c.logger.Warn("swap failed", "model", s.model.Model, "version", s.model.Version, "error", err.Error())
	}
}
