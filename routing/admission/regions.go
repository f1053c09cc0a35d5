package admission

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxRestrictedClasses bounds the pairs of a rank and a set of regions whose arrivals are counted
// apart. Requests of others count as if they could use all regions.
const maxRestrictedClasses = 64

// restrictedClass is a rank with the key of a set of regions.
type restrictedClass struct {
	rank    int
	regions uint64
}

// restrictedArrivals is the arrival rate of a restrictedClass.
type restrictedArrivals struct {
	arrivalRate

	regions *core.RegionSet
}

// recordRestrictedArrival counts a request that may use some regions only.
func (p *Pool) recordRestrictedArrival(now time.Time, req *Request) {
	class := restrictedClass{rank: req.Rank, regions: req.Regions.Key()}
	arrivals := p.restrictedArrivals[class]
	if arrivals == nil {
		if len(p.restrictedArrivals) >= maxRestrictedClasses {
			p.forgetRestrictedArrivals(now)
		}
		if len(p.restrictedArrivals) >= maxRestrictedClasses {
			return
		}
		arrivals = &restrictedArrivals{regions: req.Regions}
		p.restrictedArrivals[class] = arrivals
	}
	arrivals.add(now)
}

// forgetRestrictedArrivals drops the classes without requests.
func (p *Pool) forgetRestrictedArrivals(now time.Time) {
	for class, arrivals := range p.restrictedArrivals {
		if arrivals.perSecond(now) == 0 && arrivals.count == 0 {
			delete(p.restrictedArrivals, class)
		}
	}
}

// competingArrivals estimates how many requests per second of more urgent ranks use slots in a set
// of regions: requests spread over the regions that they may use as the slots there become free.
func (p *Pool) competingArrivals(now time.Time, rank int, regions *core.RegionSet) float64 {
	total, restricted := 0.0, 0.0
	for other, arrivals := range p.arrivalsByRank {
		if other < rank {
			total += arrivals.perSecond(now)
		}
	}
	if regions == nil {
		return total
	}
	competing := 0.0
	for class, arrivals := range p.restrictedArrivals {
		if class.rank >= rank {
			continue
		}
		perSecond := arrivals.perSecond(now)
		restricted += perSecond
		if perSecond > 0 && arrivals.regions.Overlaps(regions) {
			competing += perSecond * p.releaseShare(now, regions.Intersect(arrivals.regions), arrivals.regions)
		}
	}
	return competing + max(total-restricted, 0)*p.releaseShare(now, regions, nil)
}

// releaseShare returns which part of the slots that become free in a set of regions does so in a
// part of it.
func (p *Pool) releaseShare(now time.Time, part, whole *core.RegionSet) float64 {
	rate := p.slotReleaseRate(now, whole)
	if rate == 0 {
		return 0
	}
	return p.slotReleaseRate(now, part) / rate
}

// reserveRegions keeps a request out of the regions for which requests that precede it wait.
// releaseRegions ends this.
func (p *Pool) reserveRegions(now time.Time, req *Request) {
	for _, other := range p.waiting {
		if other.Regions == nil || !p.before(now, other, req) || p.isReserved(other.Regions) {
			continue
		}
		if other.MinVersion <= p.minVersion || p.chooseEndpoint(now, other, p.freeSlots(now, other.Regions)) != nil {
			p.reserved = append(p.reserved, other.Regions)
		}
	}
}

func (p *Pool) isReserved(regions *core.RegionSet) bool {
	for _, reserved := range p.reserved {
		if reserved.Key() == regions.Key() {
			return true
		}
	}
	return false
}

func (p *Pool) releaseRegions() {
	p.reserved = p.reserved[:0]
}

// regionAllows reports whether a request may be sent to a region, and no request that precedes it
// waits for a slot there.
func (p *Pool) regionAllows(region string, req *Request) bool {
	if !req.Regions.Contains(region) {
		return false
	}
	for _, reserved := range p.reserved {
		if reserved.Contains(region) {
			return false
		}
	}
	return true
}

// unavailableTo counts the endpoints that get no requests of a set of regions now, by the reason.
func (p *Pool) unavailableTo(now time.Time, regions *core.RegionSet) UnavailableEndpoints {
	counts := make(UnavailableEndpoints)
	for _, endpoint := range p.endpoints {
		reason := p.unavailability(now, endpoint)
		switch {
		case !regions.Contains(endpoint.Region):
			reason = UnavailableRegion
		case reason == "" && !p.coldAllows(now, endpoint):
			reason = UnavailableColdLimited
		case reason == "" && !p.rateLimitAllows(now, endpoint):
			reason = UnavailableRateLimited
		}
		if reason != "" {
			counts[reason]++
		}
	}
	return counts
}

// waitingFor returns the number of waiting requests that may use a region of a set.
func (p *Pool) waitingFor(regions *core.RegionSet) int {
	if regions == nil {
		return len(p.waiting)
	}
	count := 0
	for _, req := range p.waiting {
		if req.Regions.Overlaps(regions) {
			count++
		}
	}
	return count
}
