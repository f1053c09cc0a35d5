package swarm

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

const eventQueueCapacity = 256

// transfer fetches the chunks of one manifest. Its loop goroutine owns the
// picker and the connections; other goroutines post events to it.
type transfer struct {
	node   *Node
	set    *weights.Set
	digest core.Digest
	peers  func() []Peer

	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	callers int // Fetch calls that share the transfer; guarded by the node's mutex.
	// dropped reports that the node dropped the manifest.
	dropped atomic.Bool
	// corrupt counts the received chunks that did not match the manifest.
	corrupt atomic.Int64

	events  chan event
	workers sync.WaitGroup // Connections and fetches from sources.

	picker    *weights.Picker
	peersByID map[core.InstanceID]Peer
	conns     map[core.InstanceID]*clientConn
	lastPeers []Peer // As of the last updateTargets.
	lastPing  time.Time
}

func newTransfer(node *Node, set *weights.Set, peers func() []Peer) *transfer {
	ctx, cancel := context.WithCancel(node.ctx)
	t := &transfer{
		node:      node,
		set:       set,
		digest:    set.Digest(),
		peers:     peers,
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		events:    make(chan event, eventQueueCapacity),
		peersByID: make(map[core.InstanceID]Peer),
		conns:     make(map[core.InstanceID]*clientConn),
	}
	cfg := node.cfg.Picker
	cfg.Self = weights.Target{ID: node.cfg.Self.ID, Region: node.cfg.Self.Location.Region}
	cfg.OriginRegion = node.cfg.OriginRegion
	cfg.Manifest = t.digest
	cfg.Chunks = set.Len()
	cfg.Seed = node.cfg.Seed
	now := time.Now()
	t.picker = weights.NewPicker(cfg, now)
	for i := range set.Len() {
		if set.Has(i) {
			t.picker.Stored(now, i, weights.Source{})
		}
	}
	return t
}

// run fetches until the set is complete or the transfer is cancelled.
func (t *transfer) run() {
	defer t.workers.Wait()
	defer t.cancel()
	ticker := time.NewTicker(t.node.cfg.TickInterval)
	defer ticker.Stop()
	t.maintainConns(time.Now())
	for !t.set.Complete() {
		t.dispatch(t.picker.Next(time.Now()))
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			t.maintainConns(now)
		case e := <-t.events:
			t.applyEvent(e)
		}
		t.applyQueuedEvents()
	}
}

// applyQueuedEvents applies all queued events.
func (t *transfer) applyQueuedEvents() {
	for {
		select {
		case e := <-t.events:
			t.applyEvent(e)
		default:
			return
		}
	}
}

