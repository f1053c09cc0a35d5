package fakes

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue grants slots to the lowest priority value first, then in order of
// arrival.
type slotQueue struct {
	mu          sync.Mutex
	free        int
	running     int
	lastArrival uint64
	waiting     slotHeap
	// onChange is called with the numbers of running and queued calls.
	onChange func(running, queued int)
}

type slotWaiter struct {
	priority int
	arrival  uint64
	index    int // Index in the heap, -1 once granted.
	granted  chan struct{}
}

// acquire blocks until a slot is free or ctx ends.
func (q *slotQueue) acquire(ctx context.Context, priority int) error {
	waiter := q.enqueue(priority)
	select {
	case <-waiter.granted:
		return nil
	case <-ctx.Done():
		q.abandon(waiter)
		return ctx.Err()
	}
}

func (q *slotQueue) enqueue(priority int) *slotWaiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastArrival++
	waiter := &slotWaiter{priority: priority, arrival: q.lastArrival, granted: make(chan struct{})}
	heap.Push(&q.waiting, waiter)
	q.grantFreeSlots()
	return waiter
}

// abandon removes the waiter, or frees its slot if it was granted in the meantime.
func (q *slotQueue) abandon(waiter *slotWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiter.index < 0 {
		q.free++
		q.running--
	} else {
		heap.Remove(&q.waiting, waiter.index)
	}
	q.grantFreeSlots()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free++
	q.running--
	q.grantFreeSlots()
}

func (q *slotQueue) grantFreeSlots() {
	for q.free > 0 && q.waiting.Len() > 0 {
		waiter := heap.Pop(&q.waiting).(*slotWaiter)
		q.free--
		q.running++
		close(waiter.granted)
	}
	q.onChange(q.running, q.waiting.Len())
}

// slotHeap implements heap.Interface.
type slotHeap []*slotWaiter

func (h slotHeap) Len() int { return len(h) }

func (h slotHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h slotHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *slotHeap) Push(item any) {
	waiter := item.(*slotWaiter)
	waiter.index = len(*h)
	*h = append(*h, waiter)
}

func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	waiter := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	waiter.index = -1
	return waiter
}
