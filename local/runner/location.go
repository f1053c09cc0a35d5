package runner

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

const racksPerFailureDomain = 2

// regionLocation returns the location of a region's instances, without a rack.
func regionLocation(region int) core.Location {
	return core.Location{
		Region:        fmt.Sprintf("region-%d", region+1),
		FailureDomain: fmt.Sprintf("region-%d-a", region+1),
	}
}

// instanceLocation distributes instances over regions and racks by round robin.
func instanceLocation(index, regions int) core.Location {
	location := regionLocation(index % regions)
	location.Rack = fmt.Sprintf("%s-rack-%d", location.FailureDomain, 1+index/regions%racksPerFailureDomain)
	return location
}
