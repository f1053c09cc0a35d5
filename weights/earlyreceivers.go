package weights

import (
	"cmp"
	"slices"
)

// SelectEarlyReceivers returns up to count receivers to notify of a chunk
// before the others. The selection is deterministic and varies by chunk.
func SelectEarlyReceivers(receivers []uint64, chunk, count int) []uint64 {
	chosen := slices.Clone(receivers)
	slices.SortFunc(chosen, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(hashPair(a, uint64(chunk)), hashPair(b, uint64(chunk))), cmp.Compare(a, b))
	})
	return chosen[:min(count, len(chosen))]
}
