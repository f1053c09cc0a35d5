package routing

// organisationHeap orders organisations with waiting calls by virtual time.
type organisationHeap []*organisation

// Len implements heap.Interface.
func (h organisationHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h organisationHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].id < h[j].id
}

// Swap implements heap.Interface.
func (h organisationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *organisationHeap) Push(x any) {
	o := x.(*organisation)
	o.index = len(*h)
	*h = append(*h, o)
}

// Pop implements heap.Interface.
func (h *organisationHeap) Pop() any {
	last := len(*h) - 1
	o := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	o.index = notInHeap
	return o
}
