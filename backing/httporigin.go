package backing

import (
	"context"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const originService = "origin"

// HTTPOrigin is the HTTP client of the origin of weights. It is safe for
// concurrent use.
type HTTPOrigin struct {
	client *httpcall.Client
}

var _ ChunkSource = (*HTTPOrigin)(nil)

// NewHTTPOrigin returns a client of the origin.
func NewHTTPOrigin(config HTTPConfig) *HTTPOrigin {
	return &HTTPOrigin{client: httpcall.New(config)}
}

// Chunk implements ChunkSource.
func (o *HTTPOrigin) Chunk(ctx context.Context, manifest core.Digest, index int) ([]byte, error) {
	return fetchChunk(ctx, o.client, originService, manifest, index)
}
