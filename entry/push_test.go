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

// publishHeld makes the chunks of a new version wait, after the first
// ones, until the returned function is called.
func (f *testFleet) publishHeld(version string) (ref core.ModelRef, release func()) {
	f.t.Helper()
	released, release := context.WithCancel(context.Background())
	f.t.Cleanup(release)
	ref = f.publishWith(version, func(read fakes.ChunkReader) fakes.ChunkReader {
		return func(index int) ([]byte, error) {
			if index >= 4 {
				<-released.Done()
			}
			return read(index)
		}
	})
	return ref, release
}

// checkWeights checks that no engine ever served a mixture.
func (f *testFleet) checkWeights() {
	f.t.Helper()
	for _, e := range f.engines {
		counts := e.Counts()
		assert.Equal(f.t, counts.MixedWeights, uint64(0))
		assert.Equal(f.t, counts.EndedByLoad, uint64(0))
	}
}

func (f *testFleet) awaitFetching(m core.ModelRef) {
	f.t.Helper()
	f.until("agents fetch "+m.Version, func() bool {
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
	v1, release := f.publishHeld("v1")
	f.carryOut(0, place("v1"))
	f.awaitFetching(v1)
	v2 := f.publish("v2")
	v3 := f.publish("v3")
	f.carryOut(1, place("v2"))
	f.until("an engine serves v2", func() bool { return f.serves(v2) > 0 })
	f.carryOut(0, place("v3"))
	f.awaitServing(v3)
	release()
	f.checkWeights()
	assert.Equal(t, f.serves(v3), 4)
}

func (f *testFleet) serves(m core.ModelRef) int {
	n := 0
	for _, e := range f.engines {
		if e.Serving() == m {
			n++
		}
	}
	return n
}

func TestReplacedAgentGetsTheWeights(t *testing.T) {
	f, _ := serving(t, 3, 2)
	v2, release := f.publishHeld("v2")
	f.carryOut(0, place("v2"))
	f.awaitFetching(v2)
	f.agents[0].Kill()
	f.list.Remove("model-0")
	f.engines, f.agents = f.engines[1:], f.agents[1:]
	f.addModel(6)
	release()
	f.awaitServing(v2)
	f.checkWeights()
}

// holder returns the entry that holds the executor's lease.
func (f *testFleet) holder() int {
	f.t.Helper()
	holder := -1
	f.until("an executor", func() bool {
		for i, e := range f.entries {
			if e.executor.tenure.Load() != nil {
				holder = i
			}
		}
		return holder >= 0
	})
	return holder
}

func TestAnotherEntryFinishesThePushAndOldFencesAreRefused(t *testing.T) {
	f, _ := serving(t, 4, 2)
	first := f.holder()
	old := f.entries[first].executor.tenure.Load().Fence
	v2, release := f.publishHeld("v2")
	f.carryOut(1-first, place("v2"))
	f.awaitFetching(v2)
	f.entries[first].Kill()
	<-f.running[f.entries[first].cfg.Instance.ID].ended
	release()
	f.awaitServing(v2)
	next := f.entries[1-first].executor
	assert.Assert(t, next.tenure.Load().Fence > old)
	err := next.sendOne(f.ctx, old, intent.Order{Instance: "model-1", Kind: intent.OrderDrain})
	var refused *OrderRefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, agent.CodeStaleFence)
	f.checkWeights()
}

// TestForeignOrderAtAnEngineIsPutBack orders an engine that ignores fencing
// past its agent.
func TestForeignOrderAtAnEngineIsPutBack(t *testing.T) {
	f, v1 := serving(t, 2, 1, slowTokens)
	v2 := f.publish("v2")
	f.carryOut(0, place("v2"))
	f.awaitServing(v2)
	f.awaitEndpoints(0, v2, 2)
	streams := f.openAll(6, 60)
	engine := endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: f.serve(f.engines[1])})
	_, err := engine.Order(f.ctx, endpoint.Order{Model: v1, Manifest: f.manifest("v1").Encode()})
	assert.NilError(t, err)
	assert.Equal(t, f.engines[1].Counts().StaleOrders, uint64(1))
	for range 20 {
		text, version := f.ask(0, "urgent", "foreign order", 10)
		assert.Equal(t, version, "v2")
		assert.Equal(t, text, wholeAnswer("foreign order", "v2", 10))
	}
	f.readWhole(streams, 60)
	f.awaitServing(v2)
}
