package scenario

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

const maxLargeOrganisations = 2

// Organisation is one of the organisations that call in a run.
type Organisation struct {
	ID core.OrganisationID
	// Token is the bearer token of its calls.
	Token string
	Large bool
}

// Callers returns the organisations of the scenario, the large ones first. At least
// one is small.
func (s *Scenario) Callers() []Organisation {
	large := min(maxLargeOrganisations, s.Fleet.Organisations-1)
	callers := make([]Organisation, s.Fleet.Organisations)
	for i := range callers {
		callers[i] = Organisation{
			ID:    core.OrganisationID(fmt.Sprintf("organisation-%d", i+1)),
			Token: fmt.Sprintf("local-token-%d", i+1),
			Large: i < large,
		}
	}
	return callers
}
