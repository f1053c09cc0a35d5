package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// unknownService stands for the service time of endpoints that are away.
const unknownService = time.Millisecond

var (
	errEvicted  = eris.New("waiting room is full")
	errPatience = eris.New("waited longer than the rank's patience")
)

// room holds the calls that wait for endpoints of one model or service. The
// dispatcher's goroutine owns it.
type room struct {
	overflow *routing.OverflowQueue
	waiters  map[uint64]*waiter
	target   routing.Request // What every call of the room needs.
	policies routing.Policies
	used     time.Time // When a call last came.
}

func newRoom(target routing.Request, policies routing.Policies, maxWaiting int) *room {
	return &room{
		overflow: routing.NewOverflowQueue(policies, maxWaiting),
		waiters:  make(map[uint64]*waiter),
		target:   target,
		policies: policies,
	}
}

// offer queues a call, or refuses it early.
func (r *room) offer(d *dispatcher, w *waiter) {
	now := d.now()
	policies := d.policies()
	w.limitWait(now, policies[w.call.Rank].Patience)
	if policies != r.policies {
		r.policies = policies
		r.overflow.SetConfig(policies, d.cfg.MaxWaiting)
	}
	capacity, queued := r.capacity(d, w, now)
	evicted, err := r.overflow.Offer(now, w.call, capacity, queued)
	for _, c := range evicted {
		r.refuse(c, overloadRefusal(errEvicted, capacity.EstimateWait(c.Rank, float64(queued[c.Rank]), queued)))
	}
	if err != nil {
		w.answer <- grant{err: overloadRefusal(err, 0)}
		return
	}
	r.waiters[w.call.ID] = w
}

// capacity returns what serves the call's target and what is queued there.
// While no endpoint can be called, the capacity to come is not known: calls
// then wait for their patience, as if it were about to return.
func (r *room) capacity(d *dispatcher, w *waiter, now time.Time) (routing.Capacity, [core.RankCount]int) {
	capacity, queued := d.routes.table.Load().Capacity(w.request, d.policies(), now)
	if capacity.Slots == 0 {
		return routing.Capacity{Slots: 1, MeanService: unknownService}, queued
	}
	return capacity, queued
}

func (r *room) withdraw(w *waiter) {
	r.overflow.Remove(w.call.ID)
	delete(r.waiters, w.call.ID)
}

func (r *room) refuse(c routing.Call, err *RefusedError) {
	if w := r.waiters[c.ID]; w != nil {
		delete(r.waiters, c.ID)
		w.answer <- grant{err: err}
	}
}

// step serves the calls that have credit now.
func (r *room) step(d *dispatcher) {
	now := d.now()
	table := d.routes.table.Load()
	for _, c := range r.overflow.Expire(now) {
		capacity, queued := r.capacity(d, r.waiters[c.ID], now)
		r.refuse(c, overloadRefusal(errPatience, capacity.EstimateWait(c.Rank, float64(queued[c.Rank]), queued)))
	}
	open := r.openRanks(table, now)
	for {
		c, ok := r.overflow.Next(now, open)
		if !ok {
			return
		}
		if !r.send(d, table, c) {
			open[c.Rank] = false
			r.putBack(d, c)
		}
	}
}

// openRanks tells which ranks an endpoint has credit for.
func (r *room) openRanks(table *routing.Table, now time.Time) [core.RankCount]bool {
	var open [core.RankCount]bool
	for rank := range open {
		probe := r.target
		probe.Rank = core.Rank(rank)
		_, open[rank] = routing.Choose(table, probe, 0, now)
	}
	return open
}

// send gives the call an endpoint if one has credit. A call that has left
// counts as sent.
func (r *room) send(d *dispatcher, table *routing.Table, c routing.Call) bool {
	w := r.waiters[c.ID]
	if w.left() {
		delete(r.waiters, c.ID)
		return true
	}
	taken, ok := d.choose(table, w.request)
	if !ok && len(w.request.Exclude) > 0 {
		again := w.request
		again.Exclude = nil
		taken, ok = d.choose(table, again)
	}
	if !ok {
		return false
	}
	delete(r.waiters, c.ID)
	w.answer <- grant{reservation: taken}
	return true
}

// putBack returns a call that found no credit after all.
func (r *room) putBack(d *dispatcher, c routing.Call) {
	w := r.waiters[c.ID]
	delete(r.waiters, c.ID)
	r.offer(d, w)
}
