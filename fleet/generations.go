package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// ApplyResult says what Generations.Apply did with a document.
type ApplyResult int

// The results of Apply.
const (
	// Applied means that the document is now the one in force.
	Applied ApplyResult = iota
	// Ignored means that the document is in force already or is older.
	Ignored
	// Conflicting means that another document of the same generation is in
	// force and stays so.
	Conflicting
)

// Generations holds the highest configuration document seen. Reads are
// lock-free; Apply may be called from any goroutine.
type Generations struct {
	writer sync.Mutex
	held   atomic.Pointer[heldDocument]
}

type heldDocument struct {
	document *Document
	policy   *Policy
	digest   core.Digest
	changed  chan struct{}
}

// NewGenerations returns a holder of the empty document of generation 0.
func NewGenerations() *Generations {
	g := &Generations{}
	g.held.Store(newHeldDocument(&Document{}))
	return g
}

func newHeldDocument(d *Document) *heldDocument {
	return &heldDocument{
		document: d,
		policy:   NewPolicy(d),
		digest:   d.Digest(),
		changed:  make(chan struct{}),
	}
}

// Current returns the document in force. It must not be changed.
func (g *Generations) Current() *Document {
	return g.held.Load().document
}

// Policy returns the compiled document in force.
func (g *Generations) Policy() *Policy {
	return g.held.Load().policy
}

// Generation returns the generation in force.
func (g *Generations) Generation() core.Generation {
	return g.held.Load().document.Generation
}

// Changed returns a channel that is closed when a document newer than the
// current one is applied.
func (g *Generations) Changed() <-chan struct{} {
	return g.held.Load().changed
}

// Apply puts a valid document in force if its generation is higher than the
// held one. The caller must not change the document afterwards.
func (g *Generations) Apply(d *Document) ApplyResult {
	g.writer.Lock()
	defer g.writer.Unlock()
	held := g.held.Load()
	if d.Generation < held.document.Generation {
		return Ignored
	}
	if d.Generation == held.document.Generation {
		return sameGeneration(held, d)
	}
	g.held.Store(newHeldDocument(d))
	close(held.changed)
	return Applied
}

func sameGeneration(held *heldDocument, d *Document) ApplyResult {
	if held.digest == d.Digest() {
		return Ignored
	}
	return Conflicting
}
