package sidecar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// All agents of a large fleet learn of a version at the same moment, and an origin
// has a short queue for new connections.
func TestManifestReadsAreStaggered(t *testing.T) {
	var ids []string
	for i := range 68 {
		ids = append(ids, fmt.Sprintf("10.0.0.%d", i))
	}
	taken := make(map[int]bool)
	repositioned := 0
	for _, id := range ids {
		position := shuffledPosition(id, ids, 1)
		assert.Assert(t, !taken[position] && position < len(ids), "position %d", position)
		taken[position] = true
		if shuffledPosition(id, ids, 2) != position {
			repositioned++
		}
	}
	assert.Assert(t, repositioned > len(ids)/2, "the next version has another order")
	assert.Equal(t, shuffledPosition("10.0.0.1", nil, 1), 0, "an agent that knows no other reads at once")
}
