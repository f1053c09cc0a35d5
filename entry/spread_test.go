package entry

import (
	"testing"

	"github.com/snipestep/snipestep/fleet"
)

// TestConfigurationReachesEntriesThatDoNotWatch starts more entries than watch
// the key-value service; the others learn a generation from agents.
func TestConfigurationReachesEntriesThatDoNotWatch(t *testing.T) {
	f := newTestFleet(t, 1, 1, dutyEntries+3)
	f.awaitAgents()
	f.publish("v1")
	f.carryOut(0, place("v1"))
	f.until("generation 2 at every entry", func() bool {
		for _, e := range f.entries {
			if e.Generation() < 2 {
				return false
			}
		}
		return true
	})
	f.until("every entry knows the others, so that three do not watch", func() bool {
		off := 0
		for _, e := range f.entries {
			if !fleet.IsAssigned(e.cfg.Instance.ID, e.routes.entries(), dutyWatch, dutyEntries) {
				off++
			}
		}
		return off == 3
	})
}
