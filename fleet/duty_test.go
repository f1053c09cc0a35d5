package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

func TestDutyFallsToAFewAndMovesLittle(t *testing.T) {
	var entries []core.Instance
	for i := range 420 {
		entries = append(entries, core.Instance{ID: core.InstanceID(fmt.Sprintf("entry-%d", i))})
	}
	before := onDuty(entries)
	assert.Equal(t, len(before), 8)
	for _, gone := range before {
		var rest []core.Instance
		for _, e := range entries {
			if e.ID != gone {
				rest = append(rest, e)
			}
		}
		kept := 0
		for _, id := range onDuty(rest) {
			for _, old := range before {
				if id == old {
					kept++
				}
			}
		}
		assert.Equal(t, kept, 7)
	}
	assert.Assert(t, OnDuty("alone", nil, "watch", 1))
}

func onDuty(entries []core.Instance) []core.InstanceID {
	var out []core.InstanceID
	for _, e := range entries {
		if OnDuty(e.ID, entries, "watch", 8) {
			out = append(out, e.ID)
		}
	}
	return out
}
