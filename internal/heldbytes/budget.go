package heldbytes

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoRoom reports an answer that was given up on since the answers of its endpoint filled
// the memory for answers.
var ErrNoRoom = eris.New("answers of the endpoint fill the memory")

const (
	// DefaultLimit bounds the answers, or events, that a process holds in memory: a sixth of
	// the memory of the smallest known entry, 184 MB, as the collector lets the heap double.
	DefaultLimit = 32 << 20
	// UncountedBytes is the part of each answer that is not counted, so that the answers of
	// sound endpoints, of some kilobytes, never fail for want of memory.
	UncountedBytes = 64 << 10
	// StalledAfter is how long a caller may take nothing of an answer until it may have to make
	// room.
	StalledAfter = time.Second
)

// Budget bounds the memory for answers of all owners together, which are endpoints. When it is
// used up, the owner with the most bytes loses its largest answer. It is safe for concurrent use. A nil
// Budget counts nothing.
type Budget struct {
	limit int

	mu sync.Mutex
	// freed is signalled when answers are released.
	freed *sync.Cond
	total int
	// answers holds the counted answers by owner.
	answers map[string]map[*Held]bool
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit, answers: make(map[string]map[*Held]bool)}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// Held counts the bytes of one answer. It belongs to one goroutine. A nil Held counts nothing.
type Held struct {
	budget *Budget
	owner  string
	// ctx ends the waits for room.
	ctx context.Context
	// evict ends the reading of the answer.
	evict context.CancelCauseFunc
	// counted says that the budget knows the answer. Only its goroutine uses it.
	counted bool
	// size includes the bytes that do not count. Only its goroutine uses it.
	size int

	// The mutex of the budget guards the fields below.
	bytes    int
	evicted  bool
	complete bool
	// progressAt is when the caller last took a part of the answer, zero before it is written;
	// abort then ends the writing.
	progressAt time.Time
	abort      func()
}

// Hold returns the count of an answer that begins to arrive. Waits for room end with ctx, which
// evict ends.
func (b *Budget) Hold(ctx context.Context, owner string, evict context.CancelCauseFunc) *Held {
	if b == nil {
		return nil
	}
	return &Held{budget: b, owner: owner, ctx: ctx, evict: evict}
}

// AddBytes adds to the bytes of the answer that are held, as SetBytes does.
func (a *Held) AddBytes(n int) error {
	if a == nil {
		return nil
	}
	return a.SetBytes(a.size + n)
}

// SetBytes records how many bytes of the answer are held. It blocks while larger answers make room,
// and returns ErrNoRoom if this one has to. If the context of the answer ends before, it returns the
// cause.
func (a *Held) SetBytes(size int) error {
	if a == nil {
		return nil
	}
	if err := a.setCounted(max(size-UncountedBytes, 0)); err != nil {
		return err
	}
	a.size = size
	return nil
}

func (a *Held) setCounted(n int) error {
	if n == 0 && !a.counted {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for waiting := false; ; waiting = true {
		if a.evicted {
			return ErrNoRoom
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
			return ErrNoRoom
		}
		if !waiting {
			stop := context.AfterFunc(a.ctx, b.wake)
			defer stop()
		}
		if a.ctx.Err() != nil {
			return context.Cause(a.ctx)
		}
		b.freed.Wait()
	}
}

// wake makes those who wait for room look again.
func (b *Budget) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed.Broadcast()
}

// register is called with mu held.
func (b *Budget) register(a *Held) {
	if a.counted {
		return
	}
	a.counted = true
	if b.answers[a.owner] == nil {
		b.answers[a.owner] = make(map[*Held]bool)
	}
	b.answers[a.owner][a] = true
}

// evictLargest evicts the largest incomplete answer of the owner with the most bytes, unless
// one is about to be released. It reports false if that is the answer that asks for room, or if
// there is none. The caller holds mu.
func (b *Budget) evictLargest(asking *Held) bool {
	var largest *Held
	mostBytes := 0
	for _, answers := range b.answers {
		ownerBytes, candidate := 0, (*Held)(nil)
		for a := range answers {
			if a.evicted && a != asking {
				return true // It is being released.
			}
			ownerBytes += a.bytes
			if !a.complete && (candidate == nil || a.bytes > candidate.bytes) {
				candidate = a
			}
		}
		if candidate != nil && ownerBytes > mostBytes {
			largest, mostBytes = candidate, ownerBytes
		}
	}
	if largest == nil || largest == asking {
		return b.evictStalled(asking)
	}
	largest.evicted = true
	largest.evict(ErrNoRoom)
	return true
}

// evictStalled evicts the answer whose caller has taken nothing for longest, and for StalledAfter at
// least. It reports false if there is none. The caller holds mu.
func (b *Budget) evictStalled(asking *Held) bool {
	var stalled *Held
	for _, answers := range b.answers {
		for a := range answers {
			if a == asking || a.progressAt.IsZero() || time.Since(a.progressAt) < StalledAfter {
				continue
			}
			if stalled == nil || a.progressAt.Before(stalled.progressAt) {
				stalled = a
			}
		}
	}
	if stalled == nil {
		return false
	}
	stalled.evicted = true
	go stalled.abort() // The mutex is not held while a connection is used.
	return true
}

// StartWriting is Finish for an answer that is about to be written. From now on it is evicted if its
// caller stalls and no answer that is being read can make room: abort then has to end the writing.
func (a *Held) StartWriting(abort func()) error {
	if a == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return ErrNoRoom
	}
	a.complete, a.abort, a.progressAt = true, abort, time.Now()
	return nil
}

// RecordProgress records that the caller has taken a part of an answer that is being written.
func (a *Held) RecordProgress() {
	if a == nil || !a.counted {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.progressAt.IsZero() {
		a.progressAt = time.Now()
	}
}

// Size returns the bytes that SetBytes and AddBytes recorded, with those that do not count.
func (a *Held) Size() int {
	if a == nil {
		return 0
	}
	return a.size
}

// Finish records that the answer was read completely, and is held until it is written. From now on
// it is not evicted. It returns ErrNoRoom if the answer was evicted before: others wait for its room,
// and it must be released at once.
func (a *Held) Finish() error {
	if a == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return ErrNoRoom
	}
	a.complete = true
	return nil
}

// Release frees the bytes. It may be called again.
func (a *Held) Release() {
	if a == nil || !a.counted {
		return
	}
	a.size = 0
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= a.bytes
	a.bytes = 0
	a.counted = false
	delete(b.answers[a.owner], a)
	if len(b.answers[a.owner]) == 0 {
		delete(b.answers, a.owner)
	}
	b.freed.Broadcast()
}

// Cause returns ErrNoRoom for an answer that was evicted, else err.
func (a *Held) Cause(err error) error {
	if a == nil {
		return err
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return ErrNoRoom
	}
	return err
}

// Total returns the counted bytes of all answers.
func (b *Budget) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Counted returns the counted bytes of each answer.
func (b *Budget) Counted() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counted []int
	for _, answers := range b.answers {
		for answer := range answers {
			counted = append(counted, answer.bytes)
		}
	}
	return counted
}
