package intent

import "github.com/snipestep/snipestep/core"

// OrderKind is the action that an order asks of an agent.
type OrderKind string

// The kinds of orders.
const (
	OrderPrefetch OrderKind = "prefetch"
	OrderServe    OrderKind = "serve"
	OrderDrain    OrderKind = "drain"
	OrderResume   OrderKind = "resume"
)

// Order is an idempotent instruction to an agent.
type Order struct {
	Instance core.InstanceID `json:"instance"`
	Kind     OrderKind       `json:"kind"`
	// Model is set for prefetch and serve; Adapters and EngineRole for serve.
	Model      core.ModelRef `json:"model"`
	Adapters   []string      `json:"adapters,omitempty"`
	EngineRole string        `json:"engine_role,omitempty"`
	// StreamGraceMS is set for serve and drain; Move for drain.
	StreamGraceMS int64 `json:"stream_grace_ms,omitempty"`
	Move          bool  `json:"move,omitempty"`
}
