package httpkit

import (
	"math/rand/v2"
	"sync"
)

// SeededRand is a seeded random source. It is safe for concurrent use.
type SeededRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// NewSeededRand returns a random source with a seed. The same seed gives the same
// sequence of numbers.
func NewSeededRand(seed uint64) *SeededRand {
	return &SeededRand{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Chance returns true with probability p. With probability 0 it draws no number
// from the source.
func (r *SeededRand) Chance(p Probability) bool {
	if p <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64() < float64(p)
}
