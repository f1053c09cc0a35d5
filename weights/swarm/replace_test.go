package swarm

import (
	"context"
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPeersReplacedInMidTransfer stops a node while the others fetch and puts
// a new one in its place.
func TestPeersReplacedInMidTransfer(t *testing.T) {
	m := newTestModel(t, "1", 32*testChunk, testChunk)
	f := newTestFleet(t, m)
	f.config = quickConfig()
	f.grow(9)
	victim := f.nodes["i001"]
	ctx, cancel := context.WithCancel(context.Background())
	var once sync.Once
	f.origin.fail = func(int) error {
		if f.origin.calls.Load() > 4 {
			once.Do(cancel)
		}
		return nil
	}
	var victimErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, victimErr = victim.Fetch(ctx, m.manifest, f.peers)
		f.stop(victim)
		var left []Peer
		for _, p := range f.peers() {
			if p.ID != "i001" {
				left = append(left, p)
			}
		}
		f.list(left)
	}()
	var nodes []*testNode
	for id, n := range f.nodes {
		if id != "i001" {
			nodes = append(nodes, n)
		}
	}
	f.push(m, nodes...)
	<-ended
	assert.Check(t, victimErr == nil || errors.Is(victimErr, context.Canceled))
	f.push(m, f.add("i100", "r1"))
}
