package gateway

import (
	"math/rand/v2"
	"sync"
)

// draws is a seeded source of random numbers that is safe for concurrent use.
type draws struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newDraws(seed uint64) *draws {
	return &draws{rand: newRand(seed, 0)}
}

// float returns a number from 0 up to 1.
func (d *draws) float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Float64()
}
