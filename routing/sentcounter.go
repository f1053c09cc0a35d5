package routing

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

const (
	sentBits = 21
	sentMask = 1<<sentBits - 1
)

// SentCounter counts the calls that this entry has sent to an endpoint since its
// last load report, by rank. It is safe for concurrent use.
type SentCounter struct {
	packed atomic.Uint64 // sentBits bits for each rank, the most urgent in the lowest bits.
}

func (s *SentCounter) add(rank core.Rank) sentCounts {
	return sentCounts(s.packed.Add(1 << (sentBits * rank)))
}

func (s *SentCounter) remove(rank core.Rank) {
	s.packed.Add(-(uint64(1) << (sentBits * rank)))
}

func (s *SentCounter) snapshot() sentCounts {
	return sentCounts(s.packed.Load())
}

// sentCounts is one reading of a SentCounter.
type sentCounts uint64

func (c sentCounts) of(rank core.Rank) int32 {
	return int32(c >> (sentBits * rank) & sentMask)
}

func (c sentCounts) total() int32 {
	urgent := c & sentMask
	normal := c >> sentBits & sentMask
	background := c >> (2 * sentBits)
	return int32(urgent + normal + background)
}
