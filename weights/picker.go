package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxNeighbourFactor bounds the peers watched in place of those that do not
// take part, in multiples of PickerConfig.Neighbours.
const maxNeighbourFactor = 3

// Picker decides which chunk to request from which source. Chunks that no
// neighbour holds are requested by the region's first fetchers, from the
// origin or across a region link; all others from neighbours, rarest first.
// A Picker is not safe for concurrent use.
type Picker struct {
	cfg    PickerConfig
	layout *Layout
	// seed is the instance's own hash key for ties.
	seed   uint64
	chunks []chunkState
	left   int // Chunks not stored.
	peers  map[core.InstanceID]*pickerPeer
	// ranked lists the peers of the own region by preference as neighbours.
	ranked []core.InstanceID
	// fetchers are the own region's fetchers; nil is the own instance.
	fetchers []*pickerPeer
	// able says which fetchers are able to fetch, as of the last Next.
	able [MaxFetchers]bool
	// orders holds for each chunk the places of fetchers.
	orders []fetcherOrder
	// ties breaks ties between chunks of equal rarity.
	ties []uint64
	// waiting and requested divide the chunks that are not stored.
	waiting, requested bitset

	peerFlights   int
	regionFlights map[string]int
	origin, store sourceState
	progress      time.Time // When a chunk was last new to the neighbourhood.
}

// NewPicker returns a Picker for a transfer that starts at now with no
// chunks.
func NewPicker(cfg PickerConfig, now time.Time) *Picker {
	cfg.setDefaults()
	p := &Picker{
		cfg:           cfg,
		seed:          hashName(cfg.Seed, string(cfg.Self.ID)),
		chunks:        make([]chunkState, cfg.Chunks),
		left:          cfg.Chunks,
		peers:         make(map[core.InstanceID]*pickerPeer),
		regionFlights: make(map[string]int),
		orders:        make([]fetcherOrder, cfg.Chunks),
		ties:          make([]uint64, cfg.Chunks),
		waiting:       newBitset(cfg.Chunks),
		requested:     newBitset(cfg.Chunks),
		progress:      now,
	}
	for i := range p.chunks {
		p.ties[i] = hashPair(p.seed, uint64(i))
		p.waiting.add(i)
	}
	p.SetTargets(now, nil)
	return p
}

// SetTargets replaces the targets; the own instance always counts as one. It
// reports whether anything changed. Requests to peers that are no longer
// targets end.
func (p *Picker) SetTargets(now time.Time, targets []Target) bool {
	listed := map[core.InstanceID]string{p.cfg.Self.ID: p.cfg.Self.Region}
	for _, t := range targets {
		if t.ID != p.cfg.Self.ID {
			listed[t.ID] = t.Region
		}
	}
	if p.layout != nil && !p.targetsDiffer(listed) {
		return false
	}
	for id, peer := range p.peers {
		if region, ok := listed[id]; !ok || region != peer.region {
			p.PeerDown(now, id)
			delete(p.peers, id)
		}
	}
	for id, region := range listed {
		if id != p.cfg.Self.ID && p.peers[id] == nil {
			p.peers[id] = &pickerPeer{region: region, since: now}
		}
	}
	p.rebuild(listed)
	return true
}

func (p *Picker) targetsDiffer(listed map[core.InstanceID]string) bool {
	if len(listed) != len(p.peers)+1 {
		return true
	}
	for id, peer := range p.peers {
		if region, ok := listed[id]; !ok || region != peer.region {
			return true
		}
	}
	return false
}

func (p *Picker) rebuild(listed map[core.InstanceID]string) {
	targets := make([]Target, 0, len(listed))
	ranked := make([]candidate, 0, len(listed))
	for id, region := range listed {
		targets = append(targets, Target{ID: id, Region: region})
		if id != p.cfg.Self.ID && region == p.cfg.Self.Region {
			ranked = append(ranked, candidate{id: id, hash: hashName(p.seed, string(id))})
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	p.ranked = p.ranked[:0]
	for _, c := range ranked {
		p.ranked = append(p.ranked, c.id)
	}
	p.layout = NewLayout(p.cfg.Manifest, p.cfg.OriginRegion, targets)
	p.fetchers = p.fetchers[:0]
	for _, c := range p.layout.fetchers[p.cfg.Self.Region] {
		p.fetchers = append(p.fetchers, p.peers[c.id])
	}
	for i := range p.orders {
		p.orders[i] = p.layout.order(p.cfg.Self.Region, i)
	}
}

// Neighbours returns the peers to watch: a bounded random choice of the own
// region and, for a fetcher, the region's other fetchers. Lost peers are left
// out for a while.
func (p *Picker) Neighbours(now time.Time) []core.InstanceID {
	fetcher := p.layout.IsFetcher(p.cfg.Self.Region, p.cfg.Self.ID)
	var ids []core.InstanceID
	chosen := 0
	for _, id := range p.ranked {
		peer := p.peers[id]
		peer.watched = false
		if now.Before(peer.downUntil) {
			continue
		}
		needed := fetcher && p.layout.IsFetcher(p.cfg.Self.Region, id)
		if !needed && (chosen >= p.cfg.Neighbours || len(ids) >= maxNeighbourFactor*p.cfg.Neighbours) {
			continue
		}
		peer.watched = true
		if peer.mayFetch(now, p.cfg.StartGrace) {
			chosen++
		}
		ids = append(ids, id)
	}
	return ids
}

// Left returns the number of chunks that are not stored yet.
func (p *Picker) Left() int {
	return p.left
}
