package configuration

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// GenerationConflictError reports a commit that lost a race, or that is not
// based on the newest document.
type GenerationConflictError struct {
	Plan       string
	Generation core.Generation
	// CurrentGeneration is the newest generation. WinningPlan is the plan that made
	// Generation, or the newest generation if the history no longer contains
	// Generation; it may be empty.
	CurrentGeneration core.Generation
	WinningPlan       string
}

// Error implements error.
func (e *GenerationConflictError) Error() string {
	return fmt.Sprintf("plan %q wants generation %d, but plan %q won and generation %d is in force",
		e.Plan, e.Generation, e.WinningPlan, e.CurrentGeneration)
}

// CommitUnknownError reports a commit that may have taken effect. Committing
// the same document again is safe and determines the outcome.
type CommitUnknownError struct {
	Plan       string
	Generation core.Generation
	Cause      error
}

// Error implements error.
func (e *CommitUnknownError) Error() string {
	return fmt.Sprintf("plan %q may or may not have made generation %d: %v", e.Plan, e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *CommitUnknownError) Unwrap() error {
	return e.Cause
}

// ContentionError reports a write that lost to other writers maxAttempts times in
// a row.
type ContentionError struct {
	Key string
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("key %q is written too often by others", e.Key)
}

// BehindPeersError reports a commit at a node that has not yet received a newer
// document that a peer announced. The commit can be retried soon.
type BehindPeersError struct {
	LocalGeneration core.Generation
	PeerGeneration  core.Generation
}

// Error implements error.
func (e *BehindPeersError) Error() string {
	return fmt.Sprintf("generation %d is held, a peer announced generation %d", e.LocalGeneration, e.PeerGeneration)
}

// FenceFormatError reports a stored fencing number that cannot be parsed.
type FenceFormatError struct {
	Text string
}

// Error implements error.
func (e *FenceFormatError) Error() string {
	return fmt.Sprintf("%q is not a fencing number", e.Text)
}
