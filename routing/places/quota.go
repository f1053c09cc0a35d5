package places

import (
	"math"
	"time"
)

// quota bounds how many of the free places that a report shows this entry may
// take while requests wait at the entries: its share of what waits everywhere.
// Without a bound every entry would send to the same free places, and an entry
// with many callers would get no more than one with few.
type quota struct {
	limited bool
	left    float64
}

const (
	// quotaBoost is how many entries on average take one free place: with 1
	// more than a third of the places would be left to the next report.
	quotaBoost = 1.5
	// rankHalf is the number of ranks over which the weight of a waiting
	// request halves.
	rankHalf = 1.0
)

// weight is what a waiting request counts for in the demand.
func weight(a *Ask) float64 {
	const most = 8 // The most urgent rank.
	return max(most*math.Pow(2, -float64(a.Rank%rankCycle)/rankHalf), 1)
}

// rankCycle is the number of ranks of one organisation's priority.
const rankCycle = 10

// Demand is what waits here, by the weights of the requests.
func (p *Pool) Demand() float64 {
	if !p.config.Reported {
		return 0
	}
	total := 0.0
	for _, a := range p.waiting {
		total += weight(a)
	}
	return total
}

// share is this entry's part of what waits at all entries.
func (p *Pool) share(total float64) float64 {
	own := max(p.Demand(), 1)
	return own / max(total, own)
}

// setQuota takes the share of the free places that a report shows.
func (p *Pool) setQuota(s *state, r Report) {
	s.quota = quota{limited: r.Demand > 0}
	if !s.quota.limited {
		return
	}
	free := float64(max(s.Slots+p.config.Overfill-r.Running-r.Waiting, 0))
	s.quota.left = p.round(free * p.share(r.Demand) * quotaBoost)
}

// round rounds up or down by chance, so that the mean stays.
func (p *Pool) round(x float64) float64 {
	whole := math.Floor(x)
	if p.config.Rand.Float64() < x-whole {
		whole++
	}
	return whole
}

// allows reports whether a place may be taken by the quota.
func (q *quota) allows(now time.Time, s *state, c *Config) bool {
	return !q.limited || q.left >= 1 || now.Sub(s.report.At) > c.ReportAge
}
