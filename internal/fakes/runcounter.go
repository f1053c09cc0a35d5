package fakes

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// RunCounter counts runs of plain operations by Idempotency-Key, or by body if
// there is none. Several services share one, so that a run at each of two
// replicas counts as two. It is safe for concurrent use.
type RunCounter struct {
	mu   sync.Mutex
	runs map[runKey]int
}

type runKey struct {
	operation string
	byKey     bool
	hash      uint64
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: map[runKey]int{}}
}

// Runs returns how often the operation ran with the key, or with the body if the
// key is empty.
func (c *RunCounter) Runs(operation, idempotencyKey string, body []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[newRunKey(operation, idempotencyKey, body)]
}

// DoubleRuns returns how many keys and bodies of the operation ran more than
// once.
func (c *RunCounter) DoubleRuns(operation string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for key, runs := range c.runs {
		if key.operation == operation && runs > 1 {
			count++
		}
	}
	return count
}

func (c *RunCounter) recordRun(operation, idempotencyKey string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[newRunKey(operation, idempotencyKey, body)]++
}

func newRunKey(operation, idempotencyKey string, body []byte) runKey {
	if idempotencyKey != "" {
		return runKey{operation: operation, byKey: true, hash: xxhash.Sum64String(idempotencyKey)}
	}
	return runKey{operation: operation, hash: xxhash.Sum64(body)}
}
