package swarm

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/telemetry"
)

func newFastTimeoutFleet(t *testing.T) (*testFleet, testModel) {
	m := newTestModel(t, "1", 32*testChunkSize-100, testChunkSize)
	f := newTestFleet(t, m)
	f.config = fastTimeoutConfig()
	return f, m
}

func (f *testFleet) sumCounter(counter string) int64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.counter(counter)
	}
	return sum
}

// TestCorruptChunks corrupts some chunks on their way between nodes and from
// the origin. All nodes must still complete their sets.
func TestCorruptChunks(t *testing.T) {
	f, m := newFastTimeoutFleet(t)
	var reads atomic.Int64
	f.readHook = func(_ context.Context, _, _ Peer, p []byte) {
		if len(p) > testChunkSize/8 && reads.Add(1)%50 == 0 {
			p[len(p)/2] ^= 1
		}
	}
	f.origin.shouldCorrupt = func(call int64) bool { return call%9 == 0 }
	f.addNodes(9)
	f.fetchAndVerify(m)
	assert.Check(t, f.sumCounter(telemetry.MetricCorruptChunks+"+") > 0)
}

// TestStalledConnections blocks one connection of each node during its first
// chunk. The nodes must detect the stall and fetch from other sources.
func TestStalledConnections(t *testing.T) {
	f, m := newFastTimeoutFleet(t)
	stalled := make(map[core.InstanceID]bool)
	var mu sync.Mutex
	f.readHook = func(ctx context.Context, reader, _ Peer, p []byte) {
		mu.Lock()
		stall := !stalled[reader.ID] && len(p) > testChunkSize/8
		stalled[reader.ID] = stalled[reader.ID] || stall
		mu.Unlock()
		if stall {
			<-ctx.Done()
		}
	}
	f.addNodes(9)
	f.fetchAndVerify(m)
	assert.Check(t, f.sumCounter(faultCounter("stalled")) > 0)
}

// TestUnreachableListedNodes stops nodes that stay in the target list, among
// them primary fetchers. The origin must serve fewer than two copies.
func TestUnreachableListedNodes(t *testing.T) {
	f, m := newFastTimeoutFleet(t)
	f.addNodes(12)
	var nodes []*testNode
	for id, n := range f.nodes {
		if id == "i000" || id == "i001" || id == "i002" {
			f.stopNode(n)
			continue
		}
		nodes = append(nodes, n)
	}
	f.fetchAndVerify(m, nodes...)
	copies := float64(f.origin.servedBytes.Load()) / float64(m.manifest.Size)
	assert.Check(t, copies < 2, "%v", copies)
}

// TestOriginDownStoreLimited fetches from a rate-limited store while the origin
// fails.
func TestOriginDownStoreLimited(t *testing.T) {
	f, m := newFastTimeoutFleet(t)
	f.origin.chunkError = func(int) error { return &backing.UnavailableError{Service: "origin", Cause: errors.New("down")} }
	f.store.chunkError = func(int) error {
		if f.store.calls.Load()%5 == 0 {
			return &backing.RateLimitedError{Service: "store", RetryAfterMS: 20}
		}
		return nil
	}
	f.addNodes(6)
	f.fetchAndVerify(m)
	assert.Check(t, f.store.servedBytes.Load() >= m.manifest.Size)
	assert.Equal(t, f.origin.servedBytes.Load(), int64(0))
}

// TestVersionChangeDuringTransfer cancels a transfer and fetches the next
// version: the new set must be complete and the old one must not be kept.
func TestVersionChangeDuringTransfer(t *testing.T) {
	f, oldModel := newFastTimeoutFleet(t)
	newModel := newTestModel(t, "22", 32*testChunkSize, testChunkSize)
	f.origin.models = append(f.origin.models, newModel)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var originRecovered atomic.Bool
	f.origin.chunkError = func(int) error {
		if originRecovered.Load() {
			return nil
		}
		if f.origin.calls.Load() == 20 {
			cancel()
		}
		return ctx.Err()
	}
	f.addNodes(6)
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			_, err := n.Fetch(ctx, oldModel.manifest, f.peers)
			assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
		})
	}
	wg.Wait()
	originRecovered.Store(true)
	f.fetchAndVerify(newModel)
	for _, n := range f.nodes {
		_, stored := n.Set(oldModel.manifest.Digest())
		assert.Check(t, !stored)
		have, total := n.Progress(newModel.manifest.Digest())
		assert.Equal(t, have, total)
	}
}
