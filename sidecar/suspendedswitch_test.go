package sidecar

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/weights"
)

// suspension is longer than the verification of staged chunks holds.
const suspension = 4 * time.Second

// suspendedEngine is an engine beside an agent that is suspended in a call. Meanwhile a staged
// chunk turns bad.
type suspendedEngine struct {
	*fakeEngine
	now time.Time
	// call names the call in which the agent is suspended, once.
	call string
	// suspensions is how often the agent is suspended.
	suspensions int
}

func (e *suspendedEngine) suspendIn(call string) {
	if call != e.call || e.suspensions == 0 || len(e.staged) < testChunkCount {
		return
	}
	e.suspensions--
	e.now = e.now.Add(suspension)
	e.staged[0] = []byte("rotten")
}

func (e *suspendedEngine) ReadStaged(ctx context.Context, model string, chunk int) ([]byte, error) {
	data, err := e.fakeEngine.ReadStaged(ctx, model, chunk)
	if chunk == testChunkCount-1 && err == nil {
		e.suspendIn("read")
	}
	return data, err
}

func (e *suspendedEngine) Load(ctx context.Context, model string, version, ordersStarted uint64) error {
	e.suspendIn("order")
	return e.fakeEngine.Load(ctx, model, version, ordersStarted)
}

func switchSuspended(t *testing.T, call string, suspensions int) (*suspendedEngine, *Reconciler, error) {
	t.Helper()
	engine := &suspendedEngine{
		fakeEngine: &fakeEngine{staged: map[int][]byte{}, state: EngineState{LoadedVersion: 1}},
		now:        start, call: call, suspensions: suspensions,
	}
	r := newReconciler(t, engine, 2)
	r.deps.Now = func() time.Time { return engine.now }
	return engine, r, r.switchVersion(t.Context(), testService, 2, &EngineState{LoadedVersion: 1})
}

// Guards against an engine that loads chunks that turned bad while the agent was suspended between
// their verification and the order, once and twice.
func TestChunksAreVerifiedAgainAfterASuspension(t *testing.T) {
	for suspensions := 1; suspensions <= 2; suspensions++ {
		engine, r, err := switchSuspended(t, "read", suspensions)
		assert.NilError(t, err)
		assert.Equal(t, engine.suspensions, 0)
		for i, data := range engine.loaded {
			assert.Assert(t, bytes.Equal(data, testChunk(2, i)), "chunk %d", i)
		}
		assert.Assert(t, !r.switching.Load())
	}
}

// Guards against requests to an engine that accepted the order after a suspension in the order
// itself, when the staged chunks had turned bad.
func TestEngineThatMayHaveLoadedCorruptChunksStaysClosed(t *testing.T) {
	_, r, err := switchSuspended(t, "order", 1)
	var corrupt *weights.CorruptChunkError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
	assert.Assert(t, r.switching.Load())
}

// An agent that is suspended in the order while the chunks stay intact has switched its engine.
func TestEngineWithIntactChunksOpensAfterASuspendedOrder(t *testing.T) {
	engine := &suspendedEngine{fakeEngine: &fakeEngine{staged: map[int][]byte{}, state: EngineState{LoadedVersion: 1}}, now: start}
	r := newReconciler(t, engine, 2)
	calls := 0
	r.deps.Now = func() time.Time {
		if calls++; calls > 3 { // Begin, check and time-out of the order; then it is answered.
			return start.Add(suspension)
		}
		return start
	}
	assert.NilError(t, r.switchVersion(t.Context(), testService, 2, &EngineState{LoadedVersion: 1}))
	assert.Assert(t, !r.switching.Load())
	assert.Equal(t, engine.state.LoadedVersion, uint64(2))
}
