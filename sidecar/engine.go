package sidecar

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrNotStaged reports a chunk that is not staged at the engine.
var ErrNotStaged = eris.New("chunk is not staged")

// ErrOrderRefused reports an order that conflicts with the engine's state.
var ErrOrderRefused = eris.New("engine refused the order")

// EngineState is the state that an engine reports.
type EngineState struct {
	Running         int
	Waiting         int
	Slowdown        float64 // Relative to normal: 1 is normal, more is slower.
	LoadedVersion   uint64  // Version of which all layers are loaded; 0 for none.
	OrderInProgress bool    // The engine is executing a load order.
	OrdersStarted   uint64  // Load orders begun since the engine started.
	StartUnixMS     int64   // Start time of the engine.
}

// Engine is the model engine on the agent's instance. All calls block until it
// answers or ctx ends.
type Engine interface {
	State(ctx context.Context, layerCount int) (EngineState, error)
	// Stage stages a chunk at the engine without verification.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// ReadStaged returns a staged chunk, or ErrNotStaged.
	ReadStaged(ctx context.Context, model string, chunk int) ([]byte, error)
	// Load orders the engine to load the staged chunks once its running requests
	// have ended. ordersStarted is the agent's last known count of orders; Load
	// returns ErrOrderRefused if the engine has begun another one since.
	Load(ctx context.Context, model string, version, ordersStarted uint64) error
}
