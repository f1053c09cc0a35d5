package routing

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed for each call, e.g. 0.15.
	Ratio float64
	// Burst is the number of retries allowed at once.
	Burst float64
}

// RetryBudget limits retries to a ratio of the calls, so that retries cannot
// multiply an overload. It is not safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, tokens: config.Burst}
}

// RecordCall counts a first attempt.
func (b *RetryBudget) RecordCall() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// TakeRetry takes one retry from the budget and reports whether it is allowed.
func (b *RetryBudget) TakeRetry() bool {
	return b.TakeRetries(1)
}

// TakeRetries takes n retries from the budget, or none, and reports whether it is allowed.
func (b *RetryBudget) TakeRetries(n int) bool {
	if !b.Has(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Has reports whether n retries are left.
func (b *RetryBudget) Has(n int) bool {
	return b.tokens >= float64(n)
}

// GiveBack returns a retry that was taken and not used.
func (b *RetryBudget) GiveBack() {
	b.tokens = min(b.tokens+1, b.config.Burst)
}

// SetConfig replaces the limits. Saved retries beyond the new burst are lost.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig) {
	b.config = config
	b.tokens = min(b.tokens, config.Burst)
}
