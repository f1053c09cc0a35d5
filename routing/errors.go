package routing

import (
	"fmt"
	"time"

	"github.com/snipestep/snipestep/core"
)

// ShedReason says why a call was not queued.
type ShedReason string

// The reasons for shedding.
const (
	// ShedFull means that the queue is full and the caller's organisation
	// has the largest backlog for its weight.
	ShedFull ShedReason = "full"
	// ShedPatience means that the call would wait longer than its rank's
	// patience.
	ShedPatience ShedReason = "patience"
	// ShedDeadline means that the call would wait past its deadline.
	ShedDeadline ShedReason = "deadline"
)

// ShedError reports a call that was refused before it started.
type ShedError struct {
	Rank core.Rank
	// RetryAfter is the expected time until the backlog is short enough to
	// admit the call.
	RetryAfter time.Duration
	Reason     ShedReason
}

// Error implements error.
func (e *ShedError) Error() string {
	return fmt.Sprintf("%s call shed (%s), retry after %s", e.Rank, e.Reason, e.RetryAfter)
}

// DuplicateCallError reports a call ID that is already waiting or running.
type DuplicateCallError struct {
	ID uint64
}

// Error implements error.
func (e *DuplicateCallError) Error() string {
	return fmt.Sprintf("call %d is already queued", e.ID)
}
