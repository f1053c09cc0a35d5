package weights

import (
	"cmp"
	"slices"

	"github.com/snipestep/snipestep/core"
)

// MaxFetchers is the largest number of a region's fetchers, the instances
// among which each chunk's primary fetcher is chosen.
const MaxFetchers = 8

// fetcherOrder holds indexes into a region's fetchers, the primary fetcher of
// a chunk first.
type fetcherOrder [MaxFetchers]uint8

// FetchPlan derives from the targets which instances fetch a chunk from the
// origin and across region links. Every instance computes the same plan from
// the same targets. A FetchPlan is immutable.
type FetchPlan struct {
	originRegion string
	// originFetchers is the number of a region's fetchers that fetch from the
	// origin the chunks whose chain starts in the region.
	originFetchers int
	regions        []string   // Sorted.
	chains         [][]string // One period of the rotation; see Chain.
	fetchers       map[string][]candidate
}

// NewFetchPlan computes the plan of targets for the manifest. originFetchers is
// the number of instances that fetch from the origin while none of them fails,
// 0 for no limit other than MaxFetchers per region.
func NewFetchPlan(manifest core.Digest, originRegion string, originFetchers int, targets []Target) *FetchPlan {
	plan := &FetchPlan{
		originRegion: originRegion,
		fetchers:     make(map[string][]candidate),
	}
	key := manifestKey(manifest)
	membersByRegion := make(map[string][]candidate)
	for _, t := range targets {
		member := candidate{id: t.ID, hash: hashName(key, string(t.ID))}
		membersByRegion[t.Region] = append(membersByRegion[t.Region], member)
	}
	for region, members := range membersByRegion {
		plan.regions = append(plan.regions, region)
		ordered := rendezvous(members, key)
		plan.fetchers[region] = ordered[:min(MaxFetchers, len(ordered))]
	}
	slices.Sort(plan.regions)
	if len(plan.regions) > 0 {
		plan.computeChains()
		plan.originFetchers = plan.divideOriginFetchers(originFetchers)
	}
	return plan
}

// divideOriginFetchers divides the instances that fetch from the origin among
// the regions where chains start.
func (p *FetchPlan) divideOriginFetchers(originFetchers int) int {
	rootRegions := len(p.regions)
	if len(p.fetchers[p.originRegion]) > 0 {
		rootRegions = 1
	}
	if originFetchers <= 0 {
		return MaxFetchers
	}
	return min(max((originFetchers+rootRegions-1)/rootRegions, 1), MaxFetchers)
}

// Chain returns the regions in the order in which a chunk crosses region
// links. The first region fetches it from the origin. The order rotates with
// the chunk, so that the links share the load. The caller must not modify the
// result.
func (p *FetchPlan) Chain(chunk int) []string {
	return p.chains[chunk%len(p.chains)]
}

// upstreamPosition returns the position in a chain of the region from which the one at a
// position fetches. Where the chains start in all regions in turn, each is only as long as one
// link: the start sends a copy to each other region, which costs its links and instances no
// more than chains would, and each hop would add up to a second. A single origin region would
// have to send all copies, so that the regions pass chunks on there.
func (p *FetchPlan) upstreamPosition(position int) int {
	if len(p.fetchers[p.originRegion]) > 0 {
		return position - 1
	}
	return 0
}

// computeChains fills chains with one period of the rotation.
func (p *FetchPlan) computeChains() {
	period := len(p.regions) * max(1, len(p.regions)-1)
	for chunk := range period {
		p.chains = append(p.chains, p.computeChain(chunk))
	}
}

func (p *FetchPlan) computeChain(chunk int) []string {
	root := p.rootRegion(chunk)
	others := make([]string, 0, len(p.regions))
	for _, region := range p.regions {
		if region != root {
			others = append(others, region)
		}
	}
	chain := append(make([]string, 0, len(p.regions)), root)
	for i := range others {
		chain = append(chain, others[(i+chunk)%len(others)])
	}
	return chain
}

// rootRegion returns the region that fetches the chunk from the origin.
func (p *FetchPlan) rootRegion(chunk int) string {
	if len(p.fetchers[p.originRegion]) > 0 {
		return p.originRegion
	}
	return p.regions[chunk%len(p.regions)]
}

// Fetchers returns the region's fetchers of a chunk, the primary fetcher first.
func (p *FetchPlan) Fetchers(region string, chunk int) []core.InstanceID {
	order := p.fetcherOrder(region, chunk)
	ids := make([]core.InstanceID, len(p.fetchers[region]))
	for i := range ids {
		ids[i] = p.fetchers[region][order[i]].id
	}
	return ids
}

// fetcherOrder returns the order of the region's fetchers for a chunk. In the
// chunk's root region the origin fetchers go first.
func (p *FetchPlan) fetcherOrder(region string, chunk int) fetcherOrder {
	fetchers := p.fetchers[region]
	var scores [MaxFetchers]uint64
	var order fetcherOrder
	for i, c := range fetchers {
		scores[i] = hashPair(c.hash, uint64(chunk))
		order[i] = uint8(i)
	}
	byScore := func(a, b uint8) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	}
	originFetchers := 0
	if p.rootRegion(chunk) == region {
		originFetchers = min(p.originFetchers, len(fetchers))
	}
	slices.SortFunc(order[:originFetchers], byScore)
	slices.SortFunc(order[originFetchers:len(fetchers)], byScore)
	return order
}

// IsFetcher reports whether the instance is among the region's fetchers.
func (p *FetchPlan) IsFetcher(region string, id core.InstanceID) bool {
	return slices.ContainsFunc(p.fetchers[region], func(c candidate) bool { return c.id == id })
}
