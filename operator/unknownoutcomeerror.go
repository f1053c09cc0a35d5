package operator

import (
	"errors"
	"fmt"
)

// UnknownOutcomeError reports a confirmation that a server may have carried out.
// Confirming again is safe.
type UnknownOutcomeError struct {
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the plan may be confirmed, confirming again is safe: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// confirmError returns the error of a confirmation: without a complete response
// its outcome is unknown as soon as a server may have received it.
func confirmError(err error) error {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.MaybeSent {
		return &UnknownOutcomeError{Cause: err}
	}
	return err
}
