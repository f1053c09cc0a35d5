package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

const (
	busyInterval     = 200 * time.Millisecond
	idleInterval     = 2 * time.Second
	busyPerAgent     = 8 * time.Millisecond
	idlePerAgent     = 20 * time.Millisecond
	orderTimeout     = 3 * time.Second
	campaignPause    = 500 * time.Millisecond
	executorParallel = 64
)

// executor carries out the configuration while it holds the lease: it
// compares what should hold with what the agents report and sends the orders
// that come next. It keeps no state of its own, so that any entry can go on
// from where another one stopped.
type executor struct {
	lease     *configuration.Election
	held      *fleet.DocumentHolder
	collector *collector
	pool      *sessionPool
	logger    *slog.Logger
	scope     tally.Scope
	now       func() time.Time
	reconcile intent.ReconcileConfig
	// tenure is that of this entry, nil while another one holds the lease.
	tenure atomic.Pointer[configuration.ExecutorLease]
}

// run campaigns for the lease and works under it until ctx ends.
func (x *executor) run(ctx context.Context) {
	for ctx.Err() == nil {
		tenure, err := x.lease.Campaign(ctx)
		if err != nil {
			delay.For(ctx, campaignPause)
			continue
		}
		x.tenure.Store(tenure)
		x.logger.Info("executor's lease gained", "fence", uint64(tenure.Fence))
		x.work(ctx, tenure)
		x.tenure.Store(nil)
		x.logger.Info("executor's lease ended", "fence", uint64(tenure.Fence))
	}
}

// work reconciles until the lease ends.
func (x *executor) work(ctx context.Context, tenure *configuration.ExecutorLease) {
	statuses := newStatusCache(x.now)
	for {
		changed := x.held.Changed()
		wait := x.step(ctx, tenure, statuses)
		select {
		case <-ctx.Done():
			return
		case <-tenure.Done:
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// step does one round and returns the time to the next one. It grows with the
// number of agents to ask, so that the bytes a second stay bounded.
func (x *executor) step(ctx context.Context, tenure *configuration.ExecutorLease, statuses *statusCache) time.Duration {
	view := x.collector.collectDue(ctx, statuses.known)
	orders := intent.Reconcile(x.held.Current(), view, x.reconcile)
	statuses.keep(view, orders)
	if len(orders) > 0 && tenure.Valid(x.now()) {
		x.send(ctx, tenure.Fence, orders)
	}
	asked := statuses.asked(view)
	if asked == 0 {
		return idleInterval
	}
	return max(busyInterval, time.Duration(asked)*busyPerAgent)
}

// send gives every order to its agent at the same time. A lost order is
// found missing in the next round.
func (x *executor) send(ctx context.Context, fence core.Fence, orders []intent.Order) {
	var group errgroup.Group
	group.SetLimit(executorParallel)
	for _, order := range orders {
		group.Go(func() error {
			err := x.sendOne(ctx, fence, order)
			outcome := "accepted"
			if err != nil {
				outcome = "failed"
				x.logger.Warn("order not taken", "agent", order.Instance, "order", string(order.Kind), "error", err.Error())
			}
			x.scope.Tagged(map[string]string{telemetry.TagOutcome: outcome}).Counter(telemetry.MetricPlanSteps).Inc(1)
			return nil
		})
	}
	_ = group.Wait()
}

func (x *executor) sendOne(ctx context.Context, fence core.Fence, order intent.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	session := x.pool.open(order.Instance)
	if session == nil {
		return ErrNoSession
	}
	answer := &wire.OrderResponse{}
	req := orderMessage(fence, x.held.Current().Plan, order)
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Order{Order: req}}, answer)
	if err != nil {
		return err
	}
	if !answer.GetAccepted() {
		return &OrderRefusedError{Instance: order.Instance, Code: answer.GetCode(), Detail: answer.GetDetail()}
	}
	return nil
}

func orderMessage(fence core.Fence, plan string, o intent.Order) *wire.OrderRequest {
	req := &wire.OrderRequest{Fence: uint64(fence), Plan: plan}
	switch o.Kind {
	case intent.OrderPrefetch:
		req.Order = &wire.OrderRequest_Prefetch{Prefetch: &wire.PrefetchOrder{Model: wire.ModelRefToProto(o.Model)}}
	case intent.OrderServe:
		req.Order = &wire.OrderRequest_Serve{Serve: &wire.ServeOrder{
			Model:         wire.ModelRefToProto(o.Model),
			Adapters:      o.Adapters,
			EngineRole:    o.EngineRole,
			StreamGraceMs: uint32(o.StreamGraceMS),
		}}
	case intent.OrderDrain:
		req.Order = &wire.OrderRequest_Drain{Drain: &wire.DrainOrder{
			StreamGraceMs: uint32(o.StreamGraceMS),
			Move:          o.Move,
		}}
	case intent.OrderResume:
		req.Order = &wire.OrderRequest_Resume{Resume: &wire.ResumeOrder{}}
	}
	return req
}
