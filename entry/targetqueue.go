package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// assumedServiceTime is the mean service time assumed while no endpoint is
// available.
const assumedServiceTime = time.Millisecond

var (
	errQueueFull        = eris.New("waiting room is full")
	errPatienceExceeded = eris.New("waited longer than the rank's patience")
)

// targetQueue holds the calls that wait for endpoints of one model or service.
// The dispatcher's goroutine owns it.
type targetQueue struct {
	overflow *routing.OverflowQueue
	waiters  map[uint64]*waiter
	target   routing.Request // What every call in the queue needs.
	policies routing.Policies
	lastUsed time.Time // When a call last arrived.
}

func newTargetQueue(target routing.Request, policies routing.Policies, maxWaiting int) *targetQueue {
	return &targetQueue{
		overflow: routing.NewOverflowQueue(policies, maxWaiting),
		waiters:  make(map[uint64]*waiter),
		target:   target,
		policies: policies,
	}
}

// enqueue queues a call or refuses it at once.
func (q *targetQueue) enqueue(d *dispatcher, w *waiter) {
	now := d.now()
	policies := d.policies()
	w.applyPatience(now, policies[w.call.Rank].Patience)
	if policies != q.policies {
		q.policies = policies
		q.overflow.SetConfig(policies, d.cfg.MaxWaiting)
	}
	capacity, queued := q.capacity(d, w, now)
	evicted, err := q.overflow.Offer(now, w.call, capacity, queued)
	for _, c := range evicted {
		q.refuse(c, overloadRefusal(errQueueFull, capacity.EstimateWait(c.Rank, float64(queued[c.Rank]), queued)))
	}
	if err != nil {
		w.result <- grant{err: overloadRefusal(err, 0)}
		return
	}
	q.waiters[w.call.ID] = w
}

// capacity returns the capacity of the call's target and the calls queued there.
// While no endpoint is available, the future capacity is unknown; the assumed
// capacity lets calls wait for their rank's patience.
func (q *targetQueue) capacity(d *dispatcher, w *waiter, now time.Time) (routing.Capacity, [core.RankCount]int) {
	capacity, queued := d.routes.table.Load().Capacity(w.request, d.policies(), now)
	if capacity.Slots == 0 {
		return routing.Capacity{Slots: 1, MeanServiceTime: assumedServiceTime}, queued
	}
	return capacity, queued
}

func (q *targetQueue) remove(w *waiter) {
	q.overflow.Remove(w.call.ID)
	delete(q.waiters, w.call.ID)
}

func (q *targetQueue) refuse(c routing.Call, err *RefusedError) {
	if w := q.waiters[c.ID]; w != nil {
		delete(q.waiters, c.ID)
		w.result <- grant{err: err}
	}
}

// dispatch refuses the expired calls and sends those that have credit.
func (q *targetQueue) dispatch(d *dispatcher) {
	now := d.now()
	table := d.routes.table.Load()
	for _, c := range q.overflow.Expire(now) {
		capacity, queued := q.capacity(d, q.waiters[c.ID], now)
		q.refuse(c, overloadRefusal(errPatienceExceeded, capacity.EstimateWait(c.Rank, float64(queued[c.Rank]), queued)))
	}
	open := q.ranksWithCredit(table, now)
	for {
		c, ok := q.overflow.Next(now, open)
		if !ok {
			return
		}
		if !q.trySend(d, table, c) {
			open[c.Rank] = false
			q.requeue(d, c)
		}
	}
}

// ranksWithCredit reports for each rank whether an endpoint has credit.
func (q *targetQueue) ranksWithCredit(table *routing.Table, now time.Time) [core.RankCount]bool {
	var open [core.RankCount]bool
	for rank := range open {
		probe := q.target
		probe.Rank = core.Rank(rank)
		_, open[rank] = routing.Choose(table, probe, 0, now)
	}
	return open
}

// trySend sends the call to an endpoint if one has credit. A cancelled call
// counts as sent.
func (q *targetQueue) trySend(d *dispatcher, table *routing.Table, c routing.Call) bool {
	w := q.waiters[c.ID]
	if w.isCancelled() {
		delete(q.waiters, c.ID)
		return true
	}
	reserved, ok := d.tryReserve(table, w.request)
	if !ok && len(w.request.Exclude) > 0 {
		retry := w.request
		retry.Exclude = nil
		reserved, ok = d.tryReserve(table, retry)
	}
	if !ok {
		return false
	}
	delete(q.waiters, c.ID)
	w.result <- grant{reservation: reserved}
	return true
}

// requeue puts back a call that found no credit after all.
func (q *targetQueue) requeue(d *dispatcher, c routing.Call) {
	w := q.waiters[c.ID]
	delete(q.waiters, c.ID)
	q.enqueue(d, w)
}
