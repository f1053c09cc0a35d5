package endpoint

import "github.com/snipestep/snipestep/core"

// Order changes what an engine serves.
type Order struct {
	// Fence is the order's fencing number.
	Fence core.Fence `json:"fence"`
	// Model is the model to serve.
	Model core.ModelRef `json:"model"`
	// Manifest is the encoded manifest of the model's staged chunks. It may
	// be empty if the engine already serves the model.
	Manifest []byte `json:"manifest,omitempty"`
	// Adapters replaces the loaded adapters.
	Adapters []string `json:"adapters,omitempty"`
	// Role replaces the engine's role.
	Role string `json:"role,omitempty"`
}

// OrderOutcome is what an engine serves after an order.
type OrderOutcome struct {
	Serving  core.ModelRef `json:"serving"`
	Adapters []string      `json:"adapters,omitempty"`
	Role     string        `json:"role,omitempty"`
}
