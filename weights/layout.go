package weights

import (
	"slices"

	"github.com/snipestep/snipestep/core"
)

// MaxFetchers is the number of instances of a region among which its first
// fetchers are chosen.
const MaxFetchers = 8

// Layout derives from the targets which instances fetch a chunk from the
// origin and across region links. Every instance with the same targets gets
// the same layout. A Layout is immutable.
type Layout struct {
	originRegion string
	regions      []string // Sorted.
	fetchers     map[string][]candidate
	sizes        map[string]int
}

// NewLayout computes the layout of targets for the manifest.
func NewLayout(manifest core.Digest, originRegion string, targets []Target) *Layout {
	l := &Layout{
		originRegion: originRegion,
		fetchers:     make(map[string][]candidate),
		sizes:        make(map[string]int),
	}
	key := manifestKey(manifest)
	members := make(map[string][]candidate)
	for _, t := range targets {
		member := candidate{id: t.ID, hash: hashName(key, string(t.ID))}
		members[t.Region] = append(members[t.Region], member)
	}
	for region, list := range members {
		l.regions = append(l.regions, region)
		l.sizes[region] = len(list)
		ordered := rendezvous(list, key)
		l.fetchers[region] = ordered[:min(MaxFetchers, len(ordered))]
	}
	slices.Sort(l.regions)
	return l
}

// Chain returns the regions in the order in which a chunk crosses region
// links. The first region draws it from the origin. The order rotates with
// the chunk, so that the links share the load.
func (l *Layout) Chain(chunk int) []string {
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
	ordered := rendezvous(l.fetchers[region], uint64(chunk))
	ids := make([]core.InstanceID, len(ordered))
	for i, c := range ordered {
		ids[i] = c.id
	}
	return ids
}

// IsFetcher reports whether the instance is among the region's fetchers.
func (l *Layout) IsFetcher(region string, id core.InstanceID) bool {
	return slices.ContainsFunc(l.fetchers[region], func(c candidate) bool { return c.id == id })
}
