package backing

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrKeyNotFound reports a key that does not exist.
var ErrKeyNotFound = eris.New("key not found")

// ErrLeaseNotFound reports a lease that has expired or was revoked.
var ErrLeaseNotFound = eris.New("lease not found")

// ErrNotFound reports a manifest or chunk that the weight store or the
// origin does not hold.
var ErrNotFound = eris.New("object not found")

// ConflictError reports a write that expected another version of the key.
type ConflictError struct {
	Key            string
	CurrentVersion uint64 // 0 if the key does not exist.
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has version %d, not the expected one", e.Key, e.CurrentVersion)
}

// UnavailableError reports a service that did not accept the call or did not
// complete a read. A write had no effect.
type UnavailableError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// UnknownOutcomeError reports a write whose response was lost: it may have
// taken effect.
type UnknownOutcomeError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome of the write is unknown: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// RateLimitedError reports a call rejected by a rate limit.
type RateLimitedError struct {
	Service      string
	RetryAfterMS int64
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s limits calls, retry in %d ms", e.Service, e.RetryAfterMS)
}
