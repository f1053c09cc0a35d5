package swarm

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPaceYieldsToCalls lowers the limit while calls run and never stops.
func TestPaceYieldsToCalls(t *testing.T) {
	var running atomic.Int64
	n, err := NewNode(
		Config{Self: Peer{ID: "a", ChunkAddr: "127.0.0.1:1"}, RateBytes: 1 << 20, MinRateShare: 0.25},
		Deps{
			Origin: &testSource{}, Store: &testSource{}, FleetKey: testKey,
			RequestLoad: func() (int, int) { return int(running.Load()), 8 },
		},
	)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	n.adjustPace(now)
	assert.Equal(t, float64(n.pacing.limiter.Limit()), 1048576.0)
	running.Store(8)
	n.adjustPace(now.Add(paceInterval / 2))
	assert.Equal(t, float64(n.pacing.limiter.Limit()), 1048576.0)
	n.adjustPace(now.Add(paceInterval))
	assert.Equal(t, float64(n.pacing.limiter.Limit()), 262144.0)
	running.Store(0)
	n.adjustPace(now.Add(time.Hour))
	assert.Equal(t, float64(n.pacing.limiter.Limit()), 1048576.0)
}
