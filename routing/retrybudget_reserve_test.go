package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetriesAreTakenTogetherOrNotAtAll(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Burst: 3})
	assert.Assert(t, b.TakeRetries(2))
	assert.Assert(t, !b.TakeRetries(2))
	assert.Assert(t, b.TakeRetry(), "the one that is left was not taken")
	b.GiveBack()
	assert.Assert(t, b.TakeRetry())
	assert.Assert(t, !b.TakeRetry())
	for range 5 {
		b.GiveBack()
	}
	assert.Assert(t, !b.TakeRetries(4), "never more than the burst")
}
