package configuration

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// GenerationConflictError reports a commit that lost a race, or that rests on
// a document which is not the newest.
type GenerationConflictError struct {
	Plan string
	Want core.Generation
	// Actual is the newest generation. WinningPlan made generation Want, or
	// the newest one when that is forgotten; it may be empty.
	Actual      core.Generation
	WinningPlan string
}

// Error implements error.
func (e *GenerationConflictError) Error() string {
	return fmt.Sprintf("plan %q wants generation %d, but plan %q won and generation %d is in force",
		e.Plan, e.Want, e.WinningPlan, e.Actual)
}

// CommitUnknownError reports a commit that may have taken effect. Committing
// the same document again is safe and settles it.
type CommitUnknownError struct {
	Plan  string
	Want  core.Generation
	Cause error
}

// Error implements error.
func (e *CommitUnknownError) Error() string {
	return fmt.Sprintf("plan %q may or may not have made generation %d: %v", e.Plan, e.Want, e.Cause)
}

// Unwrap returns the cause.
func (e *CommitUnknownError) Unwrap() error {
	return e.Cause
}

// ContentionError reports that other writers won too many times in a row.
type ContentionError struct {
	Key string
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("key %q is written too often by others", e.Key)
}

// BehindPeersError reports a commit at a node that has yet to get a newer
// document from a peer. It can be tried again soon.
type BehindPeersError struct {
	Held core.Generation
	Peer core.Generation
}

// Error implements error.
func (e *BehindPeersError) Error() string {
	return fmt.Sprintf("generation %d is held, a peer announced generation %d", e.Held, e.Peer)
}

// FenceFormatError reports a stored fencing number that is no number.
type FenceFormatError struct {
	Text string
}

// Error implements error.
func (e *FenceFormatError) Error() string {
	return fmt.Sprintf("%q is no fencing number", e.Text)
}
