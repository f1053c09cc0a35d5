package admission

import "time"

// maxTickGap is the time between two calls of Tick above which the process counts as paused. They are
// 0.1 s apart.
const maxTickGap = 300 * time.Millisecond

// Tick is called every 0.1 s. A gap shows that the process itself was paused: reports that have
// arrived meanwhile are still to be read.
func (p *Pool) Tick(now time.Time) {
	if !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > maxTickGap {
		p.resumedAt = now
	}
	p.tickedAt = now
}

// pausedLately reports whether silence may be due to a pause of the process itself.
func (p *Pool) pausedLately(now time.Time) bool {
	if p.tickedAt.IsZero() {
		return false
	}
	return now.Sub(p.tickedAt) > maxTickGap || now.Sub(p.resumedAt) < agentSilenceTimeout
}

// unresponsive reports whether neither the agent of an endpoint nor the endpoint itself has been heard
// for a while, as when their instance is frozen. An endpoint whose agent alone has died still responds.
func (p *Pool) unresponsive(now time.Time, endpoint *endpointState) bool {
	if !endpoint.agentSilent(now, &p.config) || now.Sub(endpoint.respondedAt) <= livenessWindow {
		return false
	}
	return now.Sub(endpoint.probeAnsweredAt) > probeValidity && !p.pausedLately(now)
}

// Unresponsive reports whether an endpoint seems to stand still.
func (p *Pool) Unresponsive(now time.Time, endpointID string) bool {
	endpoint := p.endpoints[endpointID]
	return endpoint != nil && p.unresponsive(now, endpoint)
}

// mayBeTried reports whether an unresponsive endpoint may get a request all the same, whose response
// tells whether it may get more. That puts a caller at risk, and is done only if nothing else tells.
func (p *Pool) mayBeTried(endpoint *endpointState) bool {
	return !p.config.ProbesEndpoints && len(endpoint.inFlight) == 0
}

// avoids reports whether a request is not to try an unresponsive endpoint: its caller has waited at
// another endpoint already.
func (p *Pool) avoids(now time.Time, endpoint *endpointState, req *Request) bool {
	return (req.Resumed || req.Moved) && p.unresponsive(now, endpoint)
}

const (
	// probeValidity is how long the answer to a probe counts. Each entry probes an idle endpoint whose
	// agent has died that often.
	probeValidity = 2 * time.Second
	// minProbeInterval and maxProbeInterval bound the time between two probes of an endpoint that does
	// not answer, which doubles: the first lost answer costs little of the endpoint's capacity, and a
	// frozen instance is told by its agent when it goes on.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// DueProbes returns the endpoints that are to be probed now: those that get no requests only because they
// are unresponsive. Answers are passed to RecordProbeAnswer.
func (p *Pool) DueProbes(now time.Time) []string {
	if !p.config.ProbesEndpoints {
		return nil
	}
	var due []string
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		if now.Sub(endpoint.probedAt) < endpoint.probeInterval || p.unavailability(now, endpoint) != UnavailableUnresponsive {
			continue
		}
		endpoint.probedAt = now
		endpoint.probeInterval = min(max(2*endpoint.probeInterval, minProbeInterval), maxProbeInterval)
		due = append(due, id)
	}
	return due
}

// RecordProbeAnswer records that an endpoint has answered a probe.
func (p *Pool) RecordProbeAnswer(now time.Time, endpointID string) {
	if endpoint := p.endpoints[endpointID]; endpoint != nil {
		endpoint.probeAnsweredAt = now
		endpoint.probeInterval = 0
	}
}

// AgentSilent reports whether the agent of an endpoint has stopped sending reports.
func (p *Pool) AgentSilent(now time.Time, endpointID string) bool {
	endpoint := p.endpoints[endpointID]
	return endpoint != nil && endpoint.agentSilent(now, &p.config)
}

// AtSilentAgents returns the number of this entry's requests at endpoints whose agents have stopped
// sending reports.
func (p *Pool) AtSilentAgents(now time.Time) int {
	requests := 0
	for _, endpoint := range p.endpoints {
		if endpoint.agentSilent(now, &p.config) {
			requests += len(endpoint.inFlight)
		}
	}
	return requests
}
