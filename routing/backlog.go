package routing

import (
	"container/heap"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

const (
	// suspectQueue is the index of the queue for suspects of every rank.
	suspectQueue = core.RankCount
	queueCount   = core.RankCount + 1
)

// suspectBacklogShare is the fraction of a full backlog above which suspects
// are evicted first.
const suspectBacklogShare = 0.125

// backlog holds the waiting calls of a Queue or OverflowQueue by rank and
// organisation.
type backlog struct {
	policies   Policies
	maxWaiting int // 0 means no limit.
	queues     [queueCount]*fairQueue
	byID       map[uint64]*waitingCall
	expiries   expiryHeap
	waiting    [core.RankCount]int
}

func newBacklog(policies Policies, maxWaiting int) *backlog {
	b := &backlog{policies: policies, maxWaiting: maxWaiting, byID: make(map[uint64]*waitingCall)}
	for i := range b.queues {
		b.queues[i] = newFairQueue()
	}
	return b
}

func (b *backlog) len() int {
	return len(b.byID)
}

func (b *backlog) queueFor(c Call) *fairQueue {
	if c.Suspect {
		return b.queues[suspectQueue]
	}
	return b.queues[c.Rank]
}

func (b *backlog) enqueue(now time.Time, c Call) {
	b.insert(&waitingCall{Call: c, enqueuedAt: now}, false)
}

func (b *backlog) insert(w *waitingCall, front bool) {
	w.expiry = b.expiryFor(w)
	w.index = notInHeap
	b.queueFor(w.Call).push(w, front)
	b.byID[w.ID] = w
	b.waiting[w.Rank]++
	if !w.expiry.IsZero() {
		heap.Push(&b.expiries, w)
	}
}

func (b *backlog) expiryFor(w *waitingCall) time.Time {
	patience := b.policies[w.Rank].Patience
	if patience <= 0 {
		return w.Deadline
	}
	expiry := w.enqueuedAt.Add(patience - w.Waited)
	if !w.Deadline.IsZero() && w.Deadline.Before(expiry) {
		return w.Deadline
	}
	return expiry
}

func (b *backlog) remove(w *waitingCall) {
	w.queue.remove(w)
	delete(b.byID, w.ID)
	b.waiting[w.Rank]--
	if w.index != notInHeap {
		heap.Remove(&b.expiries, w.index)
	}
}

// setPolicies recomputes the expiry of every waiting call.
func (b *backlog) setPolicies(policies Policies, maxWaiting int) {
	b.policies = policies
	b.maxWaiting = maxWaiting
	b.expiries = nil
	for _, w := range b.byID {
		w.index = notInHeap
		w.expiry = b.expiryFor(w)
		if !w.expiry.IsZero() {
			heap.Push(&b.expiries, w)
		}
	}
}

// expire removes and returns the expired calls, earliest expiry first.
func (b *backlog) expire(now time.Time) []Call {
	var expired []Call
	for len(b.expiries) > 0 && !b.expiries[0].expiry.After(now) {
		w := b.expiries[0]
		b.remove(w)
		expired = append(expired, w.Call)
	}
	return expired
}

// evict removes calls until the backlog is within its limit.
func (b *backlog) evict() []Call {
	var evicted []Call
	for b.maxWaiting > 0 && b.len() > b.maxWaiting {
		w := b.evictionQueue().evictionVictim()
		b.remove(w)
		evicted = append(evicted, w.Call)
	}
	return evicted
}

// evictionQueue returns the queue to evict from: the suspects above their share,
// then the least urgent rank above its share, then the least urgent rank.
func (b *backlog) evictionQueue() *fairQueue {
	if suspects := b.queues[suspectQueue]; float64(suspects.waiting) > suspectBacklogShare*float64(b.maxWaiting) {
		return suspects
	}
	var fallback *fairQueue
	for rank := core.RankCount - 1; rank >= 0; rank-- {
		queue := b.queues[rank]
		if queue.waiting == 0 {
			continue
		}
		if float64(queue.waiting) > b.policies[rank].GuaranteedShare*float64(b.maxWaiting) {
			return queue
		}
		if fallback == nil {
			fallback = queue
		}
	}
	if fallback == nil {
		return b.queues[suspectQueue]
	}
	return fallback
}

// offer adds a call and evicts what no longer fits. It returns *ShedError if
// the call itself does not fit.
func (b *backlog) offer(now time.Time, c Call, wait time.Duration) ([]Call, error) {
	b.enqueue(now, c)
	evicted := b.evict()
	if _, ok := b.byID[c.ID]; ok {
		return evicted, nil
	}
	others := slices.DeleteFunc(evicted, func(e Call) bool { return e.ID == c.ID })
	return others, &ShedError{Rank: c.Rank, RetryAfter: retryAfter(wait, 0), Reason: ShedFull}
}

func (b *backlog) removeByID(id uint64) bool {
	w, ok := b.byID[id]
	if ok {
		b.remove(w)
	}
	return ok
}
