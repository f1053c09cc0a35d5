package fakes

import (
	"math/rand/v2"
	"sync"
)

// seededRand is a random generator with a fixed seed. It is safe for concurrent
// use.
type seededRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSeededRand(seed uint64) *seededRand {
	return &seededRand{random: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with the given probability.
func (r *seededRand) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

func (r *seededRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}
