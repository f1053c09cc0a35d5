package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

const (
	waitingDispatchInterval = 20 * time.Millisecond
	idleDispatchInterval    = time.Second
	dispatchEventBuffer     = 1024
	minRetryAfter           = time.Second
	// emptyQueueRetention is how long an empty queue keeps its start rates.
	emptyQueueRetention = time.Minute
)

// dispatcher reserves credit at endpoints for calls. Calls without credit wait
// in queues, one per model or service, which the goroutine of run owns.
type dispatcher struct {
	cfg      Config
	routes   *routes
	policies func() routing.Policies
	now      func() time.Time
	offers   chan *waiter
	// sentDirectly records calls that found an endpoint without waiting, for the
	// queues' start rates; the record is dropped when run lags behind.
	sentDirectly   chan *waiter
	cancellations  chan *waiter
	creditReleased chan struct{} // Signals a released credit; capacity 1.
	stopped        chan struct{}
	lastCallID     atomic.Uint64
	// waitingByRank counts the waiting calls by rank.
	waitingByRank [core.RankCount]atomic.Int64

	queues map[string]*targetQueue // Owned by run.
}

func newDispatcher(cfg Config, r *routes, policies func() routing.Policies, now func() time.Time) *dispatcher {
	return &dispatcher{
		cfg:            cfg,
		routes:         r,
		policies:       policies,
		now:            now,
		offers:         make(chan *waiter, dispatchEventBuffer),
		sentDirectly:   make(chan *waiter, dispatchEventBuffer),
		cancellations:  make(chan *waiter, dispatchEventBuffer),
		creditReleased: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		queues:         make(map[string]*targetQueue),
	}
}

// acquire blocks until it has reserved credit for the call, the call is refused
// (*RefusedError) or ctx ends.
func (d *dispatcher) acquire(ctx context.Context, call routing.Call, req routing.Request) (*reservation, error) {
	if d.noCallsAhead(req.Rank) {
		if r, ok := d.tryReserve(d.routes.table.Load(), req); ok {
			d.recordDirect(call, req)
			return r, nil
		}
	}
	call.ID = d.lastCallID.Add(1)
	offered := d.now()
	w := &waiter{call: call, request: req, result: make(chan grant, 1), cancelled: ctx.Done()}
	if !d.post(d.offers, w) {
		return nil, leavingRefusal()
	}
	select {
	case g := <-w.result:
		if g.reservation != nil {
			g.reservation.waited = d.now().Sub(offered)
		}
		return g.reservation, g.err
	case <-ctx.Done():
		d.post(d.cancellations, w)
		return nil, ctx.Err()
	case <-d.stopped:
		return nil, leavingRefusal()
	}
}

// recordDirect records a call that did not wait.
func (d *dispatcher) recordDirect(call routing.Call, req routing.Request) {
	select {
	case d.sentDirectly <- &waiter{call: call, request: req}:
	default:
	}
}

func (d *dispatcher) post(to chan *waiter, w *waiter) bool {
	select {
	case to <- w:
		return true
	case <-d.stopped:
		return false
	}
}

func leavingRefusal() *RefusedError {
	return &RefusedError{Status: http.StatusServiceUnavailable, Code: CodeLeaving, RetryAfter: time.Second}
}

// noCallsAhead reports whether no call of the same or a more urgent rank waits.
func (d *dispatcher) noCallsAhead(rank core.Rank) bool {
	for r := core.RankUrgent; r <= rank; r++ {
		if d.waitingByRank[r].Load() > 0 {
			return false
		}
	}
	return true
}

// tryReserve chooses an endpoint and takes one of its credits, if one has any.
func (d *dispatcher) tryReserve(t *routing.Table, req routing.Request) (*reservation, bool) {
	i, ok := routing.Choose(t, req, rand.Uint64(), d.now())
	if !ok || !t.Reserve(i, req.Rank) {
		return nil, false
	}
	return &reservation{EndpointState: t.Endpoint(i), table: t, index: i, rank: req.Rank, onRelease: d.signalRelease}, true
}

// signalRelease makes run dispatch the waiting calls.
func (d *dispatcher) signalRelease() {
	select {
	case d.creditReleased <- struct{}{}:
	default:
	}
}

// run dispatches the waiting calls until ctx ends; then all of them are refused.
func (d *dispatcher) run(ctx context.Context) {
	defer close(d.stopped)
	wasWaiting := false
	// Short ticks are needed only while calls wait.
	tick := time.NewTicker(idleDispatchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.offers:
			if !w.isCancelled() {
				d.queueFor(w).enqueue(d, w)
			}
		case w := <-d.sentDirectly:
			d.queueFor(w).overflow.RecordSent(d.now(), w.call.Rank)
			continue
		case w := <-d.cancellations:
			d.queueFor(w).remove(w)
		case <-d.routes.tableChanged:
		case <-d.creditReleased:
		case <-tick.C:
		}
		d.dispatch()
		if isWaiting := d.anyWaiting(); isWaiting != wasWaiting {
			wasWaiting = isWaiting
			tick.Reset(d.dispatchInterval(isWaiting))
		}
	}
}

func (d *dispatcher) anyWaiting() bool {
	return !d.noCallsAhead(core.RankBackground)
}

func (d *dispatcher) dispatchInterval(waiting bool) time.Duration {
	if waiting {
		return waitingDispatchInterval
	}
	return idleDispatchInterval
}

func (d *dispatcher) queueFor(w *waiter) *targetQueue {
	key := w.request.Service + "\x00" + w.request.Model.Model
	q := d.queues[key]
	if q == nil {
		target := routing.Request{Service: w.request.Service, Model: core.ModelRef{Model: w.request.Model.Model}}
		q = newTargetQueue(target, d.policies(), d.cfg.MaxWaiting)
		d.queues[key] = q
	}
	q.lastUsed = d.now()
	return q
}

// dispatch sends the calls that have credit and refuses those that have expired.
func (d *dispatcher) dispatch() {
	var waiting [core.RankCount]int
	for key, q := range d.queues {
		q.dispatch(d)
		if q.overflow.Len() == 0 && d.now().Sub(q.lastUsed) > emptyQueueRetention {
			delete(d.queues, key)
			continue
		}
		for rank, n := range q.overflow.Waiting() {
			waiting[rank] += n
		}
	}
	for rank, n := range waiting {
		d.waitingByRank[rank].Store(int64(n))
	}
}

// overloadRefusal returns the refusal of a call that was shed.
func overloadRefusal(err error, retryAfter time.Duration) *RefusedError {
	refused := &RefusedError{
		Status:     http.StatusTooManyRequests,
		Code:       CodeOverload,
		Detail:     err.Error(),
		RetryAfter: retryAfter,
	}
	var shed *routing.ShedError
	if errors.As(err, &shed) {
		refused.RetryAfter = shed.RetryAfter
	}
	refused.RetryAfter = max(refused.RetryAfter, minRetryAfter)
	return refused
}
