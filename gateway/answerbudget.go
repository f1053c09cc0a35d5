package gateway

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrHeldTooMuch reports an answer that was given up on since the answers of its endpoint filled
// the memory for answers.
var ErrHeldTooMuch = eris.New("answers of the endpoint fill the memory")

const (
	// maxHeldBytes bounds the answers, or events, that an entry holds in memory: a sixth of
	// the memory of the smallest known entry, 184 MB, as the collector lets the heap double.
	maxHeldBytes = 32 << 20
	// uncountedBytes is the part of each answer that is not counted, so that the answers of
	// sound endpoints, of some kilobytes, never fail for want of memory.
	uncountedBytes = 64 << 10
)

// answerBudget bounds the memory for answers of all endpoints together. When it is used up, the
// endpoint with the most bytes loses its largest answer. It is safe for concurrent use.
type answerBudget struct {
	limit int

	mu sync.Mutex
	// freed is signalled when answers are released.
	freed *sync.Cond
	total int
	// answers holds the counted answers by endpoint ID.
	answers map[string]map[*heldAnswer]bool
}

func newAnswerBudget(limit int) *answerBudget {
	b := &answerBudget{limit: limit, answers: make(map[string]map[*heldAnswer]bool)}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// heldAnswer counts the bytes of one answer. It belongs to one goroutine; evicted, bytes and
// complete are guarded by the mutex of the budget.
type heldAnswer struct {
	budget     *answerBudget
	endpointID string
	// evict ends the reading of the answer.
	evict context.CancelCauseFunc
	// counted says that the budget knows the answer. Only its goroutine uses it.
	counted bool

	bytes    int
	evicted  bool
	complete bool
}

// hold returns the count of an answer that begins to arrive.
func (b *answerBudget) hold(endpointID string, evict context.CancelCauseFunc) *heldAnswer {
	return &heldAnswer{budget: b, endpointID: endpointID, evict: evict}
}

// setBytes records how many bytes of the answer are held. It blocks while larger answers make room,
// and returns ErrHeldTooMuch if this one has to.
func (a *heldAnswer) setBytes(n int) error {
	n = max(n-uncountedBytes, 0)
	if n == 0 && !a.counted {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if a.evicted {
			return ErrHeldTooMuch
		}
		b.register(a)
		if grown := n - a.bytes; grown <= 0 || b.total+grown <= b.limit {
			b.total += grown
			a.bytes = n
			b.freed.Broadcast()
			return nil
		}
		if !b.evictLargest(a) {
			a.evicted = true
			return ErrHeldTooMuch
		}
		b.freed.Wait()
	}
}

// register is called with mu held.
func (b *answerBudget) register(a *heldAnswer) {
	if a.counted {
		return
	}
	a.counted = true
	if b.answers[a.endpointID] == nil {
		b.answers[a.endpointID] = make(map[*heldAnswer]bool)
	}
	b.answers[a.endpointID][a] = true
}

// evictLargest evicts the largest incomplete answer of the endpoint with the most bytes, unless
// one is about to be released. It reports false if that is the answer that asks for room, or if
// there is none. The caller holds mu.
func (b *answerBudget) evictLargest(asking *heldAnswer) bool {
	var largest *heldAnswer
	mostBytes := 0
	for _, answers := range b.answers {
		endpointBytes, candidate := 0, (*heldAnswer)(nil)
		for a := range answers {
			if a.evicted && a != asking {
				return true // It is being released.
			}
			endpointBytes += a.bytes
			if !a.complete && (candidate == nil || a.bytes > candidate.bytes) {
				candidate = a
			}
		}
		if candidate != nil && endpointBytes > mostBytes {
			largest, mostBytes = candidate, endpointBytes
		}
	}
	if largest == nil || largest == asking {
		return false
	}
	largest.evicted = true
	largest.evict(ErrHeldTooMuch)
	return true
}

// finish records that the answer was read completely, and is held until it is written.
func (a *heldAnswer) finish() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.complete = true
}

// release frees the bytes. It may be called again.
func (a *heldAnswer) release() {
	if !a.counted {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= a.bytes
	a.bytes = 0
	a.counted = false
	delete(b.answers[a.endpointID], a)
	if len(b.answers[a.endpointID]) == 0 {
		delete(b.answers, a.endpointID)
	}
	b.freed.Broadcast()
}

// cause returns ErrHeldTooMuch for an answer that was evicted, else err.
func (a *heldAnswer) cause(err error) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return ErrHeldTooMuch
	}
	return err
}
