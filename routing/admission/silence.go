package admission

import "time"

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
