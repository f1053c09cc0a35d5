package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// TestSubsetsCoverEveryAgent covers small and large fleets. With three entries and
// 68 agents, a fixed subset size left agents without an entry.
func TestSubsetsCoverEveryAgent(t *testing.T) {
	for _, c := range []struct{ entries, models, plains int }{
		{1, 15, 4}, {3, 64, 4}, {12, 300, 3}, {420, 600, 20},
	} {
		entries := newInstances("entry", "", c.entries)
		agents := append(newInstances("model", "", c.models), newInstances("plain", "counter", c.plains)...)
		covered := map[core.InstanceID]int{}
		for _, group := range groupByService(agents) {
			size := subsetSize(defaultSubsetSize, c.entries, len(group))
			for _, chosen := range fleet.Subsets(entries, group, size) {
				for _, a := range chosen {
					covered[a.ID]++
				}
			}
		}
		for _, a := range agents {
			assert.Assert(t, covered[a.ID] >= min(c.entries, 2), "%v: agent %s has %d entries", c, a.ID, covered[a.ID])
		}
	}
}

func newInstances(name, service string, n int) []core.Instance {
	out := make([]core.Instance, 0, n)
	for i := range n {
		domain := fmt.Sprintf("d%d", i%7)
		out = append(out, core.Instance{
			ID: core.InstanceID(fmt.Sprintf("%s-%d", name, i)), Service: service,
			Location: core.Location{Region: fmt.Sprintf("r%d", i%2), FailureDomain: domain},
		})
	}
	return out
}
