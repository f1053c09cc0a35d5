package entry

import (
	"testing"

	"github.com/snipestep/snipestep/fleet"
)

// TestConfigurationReachesEntriesThatDoNotWatch starts more entries than are
// assigned to watch the key-value service; the others learn of a generation from
// agents.
func TestConfigurationReachesEntriesThatDoNotWatch(t *testing.T) {
	f := newTestFleet(t, 1, 1, assignedEntries+3)
	f.awaitAgents()
	f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.waitUntil("generation 2 at every entry", func() bool {
		for _, e := range f.entries {
			if e.Generation() < 2 {
				return false
			}
		}
		return true
	})
	f.waitUntil("every entry knows the others, so that three do not watch", func() bool {
		unassigned := 0
		for _, e := range f.entries {
			if !fleet.IsAssigned(e.cfg.Instance.ID, e.routes.liveEntries(), taskWatchConfiguration, assignedEntries) {
				unassigned++
			}
		}
		return unassigned == 3
	})
}
