package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// spareCandidates is the number of chunks considered beyond the requests that
// may still be sent.
const spareCandidates = 8

// maxRequestsPerChunk limits the requests in flight for one chunk.
const maxRequestsPerChunk = 2

// Next returns the requests to send now and counts them as in flight. Each
// must end in Stored, Failed, PeerDown or SetTargets.
func (p *Picker) Next(now time.Time) []Request {
	var requests []Request
	var available, takeovers []int
	endgame := p.waiting.empty()
	p.updateAvailableFetchers(now)
	for i := range p.waiting.all() {
		chunk := &p.chunks[i]
		switch {
		case now.Before(chunk.pausedUntil):
		case chunk.holders > 0:
			available = p.insertRarest(available, i)
		case now.Before(chunk.retryAt):
		case p.fetcherRank(i) == 0:
			requests = p.requestUpstream(requests, now, i)
		default:
			takeovers = append(takeovers, i)
		}
	}
	// A fetcher's own chunks come before those that it takes over from others.
	for _, i := range takeovers {
		requests = p.takeOver(requests, now, i)
	}
	for _, i := range available {
		requests = p.requestFromNeighbour(requests, now, i)
	}
	return p.hedge(requests, now, endgame)
}

// insertRarest inserts a chunk into a bounded list of the rarest ones, sorted
// by rarity.
func (p *Picker) insertRarest(rarest []int, i int) []int {
	freeRequests := p.cfg.PeerRequests - p.neighbourInFlight
	if freeRequests <= 0 {
		return rarest
	}
	index, _ := slices.BinarySearchFunc(rarest, i, p.compareRarity)
	rarest = slices.Insert(rarest, index, i)
	return rarest[:min(len(rarest), freeRequests+spareCandidates)]
}

func (p *Picker) compareRarity(a, b int) int {
	return cmp.Or(
		cmp.Compare(p.chunks[a].holders, p.chunks[b].holders),
		cmp.Compare(p.tieBreaks[a], p.tieBreaks[b]),
	)
}

// requestFromNeighbour requests a chunk from its least loaded holder.
func (p *Picker) requestFromNeighbour(requests []Request, now time.Time, i int) []Request {
	if p.neighbourInFlight >= p.cfg.PeerRequests {
		return requests
	}
	id := p.chooseHolder(now, i)
	if id == "" {
		p.chunks[i].pauseUntilRetry(now)
		return requests
	}
	urgent := len(p.chunks[i].refusals) > 0 && now.Sub(p.chunks[i].firstRefusedAt) >= p.cfg.UrgentAfter
	return p.addRequest(requests, now, Request{Chunk: i, Source: Source{Kind: SourcePeer, Peer: id}, Urgent: urgent})
}

func (p *Picker) chooseHolder(now time.Time, i int) core.InstanceID {
	chunk := &p.chunks[i]
	var best core.InstanceID
	for _, id := range p.watched {
		peer := p.peers[id]
		if !peer.up || !peer.usable(now) || !peer.chunks.Has(i) || peer.inFlight >= p.cfg.RequestsPerPeer {
			continue
		}
		if p.isRequestedFrom(i, id) || !chunk.mayRequestFrom(now, id) {
			continue
		}
		if best == "" || peer.load() < p.peers[best].load() {
			best = id
		}
	}
	return best
}

// load is the number of chunks sent by the peer and requested from it.
func (p *pickerPeer) load() int {
	return p.served + p.inFlight
}

func (p *Picker) isRequestedFrom(i int, id core.InstanceID) bool {
	return slices.ContainsFunc(p.chunks[i].inFlight, func(r inFlightRequest) bool { return r.source.Peer == id })
}

func (p *Picker) addRequest(requests []Request, now time.Time, r Request) []Request {
	chunk := &p.chunks[r.Chunk]
	p.waiting.remove(r.Chunk)
	p.requested.add(r.Chunk)
	chunk.inFlight = append(chunk.inFlight, inFlightRequest{source: r.Source, sentAt: now})
	peer := p.peers[r.Source.Peer]
	if peer != nil {
		peer.inFlight++
	}
	switch r.Source.Kind {
	case SourcePeer:
		p.neighbourInFlight++
	case SourceRegionPeer:
		p.regions[peer.region].inFlight++
	case SourceOrigin:
		p.origin.inFlight++
	case SourceStore:
		p.store.inFlight++
	}
	return append(requests, r)
}

// hedge sends a second request, to another holder, for each chunk whose only
// request is older than EndgameHedgeAfter in the endgame, otherwise HedgeAfter.
func (p *Picker) hedge(requests []Request, now time.Time, endgame bool) []Request {
	hedgeAfter := p.cfg.HedgeAfter
	if endgame {
		hedgeAfter = p.cfg.EndgameHedgeAfter
	}
	for i := range p.requested.all() {
		chunk := &p.chunks[i]
		if chunk.holders == 0 || len(chunk.inFlight) != maxRequestsPerChunk-1 {
			continue
		}
		if now.Sub(chunk.inFlight[0].sentAt) >= hedgeAfter {
			requests = p.requestFromNeighbour(requests, now, i)
		}
	}
	return requests
}
