package entry

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// ErrNoSession reports an instance without an open session.
var ErrNoSession = eris.New("no session to the instance")

// RefusedError is the final refusal of a call.
type RefusedError struct {
	Status     int // HTTP status.
	Code       string
	Detail     string
	Unknown    bool // An endpoint may have begun the call.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call refused, %s: %s", e.Code, e.Detail)
}

// UnknownInstanceError reports an instance that the fleet does not list.
type UnknownInstanceError struct {
	Instance core.InstanceID
}

// Error implements error.
func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("instance %q is not listed", e.Instance)
}

// OrderRefusedError reports an order that an agent did not take.
type OrderRefusedError struct {
	Instance     core.InstanceID
	Code, Detail string
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("agent %s refused an order, %s: %s", e.Instance, e.Code, e.Detail)
}