// post queues an event for the loop. It blocks while the queue is full.
func (t *transfer) post(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

// storeChunk verifies and stores a chunk, and announces it to peers.
func (t *transfer) storeChunk(index int, data []byte, kind weights.SourceKind) error {
	if t.set.Has(index) {
		return nil
	}
	if err := t.set.Put(index, data); err != nil {
		var corrupt *weights.CorruptChunkError
		if errors.As(err, &corrupt) {
			t.corrupt.Add(1)
			t.node.metrics.corrupt.Inc(1)
		}
		return err
	}
	t.node.server.chunkStored(t.digest, index, kind != weights.SourcePeer)
	return nil
}

func (t *transfer) applyEvent(e event) {
	now := time.Now()
	switch e := e.(type) {
	case haveEvent:
		t.applyHave(now, e)
	case storedEvent:
		t.picker.PeerServed(e.source.Peer, e.served)
		for _, source := range t.picker.Stored(now, e.chunk, e.source) {
			if c := t.conns[source.Peer]; c != nil {
				c.send(cancelFrame(e.chunk))
			}
		}
	case failedEvent:
		if e.source.Peer != "" {
			t.picker.PeerServed(e.source.Peer, e.served)
		}
		t.picker.Failed(now, e.chunk, e.source, e.failure, e.retryAfter)
	case closedEvent:
		t.applyClosed(now, e)
	}
}

func (t *transfer) applyHave(now time.Time, e haveEvent) {
	if t.conns[e.conn.peer.ID] != e.conn {
		return
	}
	served := int(e.have.Served)
	if len(e.have.Bitmap) > 0 {
		t.picker.PeerUp(now, e.conn.peer.ID, weights.Bitmap(e.have.Bitmap), served)
	}
	chunks := make([]int, len(e.have.Indexes))
	for i, index := range e.have.Indexes {
		chunks[i] = int(index)
	}
	t.picker.PeerHas(now, e.conn.peer.ID, chunks, served)
}

func (t *transfer) applyClosed(now time.Time, e closedEvent) {
	id := e.conn.peer.ID
	if t.conns[id] != e.conn {
		return
	}
	delete(t.conns, id)
	t.picker.PeerDown(now, id)
	t.node.metrics.lost.Inc(1)
	t.node.deps.Logger.Info("connection to chunk peer ended", "peer", id, "error", e.err)
}

// maintainConns applies the current targets, closes stalled connections and
// opens missing ones to neighbours.
func (t *transfer) maintainConns(now time.Time) {
	t.updateTargets(now)
	ping := now.Sub(t.lastPing) >= t.node.cfg.StallTimeout
	if ping {
		t.lastPing = now
	}
	for id, c := range t.conns {
		if ping {
			c.send(clientPingFrame())
		}
		if now.UnixNano()-c.lastReadNanos.Load() > int64(t.node.cfg.StallTimeout) {
			t.node.metrics.stalled.Inc(1)
			t.node.deps.Logger.Warn("closing connection to chunk peer", "peer", id, "error", ErrStalled)
			t.closeConn(id)
			t.picker.PeerDown(now, id)
		}
	}
	for _, id := range t.picker.Neighbours(now) {
		t.openConn(id, weights.SourcePeer)
	}
}

func (t *transfer) updateTargets(now time.Time) {
	peers := t.peers()
	if sameSlice(peers, t.lastPeers) {
		return
	}
	t.lastPeers = peers
	targets := make([]weights.Target, 0, len(peers))
	peersByID := make(map[core.InstanceID]Peer, len(peers))
	for _, p := range peers {
		peersByID[p.ID] = p
		targets = append(targets, weights.Target{ID: p.ID, Region: p.Location.Region})
	}
	t.peersByID = peersByID
	if !t.picker.SetTargets(now, targets) {
		return
	}
	for id, c := range t.conns {
		if peersByID[id] != c.peer {
			t.closeConn(id)
			t.picker.PeerDown(now, id)
		}
	}
}

// sameSlice reports whether two slices share their backing elements.
func sameSlice(a, b []Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (t *transfer) closeConn(id core.InstanceID) {
	t.conns[id].cancel()
	delete(t.conns, id)
}

// openConn returns the connection to a peer and opens it if needed.
func (t *transfer) openConn(id core.InstanceID, kind weights.SourceKind) *clientConn {
	if c := t.conns[id]; c != nil {
		return c
	}
	ctx, cancel := context.WithCancel(t.ctx)
	c := &clientConn{
		transfer:  t,
		peer:      t.peersByID[id],
		kind:      kind,
		watch:     kind == weights.SourcePeer,
		cancel:    cancel,
		sendQueue: make(chan *wire.ChunkClientFrame, maxQueuedFrames),
	}
	c.recordRead()
	t.conns[id] = c
	t.workers.Go(func() { c.run(ctx) })
	return c
}

func (t *transfer) dispatch(requests []weights.Request) {
	for _, r := range requests {
		switch r.Source.Kind {
		case weights.SourcePeer:
			t.openConn(r.Source.Peer, r.Source.Kind).send(requestFrame(r.Chunk, false, r.Urgent))
		case weights.SourceRegionPeer:
			t.openConn(r.Source.Peer, r.Source.Kind).send(requestFrame(r.Chunk, true, r.Urgent))
		case weights.SourceOrigin:
			t.workers.Go(func() { t.fetchFromSource(r, t.node.deps.Origin, t.node.metrics.originBytes) })
		case weights.SourceStore:
			t.workers.Go(func() { t.fetchFromSource(r, t.node.deps.Store, t.node.metrics.storeBytes) })
		}
	}
}
