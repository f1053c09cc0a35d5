package admission

import "time"

const (
	// failureSampleWeight is the weight of the newest response in the failure rate.
	failureSampleWeight = 0.2
	// failureRateThreshold is the failure rate that opens the circuit breaker: two
	// failures in a row, or half of the last ten.
	failureRateThreshold = 0.35
	// minOpenTime and maxOpenTime bound how long the circuit breaker stays open;
	// the time doubles with each failed probe.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 4 * time.Second
)

// circuitBreaker stops requests to an endpoint whose responses fail, whatever its
// own health check says.
type circuitBreaker struct {
	failureRate float64 // Exponentially weighted moving average.
	openUntil   time.Time
	openFor     time.Duration // Length of the last open period.
	// tripped is set until a request succeeds. After openUntil the breaker is
	// half-open: it allows one request at a time as a probe.
	tripped bool
}

func (b *circuitBreaker) recordSuccess() {
	b.failureRate -= failureSampleWeight * b.failureRate
	if b.tripped {
		*b = circuitBreaker{}
	}
}

// recordFailure reports whether the failure opened the circuit breaker.
func (b *circuitBreaker) recordFailure(now time.Time) bool {
	b.failureRate += failureSampleWeight * (1 - b.failureRate)
	if !b.tripped && b.failureRate < failureRateThreshold {
		return false
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openFor = min(max(2*b.openFor, minOpenTime), maxOpenTime)
	b.openUntil = now.Add(b.openFor)
	b.tripped = true
	return true
}

// allows reports whether the endpoint may get a request in addition to this
// entry's inFlight ones.
func (b *circuitBreaker) allows(now time.Time, inFlight int) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return !b.tripped || inFlight == 0
}
