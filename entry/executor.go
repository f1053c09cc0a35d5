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
	minBusyInterval      = 200 * time.Millisecond
	minIdleInterval      = 2 * time.Second
	busyIntervalPerAgent = 8 * time.Millisecond
	idleIntervalPerAgent = 20 * time.Millisecond
	orderTimeout         = 3 * time.Second
	storeRetryPause      = 500 * time.Millisecond
	maxParallelOrders    = 64
)

// executor reconciles the fleet with the configuration while it holds the
// lease: it compares the desired state with what the agents report and sends
// the next orders. It is stateless, so any entry can continue where another one
// stopped.
type executor struct {
	election        *configuration.Election
	documents       *fleet.DocumentHolder
	collector       *statusCollector
	pool            *sessionPool
	logger          *slog.Logger
	scope           tally.Scope
	now             func() time.Time
	reconcileConfig intent.ReconcileConfig
	// lease is nil while this entry does not hold it.
	lease atomic.Pointer[configuration.ExecutorLease]
}

// run campaigns for the lease and reconciles while it holds it, until ctx ends.
func (x *executor) run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := x.election.Campaign(ctx)
		if err != nil {
			delay.For(ctx, storeRetryPause)
			continue
		}
		x.lease.Store(lease)
		x.logger.Info("executor lease acquired", "fence", uint64(lease.Fence))
		x.reconcileUntilLost(ctx, lease)
		x.lease.Store(nil)
		x.logger.Info("executor lease ended", "fence", uint64(lease.Fence))
	}
}

// reconcileUntilLost reconciles until the lease or ctx ends.
func (x *executor) reconcileUntilLost(ctx context.Context, lease *configuration.ExecutorLease) {
	statuses := newStatusCache(x.now)
	for {
		changed := x.documents.Changed()
		wait := x.reconcileOnce(ctx, lease, statuses)
		select {
		case <-ctx.Done():
			return
		case <-lease.Done:
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// reconcileOnce runs one round and returns the time until the next one. It grows
// with the number of agents to query, which bounds the bytes per second.
func (x *executor) reconcileOnce(ctx context.Context, lease *configuration.ExecutorLease, statuses *statusCache) time.Duration {
	view := x.collector.collectUncached(ctx, statuses.lookup)
	orders := intent.Reconcile(x.documents.Current(), view, x.reconcileConfig)
	statuses.update(view, orders)
	if len(orders) > 0 && lease.Valid() {
		x.sendOrders(ctx, lease.Fence, orders)
	}
	due := statuses.dueCount(view)
	if due == 0 {
		return minIdleInterval
	}
	return max(minBusyInterval, time.Duration(due)*busyIntervalPerAgent)
}

// sendOrders sends the orders to their agents in parallel. A lost order is not
// resent; the next round issues it again.
func (x *executor) sendOrders(ctx context.Context, fence core.Fence, orders []intent.Order) {
	var group errgroup.Group
	group.SetLimit(maxParallelOrders)
	for _, order := range orders {
		group.Go(func() error {
			err := x.sendOrder(ctx, fence, order)
			outcome := "accepted"
			if err != nil {
				outcome = "failed"
				x.logger.Warn("order not accepted", "agent", order.Instance, "order", string(order.Kind), "error", err.Error())
			}
			x.scope.Tagged(map[string]string{telemetry.TagOutcome: outcome}).Counter(telemetry.MetricPlanSteps).Inc(1)
			return nil
		})
	}
	_ = group.Wait()
}

func (x *executor) sendOrder(ctx context.Context, fence core.Fence, order intent.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	session := x.pool.lookup(order.Instance)
	if session == nil {
		return ErrNoSession
	}
	response := &wire.OrderResponse{}
	req := newOrderRequest(fence, x.documents.Current().Plan, order)
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Order{Order: req}}, response)
	if err != nil {
		return err
	}
	if !response.GetAccepted() {
		return &OrderRefusedError{Instance: order.Instance, Code: response.GetCode(), Detail: response.GetDetail()}
	}
	return nil
}

func newOrderRequest(fence core.Fence, plan string, order intent.Order) *wire.OrderRequest {
	req := &wire.OrderRequest{Fence: uint64(fence), Plan: plan}
	switch order.Kind {
	case intent.OrderPrefetch:
		req.Order = &wire.OrderRequest_Prefetch{Prefetch: &wire.PrefetchOrder{Model: wire.ModelRefToProto(order.Model)}}
	case intent.OrderServe:
		req.Order = &wire.OrderRequest_Serve{Serve: &wire.ServeOrder{
			Model:         wire.ModelRefToProto(order.Model),
			Adapters:      order.Adapters,
			EngineRole:    order.EngineRole,
			StreamGraceMs: uint32(order.StreamGraceMS),
		}}
	case intent.OrderDrain:
		req.Order = &wire.OrderRequest_Drain{Drain: &wire.DrainOrder{
			StreamGraceMs: uint32(order.StreamGraceMS),
			Move:          order.Move,
		}}
	case intent.OrderResume:
		req.Order = &wire.OrderRequest_Resume{Resume: &wire.ResumeOrder{}}
	}
	return req
}
