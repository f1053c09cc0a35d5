package backing

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// ChunkSource returns chunk bytes by manifest and index. The bytes are not
// verified. Errors are ErrNotFound, *LimitedError and *UnavailableError.
type ChunkSource interface {
	Chunk(ctx context.Context, manifest core.Digest, index int) ([]byte, error)
}

// WeightStore is the rate-limited store of manifests and chunks.
type WeightStore interface {
	ChunkSource
	// Manifest returns the encoded manifest with the given digest.
	Manifest(ctx context.Context, manifest core.Digest) ([]byte, error)
	// Resolve returns the manifest of a model's version.
	Resolve(ctx context.Context, model, version string) (core.ModelRef, error)
}
