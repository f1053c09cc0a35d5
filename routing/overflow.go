package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Overflow is an entry's waiting room for calls to one target while no
// endpoint has credit for them. It is not safe for concurrent use.
type Overflow struct {
	room   *room
	starts [core.RankCount]decayingRate
}

// NewOverflow returns an empty waiting room for up to maxWaiting calls; 0
// stands for no bound.
func NewOverflow(policies Policies, maxWaiting int) *Overflow {
	return &Overflow{room: newRoom(policies, maxWaiting)}
}

// SetConfig replaces the policy. Waiting calls are kept.
func (o *Overflow) SetConfig(policies Policies, maxWaiting int) {
	o.room.setPolicies(policies, maxWaiting)
}

// Offer queues a call. capacity is this entry's part of what serves the
// target and queued what waits there already, as returned by Table.Capacity;
// the start rates are filled in here. It returns *ShedError and
// *DuplicateCallError. Evicted calls have not run and need their final
// answer.
func (o *Overflow) Offer(now time.Time, c Call, capacity Capacity, queued [core.RankCount]int) (evicted []Call, err error) {
	if _, ok := o.room.byID[c.ID]; ok {
		return nil, &DuplicateCallError{ID: c.ID}
	}
	wait := o.wait(now, c, capacity, queued)
	if err := check(now, c, o.room.policies[c.Rank], wait); err != nil {
		return nil, err
	}
	return o.room.offer(now, c, wait)
}

func (o *Overflow) wait(now time.Time, c Call, capacity Capacity, queued [core.RankCount]int) time.Duration {
	for rank := range core.RankCount {
		capacity.StartRate[rank] = o.starts[rank].perSecond(now)
		queued[rank] += o.room.waiting[rank]
	}
	waitingHere := o.room.waiting[c.Rank]
	ahead := o.room.laneOf(c).ahead(c) + float64(queued[c.Rank]-waitingHere)
	return capacity.Wait(c.Rank, ahead, queued)
}

// Sent records a call that found an endpoint without waiting here.
func (o *Overflow) Sent(now time.Time, rank core.Rank) {
	o.starts[rank].add(now)
}

// Next removes the call to send next among the ranks for which open is true:
// the most urgent rank, within it the organisation that used the least.
// Suspects come when no other call may go.
func (o *Overflow) Next(now time.Time, open [core.RankCount]bool) (Call, bool) {
	for _, rank := range core.Ranks {
		if !open[rank] {
			continue
		}
		if w := o.room.lanes[rank].head(); w != nil {
			return o.take(now, w), true
		}
	}
	w := o.room.lanes[suspectLane].head()
	if w == nil || !open[w.Rank] {
		return Call{}, false
	}
	return o.take(now, w), true
}

// take removes a call; its use counts until the lane is idle, as the entry
// does not see how the endpoint shares.
func (o *Overflow) take(now time.Time, w *waitingCall) Call {
	l := w.lane
	o.room.take(w)
	l.start(w)
	l.finish(w.organisation, 0)
	o.starts[w.Rank].add(now)
	return w.Call
}

// Remove drops a waiting call and reports whether it was waiting.
func (o *Overflow) Remove(id uint64) bool {
	return o.room.drop(id)
}

// Expire removes the calls that have waited longer than their patience or
// past their deadline. They have not run and need their final answer.
func (o *Overflow) Expire(now time.Time) []Call {
	return o.room.expire(now)
}

// Waiting counts the waiting calls by rank.
func (o *Overflow) Waiting() [core.RankCount]int {
	return o.room.waiting
}

// Len returns the number of waiting calls.
func (o *Overflow) Len() int {
	return o.room.len()
}
