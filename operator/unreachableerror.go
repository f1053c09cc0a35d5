package operator

import (
	"fmt"
	"strings"
)

// UnreachableError reports that no server gave a complete response.
type UnreachableError struct {
	Servers []string
	// MaybeSent is true if a server may have received the request.
	MaybeSent bool
	Cause     error // Of the last server tried.
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("none of the servers %s responded: %v", strings.Join(e.Servers, ", "), e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}
