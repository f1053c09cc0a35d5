package routing

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
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
	// Exclude lists endpoints that were tried already.
	Exclude []core.InstanceID
}

// choice collects the endpoints that a request may go to.
type choice struct {
	count int
	index [scanLimit]int32
	load  [scanLimit]float64
	total float64
}

// Choose picks an endpoint with credit for the request. rnd is a random
// number that spreads equal choices. It looks at up to 64 endpoints that serve
// the target and does not allocate. ok is false when none can take the call
// now.
func Choose(t *Table, r Request, rnd uint64, now time.Time) (index int, ok bool) {
	targets := t.byTarget[targetOf(r.Service, r.Model.Model)]
	var c choice
	start := firstTarget(len(targets), &r, rnd)
	for k := range targets {
		if c.count == scanLimit {
			break
		}
		i := start + k
		if i >= len(targets) {
			i -= len(targets)
		}
		t.consider(&c, targets[i], &r, now)
	}
	if c.count == 0 {
		return 0, false
	}
	if r.Suspect {
		return t.idlest(&c)
	}
	if r.Prefix != 0 {
		if i, ok := t.affine(&c, &r); ok {
			return i, true
		}
	}
	return t.leastLoaded(&c, rnd), true
}

// firstTarget returns where the scan begins; calls with the same prefix see
// the same endpoints.
func firstTarget(n int, r *Request, rnd uint64) int {
	if n <= scanLimit {
		return 0
	}
	if r.Prefix != 0 {
		rnd = mix(r.Prefix)
	}
	hi, _ := bits.Mul64(rnd, uint64(n))
	return int(hi)
}

func (t *Table) consider(c *choice, i int32, r *Request, now time.Time) {
	e := &t.endpoints[i]
	if !t.usable(e, r, now) {
		return
	}
	sentAtRank := int(e.sent.calls[r.Rank].Load())
	if sentAtRank >= e.Credits[r.Rank] {
		return
	}
	load := float64(e.Running+e.queued[r.Rank]+e.sent.total()) / float64(max(e.Slots, 1))
	c.index[c.count] = i
	c.load[c.count] = load
	c.total += load
	c.count++
}

// usable reports whether the endpoint may get the request at all.
func (t *Table) usable(e *tableEndpoint, r *Request, now time.Time) bool {
	if e.Draining || e.Leaving || now.Sub(e.FreshAt) > t.config.StaleAfter {
		return false
	}
	return e.serves(r) && !slices.Contains(r.Exclude, e.ID)
}

func (e *tableEndpoint) serves(r *Request) bool {
	if e.Service != r.Service {
		return false
	}
	if r.Service != "" {
		return true
	}
	if e.Model.Model != r.Model.Model {
		return false
	}
	return r.Model.Manifest.IsZero() || e.Model == r.Model
}

// idlest returns the endpoint with the least load if it is nearly idle.
func (t *Table) idlest(c *choice) (int, bool) {
	best := 0
	for k := 1; k < c.count; k++ {
		if c.load[k] < c.load[best] {
			best = k
		}
	}
	return int(c.index[best]), c.load[best] <= idleLoad
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
		e := &t.endpoints[c.index[k]]
		score := prefixScore{
			local:  e.local,
			cached: slices.Contains(e.Prefixes, r.Prefix),
			hash:   mix(e.hash ^ r.Prefix),
		}
		if best < 0 || score.above(bestScore) {
			best = k
			bestScore = score
		}
	}
	if best < 0 {
		return 0, false
	}
	return int(c.index[best]), true
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
func (t *Table) leastLoaded(c *choice, rnd uint64) int {
	best := 0
	bestCost := math.Inf(1)
	for k := range c.count {
		e := &t.endpoints[c.index[k]]
		cost := c.load[k] + jitter(rnd, k)/float64(max(e.Slots, 1))
		if !e.local {
			cost += remotePenalty
		}
		if cost < bestCost {
			best = k
			bestCost = cost
		}
	}
	return int(c.index[best])
}

// jitter returns a number in [0, 1).
func jitter(rnd uint64, k int) float64 {
	const fractionBits = 53
	return float64(mix(rnd+uint64(k))>>(64-fractionBits)) / (1 << fractionBits)
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
