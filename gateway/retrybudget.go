package gateway

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/routing"
)

const (
	// plannedBudgetShare is the fraction of the shared budget that is divided among
	// the entries. The rest is a reserve for entries that restart, since each begins
	// with a full share again.
	plannedBudgetShare = 0.6
	// savedRetryShare is the fraction of the retries that the calls of the last retryWindow allow which
	// may be used at once: when an instance freezes, all its requests move together. With
	// plannedBudgetShare it stays below what is allowed.
	savedRetryShare = 0.25
	// retryWindow is the time over which retries are limited, in all known deployments.
	retryWindow = 10 * time.Second
	// initialEntryCount is the assumed number of entries until agents report it:
	// when all entries are killed, each begins with a new budget.
	initialEntryCount = 8
)

// retryBudget is this entry's share of the retries to one service. It is safe for
// concurrent use.
type retryBudget struct {
	mu sync.Mutex
	// ratio and burst limit the retries of all entries together; see Config.
	ratio      float64
	burst      float64
	entryCount int
	share      *routing.RetryBudget // Of this entry.
	calls      *routing.CallWindow
	now        func() time.Time
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return newRetryBudgetAt(ratio, burst, time.Now)
}

// newRetryBudgetAt is newRetryBudget with a clock.
func newRetryBudgetAt(ratio, burst float64, now func() time.Time) *retryBudget {
	b := &retryBudget{ratio: ratio, burst: burst, calls: routing.NewCallWindow(now(), retryWindow), now: now}
	b.setEntryCount(initialEntryCount)
	return b
}

// setEntryCount divides the shared burst among n live entries.
func (b *retryBudget) setEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(n, 1); n == b.entryCount {
		return
	}
	b.entryCount = n
	if b.share == nil {
		b.share = routing.NewRetryBudget(b.config())
		return
	}
	b.share.SetConfig(b.config())
}

// config returns the limits of this entry's share as of now. It is called with mu held.
func (b *retryBudget) config() routing.RetryBudgetConfig {
	saved := savedRetryShare * b.ratio * float64(b.calls.Total(b.now()))
	return routing.RetryBudgetConfig{Ratio: b.ratio * plannedBudgetShare, Burst: b.burst*plannedBudgetShare/float64(b.entryCount) + saved}
}

func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls.Add(b.now())
	b.share.SetConfig(b.config())
	b.share.RecordCall()
}

// allowRetry takes one retry from the budget if any is left.
func (b *retryBudget) allowRetry() bool {
	return b.take(1)
}

// take takes n retries from the budget, or none, and reports whether it is allowed.
func (b *retryBudget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.SetConfig(b.config())
	return b.share.TakeRetries(n)
}

// has reports whether n retries are left.
func (b *retryBudget) has(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.Has(n)
}

// giveBack returns a reserved retry that was not needed.
func (b *retryBudget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.GiveBack()
}
