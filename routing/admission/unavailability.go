package admission

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Unavailability is why an endpoint gets no requests at all, empty if it may get some.
type Unavailability string

// The reasons, in the order in which the first that applies is given.
const (
	// UnavailableLeaving: a response of the endpoint says that it leaves.
	UnavailableLeaving Unavailability = "leaving"
	// UnavailableDraining: the endpoint list says that the endpoint leaves.
	UnavailableDraining Unavailability = "draining"
	// UnavailableEvacuated: the operator has taken its failure domain out of use.
	UnavailableEvacuated Unavailability = "evacuated"
	// UnavailableResting: it has asked this entry for a pause, or a probe after one is on
	// its way.
	UnavailableResting Unavailability = "resting"
	// UnavailableBroken: its responses fail, and the circuit breaker is open.
	UnavailableBroken Unavailability = "broken"
	// UnavailableNotRun: it has not run a request since its agent's last report.
	UnavailableNotRun Unavailability = "not_run"
	// UnavailableClosed: its agent reports that it accepts no requests.
	UnavailableClosed Unavailability = "closed"
	// UnavailableUnreported: it is new, and its agent may still report.
	UnavailableUnreported Unavailability = "unreported"
	// UnavailableUnresponsive: neither its agent nor the endpoint itself has been heard for a while.
	UnavailableUnresponsive Unavailability = "unresponsive"
	// UnavailableOutdated: it has no version of the weights, or one below the minimum.
	UnavailableOutdated Unavailability = "outdated"
	// UnavailableRegion: the request may not be sent to its region. This is no state of the
	// endpoint.
	UnavailableRegion Unavailability = "region"
	// UnavailableCold: it is cold, and this entry may send nothing to cold endpoints.
	UnavailableCold Unavailability = "cold"
	// UnavailableColdLimited: it is cold, and this entry has used its share of the rate.
	UnavailableColdLimited Unavailability = "cold_limited"
	// UnavailableRateLimited: this entry has used its part of the endpoint's rate limit.
	UnavailableRateLimited Unavailability = "rate_limited"
)

// unavailability returns why an endpoint may start no requests. It ignores the rate limit
// and the share in the rate of a cold endpoint, under which it is available again and again.
func (p *Pool) unavailability(now time.Time, endpoint *endpointState) Unavailability {
	switch {
	case endpoint.Leaving:
		return UnavailableLeaving
	case endpoint.Draining:
		return UnavailableDraining
	case endpoint.Evacuated:
		return UnavailableEvacuated
	case !p.restAllows(now, endpoint):
		return UnavailableResting
	case !endpoint.breaker.allows(now, len(endpoint.inFlight)):
		return UnavailableBroken
	case !p.config.AgentReports:
		return p.coldUnavailability(now, endpoint)
	case now.Sub(endpoint.notRunAt) <= p.config.MaxReportAge:
		return UnavailableNotRun
	case endpoint.report.Closed && now.Sub(endpoint.report.ReceivedAt) <= p.config.MaxReportAge:
		return UnavailableClosed
	case endpoint.report.ReceivedAt.IsZero() && now.Sub(endpoint.addedAt) < firstReportTimeout:
		return UnavailableUnreported
	case p.unresponsive(now, endpoint) && !p.mayBeTried(endpoint):
		return UnavailableUnresponsive
	}
	if version := endpoint.loadedVersionAt(now, &p.config); version == 0 || version < p.minVersion {
		return UnavailableOutdated
	}
	return p.coldUnavailability(now, endpoint)
}

// eligible reports whether an endpoint may start requests at all.
func (p *Pool) eligible(now time.Time, endpoint *endpointState) bool {
	return p.unavailability(now, endpoint) == ""
}

// HoldsNotices reports whether pauses or rate limits of endpoints are known, listed or not.
func (p *Pool) HoldsNotices() bool {
	return len(p.rests) > 0 || len(p.rateLimits) > 0
}

// UnavailableEndpoints counts the endpoints that get no requests now, by the reason.
type UnavailableEndpoints map[Unavailability]int

// Unavailable returns the number of endpoints that get no requests now, by the reason.
func (p *Pool) Unavailable(now time.Time) UnavailableEndpoints {
	return p.unavailableTo(now, nil)
}

// String lists the counts for the log, as "broken 2, closed 1"; empty if there are none.
func (u UnavailableEndpoints) String() string {
	var texts []string
	for reason, count := range u {
		texts = append(texts, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}
