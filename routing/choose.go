package routing

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/splitmix"
)

const (
	// scanLimit bounds the endpoints that one call of Choose considers.
	scanLimit = 64
	// remotePenalty is added to the load, in calls per slot, of an endpoint in
	// another region.
	remotePenalty = 0.5
	// affinityBoundRatio is the load, relative to the mean, up to which a
	// prompt prefix stays at its endpoint.
	affinityBoundRatio = 1.25
	// affinityMinBound is the load up to which a prefix stays whatever the
	// mean.
	affinityMinBound = 0.75
	// maxIdleLoad is the greatest load of an endpoint that may get a suspect.
	maxIdleLoad = 0.25
)

// Request describes the call that needs an endpoint.
type Request struct {
	Rank core.Rank
	// Service names a plain service; empty for a model.
	Service string
	// Model names the model. A zero manifest matches every version.
	Model core.ModelRef
	// Prefix is the hash of the prompt's prefix, 0 for none.
	Prefix  uint64
	Suspect bool
	// Continuation marks a call whose caller already has a part of the answer.
	// It may go to a draining endpoint, which may be the last one with its
	// version.
	Continuation bool
	// Exclude lists endpoints that were already tried.
	Exclude []core.InstanceID
}

// candidateSet collects the candidates that a request may go to.
type candidateSet struct {
	count      int
	candidates [scanLimit]*candidate
	loads      [scanLimit]float64
	totalLoad  float64
}

// Choose picks an endpoint with credit for the request. rnd is a random
// number that breaks ties. Choose considers up to 64 endpoints that serve the
// target and does not allocate. ok is false when none can take the call now.
func Choose(t *Table, r Request, rnd uint64, now time.Time) (index int, ok bool) {
	var c candidateSet
	t.collect(&c, &r, rnd, now.UnixNano())
	if c.count == 0 {
		return 0, false
	}
	if r.Suspect {
		return c.leastLoadedIfIdle()
	}
	if r.Prefix != 0 {
		if i, ok := t.chooseByPrefix(&c, &r); ok {
			return i, true
		}
	}
	return c.leastLoaded(rnd), true
}

// collect fills c with the eligible candidates that have credit.
func (t *Table) collect(c *candidateSet, r *Request, rnd uint64, nowUnixNano int64) {
	candidates := t.candidates(r)
	version := r.version()
	start := firstCandidate(len(candidates), r, rnd)
	for k := range candidates {
		i := start + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		candidate := &candidates[i]
		if candidate.serves(version) && t.eligible(candidate, r, nowUnixNano) {
			c.addIfCredit(candidate, r.Rank)
		}
		if c.count == scanLimit {
			return
		}
	}
}

// firstCandidate returns where the scan starts. Calls with the same prefix
// scan the same endpoints.
func firstCandidate(n int, r *Request, rnd uint64) int {
	if n <= scanLimit {
		return 0
	}
	if r.Prefix != 0 {
		rnd = splitmix.Next(r.Prefix)
	}
	hi, _ := bits.Mul64(rnd, uint64(n))
	return int(hi)
}

// eligible reports whether the endpoint may get the request, apart from
// version and credit.
func (t *Table) eligible(c *candidate, r *Request, nowUnixNano int64) bool {
	accepts := c.acceptsNew || (r.Continuation && c.draining)
	if !accepts || nowUnixNano > c.staleAtUnixNano {
		return false
	}
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, t.endpoints[c.index].ID)
}

// addIfCredit adds a candidate that has credit left for the rank.
func (c *candidateSet) addIfCredit(candidate *candidate, rank core.Rank) {
	sent := candidate.sent.snapshot()
	if sent.of(rank) >= candidate.credits[rank] {
		return
	}
	load := candidate.load[rank] + float64(sent.total())*candidate.loadPerCall
	c.candidates[c.count] = candidate
	c.loads[c.count] = load
	c.totalLoad += load
	c.count++
}

// leastLoadedIfIdle returns the endpoint with the least load if that is at
// most maxIdleLoad.
func (c *candidateSet) leastLoadedIfIdle() (int, bool) {
	best := 0
	for k := 1; k < c.count; k++ {
		if c.loads[k] < c.loads[best] {
			best = k
		}
	}
	return int(c.candidates[best].index), c.loads[best] <= maxIdleLoad
}

// chooseByPrefix returns the endpoint for a prompt prefix: among those within
// the load bound, first the local region, then those that report the prefix as
// cached, then the highest rendezvous hash.
func (t *Table) chooseByPrefix(c *candidateSet, r *Request) (int, bool) {
	bound := math.Max(affinityBoundRatio*c.totalLoad/float64(c.count), affinityMinBound)
	best := -1
	var bestScore prefixScore
	for k := range c.count {
		if c.loads[k] > bound {
			continue
		}
		candidate := c.candidates[k]
		score := prefixScore{
			local:  candidate.local,
			cached: slices.Contains(t.endpoints[candidate.index].Prefixes, r.Prefix),
			hash:   splitmix.Next(candidate.idHash ^ r.Prefix),
		}
		if best < 0 || score.betterThan(bestScore) {
			best = k
			bestScore = score
		}
	}
	if best < 0 {
		return 0, false
	}
	return int(c.candidates[best].index), true
}

type prefixScore struct {
	local  bool
	cached bool
	hash   uint64
}

func (s prefixScore) betterThan(other prefixScore) bool {
	if s.local != other.local {
		return s.local
	}
	if s.cached != other.cached {
		return s.cached
	}
	return s.hash > other.hash
}

// leastLoaded returns the endpoint with the least load. Jitter of up to one
// call's load keeps entries with the same reports from all choosing the same
// endpoint.
func (c *candidateSet) leastLoaded(rnd uint64) int {
	best := 0
	bestCost := math.Inf(1)
	for k := range c.count {
		candidate := c.candidates[k]
		cost := c.loads[k] + jitter(rnd, k)*candidate.loadPerCall
		if !candidate.local {
			cost += remotePenalty
		}
		if cost < bestCost {
			best = k
			bestCost = cost
		}
	}
	return int(c.candidates[best].index)
}

// jitter returns a number in [0, 1).
func jitter(rnd uint64, k int) float64 {
	const fractionBits = 53
	return float64(splitmix.Next(rnd+uint64(k))>>(64-fractionBits)) / (1 << fractionBits)
}
