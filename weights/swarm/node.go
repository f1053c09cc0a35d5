package swarm

import (
	"context"
	"sync"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
)

// Node fetches weights for one instance and serves them to others. Its
// methods are safe for concurrent use.
type Node struct {
	cfg     Config
	deps    Deps
	metrics *metrics
	server  *server

	ctx    context.Context
	cancel context.CancelFunc

	receivePacerMu sync.Mutex
	receivePacer   *receivePacer

	mu        sync.Mutex
	sets      map[core.Digest]*weights.Set // Complete sets.
	transfers map[core.Digest]*transfer
	// partialSets holds the sets of cancelled transfers; a new transfer of the
	// manifest continues with its set.
	partialSets map[core.Digest]*weights.Set
}

// NewNode returns a node that does not listen yet, or *ConfigError.
func NewNode(cfg Config, deps Deps) (*Node, error) {
	cfg.setDefaults()
	deps.setDefaults()
	if err := validate(&cfg, &deps); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:         cfg,
		deps:        deps,
		metrics:     newMetrics(deps.Scope),
		sets:        make(map[core.Digest]*weights.Set),
		transfers:   make(map[core.Digest]*transfer),
		partialSets: make(map[core.Digest]*weights.Set),
	}
	n.receivePacer = newReceivePacer(&n.cfg)
	n.server = newServer(&n.cfg, &n.deps, n.metrics)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

func validate(cfg *Config, deps *Deps) error {
	switch {
	case cfg.Self.ID == "" || len(cfg.Self.ID) > maxInstanceIDBytes:
		return &ConfigError{Field: "Self.ID"}
	case cfg.Self.ChunkAddr == "":
		return &ConfigError{Field: "Self.ChunkAddr"}
	case cfg.RateBytes < 0:
		return &ConfigError{Field: "RateBytes"}
	case cfg.MinRateShare <= 0 || cfg.MinRateShare > 1:
		return &ConfigError{Field: "MinRateShare"}
	case deps.Origin == nil:
		return &ConfigError{Field: "Origin"}
	case deps.Store == nil:
		return &ConfigError{Field: "Store"}
	case len(deps.FleetKey) == 0:
		return &ConfigError{Field: "FleetKey"}
	}
	return nil
}

// Start listens on Self.ChunkAddr and returns once connections are accepted.
func (n *Node) Start() error {
	return n.server.start()
}

// Stop cancels all transfers and closes all connections. It blocks until they
// have ended or ctx ends.
func (n *Node) Stop(ctx context.Context) error {
	n.cancel()
	n.mu.Lock()
	var running []*transfer
	for _, t := range n.transfers {
		running = append(running, t)
	}
	n.mu.Unlock()
	for _, t := range running {
		select {
		case <-t.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return n.server.stop(ctx)
}

// Set returns the complete, verified set of a manifest.
func (n *Node) Set(d core.Digest) (*weights.Set, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set, ok := n.sets[d]
	return set, ok
}

// Add serves a complete set that the node did not fetch. Incomplete sets are
// ignored.
func (n *Node) Add(set *weights.Set) {
	if !set.Complete() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.sets[set.Digest()]; ok {
		return
	}
	n.sets[set.Digest()] = set
	n.server.addSet(set)
}

// Drop stops serving a manifest and cancels its transfer.
func (n *Node) Drop(d core.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sets, d)
	delete(n.partialSets, d)
	if t := n.transfers[d]; t != nil {
		t.dropped.Store(true)
		t.cancel()
	}
	n.server.dropManifest(d)
}

// Progress returns the number of verified chunks and of all chunks of a
// manifest, or 0 and 0 if the node has neither a set nor a transfer of it.
func (n *Node) Progress(d core.Digest) (have, total int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set := n.sets[d]
	if t := n.transfers[d]; set == nil && t != nil {
		set = t.set
	}
	if set == nil {
		return 0, 0
	}
	return set.Count(), set.Len()
}

// CorruptChunks returns how many chunks that the running transfer of a manifest received did
// not match it, 0 without a transfer.
func (n *Node) CorruptChunks(d core.Digest) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.transfers[d]; t != nil {
		return int(t.corrupt.Load())
	}
	return 0
}

func (n *Node) countReceived(from Peer, bytes int) {
	n.metrics.chunksReceived.Inc(1)
	n.metrics.bytesReceived.Inc(int64(bytes))
	if from.Location.Region != n.cfg.Self.Location.Region {
		n.metrics.crossRegionBytesReceived.Inc(int64(bytes))
	}
}
