package intent

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

const (
	maxEndpointCount = 100_000
	maxStreamGraceMS = 60 * 60 * 1000
	maxRankRules     = 1024
)

// Intent is an operator's change to the desired state of the fleet. Exactly one
// field is set.
type Intent struct {
	Place  *Place  `json:"place,omitempty"`
	Rank   *Rank   `json:"rank,omitempty"`
	Stop   *Stop   `json:"stop,omitempty"`
	Drain  *Drain  `json:"drain,omitempty"`
	Resume *Resume `json:"resume,omitempty"`
}

// Place sets which model is served, where and by how many endpoints. It replaces
// the model's placements in the same location; without Region and FailureDomain
// it replaces all of them.
type Place struct {
	// Model may lack its manifest in an operator's request; the entry resolves it.
	Model         core.ModelRef `json:"model"`
	Adapters      []string      `json:"adapters,omitempty"`
	EngineRole    string        `json:"engine_role,omitempty"`
	Region        string        `json:"region,omitempty"`
	FailureDomain string        `json:"failure_domain,omitempty"`
	// Replicas is the number of endpoints, 0 for every matching one.
	Replicas int `json:"replicas"`
	// ModelBytes is the size of the weights from the manifest. It is only used
	// for the plan's estimates.
	ModelBytes int64 `json:"model_bytes,omitempty"`
}

// Rank sets which calls have which rank, and the policies of ranks. Existing
// rules and policies that it does not name remain unchanged.
type Rank struct {
	Rules    []fleet.RankRule   `json:"rules,omitempty"`
	Policies []fleet.RankPolicy `json:"policies,omitempty"`
}

// Stop takes endpoints out of service for good.
type Stop struct {
	Selector Selector `json:"selector"`
	// StreamGraceMS is how long running streams may continue.
	StreamGraceMS int64 `json:"stream_grace_ms"`
	// Move reports whether streams still running after the grace period continue
	// at another endpoint.
	Move bool `json:"move"`
	// AcceptLess allows the plan to leave less than the guaranteed capacity.
	AcceptLess bool `json:"accept_less,omitempty"`
}

// Drain takes endpoints out of service until a Resume.
type Drain struct {
	Selector      Selector `json:"selector"`
	StreamGraceMS int64    `json:"stream_grace_ms"`
	Move          bool     `json:"move"`
	AcceptLess    bool     `json:"accept_less,omitempty"`
}

// Resume returns drained endpoints to service.
type Resume struct {
	Selector Selector `json:"selector"`
}

// Kind returns the kind of the intent, or "" unless exactly one field is set.
func (in Intent) Kind() Kind {
	var kind Kind
	count := 0
	check := func(isSet bool, k Kind) {
		if isSet {
			kind = k
			count++
		}
	}
	check(in.Place != nil, KindPlace)
	check(in.Rank != nil, KindRank)
	check(in.Stop != nil, KindStop)
	check(in.Drain != nil, KindDrain)
	check(in.Resume != nil, KindResume)
	if count != 1 {
		return ""
	}
	return kind
}

// Validate checks the values that can be checked without a view of the fleet. It
// returns *IntentError.
func (in Intent) Validate() error {
	switch in.Kind() {
	case KindPlace:
		return in.Place.validate()
	case KindRank:
		return in.Rank.validate()
	case KindStop:
		return validateStop(in.Stop.Selector, in.Stop.StreamGraceMS)
	case KindDrain:
		return validateStop(in.Drain.Selector, in.Drain.StreamGraceMS)
	case KindResume:
		return in.Resume.Selector.validate()
	}
	return invalid("intent", "exactly one of place, rank, stop, drain and resume is needed")
}

func (p *Place) validate() error {
	if p.Model.Model == "" {
		return invalid("place.model.model", "is empty")
	}
	if p.Model.Version == "" {
		return invalid("place.model.version", "is empty")
	}
	if p.Replicas < 0 || p.Replicas > maxEndpointCount {
		return invalid("place.replicas", "%d is outside 0 to %d", p.Replicas, maxEndpointCount)
	}
	if p.ModelBytes < 0 {
		return invalid("place.model_bytes", "%d is negative", p.ModelBytes)
	}
	return nil
}

func (r *Rank) validate() error {
	if len(r.Rules) == 0 && len(r.Policies) == 0 {
		return invalid("rank", "names neither a rule nor a policy")
	}
	if len(r.Rules) > maxRankRules {
		return invalid("rank.rules", "has %d entries, at most %d are allowed", len(r.Rules), maxRankRules)
	}
	return nil
}

func validateStop(s Selector, graceMS int64) error {
	if graceMS < 0 || graceMS > maxStreamGraceMS {
		return invalid("stream_grace_ms", "%d is outside 0 to %d", graceMS, maxStreamGraceMS)
	}
	return s.validate()
}
