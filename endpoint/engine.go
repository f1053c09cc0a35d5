package endpoint

import (
	"context"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
)

// Engine is the client of one model engine. All calls block until the engine
// answers or ctx ends.
type Engine interface {
	// Generate starts an attempt and returns its stream. Errors are
	// *NotStartedError and *BrokenError.
	Generate(ctx context.Context, request GenerateRequest) (TokenStream, error)
	// StageChunk uploads one verified chunk of a manifest. It is idempotent.
	StageChunk(ctx context.Context, manifest core.Digest, index int, data []byte) error
	// Order changes what the engine serves and returns once the change is in
	// effect. It is idempotent. Errors are *FencedError, *NotStartedError and
	// *BrokenError.
	Order(ctx context.Context, order Order) (OrderOutcome, error)
	// Status returns what the engine serves, and its load, which lags.
	Status(ctx context.Context) (EngineStatus, error)
	// ExportCache exports the KV cache of an attempt and returns its handle.
	// Another engine imports it through GenerateRequest.CacheHandle. held counts
	// the answer while it is read, and the handle afterwards; nil counts nothing.
	ExportCache(ctx context.Context, attempt string, held *heldbytes.Held) (string, error)
	// Cancel stops an attempt. Cancelling an unknown attempt is not an error.
	Cancel(ctx context.Context, attempt string) error
}
