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

// Next returns the requests to send now and counts them as under way. Each
// must end in Stored, Failed, PeerDown or SetTargets.
func (p *Picker) Next(now time.Time) []Request {
	var requests []Request
	var offered []int
	tail := p.waiting.empty()
	p.checkFetchers(now)
	for i := range p.waiting.all() {
		chunk := &p.chunks[i]
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
	return p.double(requests, now, tail)
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
		cmp.Compare(p.ties[a], p.ties[b]),
	)
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
	for _, id := range p.watched {
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

func (p *Picker) start(requests []Request, now time.Time, r Request) []Request {
	chunk := &p.chunks[r.Chunk]
	p.waiting.remove(r.Chunk)
	p.requested.add(r.Chunk)
	chunk.flights = append(chunk.flights, flight{source: r.Source, since: now})
	peer := p.peers[r.Source.Peer]
	if peer != nil {
		peer.outstanding++
	}
	switch r.Source.Kind {
	case SourcePeer:
		p.peerFlights++
	case SourceRegionPeer:
		p.regions[peer.region].flights++
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
	for i := range p.requested.all() {
		chunk := &p.chunks[i]
		if chunk.holders == 0 || len(chunk.flights) != maxFlights-1 {
			continue
		}
		if now.Sub(chunk.flights[0].since) >= limit {
			requests = p.requestPeer(requests, now, i)
		}
	}
	return requests
}
