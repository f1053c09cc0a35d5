package weights

import "time"

// maxSourceDoublings limits the growth of SourceBackoff: a source that recovers
// from an outage is retried after at most eight times SourceBackoff.
const maxSourceDoublings = 3

// sourceState is a Picker's state of the origin or the store.
type sourceState struct {
	inFlight            int // Requests to the source.
	consecutiveFailures int // Since the last chunk.
	blockedUntil        time.Time
}

// usable reports whether a chunk may be requested from the source. A source
// that failed gets one request at a time until it delivers a chunk.
func (s *sourceState) usable(now time.Time) bool {
	return !now.Before(s.blockedUntil) && (s.consecutiveFailures == 0 || s.inFlight == 0)
}

// recordFailure pauses the source for baseBackoff, doubled with each
// consecutive failure, or for retryAfter if that is longer. A rate limit with
// retryAfter pauses it for just that time and does not count as a failure; a
// first corrupt chunk causes no pause.
func (s *sourceState) recordFailure(now time.Time, failure Failure, baseBackoff, retryAfter time.Duration) {
	if failure == FailureLimited && retryAfter > 0 {
		s.blockedUntil = now.Add(retryAfter)
		return
	}
	if failure == FailureCorrupt && s.consecutiveFailures == 0 {
		s.consecutiveFailures++
		return
	}
	backoff := baseBackoff << min(s.consecutiveFailures, maxSourceDoublings)
	s.consecutiveFailures++
	s.blockedUntil = now.Add(max(backoff, retryAfter))
}
