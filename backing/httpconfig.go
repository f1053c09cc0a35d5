package backing

import (
	"errors"
	"net/http"

	"github.com/snipestep/snipestep/internal/httpcall"
)

// HTTPConfig configures the client of a service: BaseURL, Client and Timeout.
type HTTPConfig = httpcall.Config

// VersionHeader is the response header with the version of a key.
const VersionHeader = "Snipestep-Version"

// Codes of error documents.
const (
	CodeKeyNotFound   = "key_not_found"
	CodeLeaseNotFound = "lease_not_found"
	CodeNotFound      = "not_found"
	CodeConflict      = "conflict"
	CodeUnavailable   = "unavailable"
	CodeRateLimited   = "limited"
	CodeTooLarge      = "too_large"
	CodeBadRequest    = "bad_request"
)

// callKind decides the error for a lost response: unavailable for a read, unknown
// outcome for a write.
type callKind int

const (
	callRead callKind = iota
	callWrite
)

// mapError converts an error of the HTTP client into one of this package.
func mapError(service string, kind callKind, err error) error {
	var status *httpcall.StatusError
	if errors.As(err, &status) {
		return mapStatus(service, kind, status)
	}
	var transport *httpcall.TransportError
	if errors.As(err, &transport) && !transport.MaybeSent {
		return &UnavailableError{Service: service, Cause: err}
	}
	return lostResponseError(service, kind, err)
}

func mapStatus(service string, kind callKind, status *httpcall.StatusError) error {
	switch status.Status {
	case http.StatusServiceUnavailable:
		return &UnavailableError{Service: service, Cause: status}
	case http.StatusTooManyRequests:
		return &RateLimitedError{Service: service, RetryAfterMS: status.Document.RetryAfterMS}
	case http.StatusNotFound:
		return mapNotFound(service, status)
	}
	if status.Status >= http.StatusInternalServerError || status.Status == http.StatusRequestTimeout {
		return lostResponseError(service, kind, status)
	}
	return &RejectedError{Service: service, Status: status.Status, Code: status.Document.Code, Detail: status.Document.Detail}
}

func mapNotFound(service string, status *httpcall.StatusError) error {
	switch status.Document.Code {
	case CodeKeyNotFound:
		return ErrKeyNotFound
	case CodeLeaseNotFound:
		return ErrLeaseNotFound
	case CodeNotFound:
		return ErrNotFound
	}
	return &RejectedError{Service: service, Status: status.Status, Code: status.Document.Code, Detail: status.Document.Detail}
}

func lostResponseError(service string, kind callKind, cause error) error {
	if kind == callWrite {
		return &UnknownOutcomeError{Service: service, Cause: cause}
	}
	return &UnavailableError{Service: service, Cause: cause}
}
