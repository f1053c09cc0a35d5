package admission

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing/sharedrate"
)

// Endpoint describes an endpoint as the endpoint list has it.
type Endpoint struct {
	ID     string
	Region string
	// FailureDomain is that of the endpoint, within its region.
	FailureDomain string
	Slots         int
	// LoadedVersion is the version of the weights that is completely loaded, 0 for
	// none.
	LoadedVersion uint64
	// Draining says that the endpoint gets no new requests, Leaving that it has said so
	// itself.
	Draining, Leaving bool
	// Evacuated says that the operator has taken the endpoint's failure domain out of use.
	Evacuated bool
	// StartedUnixMS tells the incarnations under one ID apart, 0 if unknown.
	StartedUnixMS int64
	// ColdRecord is what the endpoint list says about its coldness.
	ColdRecord sharedrate.Record
}

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	ID            string
	StartedUnixMS int64 // 0 if unknown.
}

// incarnation returns the state of an endpoint if it is listed with that start, else nil.
func (p *Pool) incarnation(i Incarnation) *endpointState {
	endpoint := p.endpoints[i.ID]
	if endpoint == nil || endpoint.StartedUnixMS != i.StartedUnixMS {
		return nil
	}
	return endpoint
}

// slowdownThreshold is the slowdown above which an endpoint is used only if no
// other has free slots: a first event would take over half as long again.
const slowdownThreshold = 1.6

// inFlightRequest is a request of this entry at an endpoint.
type inFlightRequest struct {
	sentAt          time.Time
	promptTokens    float64
	responseStarted bool
	// organisation and tokens are what the request added to the usage.
	organisation core.OrganisationID
	tokens       float64
	cold         coldCharge
	stream       bool
}

// endpointState is the state of an endpoint in a Pool.
type endpointState struct {
	Endpoint
	report Report
	// inFlight holds this entry's requests at the endpoint by their ID.
	inFlight map[uint64]inFlightRequest
	// endedSinceReport counts this entry's ended requests that the report
	// includes.
	endedSinceReport int
	breaker          circuitBreaker
	firstResponse    firstResponseDelay
	quota            quota
	// cold is nil for services whose endpoints are never cold.
	cold     *coldState
	speed    speed
	locality endpointLocality
	// addedAt is when the endpoint was first listed.
	addedAt time.Time
	// lastProgress is when the endpoint last sent a part of a response.
	lastProgress time.Time
	// respondedAt is when the endpoint last sent a part of a response, or a whole one of any kind.
	respondedAt time.Time
	// probedAt is when the endpoint was last probed, probeAnsweredAt when it last answered a probe.
	probedAt, probeAnsweredAt time.Time
	// probeInterval is the time to the next probe if it does not answer, 0 before the first one.
	probeInterval time.Duration
	// notRunAt is when the endpoint did not run a request, zero since the last report and
	// where responses report the load.
	notRunAt time.Time
}

// reportCovers reports whether the report includes a request sent at sentAt. lag
// is Config.ReportLag.
func (s *endpointState) reportCovers(sentAt time.Time, lag time.Duration) bool {
	return sentAt.Before(s.report.ReceivedAt.Add(-lag))
}

// load estimates how many requests of all entries are at the endpoint. A request
// of this entry that no report includes yet counts as unreportedWeight requests:
// where requests wait, the other entries send theirs to the same free slots.
func (s *endpointState) load(now time.Time, config *Config, entryCount int, unreportedWeight float64) float64 {
	if now.Sub(s.report.ReceivedAt) > config.MaxReportAge {
		if !config.AgentReports {
			return float64(len(s.inFlight))
		}
		return float64(len(s.inFlight) * max(entryCount, 1))
	}
	load := float64(s.report.Running + s.report.Waiting - s.endedSinceReport)
	for _, req := range s.inFlight {
		if !s.reportCovers(req.sentAt, config.ReportLag) {
			load += unreportedWeight
		}
	}
	return max(load, float64(len(s.inFlight)))
}

// versionSourceAt returns where loadedVersionAt has the version from.
func (s *endpointState) versionSourceAt(now time.Time, config *Config) VersionSource {
	if config.AgentReports && now.Sub(s.report.ReceivedAt) <= config.MaxReportAge {
		return VersionFromReport
	}
	return VersionFromList
}

// loadedVersionAt returns the version that is loaded at the endpoint: from its
// report if that is recent, else from the endpoint list.
func (s *endpointState) loadedVersionAt(now time.Time, config *Config) uint64 {
	if s.versionSourceAt(now, config) == VersionFromReport {
		return s.report.LoadedVersion
	}
	return s.LoadedVersion
}

func (s *endpointState) setReport(r Report) {
	s.report = r
	s.probeInterval = 0
	s.endedSinceReport = 0
	s.notRunAt = time.Time{}
}

// livenessWindow is how long after a part of a response an endpoint counts as
// alive: a pass of a full engine with prefill takes a third of it.
const livenessWindow = 500 * time.Millisecond

// agentSilenceTimeout is how long the reports of an agent may be absent: it sends
// one at least every 0.2 s, and one may be lost.
const agentSilenceTimeout = 450 * time.Millisecond

// agentSilent reports whether an agent has stopped sending reports.
func (s *endpointState) agentSilent(now time.Time, config *Config) bool {
	return config.AgentReports && !s.report.ReceivedAt.IsZero() && now.Sub(s.report.ReceivedAt) > agentSilenceTimeout
}

// normalRoundTrip is the maximum round-trip time to an endpoint while chunks of
// weights are transferred over its link at their normal rate.
const normalRoundTrip = 100 * time.Millisecond

// excessRoundTrip returns the round-trip time beyond the normal one, as over a
// slow or congested link. It delays the first event, and the message to the
// endpoint that a caller has disconnected.
func (s *endpointState) excessRoundTrip() time.Duration {
	return max(s.report.RoundTrip-normalRoundTrip, 0)
}

// closing reports whether a recent report announces that the endpoint will close.
func (s *endpointState) closing(now time.Time, config *Config) bool {
	return !s.report.ClosesAt.IsZero() && now.Sub(s.report.ReceivedAt) <= config.MaxReportAge
}

// slow reports whether the endpoint is much slower than normal.
func (s *endpointState) slow(now time.Time, config *Config) bool {
	return s.report.Slowdown > slowdownThreshold && now.Sub(s.report.ReceivedAt) <= config.MaxReportAge
}
