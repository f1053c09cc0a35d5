package weights

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxFallbackDoublings bounds the growth of FallbackDelay.
const maxFallbackDoublings = 5

// fetchFirst requests a chunk that no neighbour holds, if it is this
// instance's turn to bring it into the region.
func (p *Picker) fetchFirst(requests []Request, now time.Time, i int) []Request {
	if now.Sub(p.progress) < p.fallbackDelay(p.position(i)) {
		return requests
	}
	source, ok := p.firstSource(now, i)
	if !ok {
		return requests
	}
	p.suspectEarlier(now, i)
	return p.start(requests, now, Request{Chunk: i, Source: source, Urgent: true})
}

// suspectEarlier stops waiting for the fetchers in front of this instance,
// which did nothing for the fallback delay.
func (p *Picker) suspectEarlier(now time.Time, i int) {
	for _, at := range p.orders[i][:len(p.fetchers)] {
		peer := p.fetchers[at]
		if peer == nil {
			return
		}
		peer.suspectUntil = now.Add(p.cfg.SuspectTime)
		p.able[at] = false
	}
}

// checkFetchers notes which of the region's fetchers are able to fetch.
func (p *Picker) checkFetchers(now time.Time) {
	for at, peer := range p.fetchers {
		p.able[at] = peer == nil || peer.mayFetch(now, p.cfg.StartGrace)
	}
}

// position returns the instance's place among the region's fetchers of a
// chunk that are able to fetch.
func (p *Picker) position(i int) int {
	position := 0
	for _, at := range p.orders[i][:len(p.fetchers)] {
		if p.fetchers[at] == nil {
			return position
		}
		if p.able[at] {
			position++
		}
	}
	others := len(p.ranked) + 1 - len(p.fetchers)
	return len(p.fetchers) + int(p.ties[i]%uint64(max(others, 1)))
}

// fallbackDelay is 0 for the first fetcher and doubles with each position.
func (p *Picker) fallbackDelay(position int) time.Duration {
	doublings := min(position, maxFallbackDoublings)
	delay := p.cfg.FallbackDelay * time.Duration(1<<doublings-1)
	return delay + p.cfg.FallbackDelay*time.Duration(position-doublings)
}

// firstSource chooses where a fetcher draws a chunk from.
func (p *Picker) firstSource(now time.Time, i int) (Source, bool) {
	chain := p.layout.Chain(i)
	at := slices.Index(chain, p.cfg.Self.Region)
	if at == 0 {
		return p.originSource(now)
	}
	if p.regions[chain[at-1]].flights >= p.regionLimit() {
		return Source{}, false
	}
	fetchers := p.remoteFetchers(i, chain, at)
	id := p.chooseRemote(now, i, fetchers)
	if p.lastResort(now, i, len(fetchers), id) {
		p.resortUntil = now.Add(p.cfg.SuspectTime)
		return p.originSource(now)
	}
	if id == "" || p.regions[p.peers[id].region].flights >= p.regionLimit() {
		return Source{}, false
	}
	return Source{Kind: SourceRegionPeer, Peer: id}, true
}

// remoteFetchers lists the fetchers of a chunk in the other regions: those
// that get it earlier than place at of the chain, nearest first, then the
// later ones.
func (p *Picker) remoteFetchers(i int, chain []string, at int) []core.InstanceID {
	var ids []core.InstanceID
	for _, region := range slices.Backward(chain[:at]) {
		ids = append(ids, p.layout.Fetchers(region, i)...)
	}
	for _, region := range chain[at+1:] {
		ids = append(ids, p.layout.Fetchers(region, i)...)
	}
	return ids
}

// chooseRemote returns the first usable fetcher, starting behind those that
// failed, or none.
func (p *Picker) chooseRemote(now time.Time, i int, fetchers []core.InstanceID) core.InstanceID {
	for k := range fetchers {
		id := fetchers[(p.chunks[i].attempts+k)%len(fetchers)]
		peer := p.peers[id]
		if peer.mayAsk(now) && !now.Before(p.regions[peer.region].lostUntil) {
			return id
		}
	}
	return ""
}

// lastResort reports whether a region that is not the first of the chain may
// draw a chunk from the origin: nothing new appears, and the chunk's fetchers
// in other regions are lost or were all asked.
func (p *Picker) lastResort(now time.Time, i, fetchers int, usable core.InstanceID) bool {
	quiet := now.Sub(p.progress)
	if usable == "" {
		return quiet >= p.cfg.FallbackDelay || now.Before(p.resortUntil)
	}
	return quiet >= p.cfg.LastResortDelay && p.chunks[i].attempts >= fetchers
}

// regionLimit is the instance's share of the region's requests to another
// region.
func (p *Picker) regionLimit() int {
	return max(1, p.cfg.RegionRequests/len(p.layout.fetchers[p.cfg.Self.Region]))
}

// originSource prefers the origin and takes the store while the origin fails.
func (p *Picker) originSource(now time.Time) (Source, bool) {
	switch {
	case p.origin.flights+p.store.flights >= p.cfg.OriginRequests:
		return Source{}, false
	case p.origin.usable(now):
		return Source{Kind: SourceOrigin}, true
	default:
		return Source{Kind: SourceStore}, p.store.usable(now)
	}
}
