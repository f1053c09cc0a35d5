package routing

import (
	"container/list"
	"time"
)

// waitingCall is one call in a backlog.
type waitingCall struct {
	Call
	enqueuedAt  time.Time
	expiry      time.Time // Zero means none.
	preemptions int
	queue       *fairQueue
	flow        *flow
	element     *list.Element
	index       int // Position in the expiry heap, or notInHeap.
}

// expiryHeap orders waiting calls by expiry.
type expiryHeap []*waitingCall

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	return h[i].expiry.Before(h[j].expiry)
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*waitingCall)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = notInHeap
	return w
}
