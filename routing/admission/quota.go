package admission

import (
	"math"
	"time"
)

// quota limits how many of the free slots in a report this entry may use while
// requests wait at the entries: its share of the demand of all entries. Without
// it every entry would send to the same free slots, and an entry with many
// callers would get no more than one with few.
type quota struct {
	limited   bool
	remaining float64
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

// ranksPerPriority is the number of ranks per priority of an organisation.
const ranksPerPriority = 10

// Demand returns the total weight of the waiting requests.
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
func (p *Pool) setQuota(s *endpointState, r Report) {
	s.quota = quota{limited: r.Demand > 0}
	if !s.quota.limited {
		return
	}
	free := float64(max(s.Slots+p.config.Oversubscription-r.Running-r.Waiting, 0))
	s.quota.remaining = p.stochasticRound(free * p.demandShare(r.Demand) * quotaOvercommit)
}

// stochasticRound rounds up or down at random and preserves the mean.
func (p *Pool) stochasticRound(x float64) float64 {
	whole := math.Floor(x)
	if p.config.Rand.Float64() < x-whole {
		whole++
	}
	return whole
}

// allows reports whether the quota permits a further request.
func (q *quota) allows(now time.Time, s *endpointState, c *Config) bool {
	return !q.limited || q.remaining >= 1 || now.Sub(s.report.At) > c.MaxReportAge
}
