package sidecar

import "fmt"

// CorruptLoadError reports that an engine may have loaded chunks that were no longer intact when
// it accepted the order.
type CorruptLoadError struct {
	Version uint64
	Cause   error
}

// Error implements error.
func (e *CorruptLoadError) Error() string {
	return fmt.Sprintf("engine may have loaded corrupt chunks of version %d: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptLoadError) Unwrap() error {
	return e.Cause
}
