package fleet

import "github.com/snipestep/snipestep/core"

// Document is the whole configuration of a fleet. It is immutable once
// accepted; a change makes the next generation.
type Document struct {
	Generation    core.Generation `json:"generation"`
	Organisations []Organisation  `json:"organisations"`
	RankRules     []RankRule      `json:"rank_rules"`
	Ranks         []RankPolicy    `json:"ranks"`
	Services      []Service       `json:"services"`
	Placements    []Placement     `json:"placements"`
	Stops         []Stop          `json:"stops"`
	// Plan is the identifier of the plan that made this generation.
	Plan string `json:"plan,omitempty"`
	// History names the plans of the newest generations, oldest first. The
	// last entry is this generation.
	History []Accepted `json:"history,omitempty"`
}

// Organisation is one customer of the fleet.
type Organisation struct {
	ID core.OrganisationID `json:"id"`
	// TokenDigests are hexadecimal digests of the bearer tokens.
	TokenDigests []string `json:"token_digests"`
	// Weight is the organisation's share within a rank, 1 by default.
	Weight float64 `json:"weight"`
}

// RankRule gives calls a rank. Empty fields match everything; the first
// matching rule counts.
type RankRule struct {
	Organisation core.OrganisationID `json:"organisation,omitempty"`
	Kind         string              `json:"kind,omitempty"`
	Rank         core.Rank           `json:"rank"`
}

// RankPolicy is the service a rank gets.
type RankPolicy struct {
	Rank core.Rank `json:"rank"`
	// GuaranteedShare is the part of each endpoint's slots kept for the
	// rank, 0 to 1. The shares of all ranks sum to at most 1.
	GuaranteedShare float64 `json:"guaranteed_share"`
	// PatienceMS is how long a call may wait before it is refused.
	PatienceMS int64 `json:"patience_ms"`
}

// Service is a plain service with its operations.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is one call of a plain service.
type Operation struct {
	Name       string    `json:"name"`
	Idempotent bool      `json:"idempotent"`
	Rank       core.Rank `json:"rank"`
}

// Placement says what a number of endpoints should serve.
type Placement struct {
	Model    core.ModelRef `json:"model"`
	Adapters []string      `json:"adapters,omitempty"`
	// EngineRole is the role the engine is ordered into, e.g. "mixed".
	EngineRole    string `json:"engine_role,omitempty"`
	Region        string `json:"region,omitempty"`         // Empty for any.
	FailureDomain string `json:"failure_domain,omitempty"` // Empty for any.
	Replicas      int    `json:"replicas"`                 // 0 for every matching endpoint.
}

// Stop takes instances out of service. The plan resolves the intent's
// selector to Instances.
type Stop struct {
	Instances []core.InstanceID `json:"instances"`
	// StreamGraceMS is how long running streams may go on.
	StreamGraceMS int64 `json:"stream_grace_ms"`
	// Move says whether streams still running after the grace continue at
	// another endpoint.
	Move bool `json:"move"`
	// Drain keeps the instance for a return to service.
	Drain bool `json:"drain"`
}
