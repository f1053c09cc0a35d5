package swarm

import (
	"context"
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPeerReplacedDuringTransfer stops a node while the others fetch and then
// adds a new one.
func TestPeerReplacedDuringTransfer(t *testing.T) {
	m := newTestModel(t, "1", 32*testChunkSize, testChunkSize)
	f := newTestFleet(t, m)
	f.config = fastTimeoutConfig()
	f.addNodes(9)
	stoppedNode := f.nodes["i001"]
	ctx, cancel := context.WithCancel(context.Background())
	var once sync.Once
	f.origin.chunkError = func(int) error {
		if f.origin.calls.Load() > 4 {
			once.Do(cancel)
		}
		return nil
	}
	var fetchErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, fetchErr = stoppedNode.Fetch(ctx, m.manifest, f.peers)
		f.stopNode(stoppedNode)
		var remaining []Peer
		for _, p := range f.peers() {
			if p.ID != "i001" {
				remaining = append(remaining, p)
			}
		}
		f.setTargets(remaining)
	}()
	var nodes []*testNode
	for id, n := range f.nodes {
		if id != "i001" {
			nodes = append(nodes, n)
		}
	}
	f.fetchAndVerify(m, nodes...)
	<-ended
	assert.Check(t, fetchErr == nil || errors.Is(fetchErr, context.Canceled))
	f.fetchAndVerify(m, f.addNode("i100", "r1"))
}
