package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
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

// withdrawal returns why an endpoint may get no requests since it was chosen, empty if it may: the
// view may have changed, or the process have stood still.
func withdrawal(req *request, view *directory.View, endpoint *directory.Endpoint) admission.Unavailability {
	switch {
	case endpoint.Leaving:
		return admission.UnavailableLeaving
	case endpoint.Draining:
		return admission.UnavailableDraining
	case view.IsEvacuated(endpoint.FailureDomain):
		return admission.UnavailableEvacuated
	case !req.residency.allowed.Contains(endpoint.Region):
		return admission.UnavailableRegion
	}
	resting := false
	req.service.gate.Inspect(func(p *admission.Pool) { resting = p.Resting(time.Now(), endpoint.ID) })
	if resting {
		return admission.UnavailableResting
	}
	return ""
}

// isWithdrawn reports whether an attempt ended because its endpoint was withdrawn after the choice.
// Nothing was sent then.
func isWithdrawn(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) || errors.Is(err, ErrEndpointRemoved)
}

// requeues reports whether a request is queued again after an attempt that was withdrawn. It has
// failed nowhere, so that this takes no retry. Each time excludes one more endpoint.
func requeues(ctx context.Context, err error) bool {
	return ctx.Err() == nil && isWithdrawn(err)
}

// excludedEndpoints returns the IDs of the endpoints that must not get the request.
func (r *request) excludedEndpoints() []string {
	if len(r.withdrawnEndpointIDs) == 0 {
		return r.failedEndpointIDs
	}
	return slices.Concat(r.failedEndpointIDs, r.withdrawnEndpointIDs)
}
