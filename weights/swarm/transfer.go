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

// eventQueue is the number of events that may wait for a transfer.
const eventQueue = 256

// transfer fetches one manifest. Its loop goroutine owns the picker and the
// links; readers post events to it.
type transfer struct {
	node   *Node
	set    *weights.Set
	digest core.Digest
	peers  func() []Peer

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	users  int // Guarded by the node's mutex.
	// dropped says that the node dropped the manifest.
	dropped atomic.Bool

	events  chan event
	running sync.WaitGroup // Links and source calls.

	picker *weights.Picker
	known  map[core.InstanceID]Peer
	links  map[core.InstanceID]*link
	listed []Peer // As of the last updateTargets.
	pinged time.Time
}

func newTransfer(node *Node, set *weights.Set, peers func() []Peer) *transfer {
	ctx, cancel := context.WithCancel(node.ctx)
	t := &transfer{
		node:   node,
		set:    set,
		digest: set.Digest(),
		peers:  peers,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		events: make(chan event, eventQueue),
		known:  make(map[core.InstanceID]Peer),
		links:  make(map[core.InstanceID]*link),
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
	defer t.running.Wait()
	defer t.cancel()
	ticker := time.NewTicker(t.node.cfg.Tick)
	defer ticker.Stop()
	t.refresh(time.Now())
	for !t.set.Complete() {
		t.dispatch(t.picker.Next(time.Now()))
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			t.refresh(now)
		case e := <-t.events:
			t.apply(e)
		}
		t.drain()
	}
}

// drain applies all events that wait.
func (t *transfer) drain() {
	for {
		select {
		case e := <-t.events:
			t.apply(e)
		default:
			return
		}
	}
}

// post hands an event to the loop. It blocks while the queue is full.
func (t *transfer) post(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

// put verifies and keeps a chunk, and offers it to peers.
func (t *transfer) put(index int, data []byte, kind weights.SourceKind) error {
	if t.set.Has(index) {
		return nil
	}
	if err := t.set.Put(index, data); err != nil {
		var corrupt *weights.CorruptChunkError
		if errors.As(err, &corrupt) {
			t.node.metrics.corrupt.Inc(1)
		}
		return err
	}
	t.node.server.stored(t.digest, index, kind != weights.SourcePeer)
	return nil
}

func (t *transfer) apply(e event) {
	now := time.Now()
	switch e := e.(type) {
	case haveEvent:
		t.applyHave(now, e)
	case storedEvent:
		t.picker.PeerServed(e.source.Peer, e.served)
		for _, source := range t.picker.Stored(now, e.chunk, e.source) {
			if l := t.links[source.Peer]; l != nil {
				l.send(cancelFrame(e.chunk))
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
	if t.links[e.link.peer.ID] != e.link {
		return
	}
	served := int(e.have.Served)
	if len(e.have.Bitmap) > 0 {
		t.picker.PeerUp(now, e.link.peer.ID, weights.Bitmap(e.have.Bitmap), served)
	}
	chunks := make([]int, len(e.have.Indexes))
	for i, index := range e.have.Indexes {
		chunks[i] = int(index)
	}
	t.picker.PeerHas(now, e.link.peer.ID, chunks, served)
}

func (t *transfer) applyClosed(now time.Time, e closedEvent) {
	id := e.link.peer.ID
	if t.links[id] != e.link {
		return
	}
	delete(t.links, id)
	t.picker.PeerDown(now, id)
	t.node.metrics.lost.Inc(1)
	t.node.deps.Logger.Info("chunk link ended", "peer", id, "error", e.err)
}

// refresh takes the current targets, closes stalled links and opens missing
// ones to neighbours.
func (t *transfer) refresh(now time.Time) {
	t.updateTargets(now)
	ping := now.Sub(t.pinged) >= t.node.cfg.StallTimeout
	if ping {
		t.pinged = now
	}
	for id, l := range t.links {
		if ping {
			l.send(clientPingFrame())
		}
		if now.UnixNano()-l.lastRead.Load() > int64(t.node.cfg.StallTimeout) {
			t.node.metrics.stalled.Inc(1)
			t.node.deps.Logger.Warn("closing chunk link", "peer", id, "error", ErrStalled)
			t.closeLink(id)
			t.picker.PeerDown(now, id)
		}
	}
	for _, id := range t.picker.Neighbours(now) {
		t.open(id, weights.SourcePeer)
	}
}

func (t *transfer) updateTargets(now time.Time) {
	peers := t.peers()
	if sameSlice(peers, t.listed) {
		return
	}
	t.listed = peers
	targets := make([]weights.Target, 0, len(peers))
	known := make(map[core.InstanceID]Peer, len(peers))
	for _, p := range peers {
		known[p.ID] = p
		targets = append(targets, weights.Target{ID: p.ID, Region: p.Location.Region})
	}
	t.known = known
	if !t.picker.SetTargets(now, targets) {
		return
	}
	for id, l := range t.links {
		if known[id] != l.peer {
			t.closeLink(id)
			t.picker.PeerDown(now, id)
		}
	}
}

// sameSlice reports whether two slices share their elements.
func sameSlice(a, b []Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (t *transfer) closeLink(id core.InstanceID) {
	t.links[id].cancel()
	delete(t.links, id)
}

// open returns the link to a peer, opened if needed.
func (t *transfer) open(id core.InstanceID, kind weights.SourceKind) *link {
	if l := t.links[id]; l != nil {
		return l
	}
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		transfer: t,
		peer:     t.known[id],
		kind:     kind,
		watch:    kind == weights.SourcePeer,
		cancel:   cancel,
		out:      make(chan *wire.ChunkClientFrame, linkQueue),
	}
	l.touch()
	t.links[id] = l
	t.running.Go(func() { l.run(ctx) })
	return l
}

func (t *transfer) dispatch(requests []weights.Request) {
	for _, r := range requests {
		switch r.Source.Kind {
		case weights.SourcePeer:
			t.open(r.Source.Peer, r.Source.Kind).send(requestFrame(r.Chunk, false, r.Urgent))
		case weights.SourceRegionPeer:
			t.open(r.Source.Peer, r.Source.Kind).send(requestFrame(r.Chunk, true, r.Urgent))
		case weights.SourceOrigin:
			t.running.Go(func() { t.draw(r, t.node.deps.Origin, t.node.metrics.originBytes) })
		case weights.SourceStore:
			t.running.Go(func() { t.draw(r, t.node.deps.Store, t.node.metrics.storeBytes) })
		}
	}
}
