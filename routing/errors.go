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
	// ShedFull means that the waiting room is full and the caller's
	// organisation holds the most of it for its weight.
	ShedFull ShedReason = "full"
	// ShedPatience means that the call would wait longer than its rank's
	// patience.
	ShedPatience ShedReason = "patience"
	// ShedDeadline means that the call would wait past its deadline.
	ShedDeadline ShedReason = "deadline"
)

// ShedError reports a call that was refused before it began.
type ShedError struct {
	Rank core.Rank
	// RetryAfter is when the backlog ahead of the call is expected to have
	// fallen enough to take it.
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
