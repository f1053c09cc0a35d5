package weights

import (
	"cmp"
	"slices"

	"github.com/snipestep/snipestep/core"
)

// MaxFetchers is the number of instances of a region among which its first
// fetchers are chosen.
const MaxFetchers = 8

// fetcherOrder holds places of fetchers, in the order of a chunk.
type fetcherOrder [MaxFetchers]uint8

// Layout derives from the targets which instances fetch a chunk from the
// origin and across region links. Every instance with the same targets gets
// the same layout. A Layout is immutable.
type Layout struct {
	originRegion string
	// drawers is the number of a region's fetchers that draw the chunks which
	// the region is the first to hold.
	drawers  int
	regions  []string // Sorted.
	chains   [][]string
	fetchers map[string][]candidate
}

// NewLayout computes the layout of targets for the manifest. originFetchers is
// the number of instances that draw on the origin while none of them fails, 0
// for no bound but MaxFetchers a region.
func NewLayout(manifest core.Digest, originRegion string, originFetchers int, targets []Target) *Layout {
	l := &Layout{
		originRegion: originRegion,
		fetchers:     make(map[string][]candidate),
	}
	key := manifestKey(manifest)
	members := make(map[string][]candidate)
	for _, t := range targets {
		member := candidate{id: t.ID, hash: hashName(key, string(t.ID))}
		members[t.Region] = append(members[t.Region], member)
	}
	for region, list := range members {
		l.regions = append(l.regions, region)
		ordered := rendezvous(list, key)
		l.fetchers[region] = ordered[:min(MaxFetchers, len(ordered))]
	}
	slices.Sort(l.regions)
	if len(l.regions) > 0 {
		l.computeChains()
		l.drawers = l.drawersOf(originFetchers)
	}
	return l
}

// drawersOf divides the instances that draw on the origin among the regions
// that do.
func (l *Layout) drawersOf(originFetchers int) int {
	roots := len(l.regions)
	if len(l.fetchers[l.originRegion]) > 0 {
		roots = 1
	}
	if originFetchers <= 0 {
		return MaxFetchers
	}
	return min(max((originFetchers+roots-1)/roots, 1), MaxFetchers)
}

// Chain returns the regions in the order in which a chunk crosses region
// links. The first region draws it from the origin. The order rotates with
// the chunk, so that the links share the load. The result must not change.
func (l *Layout) Chain(chunk int) []string {
	return l.chains[chunk%len(l.chains)]
}

// computeChains fills chains with one period of the rotation.
func (l *Layout) computeChains() {
	period := len(l.regions) * max(1, len(l.regions)-1)
	for chunk := range period {
		l.chains = append(l.chains, l.chain(chunk))
	}
}

func (l *Layout) chain(chunk int) []string {
	root := l.root(chunk)
	others := make([]string, 0, len(l.regions))
	for _, region := range l.regions {
		if region != root {
			others = append(others, region)
		}
	}
	chain := append(make([]string, 0, len(l.regions)), root)
	for i := range others {
		chain = append(chain, others[(i+chunk)%len(others)])
	}
	return chain
}

// root is the region of the chunk's origin fetcher.
func (l *Layout) root(chunk int) string {
	if len(l.fetchers[l.originRegion]) > 0 {
		return l.originRegion
	}
	return l.regions[chunk%len(l.regions)]
}

// Fetchers returns the region's fetchers of a chunk, the first fetcher first.
func (l *Layout) Fetchers(region string, chunk int) []core.InstanceID {
	order := l.order(region, chunk)
	ids := make([]core.InstanceID, len(l.fetchers[region]))
	for i := range ids {
		ids[i] = l.fetchers[region][order[i]].id
	}
	return ids
}

// order returns the places in fetchers of the region's fetchers of a chunk,
// the first fetcher first. Those that draw on the origin go first where the
// region is the first to hold the chunk.
func (l *Layout) order(region string, chunk int) fetcherOrder {
	fetchers := l.fetchers[region]
	var scores [MaxFetchers]uint64
	var order fetcherOrder
	for i, c := range fetchers {
		scores[i] = hashPair(c.hash, uint64(chunk))
		order[i] = uint8(i)
	}
	byScore := func(a, b uint8) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	}
	first := 0
	if l.root(chunk) == region {
		first = min(l.drawers, len(fetchers))
	}
	slices.SortFunc(order[:first], byScore)
	slices.SortFunc(order[first:len(fetchers)], byScore)
	return order
}

// IsFetcher reports whether the instance is among the region's fetchers.
func (l *Layout) IsFetcher(region string, id core.InstanceID) bool {
	return slices.ContainsFunc(l.fetchers[region], func(c candidate) bool { return c.id == id })
}
