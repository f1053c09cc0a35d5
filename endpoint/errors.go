package endpoint

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// NotStartedError reports an attempt that the endpoint cannot have begun.
type NotStartedError struct {
	Attempt      string
	Status       int    // HTTP status; 0 when no connection was made.
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

// BrokenError reports an attempt that may have begun and whose answer is not
// whole.
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

// ForeignAnswerError reports an answer, or an event of a stream, that belongs
// to another attempt.
type ForeignAnswerError struct {
	Attempt string
	Got     string
}

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer to attempt %q belongs to attempt %q", e.Attempt, e.Got)
}

// FencedError reports an order refused for its old fencing number.
type FencedError struct {
	Fence   core.Fence
	Highest core.Fence
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused, the highest seen is %d", e.Fence, e.Highest)
}
