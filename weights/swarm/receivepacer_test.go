package swarm

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReceiveRateFallsWithInferenceLoad checks that the limit falls to its minimum
// share while inference requests run and rises again afterwards.
func TestReceiveRateFallsWithInferenceLoad(t *testing.T) {
	var running atomic.Int64
	n, err := NewNode(
		Config{Self: Peer{ID: "a", ChunkAddr: "127.0.0.1:1"}, RateBytes: 1 << 20, MinRateShare: 0.25},
		Deps{
			Origin: &testSource{}, Store: &testSource{}, FleetKey: testKey,
			InferenceLoad: func() (int, int) { return int(running.Load()), 8 },
		},
	)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	n.adjustReceiveRate(now)
	assert.Equal(t, float64(n.receivePacer.limiter.Limit()), 1048576.0)
	running.Store(8)
	n.adjustReceiveRate(now.Add(rateAdjustInterval / 2))
	assert.Equal(t, float64(n.receivePacer.limiter.Limit()), 1048576.0)
	n.adjustReceiveRate(now.Add(rateAdjustInterval))
	assert.Equal(t, float64(n.receivePacer.limiter.Limit()), 262144.0)
	running.Store(0)
	n.adjustReceiveRate(now.Add(time.Hour))
	assert.Equal(t, float64(n.receivePacer.limiter.Limit()), 1048576.0)
}
