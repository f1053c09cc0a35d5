package endpoint

import (
	"errors"
	"net/http"

	"github.com/snipestep/snipestep/internal/httpcall"
)

// HTTPConfig configures an HTTP client: BaseURL, Client and Timeout. For a
// stream, Timeout limits the wait for each event.
type HTTPConfig = httpcall.Config

// Headers of the endpoint protocols.
const (
	//
	// An answer repeats AttemptHeader. A refusal that does not tells nothing about the
	// request.
	AttemptHeader        = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	// RunHeader with the value RunNotRun marks the response to a call that did
	// not run.
	RunHeader = "Snipestep-Run"
	RunNotRun = "not-run"
)

// CodeFenced is the error code for an order with a stale fencing number.
const CodeFenced = "fenced"

// attemptError converts an error of the HTTP client to *NotStartedError,
// *AttemptMismatchError or *BrokenError.
func attemptError(attempt string, err error) error {
	if mismatch := mismatchError(attempt, err); mismatch != nil {
		return mismatch
	}
	var statusErr *httpcall.StatusError
	if errors.As(err, &statusErr) && refusedBeforeStart(statusErr.Status) {
		return newNotStartedError(attempt, statusErr)
	}
	var transportErr *httpcall.TransportError
	if errors.As(err, &transportErr) && !transportErr.MaybeSent {
		return &NotStartedError{Attempt: attempt, Cause: err}
	}
	return &BrokenError{Attempt: attempt, Cause: err}
}

func newNotStartedError(attempt string, cause *httpcall.StatusError) error {
	return &NotStartedError{
		Attempt:      attempt,
		Status:       cause.Status,
		Code:         cause.Document.Code,
		RetryAfterMS: cause.Document.RetryAfterMS,
		Cause:        cause,
	}
}

// refusedBeforeStart reports whether an endpoint answers with the status only
// before it starts a request. A 408 may be sent after a part of the work.
func refusedBeforeStart(status int) bool {
	switch status {
	case http.StatusRequestTimeout:
		return false
	case http.StatusServiceUnavailable:
		return true
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
