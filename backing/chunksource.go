package backing

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// ChunkSource returns chunks by manifest and index. Their content is not
// verified. Errors are ErrNotFound, *RateLimitedError, *RejectedError and
// *UnavailableError.
type ChunkSource interface {
	Chunk(ctx context.Context, manifest core.Digest, index int) ([]byte, error)
}

// WeightStore is the rate-limited store of manifests and chunks.
type WeightStore interface {
	ChunkSource
	// Manifest returns the encoded manifest with the given digest.
	Manifest(ctx context.Context, manifest core.Digest) ([]byte, error)
	// Resolve returns the reference to a model's version, with the digest of
	// its manifest.
	Resolve(ctx context.Context, model, version string) (core.ModelRef, error)
}
