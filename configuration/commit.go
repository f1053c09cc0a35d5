package configuration

import (
	"context"
	"errors"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/fleet"
)

// Commit makes next the configuration in force. Its generation must be one
// above the newest. If the response to a write is lost, Commit reads the
// document back, which blocks until the service responds or ctx ends. Committing
// the same plan again succeeds. Errors are *GenerationConflictError,
// *CommitUnknownError, *BehindPeersError, *fleet.DocumentError,
// *fleet.DocumentSizeError, *ContentionError and those of the service. Unless the
// error is a *CommitUnknownError, nothing was committed.
func (s *Store) Commit(ctx context.Context, next *fleet.Document) error {
	if err := next.Validate(); err != nil {
		return err
	}
	c := &commit{store: s, doc: next.Clone()}
	c.doc.History = fleet.AppendHistory(c.doc.History, fleet.HistoryEntry{
		Generation: c.doc.Generation,
		Plan:       c.doc.Plan,
	})
	return c.run(ctx)
}

// commit is a commit in progress. unknownOutcome is set once a write's response
// was lost.
type commit struct {
	store          *Store
	doc            *fleet.Document
	unknownOutcome error
}

func (c *commit) run(ctx context.Context) error {
	backOff := newBackOff()
	for range maxAttempts {
		done, err := c.attempt(ctx)
		if done {
			return err
		}
		if err == nil {
			continue
		}
		if waitErr := c.store.cfg.Clock.wait(ctx, backOff.NextBackOff()); waitErr != nil {
			return c.unknownError(waitErr)
		}
	}
	if c.unknownOutcome != nil {
		return c.unknownError(c.unknownOutcome)
	}
	return &ContentionError{Key: DocumentKey}
}

// attempt reads, decides and writes once. If done is false, another attempt
// follows: at once if err is nil, otherwise after a delay.
func (c *commit) attempt(ctx context.Context) (done bool, err error) {
	// Peers know only committed generations, so that a later read must contain theirs.
	peer := c.store.cfg.PeerGeneration()
	current, err := c.store.sync(ctx)
	if err != nil {
		return c.unknownOutcome == nil, err
	}
	if current.generation() >= c.doc.Generation {
		return true, c.resolveOutcome(current.document)
	}
	if current.generation()+1 != c.doc.Generation {
		return true, c.conflictError(current.document)
	}
	if peer > current.generation() {
		return c.unknownOutcome == nil, &BehindPeersError{LocalGeneration: current.generation(), PeerGeneration: peer}
	}
	err = c.store.compareAndSwap(ctx, current.version, c.doc)
	return c.handleWriteResult(err)
}

func (c *commit) handleWriteResult(err error) (done bool, _ error) {
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		c.store.holder.Apply(c.doc)
		return true, nil
	case errors.As(err, &conflict):
		return false, nil
	case hadNoEffect(err):
		return c.unknownOutcome == nil, err
	}
	c.unknownOutcome = err
	return false, nil
}

// hadNoEffect reports whether a failed write certainly changed nothing.
func hadNoEffect(err error) bool {
	var unavailable *backing.UnavailableError
	var limited *backing.RateLimitedError
	var size *fleet.DocumentSizeError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &size)
}

// resolveOutcome decides whether the generation in force contains this commit.
func (c *commit) resolveOutcome(current *fleet.Document) error {
	if current.Generation == c.doc.Generation && current.Digest() == c.doc.Digest() {
		return nil
	}
	plan, inHistory := current.PlanOf(c.doc.Generation)
	if inHistory && plan != "" && plan == c.doc.Plan {
		return nil
	}
	if !inHistory && c.unknownOutcome != nil {
		return c.unknownError(c.unknownOutcome)
	}
	return c.conflictError(current)
}

func (c *commit) conflictError(current *fleet.Document) error {
	err := &GenerationConflictError{Plan: c.doc.Plan, Generation: c.doc.Generation}
	if current == nil {
		return err
	}
	err.CurrentGeneration = current.Generation
	err.WinningPlan = current.Plan
	if plan, ok := current.PlanOf(c.doc.Generation); ok {
		err.WinningPlan = plan
	}
	return err
}

func (c *commit) unknownError(cause error) error {
	if c.unknownOutcome == nil {
		return cause
	}
	return &CommitUnknownError{Plan: c.doc.Plan, Generation: c.doc.Generation, Cause: cause}
}
