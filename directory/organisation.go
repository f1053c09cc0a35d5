package directory

import "github.com/snipestep/snipestep/core"

// Organisation is a group of callers that share keys and a priority.
type Organisation struct {
	ID core.OrganisationID
	// Priority is valid only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions in which requests of the organisation may be served, nil for all.
	Regions *core.RegionSet
}
