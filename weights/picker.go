package weights

import (
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
	// watched lists the neighbours, as of the last Neighbours.
	watched []core.InstanceID
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
	regions       map[string]*regionState
	origin, store sourceState
	progress      time.Time // When a chunk was last new to the neighbourhood.
	// resortUntil ends the time in which the origin is drawn on at once
	// when no other region can be reached.
	resortUntil time.Time
}

// NewPicker returns a Picker for a transfer that starts at now with no
// chunks.
func NewPicker(cfg PickerConfig, now time.Time) *Picker {
	cfg.setDefaults()
	p := &Picker{
		cfg:       cfg,
		seed:      hashName(cfg.Seed, string(cfg.Self.ID)),
		chunks:    make([]chunkState, cfg.Chunks),
		left:      cfg.Chunks,
		peers:     make(map[core.InstanceID]*pickerPeer),
		regions:   make(map[string]*regionState),
		orders:    make([]fetcherOrder, cfg.Chunks),
		ties:      make([]uint64, cfg.Chunks),
		waiting:   newBitset(cfg.Chunks),
		requested: newBitset(cfg.Chunks),
		progress:  now,
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
	var region []core.InstanceID
	for id, name := range listed {
		targets = append(targets, Target{ID: id, Region: name})
		if name == p.cfg.Self.Region {
			region = append(region, id)
		}
	}
	p.ranked = rankNeighbours(manifestKey(p.cfg.Manifest), p.cfg.Self.ID, region)
	p.layout = NewLayout(p.cfg.Manifest, p.cfg.OriginRegion, p.cfg.OriginFetchers, targets)
	for _, region := range p.layout.regions {
		if p.regions[region] == nil {
			p.regions[region] = &regionState{}
		}
	}
	p.fetchers = p.fetchers[:0]
	for _, c := range p.layout.fetchers[p.cfg.Self.Region] {
		p.fetchers = append(p.fetchers, p.peers[c.id])
	}
	for i := range p.orders {
		p.orders[i] = p.layout.order(p.cfg.Self.Region, i)
	}
}

// Neighbours returns the peers to watch: a bounded choice of the own region
// and, for a fetcher, the region's other fetchers. Peers that are up stay
// chosen; lost ones are left out for a while.
func (p *Picker) Neighbours(now time.Time) []core.InstanceID {
	p.watched = p.watched[:0]
	chosen := 0
	for _, id := range p.ranked {
		peer := p.peers[id]
		peer.watched = peer.up
		if peer.up {
			p.watched = append(p.watched, id)
			chosen++
		}
	}
	fetcher := p.layout.IsFetcher(p.cfg.Self.Region, p.cfg.Self.ID)
	for _, id := range p.ranked {
		peer := p.peers[id]
		if peer.watched || now.Before(peer.downUntil) {
			continue
		}
		needed := fetcher && p.layout.IsFetcher(p.cfg.Self.Region, id)
		if !needed && (chosen >= p.cfg.Neighbours || len(p.watched) >= maxNeighbourFactor*p.cfg.Neighbours) {
			continue
		}
		peer.watched = true
		if peer.mayFetch(now, p.cfg.StartGrace) {
			chosen++
		}
		p.watched = append(p.watched, id)
	}
	return p.watched
}

// Left returns the number of chunks that are not stored yet.
func (p *Picker) Left() int {
	return p.left
}
