package endpoint

import "github.com/snipestep/snipestep/core"

// Order changes what an engine serves.
type Order struct {
	// Fence is the order's fencing number.
	Fence core.Fence `json:"fence"`
	// Model is served once the order is done.
	Model core.ModelRef `json:"model"`
	// Manifest is the encoded manifest of the model's staged chunks. It may
	// be empty when the engine serves the model already.
	Manifest []byte `json:"manifest,omitempty"`
	// Adapters replace the ones loaded.
	Adapters []string `json:"adapters,omitempty"`
	// Role replaces the engine's role.
	Role string `json:"role,omitempty"`
}

// OrderOutcome says what an engine serves after an order.
type OrderOutcome struct {
	Serving  core.ModelRef `json:"serving"`
	Adapters []string      `json:"adapters,omitempty"`
	Role     string        `json:"role,omitempty"`
}
