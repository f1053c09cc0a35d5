package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

// OnDuty reports whether self is one of the count instances that a duty falls
// to. Every instance that sees the same ones agrees; when one is replaced, at
// most one other takes its place. An instance that does not see itself yet
// counts itself in.
func OnDuty(self core.InstanceID, instances []core.Instance, duty string, count int) bool {
	own := dutyScore(self, duty)
	ahead := 0
	for _, other := range instances {
		if other.ID != self && dutyScore(other.ID, duty) > own {
			ahead++
		}
	}
	return ahead < count
}

func dutyScore(id core.InstanceID, duty string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + string(id))
}
