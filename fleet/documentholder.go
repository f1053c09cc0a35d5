package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// ApplyResult is the outcome of DocumentHolder.Apply.
type ApplyResult int

// The outcomes of DocumentHolder.Apply.
const (
	// Applied means that the document is now in force.
	Applied ApplyResult = iota
	// Ignored means that the document is already in force or is older.
	Ignored
	// Conflicting means that a different document of the same generation is in
	// force and remains so.
	Conflicting
)

// DocumentHolder holds the document of the highest generation seen. Reads are
// lock-free; Apply may be called from any goroutine.
type DocumentHolder struct {
	applyMu sync.Mutex
	current atomic.Pointer[snapshot]
}

type snapshot struct {
	document *Document
	compiled *CompiledDocument
	digest   core.Digest
	changed  chan struct{}
}

// NewDocumentHolder returns a holder of the empty document of generation 0.
func NewDocumentHolder() *DocumentHolder {
	h := &DocumentHolder{}
	h.current.Store(newSnapshot(&Document{}))
	return h
}

func newSnapshot(d *Document) *snapshot {
	return &snapshot{
		document: d,
		compiled: CompileDocument(d),
		digest:   d.Digest(),
		changed:  make(chan struct{}),
	}
}

// Current returns the document in force, which the caller must not change.
func (h *DocumentHolder) Current() *Document {
	return h.current.Load().document
}

// Compiled returns the document in force in its compiled form.
func (h *DocumentHolder) Compiled() *CompiledDocument {
	return h.current.Load().compiled
}

// Generation returns the generation in force.
func (h *DocumentHolder) Generation() core.Generation {
	return h.current.Load().document.Generation
}

// Changed returns a channel that is closed when a document newer than the
// current one is applied.
func (h *DocumentHolder) Changed() <-chan struct{} {
	return h.current.Load().changed
}

// Apply puts a valid document in force if its generation is higher than the
// current one. The caller must not change the document afterwards.
func (h *DocumentHolder) Apply(d *Document) ApplyResult {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	current := h.current.Load()
	if d.Generation < current.document.Generation {
		return Ignored
	}
	if d.Generation == current.document.Generation {
		return compareSameGeneration(current, d)
	}
	h.current.Store(newSnapshot(d))
	close(current.changed)
	return Applied
}

func compareSameGeneration(current *snapshot, d *Document) ApplyResult {
	if current.digest == d.Digest() {
		return Ignored
	}
	return Conflicting
}
