package runner

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// racksPerDomain is the number of racks of a failure domain.
const racksPerDomain = 2

// location returns the place of a region's instances.
func location(region int) core.Location {
	return core.Location{
		Region:        fmt.Sprintf("region-%d", region+1),
		FailureDomain: fmt.Sprintf("region-%d-a", region+1),
	}
}

// place spreads instances over regions and racks in turn.
func place(number, regions int) core.Location {
	at := location(number % regions)
	at.Rack = fmt.Sprintf("%s-rack-%d", at.FailureDomain, 1+number/regions%racksPerDomain)
	return at
}
