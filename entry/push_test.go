package entry

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/fakes"
)

// publishBlocked publishes a version whose chunks, except for the first four, are
// blocked until the returned function is called.
func (f *testFleet) publishBlocked(version string) (ref core.ModelRef, unblock func()) {
	f.t.Helper()
	unblocked, unblock := context.WithCancel(context.Background())
	f.t.Cleanup(unblock)
	ref = f.publishWithReader(version, func(read fakes.ChunkReader) fakes.ChunkReader {
		return func(index int) ([]byte, error) {
			if index >= 4 {
				<-unblocked.Done()
			}
			return read(index)
		}
	})
	return ref, unblock
}

// checkNoMixedWeights checks that no engine has served mixed weights or cut off
// calls by a swap.
func (f *testFleet) checkNoMixedWeights() {
	f.t.Helper()
	for _, e := range f.engines {
		counts := e.Counts()
		assert.Equal(f.t, counts.MixedWeights, uint64(0))
		assert.Equal(f.t, counts.EndedByLoad, uint64(0))
	}
}

func (f *testFleet) awaitFetching(m core.ModelRef) {
	f.t.Helper()
	f.waitUntil("agents fetch "+m.Version, func() bool {
		status, err := f.operator(0).Status(f.ctx)
		assert.NilError(f.t, err)
		for _, a := range status.Agents {
			if a.Fetching != m || a.ChunksHave == a.ChunksTotal {
				return false
			}
		}
		return true
	})
}

func TestVersionsChangeWhileOneIsFetched(t *testing.T) {
	f := newTestFleet(t, 4, 0, 2)
	f.awaitAgents()
	v1, unblock := f.publishBlocked("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitFetching(v1)
	v2 := f.publish("v2")
	v3 := f.publish("v3")
	f.applyIntent(1, placeIntent("v2"))
	f.waitUntil("an engine serves v2", func() bool { return f.countServing(v2) > 0 })
	f.applyIntent(0, placeIntent("v3"))
	f.awaitServing(v3)
	unblock()
	f.checkNoMixedWeights()
	assert.Equal(t, f.countServing(v3), 4)
}

func (f *testFleet) countServing(m core.ModelRef) int {
	n := 0
	for _, e := range f.engines {
		if e.Serving() == m {
			n++
		}
	}
	return n
}

func TestReplacementAgentGetsTheWeights(t *testing.T) {
	f, _ := newServingFleet(t, 3, 2)
	v2, unblock := f.publishBlocked("v2")
	f.applyIntent(0, placeIntent("v2"))
	f.awaitFetching(v2)
	f.agents[0].Kill()
	f.instanceList.Remove("model-0")
	f.engines, f.agents = f.engines[1:], f.agents[1:]
	f.addModel(6)
	unblock()
	f.awaitServing(v2)
	f.checkNoMixedWeights()
}

// leaseHolder returns the entry that holds the executor's lease.
func (f *testFleet) leaseHolder() int {
	f.t.Helper()
	holder := -1
	f.waitUntil("an executor", func() bool {
		for i, e := range f.entries {
			if e.executor.lease.Load() != nil {
				holder = i
			}
		}
		return holder >= 0
	})
	return holder
}

func TestAnotherEntryFinishesRolloutAndStaleFenceIsRefused(t *testing.T) {
	f, _ := newServingFleet(t, 4, 2)
	firstHolder := f.leaseHolder()
	staleFence := f.entries[firstHolder].executor.lease.Load().Fence
	v2, unblock := f.publishBlocked("v2")
	f.applyIntent(1-firstHolder, placeIntent("v2"))
	f.awaitFetching(v2)
	f.entries[firstHolder].Kill()
	<-f.programs[f.entries[firstHolder].cfg.Instance.ID].ended
	unblock()
	f.awaitServing(v2)
	nextExecutor := f.entries[1-firstHolder].executor
	assert.Assert(t, nextExecutor.lease.Load().Fence > staleFence)
	err := nextExecutor.sendOrder(f.ctx, staleFence, intent.Order{Instance: "model-1", Kind: intent.OrderDrain})
	var refused *OrderRefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, agent.CodeStaleFence)
	f.checkNoMixedWeights()
}

// TestForeignOrderAtAnEngineIsPutBack sends an order to an engine that ignores
// fencing, bypassing its agent.
func TestForeignOrderAtAnEngineIsPutBack(t *testing.T) {
	f, v1 := newServingFleet(t, 2, 1, withSlowTokens)
	v2 := f.publish("v2")
	f.applyIntent(0, placeIntent("v2"))
	f.awaitServing(v2)
	f.awaitEndpoints(0, v2, 2)
	streams := f.openStreams(6, 60)
	engine := endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: f.startServer(f.engines[1])})
	_, err := engine.Order(f.ctx, endpoint.Order{Model: v1, Manifest: f.manifest("v1").Encode()})
	assert.NilError(t, err)
	assert.Equal(t, f.engines[1].Counts().StaleOrders, uint64(1))
	for range 20 {
		text, version := f.complete(0, "urgent", "foreign order", 10)
		assert.Equal(t, version, "v2")
		assert.Equal(t, text, expectedText("foreign order", "v2", 10))
	}
	f.readStreams(streams, 60)
	f.awaitServing(v2)
}
