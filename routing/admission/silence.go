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
// for a while, as when their instance is frozen. Of an agent that has died alone the endpoint still
// responds.
func (p *Pool) unresponsive(now time.Time, endpoint *endpointState) bool {
	return endpoint.agentSilent(now, &p.config) && now.Sub(endpoint.respondedAt) > livenessWindow && !p.pausedLately(now)
}

// Unresponsive reports whether an endpoint seems to stand still.
func (p *Pool) Unresponsive(now time.Time, endpointID string) bool {
	endpoint := p.endpoints[endpointID]
	return endpoint != nil && p.unresponsive(now, endpoint)
}

// awaitsResponse reports whether an endpoint is unresponsive and has a request of this entry, whose
// response tells whether it may get more.
func (p *Pool) awaitsResponse(now time.Time, endpoint *endpointState) bool {
	return len(endpoint.inFlight) > 0 && p.unresponsive(now, endpoint)
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
