package fakes

import (
	"math/rand/v2"
	"sync"
)

// chance draws from a seeded generator. It is safe for concurrent use.
type chance struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newChance(seed uint64) *chance {
	return &chance{random: rand.New(rand.NewPCG(seed, seed))}
}

// hit reports true with the given probability.
func (c *chance) hit(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < ratio
}

func (c *chance) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}
