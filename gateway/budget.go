package gateway

import (
	"sync"

	"github.com/snipestep/snipestep/routing"
)

const (
	// budgetMargin is the part of the common budget that the entries plan
	// with: an entry that restarts begins with a full share.
	budgetMargin = 0.6
	// assumedEntries is how many entries a new budget is shared with until
	// agents tell the number: after a kill of all entries each begins anew.
	assumedEntries = 8
)

// budget is this entry's share of the repeats to one service. It is safe for
// concurrent use.
type budget struct {
	mu      sync.Mutex
	ratio   float64
	burst   float64
	entries int
	tokens  *routing.RetryBudget
}

func newBudget(ratio, burst float64) *budget {
	b := &budget{ratio: ratio, burst: burst}
	b.setEntries(assumedEntries)
	return b
}

// setEntries divides the common burst among the live entries.
func (b *budget) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(n, 1); n == b.entries {
		return
	}
	b.entries = n
	config := routing.RetryBudgetConfig{Ratio: b.ratio * budgetMargin, Burst: b.burst * budgetMargin / float64(n)}
	if b.tokens == nil {
		b.tokens = routing.NewRetryBudget(config)
		return
	}
	b.tokens.SetConfig(config)
}

func (b *budget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.Call()
}

// retry takes one repeat and reports whether it is allowed.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens.Retry()
}
