package claim

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrStopped reports an owner that has stopped.
var ErrStopped = eris.New("the owner of the shard has stopped")

// ErrNotRecorded reports an outcome that could not be recorded; report it
// again later.
var ErrNotRecorded = eris.New("the outcome could not be recorded")

// CorruptEntryError reports a log entry that cannot be decoded.
type CorruptEntryError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptEntryError) Error() string {
	return fmt.Sprintf("log entry %q cannot be decoded: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptEntryError) Unwrap() error {
	return e.Cause
}
