package fakes

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ledger counts runs of plain operations by Idempotency-Key, or by body where
// there is none. Several services share one, so that a run at each of two
// replicas counts as two. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[runKey]int
}

type runKey struct {
	operation string
	keyed     bool
	sum       uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[runKey]int{}}
}

// Runs returns how often the operation ran with the key, or with the body
// when the key is empty.
func (l *Ledger) Runs(operation, idempotencyKey string, body []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[newRunKey(operation, idempotencyKey, body)]
}

// DoubleRuns returns how many keys and bodies of the operation ran more than
// once.
func (l *Ledger) DoubleRuns(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubles := 0
	for key, runs := range l.runs {
		if key.operation == operation && runs > 1 {
			doubles++
		}
	}
	return doubles
}

func (l *Ledger) record(operation, idempotencyKey string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[newRunKey(operation, idempotencyKey, body)]++
}

func newRunKey(operation, idempotencyKey string, body []byte) runKey {
	if idempotencyKey != "" {
		return runKey{operation: operation, keyed: true, sum: xxhash.Sum64String(idempotencyKey)}
	}
	return runKey{operation: operation, sum: xxhash.Sum64(body)}
}
