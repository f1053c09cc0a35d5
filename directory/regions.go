package directory

import (
	"maps"
	"slices"

	"github.com/snipestep/snipestep/core"
)

// RegionsFor returns the regions to which the document limits the requests of a route and of an
// organisation, either of which may be nil; nil for all. Where both have a limit, both apply.
func RegionsFor(route *Route, organisation *Organisation) *core.RegionSet {
	var regions *core.RegionSet
	if route != nil {
		regions = route.Regions
	}
	if organisation != nil {
		regions = regions.Intersect(organisation.Regions)
	}
	return regions
}

// LimitedRegions returns the names of all regions to which the document limits requests, sorted.
func (d *Document) LimitedRegions() []string {
	names := make(map[string]bool)
	add := func(regions *core.RegionSet) {
		for _, name := range regions.Names() {
			names[name] = true
		}
	}
	for _, routes := range d.routesByHost {
		for _, r := range routes {
			add(r.Regions)
		}
	}
	for _, o := range d.OrganisationByKey {
		add(o.Regions)
	}
	return slices.Sorted(maps.Keys(names))
}
