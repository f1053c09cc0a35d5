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

func newFaultFleet(t *testing.T) (*testFleet, testModel) {
	m := newTestModel(t, "1", 32*testChunk-100, testChunk)
	f := newTestFleet(t, m)
	f.config = quickConfig()
	return f, m
}

func (f *testFleet) sum(counter string) int64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.counter(counter)
	}
	return sum
}

// TestCorruptChunks damages large reads between nodes now and then.
func TestCorruptChunks(t *testing.T) {
	f, m := newFaultFleet(t)
	var reads atomic.Int64
	f.readHook = func(_ context.Context, _, _ Peer, p []byte) {
		if len(p) > testChunk/8 && reads.Add(1)%50 == 0 {
			p[len(p)/2] ^= 1
		}
	}
	f.origin.corrupt = func(call int64) bool { return call%9 == 0 }
	f.grow(9)
	f.push(m)
	assert.Check(t, f.sum(telemetry.MetricChunksCorrupt+"+") > 0)
}

// TestStalledLinks blocks all reads of some connections from their first
// chunk on.
func TestStalledLinks(t *testing.T) {
	f, m := newFaultFleet(t)
	stalled := make(map[core.InstanceID]bool)
	var mu sync.Mutex
	f.readHook = func(ctx context.Context, reader, _ Peer, p []byte) {
		mu.Lock()
		stall := !stalled[reader.ID] && len(p) > testChunk/8
		stalled[reader.ID] = stalled[reader.ID] || stall
		mu.Unlock()
		if stall {
			<-ctx.Done()
		}
	}
	f.grow(9)
	f.push(m)
	assert.Check(t, f.sum(faultCounter("stalled")) > 0)
}

// TestDeadListedNodes keeps dead nodes in the list, first fetchers among them.
func TestDeadListedNodes(t *testing.T) {
	f, m := newFaultFleet(t)
	f.grow(12)
	var nodes []*testNode
	for id, n := range f.nodes {
		if id == "i000" || id == "i001" || id == "i002" {
			f.stop(n)
			continue
		}
		nodes = append(nodes, n)
	}
	f.push(m, nodes...)
	copies := float64(f.origin.served.Load()) / float64(m.manifest.Size)
	assert.Check(t, copies < 2, "%v", copies)
}

// TestOriginDownStoreLimited has the limited store take over.
func TestOriginDownStoreLimited(t *testing.T) {
	f, m := newFaultFleet(t)
	f.origin.fail = func(int) error { return &backing.UnavailableError{Service: "origin", Cause: errors.New("down")} }
	f.store.fail = func(int) error {
		if f.store.calls.Load()%5 == 0 {
			return &backing.LimitedError{Service: "store", RetryAfterMS: 20}
		}
		return nil
	}
	f.grow(6)
	f.push(m)
	assert.Check(t, f.store.served.Load() >= m.manifest.Size)
	assert.Equal(t, f.origin.served.Load(), int64(0))
}

// TestVersionChangesInMidFlight gives a transfer up for the next version: the
// new set is whole and nothing of the old one stays.
func TestVersionChangesInMidFlight(t *testing.T) {
	f, old := newFaultFleet(t)
	next := newTestModel(t, "22", 32*testChunk, testChunk)
	f.origin.models = append(f.origin.models, next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mended atomic.Bool
	f.origin.fail = func(int) error {
		if mended.Load() {
			return nil
		}
		if f.origin.calls.Load() == 20 {
			cancel()
		}
		return ctx.Err()
	}
	f.grow(6)
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			_, err := n.Fetch(ctx, old.manifest, f.peers)
			assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
		})
	}
	wg.Wait()
	mended.Store(true)
	f.push(next)
	for _, n := range f.nodes {
		_, held := n.Set(old.manifest.Digest())
		assert.Check(t, !held)
		have, total := n.Progress(next.manifest.Digest())
		assert.Equal(t, have, total)
	}
}
