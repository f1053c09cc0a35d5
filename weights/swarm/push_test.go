package swarm

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPushDrawsOneCopy(t *testing.T) {
	m := newTestModel(t, "1", 40*testChunk-100, testChunk)
	f := newTestFleet(t, m)
	f.grow(11)
	f.push(m)
	assert.Equal(t, f.origin.served.Load(), m.manifest.Size)
	assert.Equal(t, f.store.calls.Load(), int64(0))
}
