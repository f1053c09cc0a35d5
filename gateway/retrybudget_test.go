package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// drainRetries takes retries until the budget is empty and returns their number.
func drainRetries(b *retryBudget) int {
	retries := 0
	for b.allowRetry() {
		retries++
	}
	return retries
}

// When all entries are killed at once, each restarts with a new budget.
func TestNewRetryBudgetsOfAllEntriesStayWithinSharedBurst(t *testing.T) {
	const burst, entries = 104, 8
	retries := 0
	for range entries {
		retries += drainRetries(newRetryBudget(0.2, burst))
	}
	assert.Assert(t, float64(retries) <= plannedBudgetShare*burst, "%d retries at once with a shared burst of %d", retries, burst)
}

func TestRetryBudgetFollowsEntryCount(t *testing.T) {
	b := newRetryBudget(0, 100)
	b.setEntryCount(2)
	for range 1000 {
		b.recordRequest()
	}
	assert.Equal(t, drainRetries(b), 7, "a larger share does not add retries")
	b = newRetryBudget(0.5, 100)
	b.setEntryCount(2)
	for range 1000 {
		b.recordRequest()
	}
	assert.Equal(t, drainRetries(b), 30)
}
