package runner

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
)

// controlWatch measures what coordination costs from its start on.
type controlWatch struct {
	fleet *fleetRun
	since time.Time
	bytes map[core.InstanceID]int64
	calls uint64
}

func newControlWatch(f *fleetRun) *controlWatch {
	watch := &controlWatch{
		fleet: f,
		since: time.Now(),
		bytes: map[core.InstanceID]int64{},
		calls: f.platform.keyValue.Counts().Calls(),
	}
	for _, p := range f.programs() {
		watch.bytes[p.instance.ID] = p.role.ControlBytes()
	}
	return watch
}

// fill writes the rates since the start. Programs that started later are left
// out.
func (c *controlWatch) fill(into *report.Control) {
	seconds := time.Since(c.since).Seconds()
	for _, p := range c.fleet.programs() {
		before, ok := c.bytes[p.instance.ID]
		if !ok {
			continue
		}
		rate := float64(p.role.ControlBytes()-before) / seconds
		if p.instance.Role == core.RoleEntry {
			into.EntryBytesPerSMax = max(into.EntryBytesPerSMax, rate)
		} else {
			into.AgentBytesPerSMax = max(into.AgentBytesPerSMax, rate)
		}
	}
	into.StoreCallsPerS = float64(c.fleet.platform.keyValue.Counts().Calls()-c.calls) / seconds
}
