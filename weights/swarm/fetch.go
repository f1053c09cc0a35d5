package swarm

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
)

// ErrDropped reports a fetch whose manifest was dropped before it completed.
var ErrDropped = eris.New("manifest was dropped during its fetch")

// Fetch blocks until every chunk of m is verified and stored. The node serves the
// chunks while it fetches and afterwards. peers returns the current targets,
// which may include this instance; it is called several times a second and must
// not modify a slice that it has returned. Concurrent calls for one
// manifest share a transfer, which uses the first caller's peers and ends with
// the last caller's ctx. Fetch returns ctx's error, ErrStopped, ErrDropped or
// *weights.ManifestError.
func (n *Node) Fetch(ctx context.Context, m *weights.Manifest, peers func() []Peer) (*weights.Set, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	for {
		set, t, err := n.joinTransfer(m, peers)
		if err != nil || set != nil {
			return set, err
		}
		select {
		case <-t.done:
		case <-ctx.Done():
			n.leaveTransfer(t)
			return nil, ctx.Err()
		}
		switch {
		case t.set.Complete():
			return t.set, nil
		case n.ctx.Err() != nil:
			return nil, ErrStopped
		case t.dropped.Load():
			return nil, ErrDropped
		}
		// The other callers cancelled the transfer while this one joined it.
	}
}

// joinTransfer returns the complete set if there is one, else the transfer of
// the manifest, which it starts if needed.
func (n *Node) joinTransfer(m *weights.Manifest, peers func() []Peer) (*weights.Set, *transfer, error) {
	digest := m.Digest()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return nil, nil, ErrStopped
	}
	if set := n.sets[digest]; set != nil {
		return set, nil, nil
	}
	t := n.transfers[digest]
	if t == nil {
		set := n.partialSets[digest]
		if set == nil {
			set = weights.NewSet(m)
		}
		delete(n.partialSets, digest)
		n.reuseChunks(set)
		t = newTransfer(n, set, peers)
		n.transfers[digest] = t
		n.server.addSet(set)
		go n.runTransfer(t)
	}
	t.callers++
	return nil, t, nil
}

// leaveTransfer removes a caller; the last one cancels the transfer.
func (n *Node) leaveTransfer(t *transfer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t.callers--
	if t.callers == 0 {
		t.cancel()
	}
}

// runTransfer runs a transfer and adds its set to sets if it is complete, else to
// partialSets.
func (n *Node) runTransfer(t *transfer) {
	t.run()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.transfers, t.digest)
	if t.set.Complete() && !t.dropped.Load() {
		n.sets[t.digest] = t.set
	} else {
		n.server.dropManifest(t.digest)
		if !t.dropped.Load() && t.set.Count() > 0 {
			n.partialSets[t.digest] = t.set
		}
	}
	close(t.done)
}

// reuseChunks copies chunks with equal digests from the complete sets, such as
// the set of the previous version.
func (n *Node) reuseChunks(set *weights.Set) {
	chunksByDigest := make(map[core.Digest][]byte)
	for _, other := range n.sets {
		for i, d := range other.Manifest().Chunks {
			if data, ok := other.Get(i); ok {
				chunksByDigest[d] = data
			}
		}
	}
	for i, d := range set.Manifest().Chunks {
		if data, ok := chunksByDigest[d]; ok {
			_ = set.Put(i, data) // Put verifies the chunk; on a mismatch it is fetched.
		}
	}
}
