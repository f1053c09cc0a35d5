package weights

import (
	"cmp"
	"slices"
)

// ChooseFirst returns up to count of the receivers that hear of a chunk first.
// The choice differs from chunk to chunk and is the same for equal arguments.
func ChooseFirst(receivers []uint64, chunk, count int) []uint64 {
	chosen := slices.Clone(receivers)
	slices.SortFunc(chosen, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(hashPair(a, uint64(chunk)), hashPair(b, uint64(chunk))), cmp.Compare(a, b))
	})
	return chosen[:min(count, len(chosen))]
}
