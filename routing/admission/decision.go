package admission

import (
	"time"
)

// Verdict says what happens to a request.
type Verdict uint8

// The verdicts.
const (
	// Start: the request is sent to the endpoint now.
	Start Verdict = iota
	// Enqueue: the request waits in the pool.
	Enqueue
	// Refuse: no slot is expected in time.
	Refuse
)

// Decision is the result of Pool.Submit.
type Decision struct {
	Verdict      Verdict
	EndpointID   string        // With Start.
	ExpectedWait time.Duration // With Enqueue and Refuse.
	// Reason and Unavailable are set with Refuse.
	Reason      Reason
	Unavailable UnavailableEndpoints
	// Estimate is the load estimate on which the choice was based, with Start.
	Estimate LoadEstimate
}

// LoadEstimate is the estimated state of an endpoint at the time of a decision.
type LoadEstimate struct {
	Load      float64       // Requests of all entries at the endpoint.
	ReportAge time.Duration // Age of the report it is based on; -1 for none.
	FreeSlots int           // Free slots at all endpoints together.
	// LoadedVersion is the version of the weights at the endpoint, MinVersion the
	// oldest one allowed; both are 0 for services without weights.
	LoadedVersion uint64
	MinVersion    uint64
	// AgentSilent says that the agent of the endpoint had stopped sending reports.
	AgentSilent bool
	// Slowdown is that of the endpoint, 1 if it is unknown; 0 if the pool does not use slowdowns.
	Slowdown float64
	// Left says that the endpoint is outside the failure domain of the entry, by a decision of
	// locality: a request was expected to wait there for OwnWait, and leaving was to cost LeaveCost.
	Left               bool
	OwnWait, LeaveCost time.Duration
	// VersionSource is where LoadedVersion comes from, empty for services without
	// weights.
	VersionSource VersionSource
}

// VersionSource is where the version of an endpoint is known from.
type VersionSource string

// The sources of versions.
const (
	// VersionFromReport: a recent report of the endpoint's agent.
	VersionFromReport VersionSource = "report"
	// VersionFromList: the endpoint list.
	VersionFromList VersionSource = "list"
)

// Estimate returns the present estimate for an endpoint, the zero value if it is not listed.
func (p *Pool) Estimate(now time.Time, endpointID string) LoadEstimate {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil {
		return LoadEstimate{}
	}
	return p.loadEstimate(now, endpoint, p.freeSlots(now, nil))
}

// loadEstimate returns the present estimate for an endpoint. freeSlots is the
// number of free slots at all endpoints.
func (p *Pool) loadEstimate(now time.Time, endpoint *endpointState, freeSlots int) LoadEstimate {
	estimate := LoadEstimate{
		Load: endpoint.load(now, &p.config, p.entryCount, p.unreportedWeight(freeSlots)), ReportAge: -1, FreeSlots: freeSlots,
		LoadedVersion: endpoint.loadedVersionAt(now, &p.config), MinVersion: p.minVersion,
		AgentSilent: endpoint.agentSilent(now, &p.config),
	}
	if p.config.UseSlowdown {
		estimate.Slowdown = endpoint.slowdown(now)
	}
	if l := p.locality; l != nil && l.left {
		estimate.Left, estimate.OwnWait, estimate.LeaveCost = true, l.ownWait, l.cost
	}
	if p.config.AgentReports {
		estimate.VersionSource = endpoint.versionSourceAt(now, &p.config)
	}
	if !endpoint.report.ReceivedAt.IsZero() {
		estimate.ReportAge = now.Sub(endpoint.report.ReceivedAt)
	}
	return estimate
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonNoEndpoint: the service has no listed endpoints, or none that the request may use.
	ReasonNoEndpoint Reason = "no endpoint can serve"
	// ReasonFull: no slot is expected before the hard deadline.
	ReasonFull Reason = "no place in time"
	// ReasonResting: the endpoints that could serve have asked for a pause.
	ReasonResting Reason = "endpoints ask for a pause"
	// ReasonCold: the endpoints that could serve are cold, and this entry may send them
	// nothing.
	ReasonCold Reason = "endpoints are cold"
	// ReasonExpired: the request got no slot before its deadline.
	ReasonExpired Reason = "waited too long for a slot"
)
