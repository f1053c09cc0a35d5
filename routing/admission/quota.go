package admission

import (
	"math"
	"time"
)

// quota limits how many of the free slots in a report this entry may use while
// requests wait at the entries, to its share of the demand of all entries. Without
// a quota every entry would send to the same free slots, and an entry with many
// callers would get no more than one with few.
type quota struct {
	limited   bool    // Set while requests wait at any entry.
	remaining float64 // Requests that this entry may still send; valid if limited.
}

const (
	// quotaOvercommit is how many entries on average may use one free slot: with
	// 1, more than a third of the slots would stay free until the next report.
	quotaOvercommit = 1.5
	// ranksPerHalving is the number of ranks over which the weight of a waiting
	// request halves.
	ranksPerHalving = 1.0
)

// demandWeight is the weight of a waiting request in the demand.
func demandWeight(req *Request) float64 {
	const maxWeight = 8 // Weight of the most urgent rank.
	return max(maxWeight*math.Pow(2, -float64(req.Rank%ranksPerPriority)/ranksPerHalving), 1)
}

// ranksPerPriority is the number of ranks per priority of an organisation. The weight
// of a request depends only on its rank within that priority.
const ranksPerPriority = 10

// Demand returns the total weight of the waiting requests, 0 unless agents report
// the load.
func (p *Pool) Demand() float64 {
	if !p.config.AgentReports {
		return 0
	}
	total := 0.0
	for _, req := range p.waiting {
		total += demandWeight(req)
	}
	return total
}

// demandShare returns this entry's share of the demand of all entries.
func (p *Pool) demandShare(totalDemand float64) float64 {
	ownDemand := max(p.Demand(), 1)
	return ownDemand / max(totalDemand, ownDemand)
}

// setQuota sets the quota to this entry's share of the free slots in a report.
func (p *Pool) setQuota(endpoint *endpointState, report Report) {
	endpoint.quota = quota{limited: report.Demand > 0}
	if !endpoint.quota.limited {
		return
	}
	free := float64(max(endpoint.Slots+p.config.Oversubscription-report.Running-report.Waiting, 0))
	endpoint.quota.remaining = p.stochasticRound(free * p.demandShare(report.Demand) * quotaOvercommit)
}

// stochasticRound rounds up or down at random and preserves the mean.
func (p *Pool) stochasticRound(value float64) float64 {
	floor := math.Floor(value)
	if p.config.Rand.Float64() < value-floor {
		floor++
	}
	return floor
}

// allows reports whether the quota permits a further request.
func (q *quota) allows(now time.Time, endpoint *endpointState, config *Config) bool {
	return !q.limited || q.remaining >= 1 || now.Sub(endpoint.report.ReceivedAt) > config.MaxReportAge
}
