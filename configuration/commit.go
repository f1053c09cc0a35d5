package configuration

import (
	"context"
	"errors"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/fleet"
)

// Commit makes next the configuration in force. Its generation must be one
// above the newest. A lost answer is settled by reading back, which blocks
// until the service answers or ctx ends. Committing the same plan again
// succeeds. Errors are *GenerationConflictError, *CommitUnknownError,
// *BehindPeersError, *fleet.DocumentError, *fleet.DocumentSizeError,
// *ContentionError and those of the service; but for *CommitUnknownError nothing was committed.
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

// commit is one commit under way. uncertain is set once a write's answer was
// lost.
type commit struct {
	store     *Store
	doc       *fleet.Document
	uncertain error
}

func (c *commit) run(ctx context.Context) error {
	pause := newBackOff()
	for range maxAttempts {
		done, err := c.attempt(ctx)
		if done {
			return err
		}
		if err == nil {
			continue
		}
		if waitErr := c.store.cfg.Clock.wait(ctx, pause.NextBackOff()); waitErr != nil {
			return c.unknown(waitErr)
		}
	}
	if c.uncertain != nil {
		return c.unknown(c.uncertain)
	}
	return &ContentionError{Key: DocumentKey}
}

// attempt reads, decides and writes once. Without done, another attempt
// follows: at once when err is nil, else after a pause.
func (c *commit) attempt(ctx context.Context) (done bool, err error) {
	current, err := c.store.sync(ctx)
	if err != nil {
		return c.uncertain == nil, err
	}
	if current.generation() >= c.doc.Generation {
		return true, c.settle(current.document)
	}
	if current.generation()+1 != c.doc.Generation {
		return true, c.conflict(current.document)
	}
	if peer := c.store.cfg.PeerGeneration(); peer > current.generation() {
		return c.uncertain == nil, &BehindPeersError{Held: current.generation(), Peer: peer}
	}
	err = c.store.swap(ctx, current.version, c.doc)
	return c.written(err)
}

func (c *commit) written(err error) (done bool, _ error) {
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		c.store.holder.Apply(c.doc)
		return true, nil
	case errors.As(err, &conflict):
		return false, nil
	case tookNoEffect(err):
		return c.uncertain == nil, err
	}
	c.uncertain = err
	return false, nil
}

// tookNoEffect reports whether a failed write certainly changed nothing.
func tookNoEffect(err error) bool {
	var unavailable *backing.UnavailableError
	var limited *backing.LimitedError
	var size *fleet.DocumentSizeError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &size)
}

// settle decides whether the generation in force contains this commit.
func (c *commit) settle(newest *fleet.Document) error {
	if newest.Generation == c.doc.Generation && newest.Digest() == c.doc.Digest() {
		return nil
	}
	plan, remembered := newest.PlanOf(c.doc.Generation)
	if remembered && plan != "" && plan == c.doc.Plan {
		return nil
	}
	if !remembered && c.uncertain != nil {
		return c.unknown(c.uncertain)
	}
	return c.conflict(newest)
}

func (c *commit) conflict(newest *fleet.Document) error {
	err := &GenerationConflictError{Plan: c.doc.Plan, Want: c.doc.Generation}
	if newest == nil {
		return err
	}
	err.Actual = newest.Generation
	err.WinningPlan = newest.Plan
	if plan, ok := newest.PlanOf(c.doc.Generation); ok {
		err.WinningPlan = plan
	}
	return err
}

func (c *commit) unknown(cause error) error {
	if c.uncertain == nil {
		return cause
	}
	return &CommitUnknownError{Plan: c.doc.Plan, Want: c.doc.Generation, Cause: cause}
}
