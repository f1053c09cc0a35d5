package weights

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// maxBanDoublings limits the growth of BanTime.
const maxBanDoublings = 16

// maxLossDoublings limits the growth of LostPeerBackoff.
const maxLossDoublings = 4

// PeerUp records that a watched peer is connected and holds the chunks in bitmap.
func (p *Picker) PeerUp(now time.Time, id core.InstanceID, bitmap Bitmap, served int) {
	peer := p.peers[id]
	if peer == nil || peer.region != p.cfg.Self.Region || now.Before(peer.downUntil) {
		return
	}
	if !peer.up {
		peer.up = true
		peer.chunks = NewBitmap(len(p.chunks))
	}
	peer.served = served
	for i := range p.chunks {
		if bitmap.Has(i) {
			p.addHolder(now, peer, i)
		}
	}
}

// PeerHas records that a watched peer obtained chunks. Unknown indexes are
// ignored.
func (p *Picker) PeerHas(now time.Time, id core.InstanceID, chunks []int, served int) {
	peer := p.peers[id]
	if peer == nil || !peer.up {
		return
	}
	peer.served = served
	for _, i := range chunks {
		if i >= 0 && i < len(p.chunks) && p.addHolder(now, peer, i) {
			peer.suspectUntil = time.Time{} // It makes progress.
		}
	}
}

// PeerServed records the number of chunks that a peer reports as sent.
func (p *Picker) PeerServed(id core.InstanceID, served int) {
	if peer := p.peers[id]; peer != nil {
		peer.served = served
	}
}

// addHolder records that a peer holds a chunk, and reports whether that is new.
func (p *Picker) addHolder(now time.Time, peer *pickerPeer, i int) bool {
	if !peer.chunks.Add(i) {
		return false
	}
	p.chunks[i].holders++
	p.chunks[i].pausedUntil = time.Time{}
	p.markSeen(now, i)
	return true
}

// markSeen records progress if the chunk was not seen before.
func (p *Picker) markSeen(now time.Time, i int) {
	if !p.chunks[i].seen {
		p.chunks[i].seen = true
		p.lastProgress = now
	}
}

// PeerDown records that a peer was lost: its connection broke or stalled. All
// requests to it end and it is not used for LostPeerBackoff.
func (p *Picker) PeerDown(now time.Time, id core.InstanceID) {
	peer := p.peers[id]
	if peer == nil {
		return
	}
	peer.downUntil = now.Add(p.cfg.LostPeerBackoff << min(peer.consecutiveLosses, maxLossDoublings))
	peer.consecutiveLosses++
	if peer.inFlight > 0 {
		p.regions[peer.region].recordLoss(now, p.cfg.LostPeerBackoff)
	}
	for i := range p.chunks {
		if peer.up && peer.chunks.Has(i) {
			p.chunks[i].holders--
		}
		p.removeRequestsTo(i, id)
	}
	peer.up = false
	peer.chunks = nil
}

func (p *Picker) removeRequestsTo(i int, id core.InstanceID) {
	for _, request := range slices.Clone(p.chunks[i].inFlight) {
		if request.source.Peer != id {
			continue
		}
		if request.source.Kind == SourceRegionPeer {
			p.chunks[i].failedAttempts++
		}
		p.removeRequest(i, request.source)
	}
}

// removeRequest removes a request in flight. It reports whether there was one.
func (p *Picker) removeRequest(i int, source Source) bool {
	inFlight := p.chunks[i].inFlight
	index := slices.IndexFunc(inFlight, func(r inFlightRequest) bool { return r.source == source })
	if index < 0 {
		return false
	}
	p.chunks[i].inFlight = slices.Delete(inFlight, index, index+1)
	if len(inFlight) == 1 {
		p.requested.remove(i)
		p.waiting.add(i)
	}
	peer := p.peers[source.Peer]
	if peer != nil {
		peer.inFlight--
	}
	switch source.Kind {
	case SourcePeer:
		p.neighbourInFlight--
	case SourceRegionPeer:
		p.regions[peer.region].inFlight--
	case SourceOrigin:
		p.origin.inFlight--
	case SourceStore:
		p.store.inFlight--
	}
	return true
}

