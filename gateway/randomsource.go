package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource is a seeded random number generator that is safe for concurrent
// use.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rand: newRand(seed, 0)}
}

// upTo returns a random duration in [0, limit).
func (s *randomSource) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.uniform() * float64(limit))
}

// uniform returns a random number in [0, 1).
func (s *randomSource) uniform() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}
