package backing

import "fmt"

// RejectedError reports a call that the service rejected as invalid, e.g. a
// value above the size limit. It had no effect; a retry does not help.
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
