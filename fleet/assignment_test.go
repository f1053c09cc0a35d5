package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

func TestAssignmentChangesLittleOnRemoval(t *testing.T) {
	var entries []core.Instance
	for i := range 420 {
		entries = append(entries, core.Instance{ID: core.InstanceID(fmt.Sprintf("entry-%d", i))})
	}
	before := assignedIDs(entries)
	assert.Equal(t, len(before), 8)
	for _, removed := range before {
		var remaining []core.Instance
		for _, e := range entries {
			if e.ID != removed {
				remaining = append(remaining, e)
			}
		}
		kept := 0
		for _, id := range assignedIDs(remaining) {
			for _, old := range before {
				if id == old {
					kept++
				}
			}
		}
		assert.Equal(t, kept, 7)
	}
	assert.Assert(t, IsAssigned("alone", nil, "watch", 1))
}

func assignedIDs(entries []core.Instance) []core.InstanceID {
	var out []core.InstanceID
	for _, e := range entries {
		if IsAssigned(e.ID, entries, "watch", 8) {
			out = append(out, e.ID)
		}
	}
	return out
}
