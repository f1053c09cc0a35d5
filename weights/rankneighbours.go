package weights

import (
	"cmp"
	"slices"

	"github.com/snipestep/snipestep/core"
)

// rankNeighbours orders the other instances of a region by preference as
// neighbours of self. The instances form a hash ring, and all prefer the same
// pseudo-random distances along it, so that each is preferred equally often.
func rankNeighbours(key uint64, self core.InstanceID, members []core.InstanceID) []core.InstanceID {
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b core.InstanceID) int {
		return cmp.Or(cmp.Compare(hashName(key, string(a)), hashName(key, string(b))), cmp.Compare(a, b))
	})
	distances := make([]int, 0, len(ring))
	for distance := 1; distance < len(ring); distance++ {
		distances = append(distances, distance)
	}
	slices.SortFunc(distances, func(a, b int) int {
		return cmp.Compare(hashPair(key, uint64(a)), hashPair(key, uint64(b)))
	})
	position := slices.Index(ring, self)
	ranked := make([]core.InstanceID, 0, len(distances))
	for _, distance := range distances {
		ranked = append(ranked, ring[(position+distance)%len(ring)])
	}
	return ranked
}
