package entry

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// ErrNoSession reports that there is no open session to an instance.
var ErrNoSession = eris.New("no session to the instance")

// RefusedError is the final refusal of a call.
type RefusedError struct {
	Status           int // The HTTP status.
	Code             string
	Detail           string
	ExecutionUnknown bool // Whether an endpoint may have begun the call.
	RetryAfter       time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call refused, %s: %s", e.Code, e.Detail)
}

// PeerMismatchError reports that the address of an instance answered with the
// identity of another one.
type PeerMismatchError struct {
	Instance core.InstanceID
}

// Error implements error.
func (e *PeerMismatchError) Error() string {
	return fmt.Sprintf("the peer at the address of instance %q is another instance", e.Instance)
}

// OrderRefusedError reports an order that an agent did not accept.
type OrderRefusedError struct {
	Instance     core.InstanceID
	Code, Detail string
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("agent %s refused an order, %s: %s", e.Instance, e.Code, e.Detail)
}
