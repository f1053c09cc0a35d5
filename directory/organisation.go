package directory

import "github.com/snipestep/snipestep/core"

// Organisation is a group of callers that share keys and an urgency.
type Organisation struct {
	ID core.OrganisationID
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}
