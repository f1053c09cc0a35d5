package fakes

import (
	"sync"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// ChunkReader returns the bytes of a chunk. It must be safe for concurrent use,
// and the bytes must not change.
type ChunkReader func(index int) ([]byte, error)

// Weights is one published version of a model.
type Weights struct {
	Ref        core.ModelRef
	Manifest   []byte // Encoded; its digest is Ref.Manifest.
	ChunkCount int
	ReadChunk  ChunkReader
}

// ChunksOf returns a reader of chunks in memory.
func ChunksOf(chunks [][]byte) ChunkReader {
	return func(index int) ([]byte, error) { return chunks[index], nil }
}

// publishedWeights holds weights by manifest. It is safe for concurrent use.
type publishedWeights struct {
	mu         sync.RWMutex
	byManifest map[core.Digest]Weights
}

func newPublishedWeights() *publishedWeights {
	return &publishedWeights{byManifest: map[core.Digest]Weights{}}
}

func (p *publishedWeights) put(weights Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byManifest[weights.Ref.Manifest] = weights
}

func (p *publishedWeights) get(manifest core.Digest) (Weights, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	weights, found := p.byManifest[manifest]
	return weights, found
}

func (p *publishedWeights) resolve(model, version string) (core.ModelRef, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, weights := range p.byManifest {
		if weights.Ref.Model == model && weights.Ref.Version == version {
			return weights.Ref, true
		}
	}
	return core.ModelRef{}, false
}

func (p *publishedWeights) chunk(manifest core.Digest, index int) ([]byte, error) {
	weights, found := p.get(manifest)
	if !found || index < 0 || index >= weights.ChunkCount {
		return nil, backing.ErrNotFound
	}
	return weights.ReadChunk(index)
}
