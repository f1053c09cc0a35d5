package weights

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxFallbackDoublings limits the growth of the fallback delay: each rank beyond
// it adds just FallbackDelay.
const maxFallbackDoublings = 5

// requestUpstream requests a chunk that no neighbour holds, and that this instance is the
// first to fetch into the region.
func (p *Picker) requestUpstream(requests []Request, now time.Time, i int) []Request {
	source, ok := p.upstreamSource(now, i)
	if !ok {
		return requests
	}
	return p.addRequest(requests, now, Request{Chunk: i, Source: source, Urgent: true})
}

// takeOver requests a chunk that other fetchers of the region are to fetch, if there has been
// no progress for so long that they seem to have failed.
func (p *Picker) takeOver(requests []Request, now time.Time, i int) []Request {
	if now.Sub(p.lastProgress) < p.fallbackDelay(p.fetcherRank(i)) {
		return requests
	}
	source, ok := p.upstreamSource(now, i)
	isUpstream := source.Kind == SourceOrigin || source.Kind == SourceStore
	if !ok || isUpstream && now.Before(p.takeoverBlockedUntil) {
		return requests
	}
	p.suspectPrecedingFetchers(now, i)
	return p.addRequest(requests, now, Request{Chunk: i, Source: source, Urgent: true})
}

// stopTakeovers records that the origin fails for this instance too: the fetchers that made
// no progress are not to blame. If all instances took over from one another, they would ask
// for the same chunks when the origin returns, more at once than its link carries in time.
func (p *Picker) stopTakeovers(now time.Time) {
	p.takeoverBlockedUntil = now.Add(p.cfg.TakeoverBackoff)
	for _, peer := range p.fetchers {
		if peer != nil {
			peer.suspectUntil = time.Time{}
		}
	}
}

// suspectPrecedingFetchers marks the fetchers that rank before this instance as
// suspect, because they made no progress within the fallback delay.
func (p *Picker) suspectPrecedingFetchers(now time.Time, i int) {
	for _, index := range p.fetcherOrders[i][:len(p.fetchers)] {
		peer := p.fetchers[index]
		if peer == nil {
			return
		}
		peer.suspectUntil = now.Add(p.cfg.SuspectTime)
		p.fetcherAvailable[index] = false
	}
}

// updateAvailableFetchers determines which of the region's fetchers are able to
// fetch.
func (p *Picker) updateAvailableFetchers(now time.Time) {
	for index, peer := range p.fetchers {
		p.fetcherAvailable[index] = peer == nil || peer.availableAsFetcher(now, p.cfg.JoinGrace)
	}
}

// fetcherRank returns the instance's rank among the chunk's available fetchers
// in the region. Instances that are not fetchers rank after them, at random.
func (p *Picker) fetcherRank(i int) int {
	rank := 0
	for _, index := range p.fetcherOrders[i][:len(p.fetchers)] {
		if p.fetchers[index] == nil {
			return rank
		}
		if p.fetcherAvailable[index] {
			rank++
		}
	}
	others := len(p.ranked) + 1 - len(p.fetchers)
	return len(p.fetchers) + int(p.tieBreaks[i]%uint64(max(others, 1)))
}

// fallbackDelay returns how long the fetcher of a rank waits without progress
// before it takes over: 0 for the primary fetcher and FallbackDelay for the
// second. Each further rank adds twice as much as the one before it.
func (p *Picker) fallbackDelay(rank int) time.Duration {
	doublings := min(rank, maxFallbackDoublings)
	delay := p.cfg.FallbackDelay * time.Duration(1<<doublings-1)
	return delay + p.cfg.FallbackDelay*time.Duration(rank-doublings)
}

// upstreamSource chooses the source from which a fetcher requests a chunk.
func (p *Picker) upstreamSource(now time.Time, i int) (Source, bool) {
	chain := p.plan.Chain(i)
	position := slices.Index(chain, p.cfg.Self.Region)
	if position == 0 {
		return p.originOrStore(now)
	}
	upstream := p.plan.upstreamPosition(position)
	if p.regions[chain[upstream]].inFlight >= p.regionRequestLimit() {
		return Source{}, false
	}
	fetchers := p.remoteFetchers(i, chain, position, upstream)
	id := p.chooseRemoteFetcher(now, i, fetchers)
	if p.mayFallBackToOrigin(now, i, len(fetchers), id) {
		p.originFallbackUntil = now.Add(p.cfg.SuspectTime)
		return p.originOrStore(now)
	}
	if id == "" || p.regions[p.peers[id].region].inFlight >= p.regionRequestLimit() {
		return Source{}, false
	}
	return Source{Kind: SourceRegionPeer, Peer: id}, true
}

// remoteFetchers lists the fetchers of a chunk in the other regions: those of the
// upstream region, then the others before position in the chain, nearest first, then the
// later ones.
func (p *Picker) remoteFetchers(i int, chain []string, position, upstream int) []core.InstanceID {
	ids := p.plan.Fetchers(chain[upstream], i)
	for index, region := range slices.Backward(chain[:position]) {
		if index != upstream {
			ids = append(ids, p.plan.Fetchers(region, i)...)
		}
	}
	for _, region := range chain[position+1:] {
		ids = append(ids, p.plan.Fetchers(region, i)...)
	}
	return ids
}

// chooseRemoteFetcher returns the first usable fetcher, starting after those
// that failed, or "" if there is none.
func (p *Picker) chooseRemoteFetcher(now time.Time, i int, fetchers []core.InstanceID) core.InstanceID {
	for offset := range fetchers {
		id := fetchers[(p.chunks[i].failedAttempts+offset)%len(fetchers)]
		peer := p.peers[id]
		if peer.usable(now) && !now.Before(p.regions[peer.region].unreachableUntil) {
			return id
		}
	}
	return ""
}

// mayFallBackToOrigin reports whether a region that is not the first of the
// chain may fetch a chunk from the origin: there is no progress, and the
// chunk's fetchers in other regions are unreachable or were all tried.
func (p *Picker) mayFallBackToOrigin(now time.Time, i, fetchers int, remote core.InstanceID) bool {
	sinceProgress := now.Sub(p.lastProgress)
	if remote == "" {
		return sinceProgress >= p.cfg.FallbackDelay || now.Before(p.originFallbackUntil)
	}
	return sinceProgress >= p.cfg.OriginFallbackDelay && p.chunks[i].failedAttempts >= fetchers
}

// regionRequestLimit is the instance's share of the region's requests to another
// region.
func (p *Picker) regionRequestLimit() int {
	return max(1, p.cfg.RegionRequests/len(p.plan.fetchers[p.cfg.Self.Region]))
}

// originOrStore chooses the origin, or the store while the origin fails.
func (p *Picker) originOrStore(now time.Time) (Source, bool) {
	switch {
	case p.origin.inFlight+p.store.inFlight >= p.cfg.OriginRequests:
		return Source{}, false
	case p.origin.usable(now):
		return Source{Kind: SourceOrigin}, true
	default:
		return Source{Kind: SourceStore}, p.store.usable(now)
	}
}
