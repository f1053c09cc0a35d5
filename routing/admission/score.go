package admission

import (
	"math"
	"time"
)

// The score of an endpoint is the expected delay to the first part of a response, in seconds.
// The constants below are in seconds too.
const (
	// fullDelay is the delay of an endpoint whose slots are all used, in proportion to its
	// utilisation.
	fullDelay = 0.25
	// otherRegionDelay is the delay of another region. Slots there are used once those of the
	// entry's own region are a quarter fuller.
	otherRegionDelay = 0.0625
	// maxRandomDelay bounds the random part of the score, so that entries with the same reports
	// choose different endpoints.
	maxRandomDelay = 0.015
	// closingBonus favours endpoints that will close soon, for requests that end before then.
	// Long requests avoid such endpoints, so that few requests are left when they close.
	closingBonus = 0.075
	// partitionDelay is the bonus of the latency partition for latency-critical requests and its
	// penalty for others.
	partitionDelay = 0.075
	// silentAgentDelay makes endpoints with a silent agent the last choice: either only the agent
	// has failed, or its whole instance.
	silentAgentDelay = 0.25
	// slowDelay makes a slow endpoint the last choice, unless the pool uses the figures of slowdown
	// themselves.
	slowDelay = 0.5
)

// expectedDelay returns the score of an endpoint for a request, in seconds. byRegion says that other
// regions have a delay of their own. random is from 0 up to 1.
func (p *Pool) expectedDelay(now time.Time, req *Request, endpoint *endpointState, load float64, prefill time.Duration, closing, byRegion bool, random float64) float64 {
	delay := numberOrZero(fullDelay*(load/float64(endpoint.Slots))) + maxRandomDelay*random
	delay += (prefill + max(endpoint.excessRoundTrip(), endpoint.expectedFirstResponseDelay(now))).Seconds()
	if byRegion && endpoint.Region != p.config.Region {
		delay += otherRegionDelay
	}
	delay += numberOrZero(p.slownessDelay(now, req, endpoint))
	if closing {
		delay -= closingBonus
	}
	if endpoint.agentSilent(now, &p.config) {
		delay += silentAgentDelay
	}
	return delay + p.partitionDelay(endpoint.ID, req)
}

// partitionDelay steers latency-critical requests to the latency partition and others away from
// it while other endpoints have free slots.
func (p *Pool) partitionDelay(endpointID string, req *Request) float64 {
	switch {
	case !p.partition.contains(endpointID):
		return 0
	case req.LatencyCritical:
		return -partitionDelay
	default:
		return partitionDelay
	}
}

// numberOrZero returns a term of the score, 0 if it is not a number: a score that is not a number
// compares as neither lower nor higher than another.
func numberOrZero(term float64) float64 {
	if math.IsNaN(term) {
		return 0
	}
	return term
}
