package runner

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
)

// controlMeter measures the cost of the control plane since start.
type controlMeter struct {
	fleet             *runningFleet
	start             time.Time
	bytesAtStart      map[core.InstanceID]int64
	storeCallsAtStart uint64
}

func newControlMeter(f *runningFleet) *controlMeter {
	meter := &controlMeter{
		fleet:             f,
		start:             time.Now(),
		bytesAtStart:      map[core.InstanceID]int64{},
		storeCallsAtStart: f.platform.keyValue.Counts().Calls(),
	}
	for _, p := range f.programs() {
		meter.bytesAtStart[p.instance.ID] = p.component.ControlBytes()
	}
	return meter
}

// fill writes the rates since start. Programs that were started later are omitted.
func (c *controlMeter) fill(into *report.Control) {
	seconds := time.Since(c.start).Seconds()
	for _, p := range c.fleet.programs() {
		before, ok := c.bytesAtStart[p.instance.ID]
		if !ok {
			continue
		}
		rate := float64(p.component.ControlBytes()-before) / seconds
		if p.instance.Role == core.RoleEntry {
			into.EntryBytesPerSMax = max(into.EntryBytesPerSMax, rate)
		} else {
			into.AgentBytesPerSMax = max(into.AgentBytesPerSMax, rate)
		}
	}
	into.StoreCallsPerS = float64(c.fleet.platform.keyValue.Counts().Calls()-c.storeCallsAtStart) / seconds
}
