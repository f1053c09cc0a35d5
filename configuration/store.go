package configuration

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Store keeps a fleet.DocumentHolder and the key-value service synchronised. Its
// methods may be called from any goroutine.
type Store struct {
	cfg    Config
	holder *fleet.DocumentHolder
}

// NewStore returns a store over holder. It makes no call.
func NewStore(cfg Config, holder *fleet.DocumentHolder) *Store {
	return &Store{cfg: cfg.withDefaults(), holder: holder}
}

// ApplyFromPeer applies a document received from a peer.
func (s *Store) ApplyFromPeer(doc *fleet.Document) fleet.ApplyResult {
	return s.holder.Apply(doc)
}

// Load reads the document once and applies it. If the service has an older document
// than the holder, or none, the holder's is written to the service. It blocks for a
// few calls at most.
func (s *Store) Load(ctx context.Context) error {
	_, err := s.sync(ctx)
	return err
}

// storedDocument is the document in the service. document is nil and version 0 if
// the key does not exist.
type storedDocument struct {
	version  uint64
	document *fleet.Document
}

func (s storedDocument) generation() core.Generation {
	if s.document == nil {
		return 0
	}
	return s.document.Generation
}

// sync reads, applies or writes the document until neither the holder nor the
// service is behind.
func (s *Store) sync(ctx context.Context) (storedDocument, error) {
	for range maxAttempts {
		current, err := s.read(ctx)
		if err != nil {
			return storedDocument{}, err
		}
		replacement := s.reconcile(current)
		if replacement == nil {
			return current, nil
		}
		s.cfg.Logger.WarnContext(ctx, "configuration in the key-value service is behind, writing a newer generation",
			"stored_generation", current.generation(), "written_generation", replacement.Generation)
		err = s.compareAndSwap(ctx, current.version, replacement)
		if err == nil {
			s.holder.Apply(replacement)
			continue
		}
		if !mayRetry(err) {
			return storedDocument{}, err
		}
	}
	return storedDocument{}, &ContentionError{Key: DocumentKey}
}

// read returns the document in the service. A value that is not a valid document
// is an error and is never overwritten: a newer program may have written it.
func (s *Store) read(ctx context.Context) (storedDocument, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	entry, err := s.cfg.KeyValue.Get(callCtx, DocumentKey)
	if errors.Is(err, backing.ErrKeyNotFound) {
		return storedDocument{}, nil
	}
	if err != nil {
		return storedDocument{}, eris.Wrap(err, "read configuration")
	}
	doc, err := fleet.DecodeDocument(entry.Value)
	if err != nil {
		return storedDocument{}, eris.Wrapf(err, "version %d in the key-value service", entry.Version)
	}
	return storedDocument{version: entry.Version, document: doc}, nil
}

// reconcile applies a newer stored document. It returns the document to write if
// the service is behind, or nil.
func (s *Store) reconcile(current storedDocument) *fleet.Document {
	if current.document != nil {
		if s.holder.Apply(current.document) == fleet.Conflicting {
			return nextGenerationOf(s.holder.Current())
		}
	}
	local := s.holder.Current()
	if local.Generation > current.generation() {
		return local
	}
	return nil
}

// nextGenerationOf returns a copy of the document as the next generation. It
// replaces another document of the same generation, which only a service that was
// restored from an older state can hold.
func nextGenerationOf(doc *fleet.Document) *fleet.Document {
	next := doc.Clone()
	next.Generation++
	next.History = fleet.AppendHistory(next.History, fleet.HistoryEntry{Generation: next.Generation, Plan: next.Plan})
	return next
}

func (s *Store) compareAndSwap(ctx context.Context, version uint64, doc *fleet.Document) error {
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

// mayRetry reports whether reading the key again determines the outcome of a
// failed write.
func mayRetry(err error) bool {
	var conflict *backing.ConflictError
	var unknown *backing.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}
