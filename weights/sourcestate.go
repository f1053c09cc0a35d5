package weights

import "time"

// maxSourceDoublings bounds the growth of SourceRetry: a source that is back
// after an outage is found after eight times that pause at most.
const maxSourceDoublings = 3

// sourceState is what a Picker knows of the origin or the store.
type sourceState struct {
	flights      int
	failures     int // Since the last chunk.
	blockedUntil time.Time
}

// usable reports whether the source may be asked. A source that failed gets
// one request at a time until it answers.
func (s *sourceState) usable(now time.Time) bool {
	return !now.Before(s.blockedUntil) && (s.failures == 0 || s.flights == 0)
}

// failed pauses the source for retry, doubled with each failure in a row, or
// for as long as it asked. A limit is no failure, and a first corrupt chunk
// makes no pause.
func (s *sourceState) failed(now time.Time, failure Failure, retry, retryAfter time.Duration) {
	if failure == FailureLimited && retryAfter > 0 {
		s.blockedUntil = now.Add(retryAfter)
		return
	}
	if failure == FailureCorrupt && s.failures == 0 {
		s.failures++
		return
	}
	pause := retry << min(s.failures, maxSourceDoublings)
	s.failures++
	s.blockedUntil = now.Add(max(pause, retryAfter))
}
