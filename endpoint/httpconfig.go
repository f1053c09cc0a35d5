package endpoint

import (
	"errors"
	"net/http"

	"github.com/snipestep/snipestep/internal/httpcall"
)

// HTTPConfig says how to reach an endpoint: BaseURL, Client and Timeout. For
// a stream, Timeout limits the wait for each event.
type HTTPConfig = httpcall.Config

// Headers of the endpoint protocols.
const (
	AttemptHeader        = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	// RunHeader with RunNotRun marks an answer to a call that did not run.
	RunHeader = "Snipestep-Run"
	RunNotRun = "not-run"
)

// CodeFenced is the code of an order with an old fencing number.
const CodeFenced = "fenced"

// mapError turns an error of the HTTP client into one of this package.
func mapError(attempt string, err error) error {
	var status *httpcall.StatusError
	if errors.As(err, &status) && refusedBeforeWork(status.Status) {
		return notStarted(attempt, status)
	}
	var transport *httpcall.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return &NotStartedError{Attempt: attempt, Cause: err}
	}
	return &BrokenError{Attempt: attempt, Cause: err}
}

func notStarted(attempt string, status *httpcall.StatusError) error {
	return &NotStartedError{
		Attempt:      attempt,
		Status:       status.Status,
		Code:         status.Document.Code,
		RetryAfterMS: status.Document.RetryAfterMS,
		Cause:        status,
	}
}

// refusedBeforeWork reports the statuses with which an endpoint refuses a
// request before it begins. 408 may follow a part of the work.
func refusedBeforeWork(status int) bool {
	switch status {
	case http.StatusRequestTimeout:
		return false
	case http.StatusServiceUnavailable:
		return true
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
