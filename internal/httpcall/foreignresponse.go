package httpcall

import (
	"fmt"
	"net/http"
)

// ForeignResponseError reports a response to another request. What became of the request
// itself is not known.
type ForeignResponseError struct {
	Status int
	Header http.Header
}

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("answer with status %d is to another request", e.Status)
}

// RetryAfterMS returns for how long the server asks to wait, in milliseconds; 0 if it does
// not say so in its header.
func (e *ForeignResponseError) RetryAfterMS() int64 {
	return retryAfterMS(e.Header)
}
