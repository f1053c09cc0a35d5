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
	dispatchTick   = 20 * time.Millisecond
	idleTick       = time.Second
	dispatchEvents = 1024
	minRetryAfter  = time.Second
	// roomLife is how long an empty room keeps its rates.
	roomLife = time.Minute
)

// dispatcher gives calls endpoints that have credit for them. Calls without
// one wait in rooms, one for each model or service, which its goroutine owns.
type dispatcher struct {
	cfg      Config
	routes   *routes
	policies func() routing.Policies
	now      func() time.Time
	offers   chan *waiter
	// direct carries calls that found an endpoint without waiting, for the
	// rooms' rates; one is dropped when the loop is behind.
	direct chan *waiter
	gone   chan *waiter
	freed  chan struct{} // Signals a credit given back, holds at most one.
	done   chan struct{}
	ids    atomic.Uint64
	// waiting counts the waiting calls by rank.
	waiting [core.RankCount]atomic.Int64

	rooms map[string]*room // Owned by the loop.
}

func newDispatcher(cfg Config, r *routes, policies func() routing.Policies, now func() time.Time) *dispatcher {
	return &dispatcher{
		cfg:      cfg,
		routes:   r,
		policies: policies,
		now:      now,
		offers:   make(chan *waiter, dispatchEvents),
		direct:   make(chan *waiter, dispatchEvents),
		gone:     make(chan *waiter, dispatchEvents),
		freed:    make(chan struct{}, 1),
		done:     make(chan struct{}),
		rooms:    make(map[string]*room),
	}
}

// acquire blocks until an endpoint has credit for the call, the call is
// refused (*RefusedError) or ctx ends.
func (d *dispatcher) acquire(ctx context.Context, call routing.Call, req routing.Request) (*reservation, error) {
	if d.noneAhead(req.Rank) {
		if r, ok := d.choose(d.routes.table.Load(), req); ok {
			d.note(call, req)
			return r, nil
		}
	}
	call.ID = d.ids.Add(1)
	offered := d.now()
	w := &waiter{call: call, request: req, answer: make(chan grant, 1), gone: ctx.Done()}
	if !d.post(d.offers, w) {
		return nil, leavingRefusal()
	}
	select {
	case g := <-w.answer:
		if g.reservation != nil {
			g.reservation.waited = d.now().Sub(offered)
		}
		return g.reservation, g.err
	case <-ctx.Done():
		d.post(d.gone, w)
		return nil, ctx.Err()
	case <-d.done:
		return nil, leavingRefusal()
	}
}

// note tells the loop of a call that did not wait.
func (d *dispatcher) note(call routing.Call, req routing.Request) {
	select {
	case d.direct <- &waiter{call: call, request: req}:
	default:
	}
}

func (d *dispatcher) post(to chan *waiter, w *waiter) bool {
	select {
	case to <- w:
		return true
	case <-d.done:
		return false
	}
}

func leavingRefusal() *RefusedError {
	return &RefusedError{Status: http.StatusServiceUnavailable, Code: CodeLeaving, RetryAfter: time.Second}
}

// noneAhead reports whether no call of the same or a more urgent rank waits.
func (d *dispatcher) noneAhead(rank core.Rank) bool {
	for r := core.RankUrgent; r <= rank; r++ {
		if d.waiting[r].Load() > 0 {
			return false
		}
	}
	return true
}

// choose picks an endpoint and takes one of its credits.
func (d *dispatcher) choose(t *routing.Table, req routing.Request) (*reservation, bool) {
	i, ok := routing.Choose(t, req, rand.Uint64(), d.now())
	if !ok || !t.Reserve(i, req.Rank) {
		return nil, false
	}
	return &reservation{EndpointState: t.Endpoint(i), table: t, index: i, rank: req.Rank, freed: d.wake}, true
}

// wake makes the loop look for endpoints for the waiting calls.
func (d *dispatcher) wake() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
}

// run owns the rooms until ctx ends; then every waiting call is refused.
func (d *dispatcher) run(ctx context.Context) {
	defer close(d.done)
	ticking := false
	// Time alone matters only while calls wait.
	tick := time.NewTicker(idleTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.offers:
			if !w.left() {
				d.roomOf(w).offer(d, w)
			}
		case w := <-d.direct:
			d.roomOf(w).overflow.RecordSent(d.now(), w.call.Rank)
			continue
		case w := <-d.gone:
			d.roomOf(w).withdraw(w)
		case <-d.routes.changed:
		case <-d.freed:
		case <-tick.C:
		}
		d.step()
		if waits := d.anyWaiting(); waits != ticking {
			ticking = waits
			tick.Reset(d.tickFor(waits))
		}
	}
}

func (d *dispatcher) anyWaiting() bool {
	return !d.noneAhead(core.RankBackground)
}

func (d *dispatcher) tickFor(waits bool) time.Duration {
	if waits {
		return dispatchTick
	}
	return idleTick
}

func (d *dispatcher) roomOf(w *waiter) *room {
	key := w.request.Service + "\x00" + w.request.Model.Model
	r := d.rooms[key]
	if r == nil {
		target := routing.Request{Service: w.request.Service, Model: core.ModelRef{Model: w.request.Model.Model}}
		r = newRoom(target, d.policies(), d.cfg.MaxWaiting)
		d.rooms[key] = r
	}
	r.used = d.now()
	return r
}

// step sends what has found credit and refuses what has waited too long.
func (d *dispatcher) step() {
	var waiting [core.RankCount]int
	for key, r := range d.rooms {
		r.step(d)
		if r.overflow.Len() == 0 && d.now().Sub(r.used) > roomLife {
			delete(d.rooms, key)
			continue
		}
		for rank, n := range r.overflow.Waiting() {
			waiting[rank] += n
		}
	}
	for rank, n := range waiting {
		d.waiting[rank].Store(int64(n))
	}
}

// overloadRefusal is the refusal of a call that was shed.
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
