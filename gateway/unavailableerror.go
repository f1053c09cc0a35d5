package gateway

import (
	"fmt"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// UnavailableError reports an endpoint that has become unavailable since it was chosen. The
// request was not sent.
type UnavailableError struct {
	EndpointID string
	Reason     admission.Unavailability
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("endpoint %s is unavailable since it was chosen: %s", e.EndpointID, e.Reason)
}

// checkAvailable returns *UnavailableError for an endpoint that wants no requests: the process
// may have stood still since it was chosen.
func checkAvailable(service *service, endpoint *directory.Endpoint) error {
	switch {
	case endpoint.Leaving:
		return &UnavailableError{EndpointID: endpoint.ID, Reason: admission.UnavailableLeaving}
	case endpoint.Draining:
		return &UnavailableError{EndpointID: endpoint.ID, Reason: admission.UnavailableDraining}
	}
	resting := false
	service.gate.Inspect(func(p *admission.Pool) { resting = p.Resting(time.Now(), endpoint.ID) })
	if resting {
		return &UnavailableError{EndpointID: endpoint.ID, Reason: admission.UnavailableResting}
	}
	return nil
}
