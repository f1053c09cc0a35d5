package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// OverflowQueue holds an entry's calls to one target while no endpoint has
// credit for them. It is not safe for concurrent use.
type OverflowQueue struct {
	backlog *backlog
	starts  [core.RankCount]decayingRate
}

// NewOverflowQueue returns an empty queue for up to maxWaiting calls; 0 means
// no limit.
func NewOverflowQueue(policies Policies, maxWaiting int) *OverflowQueue {
	return &OverflowQueue{backlog: newBacklog(policies, maxWaiting)}
}

// SetConfig replaces the policies and the limit. Waiting calls are kept.
func (o *OverflowQueue) SetConfig(policies Policies, maxWaiting int) {
	o.backlog.setPolicies(policies, maxWaiting)
}

// Offer queues a call. capacity is this entry's share of the target's capacity
// and queued that of the calls queued at its endpoints, as returned by
// Table.Capacity; Offer fills in the start rates. It returns *ShedError or
// *DuplicateCallError. Evicted calls have not run; the caller must answer them.
func (o *OverflowQueue) Offer(now time.Time, c Call, capacity Capacity, queued [core.RankCount]int) (evicted []Call, err error) {
	if _, ok := o.backlog.byID[c.ID]; ok {
		return nil, &DuplicateCallError{ID: c.ID}
	}
	wait := o.estimateWait(now, c, capacity, queued)
	if err := checkAdmission(now, c, o.backlog.policies[c.Rank], wait); err != nil {
		return nil, err
	}
	return o.backlog.offer(now, c, wait)
}

func (o *OverflowQueue) estimateWait(now time.Time, c Call, capacity Capacity, queued [core.RankCount]int) time.Duration {
	for rank := range core.RankCount {
		capacity.StartRate[rank] = o.starts[rank].perSecond(now)
		queued[rank] += o.backlog.waiting[rank]
	}
	waitingHere := o.backlog.waiting[c.Rank]
	ahead := o.backlog.queueFor(c).callsAhead(c) + float64(queued[c.Rank]-waitingHere)
	return capacity.EstimateWait(c.Rank, ahead, queued)
}

// RecordSent records a call that found an endpoint without waiting here.
func (o *OverflowQueue) RecordSent(now time.Time, rank core.Rank) {
	o.starts[rank].add(now)
}

// Next removes the call to send next among the ranks for which open is true:
// the most urgent rank, and within it the flow with the least virtual time.
// Suspects are sent only when no other call can be.
func (o *OverflowQueue) Next(now time.Time, open [core.RankCount]bool) (Call, bool) {
	for _, rank := range core.Ranks {
		if !open[rank] {
			continue
		}
		if w := o.backlog.queues[rank].head(); w != nil {
			return o.dequeue(now, w), true
		}
	}
	w := o.backlog.queues[suspectQueue].head()
	if w == nil || !open[w.Rank] {
		return Call{}, false
	}
	return o.dequeue(now, w), true
}

// dequeue removes a call. Its expected cost stays charged until the fair queue
// is idle, as the entry does not see how the endpoint shares its slots.
func (o *OverflowQueue) dequeue(now time.Time, w *waitingCall) Call {
	queue := w.queue
	o.backlog.remove(w)
	queue.start(w)
	queue.finish(w.flow, 0)
	o.starts[w.Rank].add(now)
	return w.Call
}

// Remove drops a waiting call and reports whether it was waiting.
func (o *OverflowQueue) Remove(id uint64) bool {
	return o.backlog.removeByID(id)
}

// Expire removes the calls that have waited longer than their patience or
// past their deadline. They have not run; the caller must answer them.
func (o *OverflowQueue) Expire(now time.Time) []Call {
	return o.backlog.expire(now)
}

// Waiting counts the waiting calls by rank.
func (o *OverflowQueue) Waiting() [core.RankCount]int {
	return o.backlog.waiting
}

// Len returns the number of waiting calls.
func (o *OverflowQueue) Len() int {
	return o.backlog.len()
}
