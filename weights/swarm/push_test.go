package swarm

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPushFetchesOneCopyFromOrigin(t *testing.T) {
	m := newTestModel(t, "1", 40*testChunkSize-100, testChunkSize)
	f := newTestFleet(t, m)
	f.addNodes(11)
	f.fetchAndVerify(m)
	assert.Equal(t, f.origin.servedBytes.Load(), m.manifest.Size)
	assert.Equal(t, f.store.calls.Load(), int64(0))
}