// Stored records that a verified chunk from a source was stored. It returns
// the other sources with requests for the chunk, which are to be cancelled.
func (p *Picker) Stored(now time.Time, i int, source Source) []Source {
	if i < 0 || i >= len(p.chunks) {
		return nil
	}
	if state := p.sourceState(source.Kind); state != nil {
		state.consecutiveFailures = 0
	}
	if peer := p.peers[source.Peer]; peer != nil {
		peer.consecutiveCorrupt = 0
		p.recordAnswer(peer)
	}
	p.removeRequest(i, source)
	chunk := &p.chunks[i]
	if !chunk.stored {
		chunk.stored = true
		chunk.refusals = nil
		p.remaining--
		p.markSeen(now, i)
	}
	var cancel []Source
	for len(chunk.inFlight) > 0 {
		cancel = append(cancel, chunk.inFlight[0].source)
		p.removeRequest(i, chunk.inFlight[0].source)
	}
	p.waiting.remove(i)
	return cancel
}

// Failed records that a request ended without a verified chunk. retryAfter is
// the pause that a rate-limited source asks for. Requests that are no longer in
// flight are ignored.
func (p *Picker) Failed(now time.Time, i int, source Source, failure Failure, retryAfter time.Duration) {
	if i < 0 || i >= len(p.chunks) || !p.removeRequest(i, source) {
		return
	}
	chunk := &p.chunks[i]
	if state := p.sourceState(source.Kind); state != nil {
		state.recordFailure(now, failure, p.cfg.SourceBackoff, retryAfter)
		if source.Kind == SourceOrigin && failure == FailureUnavailable {
			p.stopTakeovers(now)
		}
		return
	}
	p.recordAnswer(p.peers[source.Peer])
	switch failure {
	case FailureRefused:
		p.recordRefusal(now, chunk, source.Peer)
	case FailureCorrupt:
		chunk.failedAttempts++
		p.ban(now, p.peers[source.Peer])
	default:
		chunk.failedAttempts++
		chunk.retryAt = now.Add(p.cfg.MissingBackoff)
	}
}

// recordAnswer records any answer to a request, refusals included.
func (p *Picker) recordAnswer(peer *pickerPeer) {
	peer.consecutiveLosses = 0
	p.regions[peer.region].recordAnswer()
}

// ban excludes a peer after a corrupt chunk, longer each time until it sends a
// valid one.
func (p *Picker) ban(now time.Time, peer *pickerPeer) {
	duration := min(p.cfg.BanTime<<min(peer.consecutiveCorrupt, maxBanDoublings), p.cfg.MaxBanTime)
	peer.consecutiveCorrupt++
	peer.bannedUntil = now.Add(duration)
}

// recordRefusal backs off from requesting the chunk from the peer, longer each
// time.
func (p *Picker) recordRefusal(now time.Time, chunk *chunkState, peer core.InstanceID) {
	if len(chunk.refusals) == 0 {
		chunk.firstRefusedAt = now
	}
	index := slices.IndexFunc(chunk.refusals, func(r refusal) bool { return r.peer == peer })
	if index < 0 {
		index = len(chunk.refusals)
		chunk.refusals = append(chunk.refusals, refusal{peer: peer, backoff: p.cfg.RefusalBackoff / 2})
	}
	r := &chunk.refusals[index]
	r.backoff = min(2*r.backoff, p.cfg.MaxRefusalBackoff)
	r.retryAt = now.Add(r.backoff)
}

// mayRequestFrom reports whether the peer has not refused the chunk or its
// backoff is over.
func (c *chunkState) mayRequestFrom(now time.Time, id core.InstanceID) bool {
	return !slices.ContainsFunc(c.refusals, func(r refusal) bool {
		return r.peer == id && now.Before(r.retryAt)
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

// pauseUntilRetry pauses the chunk until the first refusal's backoff is over.
func (c *chunkState) pauseUntilRetry(now time.Time) {
	for _, r := range c.refusals {
		if now.Before(r.retryAt) && (!now.Before(c.pausedUntil) || r.retryAt.Before(c.pausedUntil)) {
			c.pausedUntil = r.retryAt
		}
	}
}
