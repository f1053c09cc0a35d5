package endpoint

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// Engine is one model engine. All calls block until the engine answers or ctx
// ends.
type Engine interface {
	// Generate starts an attempt and returns its stream. Errors are
	// *NotStartedError and *BrokenError.
	Generate(ctx context.Context, request GenerateRequest) (TokenStream, error)
	// StageChunk hands over one verified chunk of a manifest. It may be
	// repeated.
	StageChunk(ctx context.Context, manifest core.Digest, index int, data []byte) error
	// Order changes what the engine serves and returns once it does. It may
	// be repeated. Errors are *FencedError, *NotStartedError and
	// *BrokenError.
	Order(ctx context.Context, order Order) (OrderOutcome, error)
	// Status reads what the engine serves, and its load with a lag.
	Status(ctx context.Context) (EngineStatus, error)
	// ExportCache returns a handle of the KV cache of an attempt. Another
	// engine imports it through GenerateRequest.CacheHandle.
	ExportCache(ctx context.Context, attempt string) (string, error)
	// Cancel ends an attempt. Cancelling an unknown attempt is no error.
	Cancel(ctx context.Context, attempt string) error
}
