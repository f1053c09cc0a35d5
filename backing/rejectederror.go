package backing

import "fmt"

// RejectedError reports a call that the service refused as wrong, e.g. a
// value above the limit. It took no effect; repeating it does not help.
type RejectedError struct {
	Service string
	Status  int // HTTP status.
	Code    string
	Detail  string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s rejected the call with status %d, code %q: %s", e.Service, e.Status, e.Code, e.Detail)
}
