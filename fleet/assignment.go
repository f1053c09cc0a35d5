package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

// IsAssigned reports whether self is one of the count candidates that rendezvous
// hashing assigns the task to. All instances with the same candidates agree;
// replacing a candidate moves at most one assignment. self takes part even if
// it is not among the candidates yet.
func IsAssigned(self core.InstanceID, candidates []core.Instance, task string, count int) bool {
	selfScore := rendezvousScore(self, task)
	higher := 0
	for _, other := range candidates {
		if other.ID != self && rendezvousScore(other.ID, task) > selfScore {
			higher++
		}
	}
	return higher < count
}

func rendezvousScore(id core.InstanceID, task string) uint64 {
	return xxhash.Sum64String(task + "\x00" + string(id))
}
