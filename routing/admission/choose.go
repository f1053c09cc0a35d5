package admission

import (
	"slices"
	"time"
)

// firstReportTimeout is how long the pool waits for the first report of an agent
// before it relies on the endpoint list, which may date from before a power failure.
const firstReportTimeout = 400 * time.Millisecond

// capacity returns the maximum number of requests at an endpoint.
func (p *Pool) capacity(endpoint *endpointState) float64 {
	return float64(endpoint.Slots + p.config.Oversubscription)
}

// unreportedWeight returns as how many requests of all entries a request of this
// entry counts until a report includes it. While many slots are free, entries choose
// different ones; the fewer are free, the more entries choose the same.
func (p *Pool) unreportedWeight(freeSlots int) float64 {
	if !p.config.AgentReports {
		return 1
	}
	entries := float64(p.entryCount)
	return min(max(entries*entries/float64(max(freeSlots, 1)), 1), entries)
}

// competingEntries returns how many entries are likely to send prompts to an
// endpoint now: all of them while requests wait at the entries.
func (p *Pool) competingEntries(endpoint *endpointState) float64 {
	if endpoint.quota.limited {
		return float64(p.entryCount)
	}
	return 1
}

// chooseEndpoint returns the endpoint with the lowest score, or nil if none can
// take the request. freeSlots is the number of free slots at all endpoints. A request that may use
// some regions only leaves its failure domain by the score alone.
func (p *Pool) chooseEndpoint(now time.Time, req *Request, freeSlots int) *endpointState {
	if p.locality != nil && req.Regions == nil {
		return p.chooseByLocality(now, req, freeSlots)
	}
	return p.chooseWithin(now, req, freeSlots, everywhere)
}

// chooseWithin is chooseEndpoint among the endpoints of a scope.
func (p *Pool) chooseWithin(now time.Time, req *Request, freeSlots int, within scope) *endpointState {
	var best *endpointState
	bestScore := 0.0
	unreportedWeight := p.unreportedWeight(freeSlots)
	claimed := 0.0
	if !req.Resumed {
		claimed = p.urgentClaim(now, req.Rank)
	}
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		if !p.regionAllows(endpoint.Region, req) {
			continue
		}
		if p.isElsewhere(endpoint, within) || !p.eligible(now, endpoint) || p.avoids(now, endpoint, req) || slices.Contains(req.ExcludedEndpoints, id) || p.isOlderThan(now, endpoint, req.MinVersion) {
			continue
		}
		load := endpoint.load(now, &p.config, p.entryCount, unreportedWeight)
		closing := endpoint.closing(now, &p.config)
		if !p.rateLimitAllowsAfter(now, endpoint, claimed) || !p.coldAllows(now, endpoint) || !endpoint.quota.allows(now, endpoint, &p.config) || load >= p.capacity(endpoint) || (closing && now.Add(req.ExpectedServiceTime).After(endpoint.report.ClosesAt)) {
			continue
		}
		prefill := endpoint.prefillBacklog(&p.config, p.competingEntries(endpoint))
		if prefill > maxPrefillBacklog {
			continue
		}
		if within != everywhere && !p.inScope(now, req, endpoint, within) {
			continue
		}
		score := p.expectedDelay(now, req, endpoint, load, prefill, closing, within == everywhere, p.config.Rand.Float64())
		if best == nil || score < bestScore {
			best, bestScore = endpoint, score
		}
	}
	return best
}

// isOlderThan reports whether an endpoint has weights of an older version.
func (p *Pool) isOlderThan(now time.Time, endpoint *endpointState, version uint64) bool {
	return version > 0 && p.config.AgentReports && endpoint.loadedVersionAt(now, &p.config) < version
}
