package weights

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxNeighbourFactor limits the watched peers, including the substitutes for
// those that do not connect, in multiples of PickerConfig.Neighbours.
const maxNeighbourFactor = 3

// Picker decides which chunk to request from which source. Chunks that no
// neighbour holds are requested by the region's fetchers, from the origin or
// across a region link; all others from neighbours, rarest first.
// A Picker is not safe for concurrent use.
type Picker struct {
	cfg  PickerConfig
	plan *FetchPlan
	// seed is the hash key of tieBreaks; it differs between instances.
	seed      uint64
	chunks    []chunkState
	remaining int // Chunks not stored.
	peers     map[core.InstanceID]*pickerPeer
	// ranked lists the peers of the local region by preference as neighbours.
	ranked []core.InstanceID
	// watched is the result of the last call of Neighbours.
	watched []core.InstanceID
	// fetchers are the local region's fetchers; nil is the instance itself.
	fetchers []*pickerPeer
	// fetcherAvailable marks the fetchers that were able to fetch at the last
	// call of Next.
	fetcherAvailable [MaxFetchers]bool
	// fetcherOrders holds the order of fetchers for each chunk.
	fetcherOrders []fetcherOrder
	// tieBreaks orders chunks of equal rarity.
	tieBreaks []uint64
	// waiting and requested hold the chunks that are not stored, without and
	// with requests in flight.
	waiting, requested bitset

	neighbourInFlight int // Requests to neighbours.
	regions           map[string]*regionState
	origin, store     sourceState
	lastProgress      time.Time // When a chunk was last seen for the first time.
	// takeoverBlockedUntil ends the period in which this instance does not fetch from the
	// origin on behalf of other fetchers.
	takeoverBlockedUntil time.Time
	// originFallbackUntil ends the period in which the origin is used without
	// delay when no other region can be reached.
	originFallbackUntil time.Time
}

// NewPicker returns a Picker for a transfer that starts at now without chunks.
func NewPicker(cfg PickerConfig, now time.Time) *Picker {
	cfg.setDefaults()
	p := &Picker{
		cfg:           cfg,
		seed:          hashName(cfg.Seed, string(cfg.Self.ID)),
		chunks:        make([]chunkState, cfg.Chunks),
		remaining:     cfg.Chunks,
		peers:         make(map[core.InstanceID]*pickerPeer),
		regions:       make(map[string]*regionState),
		fetcherOrders: make([]fetcherOrder, cfg.Chunks),
		tieBreaks:     make([]uint64, cfg.Chunks),
		waiting:       newBitset(cfg.Chunks),
		requested:     newBitset(cfg.Chunks),
		lastProgress:  now,
	}
	for i := range p.chunks {
		p.tieBreaks[i] = hashPair(p.seed, uint64(i))
		p.waiting.add(i)
	}
	p.SetTargets(now, nil)
	return p
}

// SetTargets replaces the targets; the instance itself always counts as one. It
// reports whether anything changed. Requests to peers that are no longer
// targets end.
func (p *Picker) SetTargets(now time.Time, targets []Target) bool {
	regionByID := map[core.InstanceID]string{p.cfg.Self.ID: p.cfg.Self.Region}
	for _, t := range targets {
		if t.ID != p.cfg.Self.ID {
			regionByID[t.ID] = t.Region
		}
	}
	if p.plan != nil && !p.targetsDiffer(regionByID) {
		return false
	}
	for id, peer := range p.peers {
		if region, ok := regionByID[id]; !ok || region != peer.region {
			p.PeerDown(now, id)
			delete(p.peers, id)
		}
	}
	for id, region := range regionByID {
		if id != p.cfg.Self.ID && p.peers[id] == nil {
			p.peers[id] = &pickerPeer{region: region, targetSince: now}
		}
	}
	p.rebuildPlan(regionByID)
	return true
}

func (p *Picker) targetsDiffer(regionByID map[core.InstanceID]string) bool {
	if len(regionByID) != len(p.peers)+1 {
		return true
	}
	for id, peer := range p.peers {
		if region, ok := regionByID[id]; !ok || region != peer.region {
			return true
		}
	}
	return false
}

func (p *Picker) rebuildPlan(regionByID map[core.InstanceID]string) {
	targets := make([]Target, 0, len(regionByID))
	var members []core.InstanceID
	for id, region := range regionByID {
		targets = append(targets, Target{ID: id, Region: region})
		if region == p.cfg.Self.Region {
			members = append(members, id)
		}
	}
	p.ranked = rankNeighbours(manifestKey(p.cfg.Manifest), p.cfg.Self.ID, members)
	p.plan = NewFetchPlan(p.cfg.Manifest, p.cfg.OriginRegion, p.cfg.OriginFetchers, targets)
	for _, region := range p.plan.regions {
		if p.regions[region] == nil {
			p.regions[region] = &regionState{}
		}
	}
	p.fetchers = p.fetchers[:0]
	for _, c := range p.plan.fetchers[p.cfg.Self.Region] {
		p.fetchers = append(p.fetchers, p.peers[c.id])
	}
	for i := range p.fetcherOrders {
		p.fetcherOrders[i] = p.plan.fetcherOrder(p.cfg.Self.Region, i)
	}
}

// Neighbours returns the peers to watch: a bounded selection from the local
// region and, for a fetcher, the region's other fetchers. Connected peers stay
// selected; lost ones are excluded during their backoff.
func (p *Picker) Neighbours(now time.Time) []core.InstanceID {
	p.watched = p.watched[:0]
	responsive := 0 // Selected peers that are connected or may still connect.
	for _, id := range p.ranked {
		peer := p.peers[id]
		peer.watched = peer.up
		if peer.up {
			p.watched = append(p.watched, id)
			responsive++
		}
	}
	selfIsFetcher := p.plan.IsFetcher(p.cfg.Self.Region, p.cfg.Self.ID)
	for _, id := range p.ranked {
		peer := p.peers[id]
		if peer.watched || now.Before(peer.downUntil) {
			continue
		}
		bothFetchers := selfIsFetcher && p.plan.IsFetcher(p.cfg.Self.Region, id)
		if !bothFetchers && (responsive >= p.cfg.Neighbours || len(p.watched) >= maxNeighbourFactor*p.cfg.Neighbours) {
			continue
		}
		peer.watched = true
		if peer.availableAsFetcher(now, p.cfg.JoinGrace) {
			responsive++
		}
		p.watched = append(p.watched, id)
	}
	return p.watched
}

// Remaining returns the number of chunks that are not stored yet.
func (p *Picker) Remaining() int {
	return p.remaining
}
