package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

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
	assert.Equal(t, drainRetries(b), 30+125, "the share of the burst, and what 1000 calls have saved")
}

// Guards against requests that stay at a frozen instance as no retry is left, although the calls before
// allow it, and against retries of all entries above the limit of the service.
func TestSavedRetriesStayWithinTheLimitOfEachWindow(t *testing.T) {
	const (
		ratio, burst, entries = 0.2, 104.0, 30
		step                  = 100 * time.Millisecond
		steps                 = 600
		windowSteps           = int(retryWindow / step)
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Now()
		budgets := make([]*retryBudget, entries)
		for i := range budgets {
			budgets[i] = newRetryBudgetAt(ratio, burst, func() time.Time { return now })
			budgets[i].setEntryCount(entries)
		}
		calls, retries := make([]int, steps), make([]int, steps)
		mostAtOnce := 0
		for i := range steps {
			now = now.Add(step)
			load, wantsRetries := random.IntN(4), random.IntN(50) == 0
			for _, b := range budgets {
				for range load {
					b.recordRequest()
					calls[i]++
				}
				for wantsRetries && b.allowRetry() {
					retries[i]++
				}
			}
			mostAtOnce = max(mostAtOnce, retries[i])
		}
		assert.Assert(t, float64(mostAtOnce) > 2*plannedBudgetShare*burst, "seed %d: %d at once", seed, mostAtOnce)
		sum := func(counts []int, from int) (total int) {
			for _, n := range counts[max(from, 0):max(min(from+windowSteps, steps), 0)] {
				total += n
			}
			return total
		}
		for from := 0; from+windowSteps <= steps; from++ {
			most := max(sum(calls, from), sum(calls, from-windowSteps/2), sum(calls, from-windowSteps))
			assert.Assert(t, float64(sum(retries, from)) <= ratio*float64(most)+burst, "seed %d, window %d", seed, from)
		}
	}
}
