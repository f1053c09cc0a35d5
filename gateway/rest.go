package gateway

import (
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// recordRest records the pause that a response asks for.
func (g *Gateway) recordRest(service *service, attempt *endpointAttempt) {
	pause := attempt.metadata.Rest
	if pause <= 0 {
		return
	}
	now, began := time.Now(), false
	service.gate.Update(func(p *admission.Pool) {
		p.SetSuspended(g.suspendedTime())
		began = p.Rest(now, incarnationOf(attempt.endpoint), now.Add(pause))
	})
	if began {
		g.deps.Logger.Info("endpoint asks for a pause", "endpoint", attempt.endpoint.ID, "service", service.name, "for_ms", pause.Milliseconds())
	}
}

// suspendedTime returns how long the machine has been suspended since the start.
func (g *Gateway) suspendedTime() time.Duration {
	return max(g.deps.Now().Sub(g.startedAtBoot)-time.Since(g.startedAt), 0)
}
