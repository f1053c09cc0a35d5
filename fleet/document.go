package fleet

import "github.com/snipestep/snipestep/core"

// Document is the complete configuration of a fleet. It is immutable once
// accepted; each change creates the next generation.
type Document struct {
	Generation    core.Generation `json:"generation"`
	Organisations []Organisation  `json:"organisations"`
	RankRules     []RankRule      `json:"rank_rules"`
	Ranks         []RankPolicy    `json:"ranks"`
	Services      []Service       `json:"services"`
	Placements    []Placement     `json:"placements"`
	Stops         []Stop          `json:"stops"`
	// Plan is the identifier of the plan that created this generation.
	Plan string `json:"plan,omitempty"`
	// History lists the plans of the newest generations, oldest first. The
	// last entry is this generation.
	History []HistoryEntry `json:"history,omitempty"`
}

// Organisation is one customer of the fleet.
type Organisation struct {
	ID core.OrganisationID `json:"id"`
	// TokenDigests are hexadecimal digests of the bearer tokens.
	TokenDigests []string `json:"token_digests"`
	// Weight is the organisation's relative share within a rank; 0 means 1.
	Weight float64 `json:"weight"`
}

// RankRule assigns a rank to calls. Empty fields match everything; the first
// matching rule applies.
type RankRule struct {
	Organisation core.OrganisationID `json:"organisation,omitempty"`
	Kind         string              `json:"kind,omitempty"`
	Rank         core.Rank           `json:"rank"`
}

// RankPolicy is the guaranteed capacity and the queueing limit of a rank.
type RankPolicy struct {
	Rank core.Rank `json:"rank"`
	// GuaranteedShare is the fraction of each endpoint's slots reserved for the
	// rank, 0 to 1. The shares of all ranks sum to at most 1.
	GuaranteedShare float64 `json:"guaranteed_share"`
	// PatienceMS is how long a call may queue before it is refused.
	PatienceMS int64 `json:"patience_ms"`
}

// Service is a plain service with its operations.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is a callable operation of a plain service.
type Operation struct {
	Name       string    `json:"name"`
	Idempotent bool      `json:"idempotent"`
	Rank       core.Rank `json:"rank"`
}

// Placement is the desired model, adapters and engine role of a number of
// endpoints.
type Placement struct {
	Model    core.ModelRef `json:"model"`
	Adapters []string      `json:"adapters,omitempty"`
	// EngineRole is the role in which the engine must run, e.g. "mixed".
	EngineRole    string `json:"engine_role,omitempty"`
	Region        string `json:"region,omitempty"`         // Empty for any.
	FailureDomain string `json:"failure_domain,omitempty"` // Empty for any.
	Replicas      int    `json:"replicas"`                 // 0 for every matching endpoint.
}

// Stop takes instances out of service. A plan resolves the selector of its
// intent to Instances.
type Stop struct {
	Instances []core.InstanceID `json:"instances"`
	// StreamGraceMS is how long running streams may continue.
	StreamGraceMS int64 `json:"stream_grace_ms"`
	// Move reports whether streams still running after the grace period continue
	// at another endpoint.
	Move bool `json:"move"`
	// Drain marks a stop that an operator can undo with a resume.
	Drain bool `json:"drain"`
}
