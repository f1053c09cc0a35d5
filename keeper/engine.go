package keeper

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrNotStaged reports a chunk that does not lie staged at the engine.
var ErrNotStaged = eris.New("chunk is not staged")

// ErrOrderRefused reports an order that does not fit the engine's state.
var ErrOrderRefused = eris.New("engine refused the order")

// EngineState is what an engine says of itself.
type EngineState struct {
	Running int
	Waiting int
	Pace    float64 // 1 is usual; more is slower.
	Held    uint64  // Version of which all layers are loaded; 0 for none.
	Busy    bool    // An order is being carried out.
	Orders  uint64  // Orders begun since the start.
	Born    int64   // Start in Unix milliseconds.
}

// Engine is the model engine on the agent's own instance. All calls block
// until it answers or ctx ends.
type Engine interface {
	State(ctx context.Context, layers int) (EngineState, error)
	// Stage lays a chunk down at the engine, unverified.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// Staged returns a chunk as it lies there, or ErrNotStaged.
	Staged(ctx context.Context, model string, chunk int) ([]byte, error)
	// Load makes the engine load what lies staged, once running requests have
	// ended. orders is the number of orders that the agent knows of. It
	// returns ErrOrderRefused if the engine has begun another one since.
	Load(ctx context.Context, model string, version, orders uint64) error
}
