package admission

import (
	"math"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxExpectedWait bounds the expected wait that callers are given, whose requests
// last a few seconds.
const maxExpectedWait = 5 * time.Second

// blockedByWaiting reports whether a request that precedes this one is waiting for the same slots.
// One that waits for newer weights leaves the slots to others that it can't use, and one that
// may use some regions only blocks just these (reserveRegions).
func (p *Pool) blockedByWaiting(now time.Time, req *Request) bool {
	for _, other := range p.waiting {
		if other.Regions == nil && p.before(now, other, req) && (other.MinVersion <= p.minVersion || p.chooseEndpoint(now, other, p.freeSlots(now, nil)) != nil) {
			return true
		}
	}
	return false
}

// slotReleaseRate estimates how many slots per second become free for this entry in a set of
// regions.
func (p *Pool) slotReleaseRate(now time.Time, regions *core.RegionSet) float64 {
	if own := p.ownReleaseRate(now); own > 0 && regions == nil {
		return own
	}
	total := 0.0
	for _, endpoint := range p.endpoints {
		if !regions.Contains(endpoint.Region) || !p.eligible(now, endpoint) {
			continue
		}
		rate := float64(endpoint.Slots) / endpoint.slowdown(now) / p.meanServiceTime.Seconds() / float64(p.entryCount)
		if limited, ok := p.limitedRate(endpoint); ok {
			rate = min(rate, limited)
		}
		if p.isCold(now, endpoint) {
			rate = min(rate, p.cold.share.PerSecond)
		}
		total += rate
	}
	return total
}

// expectedWait estimates how long a request waits, from the number of requests that
// precede it and the rate in slots per second at which slots become free.
func (p *Pool) expectedWait(now time.Time, req *Request, releaseRate float64) time.Duration {
	if releaseRate == 0 {
		if wait, reason := p.earliestReturn(now, req.Regions); reason != "" {
			return wait
		}
		return maxExpectedWait
	}
	ahead := 1
	for _, other := range p.waiting {
		if other.Regions.Overlaps(req.Regions) && p.before(now, other, req) {
			ahead++
		}
	}
	ahead = p.aheadWithOffers(now, req, ahead, releaseRate)
	wait := queueWait(ahead, p.spareRate(now, releaseRate, req.Rank, req.Regions))
	if !now.Add(wait).After(req.SoftDeadline) || req.goesFirst() {
		return wait
	}
	// The request will be late, and then follows all requests that are on time,
	// including those that have not arrived yet.
	return queueWait(p.aheadWithOffers(now, req, p.waitingFor(req.Regions)+1, releaseRate), p.spareRate(now, releaseRate, maxRank, req.Regions))
}

// maxRank is greater than every rank.
const maxRank = math.MaxInt

// minSpareShare is the minimum share of the slot release rate that more urgent
// ranks must leave; below it less urgent ranks are assumed to get none.
const minSpareShare = 0.05

// spareRate returns how many slots per second the more urgent ranks leave free in a set of
// regions.
func (p *Pool) spareRate(now time.Time, releaseRate float64, rank int, regions *core.RegionSet) float64 {
	spare := releaseRate - p.competingArrivals(now, rank, regions)
	if spare <= minSpareShare*releaseRate {
		return 0
	}
	return spare
}

// queueWait returns how long the last of n requests waits.
func queueWait(n int, slotsPerSecond float64) time.Duration {
	if slotsPerSecond <= 0 {
		return maxExpectedWait
	}
	return min(time.Duration(float64(n)/slotsPerSecond*float64(time.Second)), maxExpectedWait)
}

// recordArrival counts a request in the arrival rate of its rank.
func (p *Pool) recordArrival(now time.Time, req *Request) {
	rate := p.arrivalsByRank[req.Rank]
	if rate == nil {
		rate = &arrivalRate{}
		p.arrivalsByRank[req.Rank] = rate
	}
	rate.add(now)
	if req.Regions != nil {
		p.recordRestrictedArrival(now, req)
	}
}

// before reports whether a precedes b in the queue. The criteria in order are class,
// rank, client retry, usage of the organisation, and arrival time.
func (p *Pool) before(now time.Time, a, b *Request) bool {
	if classA, classB := a.class(now), b.class(now); classA != classB {
		return classA < classB
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.ClientRetry != b.ClientRetry {
		return a.ClientRetry
	}
	if a.Organisation != b.Organisation {
		if usageA, usageB := p.usage[a.Organisation], p.usage[b.Organisation]; usageA != usageB {
			return usageA < usageB
		}
	}
	return a.ArrivedAt.Before(b.ArrivedAt)
}

// Assignment is a waiting request that was given a slot, or is refused.
type Assignment struct {
	Request    *Request
	EndpointID string
	Estimate   LoadEstimate
	// Refused says that no endpoint can serve the request. Dispatch refuses none.
	Refused bool
}

// Dispatch starts waiting requests while slots are free.
func (p *Pool) Dispatch(now time.Time) []Assignment {
	var assignments []Assignment
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(a, b *Request) int {
		switch {
		case p.before(now, a, b):
			return -1
		case p.before(now, b, a):
			return 1
		default:
			return 0
		}
	})
	freeSlots := p.freeSlots(now, nil)
	stillWaiting := p.waiting[:0]
	for _, req := range p.waiting {
		p.setPosition(len(stillWaiting) + 1)
		freeForRequest := freeSlots
		if req.Regions != nil {
			freeForRequest = p.freeSlots(now, req.Regions)
		}
		endpoint := p.chooseEndpoint(now, req, freeForRequest)
		if endpoint == nil {
			stillWaiting = append(stillWaiting, req)
			continue
		}
		assignments = append(assignments, Assignment{Request: req, EndpointID: endpoint.ID, Estimate: p.loadEstimate(now, endpoint, freeForRequest)})
		p.start(now, endpoint, req)
		freeSlots = p.freeSlots(now, nil)
	}
	p.waiting = stillWaiting
	p.setPosition(0)
	return assignments
}

// Remove removes a waiting request and reports whether it was waiting.
func (p *Pool) Remove(requestID uint64) bool {
	i := slices.IndexFunc(p.waiting, func(req *Request) bool { return req.ID == requestID })
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}
