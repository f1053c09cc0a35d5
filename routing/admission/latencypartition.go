package admission

import (
	"slices"
	"time"
)

// latencyPartition is the part of the endpoints that is preferred for
// latency-critical requests and avoided by others: long prompts would each delay
// their first event by a pass. Its size follows the share of latency-critical
// work. Every entry selects the same endpoints, separately in each region,
// without coordination.
type latencyPartition struct {
	// criticalWork and totalWork are the decayed work of latency-critical requests
	// and of all requests, in slot seconds.
	criticalWork, totalWork float64
	decayedAt               time.Time
	// position maps an endpoint's ID to its position in its region, from 0 to 1.
	position map[string]float64
}

const (
	// workHalfLife is the time after which the recorded work is halved.
	workHalfLife = 2 * time.Second
	// partitionHeadroom is the ratio of the partition's size to its share of the
	// work, so that it usually has a free slot.
	partitionHeadroom = 1.4
	// maxPartitionShare bounds the share of the endpoints in the partition.
	maxPartitionShare = 0.6
)

// setEndpoints sets the positions of the endpoints in their regions.
func (p *latencyPartition) setEndpoints(endpoints []Endpoint) {
	regions := make(map[string][]string)
	for _, e := range endpoints {
		regions[e.Region] = append(regions[e.Region], e.ID)
	}
	p.position = make(map[string]float64, len(endpoints))
	for _, ids := range regions {
		slices.Sort(ids)
		for i, id := range ids {
			p.position[id] = (float64(i) + 0.5) / float64(len(ids))
		}
	}
}

// add records the expected work of a request that starts.
func (p *latencyPartition) add(now time.Time, req *Request) {
	if now.Sub(p.decayedAt) >= workHalfLife {
		p.criticalWork /= 2
		p.totalWork /= 2
		p.decayedAt = now
	}
	work := req.ExpectedServiceTime.Seconds()
	p.totalWork += work
	if req.LatencyCritical {
		p.criticalWork += work
	}
}

// contains reports whether an endpoint belongs to the partition.
func (p *latencyPartition) contains(endpointID string) bool {
	if p.totalWork == 0 || p.criticalWork == p.totalWork {
		return false
	}
	return p.position[endpointID] < min(partitionHeadroom*p.criticalWork/p.totalWork, maxPartitionShare)
}
