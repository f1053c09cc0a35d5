package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// candidateSlack is the number of chunks considered beyond the free requests.
const candidateSlack = 8

// maxFlights is the number of requests for one chunk at once.
const maxFlights = 2

// maxFallbackDoublings bounds the growth of FallbackDelay.
const maxFallbackDoublings = 5

// Next returns the requests to send now and counts them as under way. Each
// must end in Stored, Failed, PeerDown or SetTargets.
func (p *Picker) Next(now time.Time) []Request {
	var requests []Request
	var offered []int
	idle := true // No chunk waits for a first request.
	for i := range p.chunks {
		chunk := &p.chunks[i]
		if chunk.stored || len(chunk.flights) > 0 {
			continue
		}
		idle = false
		switch {
		case now.Before(chunk.pausedUntil):
		case chunk.holders > 0:
			offered = p.insertRarest(offered, i)
		case now.Before(chunk.retryAt):
		default:
			requests = p.fetchFirst(requests, now, i)
		}
	}
	for _, i := range offered {
		requests = p.requestPeer(requests, now, i)
	}
	return p.double(requests, now, idle)
}

// insertRarest keeps the rarest chunks in a short sorted list.
func (p *Picker) insertRarest(list []int, i int) []int {
	room := p.cfg.PeerRequests - p.peerFlights
	if room <= 0 {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, i, p.compareRarity)
	list = slices.Insert(list, at, i)
	return list[:min(len(list), room+candidateSlack)]
}

func (p *Picker) compareRarity(a, b int) int {
	return cmp.Or(
		cmp.Compare(p.chunks[a].holders, p.chunks[b].holders),
		cmp.Compare(p.tieBreak(a), p.tieBreak(b)),
	)
}

func (p *Picker) tieBreak(i int) uint64 {
	return hashPair(p.seed, uint64(i))
}

// requestPeer requests an offered chunk from its least loaded holder.
func (p *Picker) requestPeer(requests []Request, now time.Time, i int) []Request {
	if p.peerFlights >= p.cfg.PeerRequests {
		return requests
	}
	id := p.chooseHolder(now, i)
	if id == "" {
		p.chunks[i].pause(now)
		return requests
	}
	urgent := len(p.chunks[i].refusals) > 0 && now.Sub(p.chunks[i].refused) >= p.cfg.UrgentAfter
	return p.start(requests, now, Request{Chunk: i, Source: Source{Kind: SourcePeer, Peer: id}, Urgent: urgent})
}

func (p *Picker) chooseHolder(now time.Time, i int) core.InstanceID {
	chunk := &p.chunks[i]
	var best core.InstanceID
	for _, id := range p.ranked {
		peer := p.peers[id]
		if !peer.up || !peer.mayAsk(now) || !peer.has.Has(i) || peer.outstanding >= p.cfg.RequestsPerPeer {
			continue
		}
		if p.inFlight(i, id) || !chunk.mayAsk(now, id) {
			continue
		}
		if best == "" || peer.load() < p.peers[best].load() {
			best = id
		}
	}
	return best
}

// load orders holders of a chunk: fewer chunks sent and requested go first.
func (p *pickerPeer) load() int {
	return p.served + p.outstanding
}

func (p *Picker) inFlight(i int, id core.InstanceID) bool {
	return slices.ContainsFunc(p.chunks[i].flights, func(f flight) bool { return f.source.Peer == id })
}

// fetchFirst requests a chunk that no neighbour holds, if it is this
// instance's turn to bring it into the region.
func (p *Picker) fetchFirst(requests []Request, now time.Time, i int) []Request {
	position := p.position(now, i)
	if now.Sub(p.progress) < p.fallbackDelay(position) {
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
	for _, id := range p.own[i] {
		if id == p.cfg.Self.ID {
			return
		}
		p.peers[id].suspectUntil = now.Add(p.cfg.SuspectTime)
	}
}

// position returns the instance's place among the region's fetchers of a
// chunk that are able to fetch.
func (p *Picker) position(now time.Time, i int) int {
	position := 0
	for _, id := range p.own[i] {
		if id == p.cfg.Self.ID {
			return position
		}
		if p.peers[id].mayFetch(now, p.cfg.StartGrace) {
			position++
		}
	}
	others := len(p.ranked) + 1 - len(p.own[i])
	return len(p.own[i]) + int(p.tieBreak(i)%uint64(max(others, 1)))
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
	fetchers := p.remoteFetchers(i, chain[:at])
	id := p.chooseRemote(now, i, fetchers)
	if p.lastResort(now, i, len(fetchers), id) {
		return p.originSource(now)
	}
	if id == "" || p.regionFlights[p.peers[id].region] >= p.regionLimit() {
		return Source{}, false
	}
	return Source{Kind: SourceRegionPeer, Peer: id}, true
}

// remoteFetchers lists the fetchers of a chunk in the regions that get it
// earlier, nearest region in the chain first.
func (p *Picker) remoteFetchers(i int, earlier []string) []core.InstanceID {
	var ids []core.InstanceID
	for _, region := range slices.Backward(earlier) {
		ids = append(ids, p.layout.Fetchers(region, i)...)
	}
	return ids
}

// chooseRemote returns the first usable fetcher, starting behind those that
// failed, or none.
func (p *Picker) chooseRemote(now time.Time, i int, fetchers []core.InstanceID) core.InstanceID {
	for k := range fetchers {
		id := fetchers[(p.chunks[i].attempts+k)%len(fetchers)]
		if p.peers[id].mayAsk(now) {
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
		return quiet >= p.cfg.FallbackDelay
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

func (p *Picker) start(requests []Request, now time.Time, r Request) []Request {
	chunk := &p.chunks[r.Chunk]
	chunk.flights = append(chunk.flights, flight{source: r.Source, since: now})
	peer := p.peers[r.Source.Peer]
	if peer != nil {
		peer.outstanding++
	}
	switch r.Source.Kind {
	case SourcePeer:
		p.peerFlights++
	case SourceRegionPeer:
		p.regionFlights[peer.region]++
	case SourceOrigin:
		p.origin.flights++
	case SourceStore:
		p.store.flights++
	}
	return append(requests, r)
}

// double requests chunks whose only request is old from a second holder: any
// old one at the tail of the transfer, else only very slow ones.
func (p *Picker) double(requests []Request, now time.Time, tail bool) []Request {
	limit := p.cfg.SlowAfter
	if tail {
		limit = p.cfg.EndgameAfter
	}
	for i := range p.chunks {
		chunk := &p.chunks[i]
		if chunk.stored || chunk.holders == 0 || len(chunk.flights) != maxFlights-1 {
			continue
		}
		if now.Sub(chunk.flights[0].since) >= limit {
			requests = p.requestPeer(requests, now, i)
		}
	}
	return requests
}
