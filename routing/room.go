package routing

import (
	"container/heap"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

const (
	// suspectLane is the lane of suspects of every rank.
	suspectLane = core.RankCount
	laneCount   = core.RankCount + 1
)

// suspectRoomShare is the part of the waiting room that suspects may hold
// while others want it.
const suspectRoomShare = 0.125

// room holds waiting calls by rank and organisation. It is the common part of
// Queue and Overflow.
type room struct {
	policies Policies
	limit    int // 0 stands for no limit.
	lanes    [laneCount]*lane
	byID     map[uint64]*waitingCall
	expiries expiryHeap
	waiting  [core.RankCount]int
}

func newRoom(policies Policies, limit int) *room {
	r := &room{policies: policies, limit: limit, byID: make(map[uint64]*waitingCall)}
	for i := range r.lanes {
		r.lanes[i] = newLane()
	}
	return r
}

func (r *room) len() int {
	return len(r.byID)
}

func (r *room) laneOf(c Call) *lane {
	if c.Suspect {
		return r.lanes[suspectLane]
	}
	return r.lanes[c.Rank]
}

func (r *room) add(now time.Time, c Call) {
	r.insert(&waitingCall{Call: c, enqueued: now}, false)
}

func (r *room) insert(w *waitingCall, front bool) {
	w.expiry = r.expiryOf(w)
	w.index = notInHeap
	r.laneOf(w.Call).push(w, front)
	r.byID[w.ID] = w
	r.waiting[w.Rank]++
	if !w.expiry.IsZero() {
		heap.Push(&r.expiries, w)
	}
}

func (r *room) expiryOf(w *waitingCall) time.Time {
	patience := r.policies[w.Rank].Patience
	if patience <= 0 {
		return w.Deadline
	}
	expiry := w.enqueued.Add(patience - w.Waited)
	if !w.Deadline.IsZero() && w.Deadline.Before(expiry) {
		return w.Deadline
	}
	return expiry
}

func (r *room) take(w *waitingCall) {
	w.lane.remove(w)
	delete(r.byID, w.ID)
	r.waiting[w.Rank]--
	if w.index != notInHeap {
		heap.Remove(&r.expiries, w.index)
	}
}

// setPolicies recomputes the expiry of every waiting call.
func (r *room) setPolicies(policies Policies, limit int) {
	r.policies = policies
	r.limit = limit
	r.expiries = nil
	for _, w := range r.byID {
		w.index = notInHeap
		w.expiry = r.expiryOf(w)
		if !w.expiry.IsZero() {
			heap.Push(&r.expiries, w)
		}
	}
}

// expire removes and returns the calls whose expiry has come, oldest first.
func (r *room) expire(now time.Time) []Call {
	var expired []Call
	for len(r.expiries) > 0 && !r.expiries[0].expiry.After(now) {
		w := r.expiries[0]
		r.take(w)
		expired = append(expired, w.Call)
	}
	return expired
}

// evict removes calls until the room is within its limit.
func (r *room) evict() []Call {
	var evicted []Call
	for r.limit > 0 && r.len() > r.limit {
		w := r.victimLane().victim()
		r.take(w)
		evicted = append(evicted, w.Call)
	}
	return evicted
}

// victimLane returns the least urgent lane above its part of the room.
func (r *room) victimLane() *lane {
	if suspects := r.lanes[suspectLane]; float64(suspects.waiting) > suspectRoomShare*float64(r.limit) {
		return suspects
	}
	var fallback *lane
	for rank := core.RankCount - 1; rank >= 0; rank-- {
		l := r.lanes[rank]
		if l.waiting == 0 {
			continue
		}
		if float64(l.waiting) > r.policies[rank].GuaranteedShare*float64(r.limit) {
			return l
		}
		if fallback == nil {
			fallback = l
		}
	}
	if fallback == nil {
		return r.lanes[suspectLane]
	}
	return fallback
}

// offer adds a call and evicts what no longer fits. It returns *ShedError if
// the call itself does not fit.
func (r *room) offer(now time.Time, c Call, wait time.Duration) ([]Call, error) {
	r.add(now, c)
	evicted := r.evict()
	if _, ok := r.byID[c.ID]; ok {
		return evicted, nil
	}
	others := slices.DeleteFunc(evicted, func(e Call) bool { return e.ID == c.ID })
	return others, &ShedError{Rank: c.Rank, RetryAfter: retryAfter(wait, 0), Reason: ShedFull}
}

func (r *room) drop(id uint64) bool {
	w, ok := r.byID[id]
	if ok {
		r.take(w)
	}
	return ok
}
