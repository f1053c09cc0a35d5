package gateway

import (
	"fmt"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// RestingError reports an endpoint that asked for a pause after it had been chosen. The
// request was not sent.
type RestingError struct {
	EndpointID string
}

// Error implements error.
func (e *RestingError) Error() string {
	return fmt.Sprintf("endpoint %s has asked for a pause", e.EndpointID)
}

// recordRest records the pause that a response asks for.
func (g *Gateway) recordRest(service *service, attempt *endpointAttempt) {
	pause := attempt.metadata.Rest
	if pause <= 0 {
		return
	}
	now, began := time.Now(), false
	service.gate.Update(func(p *admission.Pool) {
		p.SetSuspended(g.suspendedTime())
		began = p.Rest(now, attempt.endpoint.ID, now.Add(pause))
	})
	if began {
		g.deps.Logger.Info("endpoint asks for a pause", "endpoint", attempt.endpoint.ID, "service", service.name, "for_ms", pause.Milliseconds())
	}
}

// checkRest returns *RestingError if an endpoint rests: the process may have stood still
// since the endpoint was chosen.
func (g *Gateway) checkRest(service *service, endpointID string) error {
	resting := false
	service.gate.Inspect(func(p *admission.Pool) { resting = p.Resting(time.Now(), endpointID) })
	if resting {
		return &RestingError{EndpointID: endpointID}
	}
	return nil
}

// suspendedTime returns how long the machine has been suspended since the start.
func (g *Gateway) suspendedTime() time.Duration {
	return max(g.deps.Now().Sub(g.startedAtBoot)-time.Since(g.startedAt), 0)
}
