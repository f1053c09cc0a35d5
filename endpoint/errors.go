package endpoint

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// NotStartedError reports an attempt that the endpoint cannot have started.
type NotStartedError struct {
	Attempt      string
	Status       int    // HTTP status; 0 if the request was not sent.
	Code         string // Code of the endpoint's error document.
	RetryAfterMS int64
	Cause        error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("attempt %q did not start: %v", e.Attempt, e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error {
	return e.Cause
}

// BrokenError reports an attempt that may have started and whose answer is
// incomplete.
type BrokenError struct {
	Attempt string
	Cause   error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("attempt %q broke off: %v", e.Attempt, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error {
	return e.Cause
}

// AttemptMismatchError reports an answer, or an event of a stream, that carries
// the identifier of another attempt.
type AttemptMismatchError struct {
	Attempt string
	Got     string // Empty for an answer that carries no identifier.
	// Status and RetryAfterMS are those of the answer, 0 for an event.
	Status       int
	RetryAfterMS int64
}

// Error implements error.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer to attempt %q belongs to attempt %q", e.Attempt, e.Got)
}

// FencedError reports an order that the engine refused for its stale fencing
// number.
type FencedError struct {
	Fence   core.Fence
	Highest core.Fence
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused, the highest seen is %d", e.Fence, e.Highest)
}
