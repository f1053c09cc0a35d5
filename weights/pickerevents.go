package weights

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxBanDoublings bounds the growth of BanTime.
const maxBanDoublings = 16

// maxLossDoublings bounds the growth of DownTime.
const maxLossDoublings = 4

// PeerUp records that a watched peer takes part and holds the chunks of has.
func (p *Picker) PeerUp(now time.Time, id core.InstanceID, has Bitmap, served int) {
	peer := p.peers[id]
	if peer == nil || peer.region != p.cfg.Self.Region || now.Before(peer.downUntil) {
		return
	}
	if !peer.up {
		peer.up = true
		peer.has = NewBitmap(len(p.chunks))
	}
	peer.served = served
	for i := range p.chunks {
		if has.Has(i) {
			p.addHolder(now, peer, i)
		}
	}
}

// PeerHas records that a watched peer got chunks. Unknown indexes are ignored.
func (p *Picker) PeerHas(now time.Time, id core.InstanceID, chunks []int, served int) {
	peer := p.peers[id]
	if peer == nil || !peer.up {
		return
	}
	peer.served = served
	for _, i := range chunks {
		if i >= 0 && i < len(p.chunks) {
			p.addHolder(now, peer, i)
		}
	}
}

// PeerServed records how many chunks a peer says that it has sent.
func (p *Picker) PeerServed(id core.InstanceID, served int) {
	if peer := p.peers[id]; peer != nil {
		peer.served = served
	}
}

func (p *Picker) addHolder(now time.Time, peer *pickerPeer, i int) {
	if !peer.has.Add(i) {
		return
	}
	p.chunks[i].holders++
	p.chunks[i].pausedUntil = time.Time{}
	p.see(now, i)
}

// see notes progress when a chunk is new to the neighbourhood.
func (p *Picker) see(now time.Time, i int) {
	if !p.chunks[i].seen {
		p.chunks[i].seen = true
		p.progress = now
	}
}

// PeerDown records that a peer was lost: its connection broke or stalled. All
// requests to it end and it is left out for DownTime.
func (p *Picker) PeerDown(now time.Time, id core.InstanceID) {
	peer := p.peers[id]
	if peer == nil {
		return
	}
	peer.downUntil = now.Add(p.cfg.DownTime << min(peer.losses, maxLossDoublings))
	peer.losses++
	if peer.outstanding > 0 {
		p.regions[peer.region].lost(now, p.cfg.DownTime)
	}
	for i := range p.chunks {
		if peer.up && peer.has.Has(i) {
			p.chunks[i].holders--
		}
		p.endFlights(i, id)
	}
	peer.up = false
	peer.has = nil
}

func (p *Picker) endFlights(i int, id core.InstanceID) {
	for _, f := range slices.Clone(p.chunks[i].flights) {
		if f.source.Peer != id {
			continue
		}
		if f.source.Kind == SourceRegionPeer {
			p.chunks[i].attempts++
		}
		p.endFlight(i, f.source)
	}
}

// endFlight removes a request. It reports false if there was none.
func (p *Picker) endFlight(i int, source Source) bool {
	flights := p.chunks[i].flights
	at := slices.IndexFunc(flights, func(f flight) bool { return f.source == source })
	if at < 0 {
		return false
	}
	p.chunks[i].flights = slices.Delete(flights, at, at+1)
	if len(flights) == 1 {
		p.requested.remove(i)
		p.waiting.add(i)
	}
	peer := p.peers[source.Peer]
	if peer != nil {
		peer.outstanding--
	}
	switch source.Kind {
	case SourcePeer:
		p.peerFlights--
	case SourceRegionPeer:
		p.regions[peer.region].flights--
	case SourceOrigin:
		p.origin.flights--
	case SourceStore:
		p.store.flights--
	}
	return true
}

// Stored records that a verified chunk was kept. It returns the sources whose
// requests for the chunk are of no more use, the given one not among them.
func (p *Picker) Stored(now time.Time, i int, from Source) []Source {
	if i < 0 || i >= len(p.chunks) {
		return nil
	}
	if state := p.sourceState(from.Kind); state != nil {
		state.failures = 0
	}
	if peer := p.peers[from.Peer]; peer != nil {
		peer.corrupt = 0
		p.answered(peer)
	}
	p.endFlight(i, from)
	chunk := &p.chunks[i]
	if !chunk.stored {
		chunk.stored = true
		chunk.refusals = nil
		p.left--
		p.see(now, i)
	}
	var cancel []Source
	for len(chunk.flights) > 0 {
		cancel = append(cancel, chunk.flights[0].source)
		p.endFlight(i, chunk.flights[0].source)
	}
	p.waiting.remove(i)
	return cancel
}

// Failed records that a request ended without a verified chunk. retryAfter is
// the pause that a limited source asks for. Requests that are no longer under
// way are ignored.
func (p *Picker) Failed(now time.Time, i int, from Source, failure Failure, retryAfter time.Duration) {
	if i < 0 || i >= len(p.chunks) || !p.endFlight(i, from) {
		return
	}
	chunk := &p.chunks[i]
	if state := p.sourceState(from.Kind); state != nil {
		state.failed(now, failure, p.cfg.SourceRetry, retryAfter)
		return
	}
	p.answered(p.peers[from.Peer])
	switch failure {
	case FailureRefused:
		p.refused(now, chunk, from.Peer)
	case FailureCorrupt:
		chunk.attempts++
		p.ban(now, p.peers[from.Peer])
	default:
		chunk.attempts++
		chunk.retryAt = now.Add(p.cfg.MissingRetry)
	}
}

// answered records that a peer answered a request in any way.
func (p *Picker) answered(peer *pickerPeer) {
	peer.losses = 0
	p.regions[peer.region].answered()
}

// ban leaves a peer out after a corrupt chunk, longer each time until it sends
// a good one.
func (p *Picker) ban(now time.Time, peer *pickerPeer) {
	pause := min(p.cfg.BanTime<<min(peer.corrupt, maxBanDoublings), p.cfg.MaxBanTime)
	peer.corrupt++
	peer.bannedUntil = now.Add(pause)
}

// refused pauses requests for a chunk to one peer, longer each time.
func (p *Picker) refused(now time.Time, chunk *chunkState, by core.InstanceID) {
	if len(chunk.refusals) == 0 {
		chunk.refused = now
	}
	at := slices.IndexFunc(chunk.refusals, func(r refusal) bool { return r.peer == by })
	if at < 0 {
		at = len(chunk.refusals)
		chunk.refusals = append(chunk.refusals, refusal{peer: by, pause: p.cfg.RefusedRetry / 2})
	}
	r := &chunk.refusals[at]
	r.pause = min(2*r.pause, p.cfg.MaxRefusedRetry)
	r.until = now.Add(r.pause)
}

// mayAsk reports whether no refusal keeps the chunk from the peer.
func (c *chunkState) mayAsk(now time.Time, id core.InstanceID) bool {
	return !slices.ContainsFunc(c.refusals, func(r refusal) bool {
		return r.peer == id && now.Before(r.until)
	})
}

// sourceState returns the state of the origin or the store, nil for peers.
func (p *Picker) sourceState(kind SourceKind) *sourceState {
	switch kind {
	case SourceOrigin:
		return &p.origin
	case SourceStore:
		return &p.store
	default:
		return nil
	}
}

// pause keeps the chunk from being considered until a refusal ends.
func (c *chunkState) pause(now time.Time) {
	for _, r := range c.refusals {
		if now.Before(r.until) && (!now.Before(c.pausedUntil) || r.until.Before(c.pausedUntil)) {
			c.pausedUntil = r.until
		}
	}
}
