package swarm

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
)

// ErrDropped reports a fetch whose manifest was dropped meanwhile.
var ErrDropped = eris.New("manifest was dropped during its fetch")

// Fetch blocks until every chunk of m is held and verified, and serves the
// chunks meanwhile and afterwards. peers returns the current targets and is
// called several times a second; the own instance may be among them, and a
// returned slice must not change afterwards. Parallel
// calls for one manifest share a transfer, which uses the first caller's
// peers and ends when the last caller's ctx does. It returns ctx's error,
// ErrStopped, ErrDropped or *weights.ManifestError.
func (n *Node) Fetch(ctx context.Context, m *weights.Manifest, peers func() []Peer) (*weights.Set, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	for {
		set, t, err := n.join(m, peers)
		if err != nil || set != nil {
			return set, err
		}
		select {
		case <-t.done:
		case <-ctx.Done():
			n.leave(t)
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
		// The transfer was given up by its callers as this one joined.
	}
}

// join returns the complete set or a transfer, started if there is none.
func (n *Node) join(m *weights.Manifest, peers func() []Peer) (*weights.Set, *transfer, error) {
	d := m.Digest()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return nil, nil, ErrStopped
	}
	if set := n.sets[d]; set != nil {
		return set, nil, nil
	}
	t := n.transfers[d]
	if t == nil {
		set := n.partial[d]
		if set == nil {
			set = weights.NewSet(m)
		}
		delete(n.partial, d)
		n.reuse(set)
		t = newTransfer(n, set, peers)
		n.transfers[d] = t
		n.server.add(set)
		go n.finish(t)
	}
	t.users++
	return nil, t, nil
}

// leave withdraws a caller; the last one cancels the transfer.
func (n *Node) leave(t *transfer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t.users--
	if t.users == 0 {
		t.cancel()
	}
}

// finish runs a transfer and keeps its set if it is complete.
func (n *Node) finish(t *transfer) {
	t.run()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.transfers, t.digest)
	if t.set.Complete() && !t.dropped.Load() {
		n.sets[t.digest] = t.set
	} else {
		n.server.drop(t.digest)
		if !t.dropped.Load() && t.set.Count() > 0 {
			n.partial[t.digest] = t.set
		}
	}
	close(t.done)
}

// reuse copies chunks with equal digests from the complete sets, such as
// those of the version before.
func (n *Node) reuse(set *weights.Set) {
	held := make(map[core.Digest][]byte)
	for _, other := range n.sets {
		for i, d := range other.Manifest().Chunks {
			if data, ok := other.Get(i); ok {
				held[d] = data
			}
		}
	}
	for i, d := range set.Manifest().Chunks {
		if data, ok := held[d]; ok {
			_ = set.Put(i, data) // Verified again; a mismatch is fetched.
		}
	}
}
