package routing

import "time"

// callWindowBuckets is the number of equal parts of a CallWindow.
const callWindowBuckets = 10

// CallWindow counts the calls of a sliding window of time, in whole parts of it. It is not safe for
// concurrent use.
type CallWindow struct {
	part    time.Duration
	counts  [callWindowBuckets]int
	total   int
	newest  int64 // Number of the part that counts now.
	started time.Time
}

// NewCallWindow returns an empty window of a length that begins at now.
func NewCallWindow(now time.Time, length time.Duration) *CallWindow {
	return &CallWindow{part: length / callWindowBuckets, started: now}
}

// Add counts a call.
func (w *CallWindow) Add(now time.Time) {
	w.advance(now)
	w.counts[w.newest%callWindowBuckets]++
	w.total++
}

// Total returns the number of calls in the window.
func (w *CallWindow) Total(now time.Time) int {
	w.advance(now)
	return w.total
}

// advance drops the parts that have left the window.
func (w *CallWindow) advance(now time.Time) {
	current := int64(now.Sub(w.started) / w.part)
	for dropped := 0; w.newest < current && dropped < callWindowBuckets; dropped++ {
		w.newest++
		w.total -= w.counts[w.newest%callWindowBuckets]
		w.counts[w.newest%callWindowBuckets] = 0
	}
	w.newest = max(w.newest, current)
}
