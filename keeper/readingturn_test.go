package keeper

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// All agents of a large fleet hear of a version at the same moment, and an
// origin has a short queue of new connections.
func TestAgentsReadAManifestOneAfterTheOther(t *testing.T) {
	var ids []string
	for i := range 68 {
		ids = append(ids, fmt.Sprintf("10.0.0.%d", i))
	}
	taken := make(map[int]bool)
	moved := 0
	for _, id := range ids {
		place := placeAmong(id, ids, 1)
		assert.Assert(t, !taken[place] && place < len(ids), "place %d", place)
		taken[place] = true
		if placeAmong(id, ids, 2) != place {
			moved++
		}
	}
	assert.Assert(t, moved > len(ids)/2, "another order for the next version")
	assert.Equal(t, placeAmong("10.0.0.1", nil, 1), 0, "an agent that knows no other reads at once")
}
