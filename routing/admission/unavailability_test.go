package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusals that don't tell why no endpoint was available.
func TestRefusalNamesWhyEndpointsAreUnavailable(t *testing.T) {
	p := enginePool(1, "closed", "draining", "outdated")
	p.SetEndpoints(at(0), []Endpoint{
		{ID: "closed", Slots: 4, LoadedVersion: 1},
		{ID: "draining", Slots: 4, LoadedVersion: 1, Draining: true},
		{ID: "outdated", Slots: 4, LoadedVersion: 1},
		{ID: "unreported", Slots: 4},
		{ID: "evacuated", Slots: 4, LoadedVersion: 1, Evacuated: true},
	})
	p.Report("closed", Report{ReceivedAt: at(0), LoadedVersion: 1, Closed: true})
	p.Report("outdated", Report{ReceivedAt: at(0)})
	decision := p.Submit(at(10), newRequest(at(10), 0))
	assert.Equal(t, decision.Verdict, Refuse)
	assert.Equal(t, decision.Unavailable.String(), "closed 1, draining 1, evacuated 1, outdated 1, unreported 1")
}

func TestEndpointWithAnExhaustedRateLimitIsUnavailable(t *testing.T) {
	p := plainPool("a", "b")
	announce(p, at(0), 1)
	p.Submit(at(1), newRequest(at(1), 0))
	assert.Equal(t, p.Unavailable(at(1)).String(), "rate_limited 1")
	assert.Equal(t, len(p.Unavailable(at(1100))), 0)
}
