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
	// scanLimit is how many endpoints one choice looks at.
	scanLimit = 64
	// remotePenalty is added to the load of an endpoint in another region.
	remotePenalty = 0.5
	// affinityBound is the load, relative to the mean, up to which a
	// prompt prefix stays at its endpoint.
	affinityBound = 1.25
	// affinityFloor is the load up to which a prefix always stays.
	affinityFloor = 0.75
	// idleLoad is the greatest load of an endpoint that gets a suspect.
	idleLoad = 0.25
)

// Request says what an endpoint is needed for.
type Request struct {
	Rank core.Rank
	// Service names a plain service; empty for a model.
	Service string
	// Model names the model. A zero manifest matches every version.
	Model core.ModelRef
	// Prefix is the hash of the prompt's prefix, 0 for none.
	Prefix  uint64
	Suspect bool
	// Owed says that the caller has a part of the answer. Such a call may go
	// to a draining endpoint, which may be the last one with its version.
	Owed bool
	// Exclude lists endpoints that were tried already.
	Exclude []core.InstanceID
}

// choice collects the candidates that a request may go to.
type choice struct {
	count int
	at    [scanLimit]*candidate
	load  [scanLimit]float64
	total float64
}

// Choose picks an endpoint with credit for the request. rnd is a random
// number that spreads equal choices. It looks at up to 64 endpoints that serve
// the target and does not allocate. ok is false when none can take the call
// now.
func Choose(t *Table, r Request, rnd uint64, now time.Time) (index int, ok bool) {
	var c choice
	t.collect(&c, &r, rnd, now.UnixNano())
	if c.count == 0 {
		return 0, false
	}
	if r.Suspect {
		return c.idlest()
	}
	if r.Prefix != 0 {
		if i, ok := t.affine(&c, &r); ok {
			return i, true
		}
	}
	return c.leastLoaded(rnd), true
}

// collect fills c with the usable candidates that have credit.
func (t *Table) collect(c *choice, r *Request, rnd uint64, now int64) {
	candidates := t.candidates(r)
	version := r.version()
	start := firstCandidate(len(candidates), r, rnd)
	for k := range candidates {
		i := start + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		candidate := &candidates[i]
		if candidate.serves(version) && t.usable(candidate, r, now) {
			c.consider(candidate, r.Rank)
		}
		if c.count == scanLimit {
			return
		}
	}
}

// firstCandidate returns where the scan begins; calls with the same prefix
// see the same endpoints.
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

// usable reports whether the endpoint may get the request at all.
func (t *Table) usable(c *candidate, r *Request, now int64) bool {
	takes := c.usable || (r.Owed && c.draining)
	if !takes || now > c.staleAfter {
		return false
	}
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, t.endpoints[c.index].ID)
}

// consider adds a candidate if it has credit.
func (c *choice) consider(candidate *candidate, rank core.Rank) {
	sent := candidate.sent.load()
	if sent.of(rank) >= candidate.credits[rank] {
		return
	}
	load := candidate.load[rank] + float64(sent.total())*candidate.perCall
	c.at[c.count] = candidate
	c.load[c.count] = load
	c.total += load
	c.count++
}

// idlest returns the endpoint with the least load if it is nearly idle.
func (c *choice) idlest() (int, bool) {
	best := 0
	for k := 1; k < c.count; k++ {
		if c.load[k] < c.load[best] {
			best = k
		}
	}
	return int(c.at[best].index), c.load[best] <= idleLoad
}

// affine returns the endpoint for a prompt prefix: among those within the
// load bound, one that reports the prefix as cached, else the highest
// rendezvous hash; own region first.
func (t *Table) affine(c *choice, r *Request) (int, bool) {
	bound := math.Max(affinityBound*c.total/float64(c.count), affinityFloor)
	best := -1
	var bestScore prefixScore
	for k := range c.count {
		if c.load[k] > bound {
			continue
		}
		candidate := c.at[k]
		score := prefixScore{
			local:  candidate.local,
			cached: slices.Contains(t.endpoints[candidate.index].Prefixes, r.Prefix),
			hash:   splitmix.Next(candidate.hash ^ r.Prefix),
		}
		if best < 0 || score.above(bestScore) {
			best = k
			bestScore = score
		}
	}
	if best < 0 {
		return 0, false
	}
	return int(c.at[best].index), true
}

type prefixScore struct {
	local  bool
	cached bool
	hash   uint64
}

func (s prefixScore) above(other prefixScore) bool {
	if s.local != other.local {
		return s.local
	}
	if s.cached != other.cached {
		return s.cached
	}
	return s.hash > other.hash
}

// leastLoaded returns the endpoint with the least load; loads less than a
// slot apart are in random order, so that entries with the same reports do
// not all choose the same endpoint.
func (c *choice) leastLoaded(rnd uint64) int {
	best := 0
	bestCost := math.Inf(1)
	for k := range c.count {
		candidate := c.at[k]
		cost := c.load[k] + jitter(rnd, k)*candidate.perCall
		if !candidate.local {
			cost += remotePenalty
		}
		if cost < bestCost {
			best = k
			bestCost = cost
		}
	}
	return int(c.at[best].index)
}

// jitter returns a number in [0, 1).
func jitter(rnd uint64, k int) float64 {
	const fractionBits = 53
	return float64(splitmix.Next(rnd+uint64(k))>>(64-fractionBits)) / (1 << fractionBits)
}
