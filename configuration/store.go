package configuration

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Store keeps a fleet.Generations and the key-value service in step. Its
// methods may be called from any goroutine.
type Store struct {
	cfg    Config
	holder *fleet.DocumentHolder
}

// NewStore returns a store over holder. It makes no call.
func NewStore(cfg Config, holder *fleet.DocumentHolder) *Store {
	return &Store{cfg: cfg.withDefaults(), holder: holder}
}

// Offer applies a document that a peer holds.
func (s *Store) Offer(doc *fleet.Document) fleet.ApplyResult {
	return s.holder.Apply(doc)
}

// Load reads the document once and applies it. When the service holds less
// than the holder, or nothing, the held document is written forward. It
// blocks for a few calls at most.
func (s *Store) Load(ctx context.Context) error {
	_, err := s.sync(ctx)
	return err
}

// stored is the document as the service holds it. document is nil and version
// 0 when the key does not exist.
type stored struct {
	version  uint64
	document *fleet.Document
}

func (s stored) generation() core.Generation {
	if s.document == nil {
		return 0
	}
	return s.document.Generation
}

// sync reads the document until neither side is behind the other.
func (s *Store) sync(ctx context.Context) (stored, error) {
	for range maxAttempts {
		current, err := s.read(ctx)
		if err != nil {
			return stored{}, err
		}
		forward := s.resolve(current)
		if forward == nil {
			return current, nil
		}
		s.cfg.Logger.WarnContext(ctx, "configuration in the key-value service is behind, writing it forward",
			"stored_generation", current.generation(), "written_generation", forward.Generation)
		err = s.swap(ctx, current.version, forward)
		if err == nil {
			s.holder.Apply(forward)
			continue
		}
		if !mayRetry(err) {
			return stored{}, err
		}
	}
	return stored{}, &ContentionError{Key: DocumentKey}
}

// read returns what the service holds. A value that is no valid document is
// an error and never overwritten: a newer program may have written it.
func (s *Store) read(ctx context.Context) (stored, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	entry, err := s.cfg.KeyValue.Get(callCtx, DocumentKey)
	if errors.Is(err, backing.ErrKeyNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, eris.Wrap(err, "read configuration")
	}
	doc, err := fleet.DecodeDocument(entry.Value)
	if err != nil {
		return stored{}, eris.Wrapf(err, "version %d in the key-value service", entry.Version)
	}
	return stored{version: entry.Version, document: doc}, nil
}

// resolve applies a newer stored document. It returns the document to write
// when the service is the one behind, or nil.
func (s *Store) resolve(current stored) *fleet.Document {
	if current.document != nil {
		if s.holder.Apply(current.document) == fleet.Conflicting {
			return succeed(s.holder.Current())
		}
	}
	held := s.holder.Current()
	if held.Generation > current.generation() {
		return held
	}
	return nil
}

// succeed returns the document as its own next generation. It overrules
// another document of the same generation, which only a service that was
// restored from an older state can hold.
func succeed(doc *fleet.Document) *fleet.Document {
	next := doc.Clone()
	next.Generation++
	next.History = fleet.AppendHistory(next.History, fleet.HistoryEntry{Generation: next.Generation, Plan: next.Plan})
	return next
}

func (s *Store) swap(ctx context.Context, version uint64, doc *fleet.Document) error {
	data, err := doc.Encode()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	_, err = s.cfg.KeyValue.CompareAndSwap(callCtx, DocumentKey, version, data, 0)
	if err != nil {
		return eris.Wrap(err, "write configuration")
	}
	return nil
}

// mayRetry reports whether a write failed in a way that reading back settles.
func mayRetry(err error) bool {
	var conflict *backing.ConflictError
	var unknown *backing.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}
